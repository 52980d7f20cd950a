"""Measure the resource usage of this process and the wake-up lag of its threads."""

import dataclasses
import pathlib
import resource
import threading
import time

__all__ = ["LagMeter", "ProcessStats", "read_process_stats"]

# Time between two measurements of the lag, in s.
LAG_INTERVAL_S = 1.0
STATM = pathlib.Path("/proc/self/statm")


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessStats:
    """The resource usage of this process.

    :param cpu_s: CPU time used since the process started, in s.
    :param resident_bytes: resident memory, 0 if it cannot be read.
    :param threads: number of running threads.
    """

    cpu_s: float
    resident_bytes: int
    threads: int


def read_process_stats() -> ProcessStats:
    """Return the current resource usage of this process."""
    try:
        pages = int(STATM.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        pages = 0
    resident = pages * resource.getpagesize()
    return ProcessStats(time.process_time(), resident, threading.active_count())


class LagMeter:
    """Measures how late a sleeping thread wakes up.

    A late wake-up indicates a busy machine, a held interpreter lock, or a pause of
    the whole process.

    The attribute ``last_s`` is the lag at the last measurement, in s.
    """

    def __init__(self) -> None:
        self._stop = threading.Event()
        self._highest_s = 0.0
        self.last_s = 0.0

    def start(self) -> None:
        """Start measuring in a background thread."""
        threading.Thread(target=self._measure, name="lag", daemon=True).start()

    def stop(self) -> None:
        """Stop measuring."""
        self._stop.set()

    def take_highest(self) -> float:
        """Return the longest lag since the previous call, in s, and reset it.

        The last measurement counts even if it is older than the previous call.
        """
        highest, self._highest_s = self._highest_s, 0.0
        return max(highest, self.last_s)

    def _measure(self) -> None:
        while not self._stop.is_set():
            wake_at = time.monotonic() + LAG_INTERVAL_S
            if self._stop.wait(LAG_INTERVAL_S):
                return
            self.last_s = max(0.0, time.monotonic() - wake_at)
            self._highest_s = max(self._highest_s, self.last_s)
