"""Whether what the store serves may be put in force yet.

The store may serve an older revision than the fleet has in force. A process
that has just started, or has slept, can't tell; so it first compares with its
peers. Where none of them answers for a while, the store is all there is.
"""

import threading

__all__ = ["StoreTrust"]

# How long peers are waited for before the store is trusted alone, in s.
PEER_WAIT_S = 1.5
# A process that was not awake for this time has to compare again, in s.
MAX_ACTIVITY_GAP_S = 5.0


class StoreTrust:
    """Says when the store may be trusted.

    :param now: the present instant.
    """

    def __init__(self, now: float):
        self._lock = threading.Lock()
        self._last_active_at = now
        self._has_compared = False
        self._peer_wait_ends_at = now + PEER_WAIT_S

    @property
    def has_compared(self) -> bool:
        """Whether peers have answered since the start or the last pause."""
        return self._has_compared

    def record_activity(self, now: float) -> None:
        """Note that the process runs; a gap since the last note is a pause.

        :param now: the present instant.
        """
        with self._lock:
            if now > self._last_active_at + MAX_ACTIVITY_GAP_S:
                self._has_compared = False
                self._peer_wait_ends_at = now + PEER_WAIT_S
            self._last_active_at = max(self._last_active_at, now)

    def record_comparison(self, now: float) -> None:
        """Note that the peers that can be reached have been compared with.

        :param now: the present instant.
        """
        self.record_activity(now)
        self._has_compared = True

    def is_trusted(self, now: float) -> bool:
        """Say whether a document of the store may be put in force.

        :param now: the present instant.
        """
        self.record_activity(now)
        return self._has_compared or now >= self._peer_wait_ends_at
