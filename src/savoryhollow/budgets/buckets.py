"""Token buckets that hold one process's share of a budget.

A share is the budget divided by a number of processes that the configuration sets, so
that it is the same for every process. The number of listed endpoints would not do:
lists lag and differ between processes, so shares computed from them would add up to
more than the budget.
"""

__all__ = ["TokenBucket", "share_of"]

# Time over which an unused share accumulates, in s.
BURST_S = 1.0


def share_of(budget_per_s: float, max_processes: int) -> float:
    """Return one process's share of a budget.

    :param budget_per_s: the budget of all processes, in units per second.
    :param max_processes: the maximum number of processes that share the budget.
    :returns: the share, in units per second.
    """
    return budget_per_s / max(1, max_processes)


class TokenBucket:
    """Limits spending to a rate, with a bounded burst.

    The bucket starts empty, so that a restarted process can't spend its share twice.
    It holds the tokens of at most ``BURST_S``, however long the process is paused.
    Spending more than it holds makes the balance negative, and nothing can be spent
    until the debt is made up for. The class is not thread-safe.

    :param rate_per_s: units that may be spent per second.
    :param now: the current time.
    """

    def __init__(self, rate_per_s: float, now: float):
        self.rate_per_s = rate_per_s
        self.spent = 0.0
        self._tokens = 0.0
        self._refilled_at = now

    @property
    def capacity(self) -> float:
        """The maximum number of tokens."""
        return self.rate_per_s * BURST_S

    def can_spend(self, amount: float, now: float) -> bool:
        """Return True if an amount may be spent now.

        An amount above the capacity may be spent from a full bucket, which leaves it
        in debt; otherwise such an amount could never be spent.

        :param amount: the units to spend.
        :param now: the current time.
        """
        self._refill(now)
        return self.rate_per_s > 0 and self._tokens >= min(amount, self.capacity)

    def spend(self, amount: float, now: float) -> None:
        """Spend an amount without a check; a negative amount is refunded.

        :param amount: the units to spend.
        :param now: the current time.
        """
        self._refill(now)
        self._tokens = min(self.capacity, self._tokens - amount)
        self.spent += amount

    def change_rate(self, rate_per_s: float, now: float) -> None:
        """Change the rate; tokens above the new capacity are dropped.

        :param rate_per_s: the new rate, in units per second.
        :param now: the current time.
        """
        self._refill(now)
        self.rate_per_s = rate_per_s
        self._tokens = min(self._tokens, self.capacity)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(self._refilled_at, now)
        self._tokens = min(self.capacity, self._tokens + elapsed * self.rate_per_s)
