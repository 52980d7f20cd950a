"""Admission queue that assigns the slots of a backend server to requests.

Pure computation without threads, sockets or clocks: the caller passes the current
time.
"""

import itertools
import math

from savoryhollow import calls
from savoryhollow.admission import estimates, rank_queues

__all__ = ["AdmissionQueue"]

# Bounds of the retry delay returned to a refused caller, in ms.
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 10_000


class AdmissionQueue:
    """The slots of a backend server, and a bounded queue of waiting requests.

    A free slot goes to the most urgent rank that is below its floor and has
    waiting requests, otherwise to the most urgent rank that has any.

    :param slots: the number of requests that may run at the same time.
    :param limit: the maximum number of waiting requests.
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
        # The most urgent rank comes first; removed ranks come last.
        self._queues_by_order: list[rank_queues.RankQueue] = []
        self.configure(limit, rules_by_rank)

    @property
    def waiting_count(self) -> int:
        """The number of waiting requests."""
        return sum(queue.waiting_count for queue in self._queues_by_order)

    @property
    def queued_by_order(self) -> tuple[int, ...]:
        """Requests waiting in each rank or a more urgent one, the most urgent first."""
        return tuple(
            itertools.accumulate(queue.waiting_count for queue in self._queues_by_order)
        )

    @property
    def service_s(self) -> float:
        """The average service time of requests of all ranks, in s."""
        return self._service.mean_s

    def configure(
        self, limit: int, rules_by_rank: dict[str, rank_queues.RankRule]
    ) -> None:
        """Apply new rules; requests in the queue keep their place.

        A rank that the rules no longer name accepts no more requests, and those
        that wait in it are served after all others.

        :param limit: the maximum number of waiting requests.
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
        """Add a request to the queue, or refuse one.

        :param entry: the request.
        :param now: the current time.
        :returns: the refused request with its ``refusal`` set: this request, or a
            waiting one that it displaces, because that one is worth less or its rank
            or caller has more than its share of the places; None if none is refused.
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
        # Requests that get a free slot at once don't count against the limit.
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
        has_reserved_place = queue.waiting_count < self._reserved_places(queue)
        candidates = [
            other
            for other in self._queues_by_order
            if other is not queue
            and other.waiting_count > self._reserved_places(other)
            and (has_reserved_place or _shedding_key(other) < _shedding_key(queue))
        ]
        return min(candidates, key=_shedding_key, default=None)

    def _reserved_places(self, queue: rank_queues.RankQueue) -> int:
        return int(queue.rule.floor * self.limit)

    @staticmethod
    def _should_displace(
        entry: rank_queues.Entry, queue: rank_queues.RankQueue
    ) -> bool:
        """Return True if the caller with the most waiting requests should lose one."""
        most = queue.waiting_count_of(queue.next_to_shed().caller)
        return queue.waiting_count_of(entry.caller) + 1 < most

    # -----------------------------------------------------------------------
    #   Slots
    # -----------------------------------------------------------------------

    def take(self, now: float) -> rank_queues.Entry | None:
        """Remove the next request from the queue and give it a free slot.

        :param now: the current time.
        :returns: an entry that now holds a slot, or one that is refused because it
            missed its latest start and has its ``refusal`` set; None if no slot is
            free or no request waits.
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
        nonempty = [queue for queue in self._queues_by_order if queue.waiting_count]
        for queue in nonempty:
            if queue.is_below_floor(self.slots, now):
                return queue
        return nonempty[0] if nonempty else None

    def withdraw(self, entry: rank_queues.Entry, reason: calls.NotRunReason) -> bool:
        """Remove a waiting request from the queue.

        :param entry: the request.
        :param reason: why the request is refused.
        :returns: True if it was waiting.
        """
        queue = self._queues_by_rank.get(entry.rank)
        if queue is None or not queue.remove(entry):
            return False
        _refuse(entry, reason)
        return True

    def release(self, entry: rank_queues.Entry, held_s: float, now: float) -> None:
        """Release a slot.

        :param entry: the request that held it.
        :param held_s: how long it was held, in s.
        :param now: the current time.
        """
        self.busy -= 1
        self._service.add(held_s)
        self._queues_by_rank[entry.rank].record_end(entry, held_s, now)

    def resize(self, slots: int) -> None:
        """Change the number of slots; requests that hold a slot keep it.

        :param slots: the number of requests that may run at the same time.
        """
        self.slots = slots

    # -----------------------------------------------------------------------
    #   Estimates
    # -----------------------------------------------------------------------

    def expected_wait_s(self, entry: rank_queues.Entry, now: float) -> float:
        """Return the expected time until a request gets a slot, in s.

        Only work served before it counts: the requests of more urgent ranks, those
        ahead of it in its own rank, and the floors of less urgent ranks.

        :param entry: the request.
        :param now: the current time.
        """
        if self.busy + self.waiting_count < self.slots:
            return 0.0
        if self.slots <= 0:
            return math.inf
        queue = self._queues_by_rank[entry.rank]
        own_s = queue.work_ahead_s(entry)
        more_urgent = [
            other for other in self._queues_by_order if _order(other) < _order(queue)
        ]
        less_urgent = [
            other for other in self._queues_by_order if _order(other) > _order(queue)
        ]
        more_urgent_s = sum(other.waiting_work_s for other in more_urgent)
        used_share = (
            sum(other.occupancy.average(now) for other in more_urgent) / self.slots
        )
        reserved_share = sum(
            other.rule.floor for other in less_urgent if other.waiting_count
        )
        next_free_s = self.service_s / self.slots
        wait_by_order_s = _drain_time_s(
            own_s + more_urgent_s, self.slots * (1 - used_share - reserved_share)
        )
        # A rank that holds its floor has to wait until one of its requests ends.
        below = queue.is_below_floor(self.slots, now)
        work_at_floor_s = own_s if below else own_s + queue.service.mean_s
        wait_at_floor_s = _drain_time_s(work_at_floor_s, self.slots * queue.rule.floor)
        return next_free_s + min(wait_by_order_s, wait_at_floor_s)

    def retry_after_ms(self, rank: str, now: float) -> int:
        """Return the time after which a refused request may be retried, in ms."""
        if rank not in self._queues_by_rank:
            return MAX_RETRY_AFTER_MS
        entry = rank_queues.Entry("", rank, "", math.inf)
        wait_ms = 1000 * min(self.expected_wait_s(entry, now), 1e6)
        return max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, int(wait_ms)))


# Order of a rank that the rules no longer name; it sorts after all others.
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
