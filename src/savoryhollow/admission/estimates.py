"""What a gate has measured of each rank of work.

Pure computation: the caller passes the instant.
"""

import math

__all__ = ["Occupancy", "ServiceTime"]

# Weight of the newest sample in the smoothed service time and its deviation.
SAMPLE_WEIGHT = 0.1
# Service time assumed before the first sample, in s.
INITIAL_SERVICE_S = 0.01
# Mean deviations added to the mean for a service time that is rarely exceeded.
CONSERVATIVE_DEVIATIONS = 2.0
# Time over which the slots held by a rank are averaged, in s.
AVERAGING_TIME_S = 1.0


class ServiceTime:
    """The smoothed time that requests of one rank hold a slot.

    :param mean_s: the smoothed mean, in s.
    :param deviation_s: the smoothed mean deviation, in s.
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
        """Take in a sample.

        :param held_s: how long a slot was held, in s.
        """
        error = held_s - self.mean_s
        self.mean_s += SAMPLE_WEIGHT * error
        self.deviation_s += SAMPLE_WEIGHT * (abs(error) - self.deviation_s)


class Occupancy:
    """The slots that one rank holds, now and on average over the horizon."""

    __slots__ = ("_average", "_updated_at", "busy")

    def __init__(self) -> None:
        self.busy = 0
        self._average = 0.0
        self._updated_at = 0.0

    def average(self, now: float) -> float:
        """Return the slots held on average over the horizon until now."""
        age = max(0.0, now - self._updated_at)
        return self.busy + (self._average - self.busy) * math.exp(
            -age / AVERAGING_TIME_S
        )

    def change(self, difference: int, now: float) -> None:
        """Note that slots were taken or given back.

        :param difference: slots taken, negative where they were given back.
        :param now: the present instant.
        """
        self._average = self.average(now)
        self._updated_at = max(self._updated_at, now)
        self.busy += difference
