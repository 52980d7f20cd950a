"""Notice that this process was paused.

What it measured before a pause, or across one, says nothing of the present.
"""

import threading
import time

__all__ = ["PauseDetector"]

# Time between two ticks, in s.
TICK_INTERVAL_S = 0.25
# A gap between ticks longer than this is a pause, in s.
MAX_TICK_GAP_S = 1.0


class PauseDetector:
    """Tells whether the process was paused since an instant.

    :param now: the present instant.
    """

    def __init__(self, now: float):
        self._last_tick_at = now
        self._resumed_at = float("-inf")
        self._stopped = threading.Event()
        self._running = False

    def start(self) -> None:
        """Tick from now on, in a thread that ends with the process."""
        self._running = True
        self.tick(time.monotonic())
        threading.Thread(target=self._run, name="pauses", daemon=True).start()

    def stop(self) -> None:
        """Tick no more."""
        self._running = False
        self._stopped.set()

    def tick(self, now: float) -> None:
        """Note that the process is running."""
        if now - self._last_tick_at > MAX_TICK_GAP_S:
            self._resumed_at = now
        self._last_tick_at = now

    def paused_since(self, since: float, now: float) -> bool:
        """Say whether a pause ended after an instant.

        A thread may wake before the one that ticks, so the time since the last
        tick counts as well.
        """
        if self._running and now - self._last_tick_at > MAX_TICK_GAP_S:
            return True
        return self._resumed_at >= since

    def _run(self) -> None:
        while not self._stopped.wait(TICK_INTERVAL_S):
            self.tick(time.monotonic())
