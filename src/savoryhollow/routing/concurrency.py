"""How many calls of each rank may be in progress through one front.

Each call in progress holds a thread of the front. Were all of them held by work
that waits, an urgent call would stand in the accept queue, where no rank
counts. Pure computation, without threads or clocks.
"""

import collections
import dataclasses

from savoryhollow.configuration import models

__all__ = ["ConcurrencyLimits", "RankKey"]

# Share of the threads that stays free to read and refuse.
REFUSAL_SHARE = 0.125
# Share of the other threads that is open to the least urgent rank.
MIN_RANK_SHARE = 0.5
# Share of the other threads that is kept for the floors of all ranks.
RESERVED_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RankKey:
    """One rank of one service."""

    service: str
    rank: str


@dataclasses.dataclass(frozen=True, slots=True)
class _RankLimit:
    """The limits of one rank.

    :param order: lower is more urgent.
    :param kept: calls that are kept for it, whatever else is in progress.
    :param ceiling: calls of its order or less urgent ones in progress at once.
    """

    order: int
    reserved: int
    max_in_progress: int


class ConcurrencyLimits:
    """Counts the calls in progress and says whether another may begin.

    Each rank has calls kept for it, by its floor. Beyond these, the less urgent
    a rank is, the fewer calls its order and those below may have in progress.

    :param threads: calls that can be in progress at one time.
    """

    def __init__(self, threads: int):
        self._usable = max(1, int(threads * (1 - REFUSAL_SHARE)))
        self._limits_by_key: dict[RankKey, _RankLimit] = {}
        self._counts_by_key: collections.Counter[RankKey] = collections.Counter()
        # Sums over the counts, kept along so that a call costs the same at any
        # number of ranks.
        self._counts_by_order: collections.Counter[int] = collections.Counter()
        self._in_progress = 0
        self._unused_reservations = 0

    @property
    def in_progress(self) -> int:
        """The number of calls in progress."""
        return self._in_progress

    def configure(self, configuration: models.Configuration) -> None:
        """Put a configuration in force; calls in progress go on."""
        orders = sorted(
            {r.order for s in configuration.services.values() for r in s.ranks.values()}
        )
        self._limits_by_key = {
            RankKey(service_name, name): _RankLimit(
                rank.order,
                int(service.share * rank.floor * RESERVED_SHARE * self._usable),
                _max_in_progress(self._usable, orders.index(rank.order), len(orders)),
            )
            for service_name, service in configuration.services.items()
            for name, rank in service.ranks.items()
        }
        self._counts_by_order.clear()
        for key, count in self._counts_by_key.items():
            self._counts_by_order[self._limit_of(key).order] += count
        self._unused_reservations = sum(
            self._unused_reservation(key) for key in self._limits_by_key
        )

    def try_acquire(self, key: RankKey) -> bool:
        """Note that a call begins, unless it must be refused.

        :param key: its service and rank.
        :returns: whether it may begin; one of an unknown rank may, as the
            router refuses it at once.
        """
        limit = self._limit_of(key)
        if not self._may_acquire(key, limit):
            return False
        self._update_counts(key, limit, 1)
        return True

    def release(self, key: RankKey) -> None:
        """Note that a call that began has ended."""
        self._update_counts(key, self._limit_of(key), -1)
        if not self._counts_by_key[key]:
            del self._counts_by_key[key]

    def _may_acquire(self, key: RankKey, limit: _RankLimit) -> bool:
        if self._counts_by_key[key] < limit.reserved:
            return True
        in_order_or_below = sum(
            count
            for order, count in self._counts_by_order.items()
            if order >= limit.order
        )
        if in_order_or_below >= limit.max_in_progress:
            return False
        return self._in_progress + self._unused_reservations < self._usable

    def _update_counts(self, key: RankKey, limit: _RankLimit, change: int) -> None:
        self._unused_reservations -= self._unused_reservation(key)
        self._counts_by_key[key] += change
        self._counts_by_order[limit.order] += change
        self._in_progress += change
        self._unused_reservations += self._unused_reservation(key)

    def _limit_of(self, key: RankKey) -> _RankLimit:
        return self._limits_by_key.get(key, _UNKNOWN_RANK_LIMIT)

    def _unused_reservation(self, key: RankKey) -> int:
        limit = self._limits_by_key.get(key)
        return 0 if limit is None else max(0, limit.reserved - self._counts_by_key[key])


# Calls of a rank that the configuration doesn't name are refused by the router.
_UNKNOWN_RANK_LIMIT = _RankLimit(order=-1, reserved=1 << 30, max_in_progress=0)


def _max_in_progress(usable: int, position: int, orders: int) -> int:
    """Return the ceiling of the order at a position, the most urgent at 0."""
    if orders == 1:
        return usable
    return int(usable * (1 - (1 - MIN_RANK_SHARE) * position / (orders - 1)))
