"""The order in which waiting requests get the slots of a backend server.

Pure computation: no threads, sockets or clocks. The caller passes the instant.
"""

import itertools
import math

from savoryhollow import calls
from savoryhollow.admission import estimates, rank_queues

__all__ = ["AdmissionQueue"]

# Shortest and longest wait that a refused caller is told, in ms.
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 10_000


class AdmissionQueue:
    """Slots, and a bounded queue ordered by rank, caller and deadline.

    A free slot goes to the most urgent rank that holds less than its floor,
    else to the most urgent rank that has work.

    :param slots: requests that the backend server runs at one time.
    :param limit: requests that may wait.
    :param rules_by_rank: the rule of each rank.
    """

    def __init__(
        self, slots: int, limit: int, rules_by_rank: dict[str, rank_queues.RankRule]
    ):
        self.slots = slots
        self.limit = limit
        self.busy = 0
        self._service = estimates.ServiceTime()
        self._sequence = itertools.count()
        self._queues_by_rank: dict[str, rank_queues.RankQueue] = {}
        # Lanes that take requests in, the most urgent first.
        self._queues_by_order: list[rank_queues.RankQueue] = []
        self.configure(limit, rules_by_rank)

    @property
    def waiting_count(self) -> int:
        """The number of requests that wait."""
        return sum(queue.waiting_count for queue in self._queues_by_order)

    @property
    def queued_by_order(self) -> tuple[int, ...]:
        """The requests that wait at each order or before it."""
        return tuple(
            itertools.accumulate(queue.waiting_count for queue in self._queues_by_order)
        )

    @property
    def service_s(self) -> float:
        """The smoothed time that a request of any rank holds a slot, in s."""
        return self._service.mean_s

    def configure(
        self, limit: int, rules_by_rank: dict[str, rank_queues.RankRule]
    ) -> None:
        """Put new rules in force; requests inside keep their place.

        A rank that is gone takes in nothing more, and what waits in it is
        served after all others.

        :param limit: requests that may wait.
        :param rules_by_rank: the rule of each rank.
        """
        self.limit = limit
        for rank, rule in rules_by_rank.items():
            queue = self._queues_by_rank.setdefault(rank, rank_queues.RankQueue(rule))
            queue.rule = rule
        for rank in self._queues_by_rank.keys() - rules_by_rank.keys():
            queue = self._queues_by_rank[rank]
            queue.rule = rank_queues.RankRule(
                order=_REMOVED_RANK_ORDER, floor=0.0, worth=0.0
            )
            if not queue.waiting_count and not queue.occupancy.busy:
                del self._queues_by_rank[rank]
        self._queues_by_order = sorted(self._queues_by_rank.values(), key=_order)

    # -----------------------------------------------------------------------
    #   Arrivals
    # -----------------------------------------------------------------------

    def offer(self, entry: rank_queues.Entry, now: float) -> rank_queues.Entry | None:
        """Let a request wait, or turn one away.

        :param entry: the request.
        :param now: the present instant.
        :returns: the request that is turned away, its ``refusal`` set: this one,
            or one of lower worth whose place it takes; None where there is none.
        """
        queue = self._queues_by_rank.get(entry.rank)
        if queue is None or queue.rule.order == _REMOVED_RANK_ORDER:
            return _refuse(entry, calls.NotRunReason.UNKNOWN_RANK)
        if self.slots <= 0:
            return _refuse(entry, calls.NotRunReason.OVERLOADED)
        entry.sequence = next(self._sequence)
        entry.latest_start = entry.deadline - queue.service.conservative_s
        if now + self.expected_wait_s(entry, now) > entry.latest_start:
            return _refuse(entry, calls.NotRunReason.DEADLINE)
        victim = None
        if self.waiting_count >= self._waiting_capacity(self.busy):
            victim = self._shed_for(entry, queue)
            if victim is None:
                return _refuse(entry, calls.NotRunReason.QUEUE_FULL)
        queue.push(entry)
        return victim

    def _waiting_capacity(self, busy: int) -> int:
        # What gets a slot at once takes no place in the queue.
        return self.limit + max(0, self.slots - busy)

    def _shed_for(self, entry, queue) -> rank_queues.Entry | None:
        victim_queue = self._queue_to_shed_from(queue)
        if victim_queue is not None:
            victim = victim_queue.next_to_shed()
        elif queue.waiting_count and self._should_displace(entry, queue):
            victim_queue, victim = queue, queue.next_to_shed()
        else:
            return None
        victim_queue.remove(victim)
        return _refuse(victim, calls.NotRunReason.OVERLOADED)

    def _queue_to_shed_from(
        self, queue: rank_queues.RankQueue
    ) -> rank_queues.RankQueue | None:
        entitled = queue.waiting_count < self._reserved_places(queue)
        others = [
            other
            for other in self._queues_by_order
            if other is not queue
            and other.waiting_count > self._reserved_places(other)
            and (entitled or _shedding_key(other) < _shedding_key(queue))
        ]
        return min(others, key=_shedding_key, default=None)

    def _reserved_places(self, queue: rank_queues.RankQueue) -> int:
        return int(queue.rule.floor * self.limit)

    @staticmethod
    def _should_displace(
        entry: rank_queues.Entry, queue: rank_queues.RankQueue
    ) -> bool:
        """Say whether one caller has so many places that it gives one up."""
        most = queue.waiting_count_of(queue.next_to_shed().caller)
        return queue.waiting_count_of(entry.caller) + 1 < most

    # -----------------------------------------------------------------------
    #   Slots
    # -----------------------------------------------------------------------

    def take(self, now: float) -> rank_queues.Entry | None:
        """Give a free slot to the request that comes next.

        :param now: the present instant.
        :returns: an entry that now holds a slot, or whose deadline can't be
            met any more (its ``refusal`` set); None where nothing can be done.
        """
        if self.busy >= self.slots:
            return None
        queue = self._next_queue(now)
        if queue is None:
            return None
        entry = queue.pop()
        if now > entry.latest_start:
            queue.discard(entry)
            return _refuse(entry, calls.NotRunReason.DEADLINE)
        queue.record_start(entry, now)
        self.busy += 1
        return entry

    def _next_queue(self, now: float) -> rank_queues.RankQueue | None:
        waiting = [queue for queue in self._queues_by_order if queue.waiting_count]
        for queue in waiting:
            if queue.is_below_floor(self.slots, now):
                return queue
        return waiting[0] if waiting else None

    def withdraw(self, entry: rank_queues.Entry, reason: calls.NotRunReason) -> bool:
        """Take a waiting request out of the queue.

        :param entry: the request.
        :param reason: why it is turned away.
        :returns: whether it was waiting.
        """
        queue = self._queues_by_rank.get(entry.rank)
        if queue is None or not queue.remove(entry):
            return False
        _refuse(entry, reason)
        return True

    def release(self, entry: rank_queues.Entry, held_s: float, now: float) -> None:
        """Give a slot back.

        :param entry: the request that held it.
        :param held_s: how long it was held, in s.
        :param now: the present instant.
        """
        self.busy -= 1
        self._service.add(held_s)
        self._queues_by_rank[entry.rank].record_end(entry, held_s, now)

    def resize(self, slots: int) -> None:
        """Change the number of slots; requests that hold one keep it.

        :param slots: requests that the backend server runs from now on.
        """
        self.slots = slots

    # -----------------------------------------------------------------------
    #   Estimates
    # -----------------------------------------------------------------------

    def expected_wait_s(self, entry: rank_queues.Entry, now: float) -> float:
        """Return the time that a request would wait, in s.

        Only work that is served before it counts: that of more urgent ranks,
        what stands before it in its own, and the floors of less urgent ones.
        """
        if self.busy + self.waiting_count < self.slots:
            return 0.0
        if self.slots <= 0:
            return math.inf
        queue = self._queues_by_rank[entry.rank]
        own_s = queue.work_ahead_s(entry)
        higher = [
            other for other in self._queues_by_order if _order(other) < _order(queue)
        ]
        lower = [
            other for other in self._queues_by_order if _order(other) > _order(queue)
        ]
        higher_s = sum(other.waiting_work_s for other in higher)
        used = sum(other.occupancy.average(now) for other in higher) / self.slots
        kept = sum(other.rule.floor for other in lower if other.waiting_count)
        first_free_s = self.service_s / self.slots
        by_order_s = _drain_time_s(own_s + higher_s, self.slots * (1 - used - kept))
        # Above its floor, the rank has to wait for a service of its own to end.
        below = queue.is_below_floor(self.slots, now)
        turns_s = own_s if below else own_s + queue.service.mean_s
        by_floor_s = _drain_time_s(turns_s, self.slots * queue.rule.floor)
        return first_free_s + min(by_order_s, by_floor_s)

    def retry_after_ms(self, rank: str, now: float) -> int:
        """Return when a refused caller of a rank may come again, in ms."""
        if rank not in self._queues_by_rank:
            return MAX_RETRY_AFTER_MS
        entry = rank_queues.Entry("", rank, "", math.inf)
        wait_ms = 1000 * min(self.expected_wait_s(entry, now), 1e6)
        return max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, int(wait_ms)))


# Order of a rank that the rules no longer name.
_REMOVED_RANK_ORDER = 1_000_000


def _order(queue: rank_queues.RankQueue) -> int:
    return queue.rule.order


def _shedding_key(queue: rank_queues.RankQueue) -> tuple[float, int]:
    return (queue.rule.worth, -queue.rule.order)


def _drain_time_s(work_s: float, slots: float) -> float:
    return work_s / slots if slots > 0 else math.inf


def _refuse(entry: rank_queues.Entry, reason: calls.NotRunReason) -> rank_queues.Entry:
    entry.refusal = reason
    return entry
