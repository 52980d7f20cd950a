"""Retry budget that is divided among the daemons without shared state.

In any window, all daemons together may retry a share (``ratio``) of the requests, plus
a fixed number (``slack``). The part of one daemon is the ratio of its own first
attempts and an equal share of the slack. It spends only ``DIRECT_SHARE`` of its part,
and leaves the rest for the nested calls that a retried request makes again, which count
as retries at the services called.
A restarted daemon starts with an empty budget and its share of the slack grows over one
window, so that restarts never add retries.

Pure computation: the caller passes the current time.
"""

import collections

__all__ = ["SharedRetryBudget"]


# Share of the budget for the retries themselves; the rest is for their nested calls.
DIRECT_SHARE = 0.5


class SharedRetryBudget:
    """The retries that this process may send for one service.

    :param ratio: retries allowed per first attempt.
    :param slack: additional retries allowed to all daemons together in one window.
    :param window_s: the length of the window, in s.
    :param started: the time at which the process started.
    """

    def __init__(self, ratio: float, slack: float, window_s: float, started: float):
        self._started = started
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self._first_attempts_at: collections.deque[float] = collections.deque()
        self._retries_at: collections.deque[float] = collections.deque()

    def record_first_attempt(self, now: float) -> None:
        """Record a first attempt."""
        self._first_attempts_at.append(now)

    def take_retry(self, now: float, daemons: int) -> bool:
        """Take one retry from the budget.

        :param now: the current time.
        :param daemons: the number of daemons that share the slack, including this one.
        :returns: True if a retry was left.
        """
        if self.remaining(now, daemons) < 1.0:
            return False
        self._retries_at.append(now)
        return True

    def remaining(self, now: float, daemons: int) -> float:
        """Return the number of retries that may be sent now."""
        since = now - self.window_s
        for times in (self._first_attempts_at, self._retries_at):
            while times and times[0] <= since:
                times.popleft()
        growth = min(1.0, (now - self._started) / self.window_s)
        own_slack = growth * self.slack / max(1, daemons)
        allowed = DIRECT_SHARE * (self.ratio * len(self._first_attempts_at) + own_slack)
        return allowed - len(self._retries_at)
