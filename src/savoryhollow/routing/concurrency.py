"""Limit the number of calls of each rank that are in progress in a front.

Each call in progress occupies a thread of the front. If waiting calls occupied all
threads, an urgent call would wait in the accept queue, which ignores ranks. This
module does no I/O and starts no threads.
"""

import collections
import dataclasses

from savoryhollow.configuration import models

__all__ = ["ConcurrencyLimits", "RankKey"]

# Share of the threads that is kept free for reading and refusing calls.
REFUSAL_SHARE = 0.125
# Share of the other threads that the least urgent rank may use.
LEAST_URGENT_SHARE = 0.5
# Share of the other threads that is reserved for the floors of all ranks.
RESERVED_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RankKey:
    """A rank of a service."""

    service: str
    rank: str


@dataclasses.dataclass(frozen=True, slots=True)
class _RankLimit:
    """The concurrency limits of one rank.

    :param order: order of the rank; lower is more urgent.
    :param reserved: number of calls that are always admitted for the rank, whatever
        else is in progress.
    :param max_in_progress: maximum number of calls in progress of this order and of
        less urgent orders together, beyond which only reserved calls may begin.
    """

    order: int
    reserved: int
    max_in_progress: int


class ConcurrencyLimits:
    """Counts the calls in progress and limits them by rank.

    Each rank has a number of calls reserved for it according to its floor. Beyond
    those, the less urgent a rank is, the fewer calls of its order and of less urgent
    orders may be in progress.

    :param threads: number of threads of the front, each of which handles one call.
    """

    def __init__(self, threads: int):
        self._usable = max(1, int(threads * (1 - REFUSAL_SHARE)))
        self._limits_by_key: dict[RankKey, _RankLimit] = {}
        self._counts_by_key: collections.Counter[RankKey] = collections.Counter()
        # Totals are updated with each call, so that the cost of a call doesn't grow
        # with the number of ranks.
        self._counts_by_order: collections.Counter[int] = collections.Counter()
        self._in_progress = 0
        self._unused_reservations = 0

    @property
    def in_progress(self) -> int:
        """Number of calls in progress."""
        return self._in_progress

    def configure(self, configuration: models.Configuration) -> None:
        """Apply a configuration; calls in progress are not affected."""
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
        """Count a call as in progress, unless its rank is at its limit.

        Calls of an unknown rank are always admitted, because the router refuses
        them at once.

        :param key: the service and rank of the call.
        :returns: True if the call may begin.
        """
        limit = self._limit_of(key)
        if not self._may_acquire(key, limit):
            return False
        self._update_counts(key, limit, 1)
        return True

    def release(self, key: RankKey) -> None:
        """Record the end of a call that was admitted by :meth:`try_acquire`."""
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


# Limit for ranks that aren't configured. The router refuses such calls.
_UNKNOWN_RANK_LIMIT = _RankLimit(order=-1, reserved=1 << 30, max_in_progress=0)


def _max_in_progress(usable: int, position: int, orders: int) -> int:
    """Return the limit of an order by its position, 0 for the most urgent."""
    if orders == 1:
        return usable
    return int(usable * (1 - (1 - LEAST_URGENT_SHARE) * position / (orders - 1)))
