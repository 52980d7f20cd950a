"""A budget of retries that every daemon keeps its part of, without shared state.

Over any window, all daemons together may repeat a ratio of the requests plus some
slack. Each spends a part of the ratio of what it sent itself, and of an equal share
of the slack; the rest is left to the calls that a repeated request makes again, which
count as repeats at the services called. One that restarts begins with nothing, and
its share of the slack grows over a window, so restarts never add to the sum.

Pure computation: the caller passes the instant.
"""

import collections

__all__ = ["SharedRetryBudget"]


# Part of the budget that requests are repeated by.
DIRECT_SHARE = 0.5


class SharedRetryBudget:
    """The repeats that this process may still send for one service.

    :param ratio: repeats allowed for each first attempt.
    :param slack: repeats allowed besides, over all daemons in one window.
    :param window_s: the length of the window, in s.
    :param started: the instant at which the process began.
    """

    def __init__(self, ratio: float, slack: float, window_s: float, started: float):
        self._started = started
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self._first_attempts_at: collections.deque[float] = collections.deque()
        self._retries_at: collections.deque[float] = collections.deque()

    def record_first_attempt(self, now: float) -> None:
        """Note a first attempt."""
        self._first_attempts_at.append(now)

    def take_retry(self, now: float, daemons: int) -> bool:
        """Take one repeat, if there is one.

        :param now: the present instant.
        :param daemons: how many daemons share the slack, this one included.
        """
        if self.remaining(now, daemons) < 1.0:
            return False
        self._retries_at.append(now)
        return True

    def remaining(self, now: float, daemons: int) -> float:
        """Return the repeats that may be sent now."""
        since = now - self.window_s
        for times in (self._first_attempts_at, self._retries_at):
            while times and times[0] <= since:
                times.popleft()
        grown = min(1.0, (now - self._started) / self.window_s)
        share = grown * self.slack / max(1, daemons)
        allowed = DIRECT_SHARE * (self.ratio * len(self._first_attempts_at) + share)
        return allowed - len(self._retries_at)
