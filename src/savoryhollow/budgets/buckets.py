"""Token buckets that hold one process's share of a budget.

A share is the budget divided by a number that the configuration sets and every
process knows alike, not by a count of a list: lists lag and differ, and shares
worked out from them would add up to more than the budget.
"""

__all__ = ["TokenBucket", "share_of"]

# Time over which an unused share is saved up, in s.
BURST_S = 1.0


def share_of(budget_per_s: float, max_processes: int) -> float:
    """Return one process's share of a budget.

    :param budget_per_s: the budget of all processes, in units per second.
    :param holders_at_most: how many processes ever spend at one time.
    :returns: the share, in units per second.
    """
    return budget_per_s / max(1, max_processes)


class TokenBucket:
    """Allows spending at a rate, with a bounded burst.

    It starts empty, so that a process that is replaced can't spend twice, and
    saves at most ``SAVED_S`` of its rate, however long the process sleeps. What
    is settled later on is made up for before anything more is allowed. The
    caller takes care that one thread at a time uses it.

    :param rate_per_s: units that may be spent per second.
    :param now: the present instant.
    """

    def __init__(self, rate_per_s: float, now: float):
        self.rate_per_s = rate_per_s
        self.spent = 0.0
        self._tokens = 0.0
        self._refilled_at = now

    @property
    def capacity(self) -> float:
        """The most that is saved."""
        return self.rate_per_s * BURST_S

    def can_spend(self, amount: float, now: float) -> bool:
        """Say whether an amount may be spent now.

        An amount beyond the capacity may be spent by a full bucket, which then
        owes the rest; otherwise it could never be spent.

        :param amount: the units to spend.
        :param now: the present instant.
        """
        self._refill(now)
        return self.rate_per_s > 0 and self._tokens >= min(amount, self.capacity)

    def spend(self, amount: float, now: float) -> None:
        """Take an amount out, or give some back where it is negative.

        :param amount: the units.
        :param now: the present instant.
        """
        self._refill(now)
        self._tokens = min(self.capacity, self._tokens - amount)
        self.spent += amount

    def change_rate(self, rate_per_s: float, now: float) -> None:
        """Change the rate; what is saved is cut to the new capacity.

        :param rate_per_s: the new rate.
        :param now: the present instant.
        """
        self._refill(now)
        self.rate_per_s = rate_per_s
        self._tokens = min(self._tokens, self.capacity)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(self._refilled_at, now)
        self._tokens = min(self.capacity, self._tokens + elapsed * self.rate_per_s)
