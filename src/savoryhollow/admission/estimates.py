"""Running estimates of service times, slot usage and the rate of events.

Pure computation: the caller passes the current time.
"""

import collections
import math

__all__ = ["Occupancy", "RecentCount", "ServiceTime"]

# Weight of a new sample in the moving averages of service time and deviation.
SAMPLE_WEIGHT = 0.1
# Service time assumed before the first sample, in s.
INITIAL_SERVICE_S = 0.01
# Mean deviations added to the mean to get a service time that is rarely exceeded.
CONSERVATIVE_DEVIATIONS = 2.0
# Time constant of the average of the slots held by a rank, in s.
AVERAGING_TIME_S = 1.0


class ServiceTime:
    """Moving averages of the time for which requests hold a slot.

    ``mean_s`` and ``deviation_s`` are the smoothed mean and mean deviation, in s.

    :param first_s: the mean before the first sample, in s.
    """

    __slots__ = ("deviation_s", "mean_s")

    def __init__(self, first_s: float = INITIAL_SERVICE_S) -> None:
        self.mean_s = first_s
        self.deviation_s = 0.0

    @property
    def conservative_s(self) -> float:
        """A service time that is rarely exceeded, in s."""
        return self.mean_s + CONSERVATIVE_DEVIATIONS * self.deviation_s

    def add(self, held_s: float) -> None:
        """Add a sample.

        :param held_s: how long a request held its slot, in s.
        """
        error = held_s - self.mean_s
        self.mean_s += SAMPLE_WEIGHT * error
        self.deviation_s += SAMPLE_WEIGHT * (abs(error) - self.deviation_s)


class Occupancy:
    """The slots that one rank holds, now and on average over the recent past."""

    __slots__ = ("_average", "_updated_at", "busy")

    def __init__(self) -> None:
        self.busy = 0
        self._average = 0.0
        self._updated_at = 0.0

    def average(self, now: float) -> float:
        """Return the exponentially weighted average of the slots held until now."""
        age = max(0.0, now - self._updated_at)
        return self.busy + (self._average - self.busy) * math.exp(
            -age / AVERAGING_TIME_S
        )

    def change(self, difference: int, now: float) -> None:
        """Record that slots were taken or released.

        :param difference: the number of slots taken; negative if released.
        :param now: the current time.
        """
        self._average = self.average(now)
        self._updated_at = max(self._updated_at, now)
        self.busy += difference


class RecentCount:
    """The number of events in a window of time that ends now.

    :param window_s: the length of the window, in s.
    """

    __slots__ = ("_times", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        """Record an event."""
        self._times.append(now)

    def rate_per_s(self, now: float) -> float:
        """Return the number of events per second in the window."""
        while self._times and self._times[0] <= now - self._window_s:
            self._times.popleft()
        return len(self._times) / self._window_s
