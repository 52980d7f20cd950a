"""Detect that this process was paused.

Measurements from before a pause, or across one, are no longer valid.
"""

import threading
import time

__all__ = ["PauseDetector"]

# Interval between ticks, in s.
TICK_INTERVAL_S = 0.25
# A longer gap between ticks counts as a pause, in s.
MAX_TICK_GAP_S = 1.0


class PauseDetector:
    """Detects pauses of the process by gaps between regular ticks.

    :param now: the current time.
    """

    def __init__(self, now: float):
        self._last_tick_at = now
        self._resumed_at = float("-inf")
        self._stopped = threading.Event()
        self._running = False

    def start(self) -> None:
        """Start ticking in a background thread that ends with the process."""
        self._running = True
        self.tick(time.monotonic())
        threading.Thread(target=self._run, name="pauses", daemon=True).start()

    def stop(self) -> None:
        """Stop ticking."""
        self._running = False
        self._stopped.set()

    def tick(self, now: float) -> None:
        """Record that the process is running."""
        if now - self._last_tick_at > MAX_TICK_GAP_S:
            self._resumed_at = now
        self._last_tick_at = now

    def paused_since(self, since: float, now: float) -> bool:
        """Return True if a pause ended at or after the given time.

        The time since the last tick is checked as well, because after a pause
        another thread may run before the ticking thread.

        :param since: the time to check from.
        :param now: the current time.
        """
        if self._running and now - self._last_tick_at > MAX_TICK_GAP_S:
            return True
        return self._resumed_at >= since

    def _run(self) -> None:
        while not self._stopped.wait(TICK_INTERVAL_S):
            self.tick(time.monotonic())
