"""Decide when documents from the store may be applied.

The store may serve a revision that is older than the one the other daemons use.
A process that has just started, or was suspended, can't detect this, so it
compares its documents with its peers first. If no peer answers for
:data:`PEER_WAIT_S`, it trusts the store alone.
"""

import threading

__all__ = ["StoreTrust"]

# Time to wait for a peer before the store is trusted alone, in s.
PEER_WAIT_S = 1.5
# Gap in the activity of a process after which it has to compare again, in s.
MAX_ACTIVITY_GAP_S = 5.0


class StoreTrust:
    """Tracks whether documents from the store may be applied.

    :param now: the current time.
    """

    def __init__(self, now: float):
        self._lock = threading.Lock()
        self._last_active_at = now
        self._has_compared = False
        self._peer_wait_ends_at = now + PEER_WAIT_S

    @property
    def has_compared(self) -> bool:
        """Whether a peer has answered since the start or the last suspension."""
        return self._has_compared

    def record_activity(self, now: float) -> None:
        """Record that the process is running.

        A gap of more than :data:`MAX_ACTIVITY_GAP_S` since the last call means that
        the process was suspended.

        :param now: the current time.
        """
        with self._lock:
            if now > self._last_active_at + MAX_ACTIVITY_GAP_S:
                self._has_compared = False
                self._peer_wait_ends_at = now + PEER_WAIT_S
            self._last_active_at = max(self._last_active_at, now)

    def record_comparison(self, now: float) -> None:
        """Record a comparison with at least one peer.

        :param now: the current time.
        """
        self.record_activity(now)
        self._has_compared = True

    def is_trusted(self, now: float) -> bool:
        """Return True if a document from the store may be applied.

        :param now: the current time.
        """
        self.record_activity(now)
        return self._has_compared or now >= self._peer_wait_ends_at
