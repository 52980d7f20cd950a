"""The order in which waiting requests get the slots of a backend server.

Pure computation: no threads, sockets or clocks. The caller passes the instant.
"""

import itertools
import math

from savoryhollow import calls
from savoryhollow.admission import estimates, lanes

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
        self, slots: int, limit: int, rules_by_rank: dict[str, lanes.RankRule]
    ):
        self.slots = slots
        self.limit = limit
        self.busy = 0
        self._service = estimates.ServiceTime()
        self._sequence = itertools.count()
        self._lanes_by_rank: dict[str, lanes.RankLane] = {}
        # Lanes that take requests in, the most urgent first.
        self._open: list[lanes.RankLane] = []
        self.configure(limit, rules_by_rank)

    @property
    def waiting(self) -> int:
        """The number of requests that wait."""
        return sum(lane.waiting for lane in self._open)

    @property
    def queued_by_order(self) -> tuple[int, ...]:
        """The requests that wait at each order or before it."""
        return tuple(itertools.accumulate(lane.waiting for lane in self._open))

    @property
    def service_s(self) -> float:
        """The smoothed time that a request of any rank holds a slot, in s."""
        return self._service.mean_s

    def configure(self, limit: int, rules_by_rank: dict[str, lanes.RankRule]) -> None:
        """Put new rules in force; requests inside keep their place.

        A rank that is gone takes in nothing more, and what waits in it is
        served after all others.

        :param limit: requests that may wait.
        :param rules_by_rank: the rule of each rank.
        """
        self.limit = limit
        for rank, rule in rules_by_rank.items():
            lane = self._lanes_by_rank.setdefault(rank, lanes.RankLane(rule))
            lane.rule = rule
        for rank in self._lanes_by_rank.keys() - rules_by_rank.keys():
            lane = self._lanes_by_rank[rank]
            lane.rule = lanes.RankRule(order=_LAST_ORDER, floor=0.0, worth=0.0)
            if not lane.waiting and not lane.occupancy.busy:
                del self._lanes_by_rank[rank]
        self._open = sorted(self._lanes_by_rank.values(), key=_order)

    # -----------------------------------------------------------------------
    #   Arrivals
    # -----------------------------------------------------------------------

    def offer(self, entry: lanes.Entry, now: float) -> lanes.Entry | None:
        """Let a request wait, or turn one away.

        :param entry: the request.
        :param now: the present instant.
        :returns: the request that is turned away, its ``refusal`` set: this one,
            or one of lower worth whose place it takes; None where there is none.
        """
        lane = self._lanes_by_rank.get(entry.rank)
        if lane is None or lane.rule.order == _LAST_ORDER:
            return _refuse(entry, calls.NotRunReason.UNKNOWN_RANK)
        if self.slots <= 0:
            return _refuse(entry, calls.NotRunReason.OVERLOADED)
        entry.sequence = next(self._sequence)
        entry.latest_start = entry.deadline - lane.service.safe_s
        if now + self.expected_wait(entry, now) > entry.latest_start:
            return _refuse(entry, calls.NotRunReason.DEADLINE)
        victim = None
        if self.waiting >= self._places(self.busy):
            victim = self._shed_for(entry, lane)
            if victim is None:
                return _refuse(entry, calls.NotRunReason.QUEUE_FULL)
        lane.push(entry)
        return victim

    def _places(self, busy: int) -> int:
        # What gets a slot at once takes no place in the queue.
        return self.limit + max(0, self.slots - busy)

    def _shed_for(self, entry, lane) -> lanes.Entry | None:
        victim_lane = self._lane_to_shed(lane)
        if victim_lane is not None:
            victim = victim_lane.last()
        elif lane.waiting and self._crowds_out(entry, lane):
            victim_lane, victim = lane, lane.last()
        else:
            return None
        victim_lane.remove(victim)
        return _refuse(victim, calls.NotRunReason.OVERLOADED)

    def _lane_to_shed(self, lane: lanes.RankLane) -> lanes.RankLane | None:
        entitled = lane.waiting < self._kept_places(lane)
        others = [
            other
            for other in self._open
            if other is not lane
            and other.waiting > self._kept_places(other)
            and (entitled or _worth(other) < _worth(lane))
        ]
        return min(others, key=_worth, default=None)

    def _kept_places(self, lane: lanes.RankLane) -> int:
        return int(lane.rule.floor * self.limit)

    @staticmethod
    def _crowds_out(entry: lanes.Entry, lane: lanes.RankLane) -> bool:
        """Say whether one caller has so many places that it gives one up."""
        most = lane.waiting_of(lane.last().caller)
        return lane.waiting_of(entry.caller) + 1 < most

    # -----------------------------------------------------------------------
    #   Slots
    # -----------------------------------------------------------------------

    def take(self, now: float) -> lanes.Entry | None:
        """Give a free slot to the request that comes next.

        :param now: the present instant.
        :returns: an entry that now holds a slot, or whose deadline can't be
            met any more (its ``refusal`` set); None where nothing can be done.
        """
        if self.busy >= self.slots:
            return None
        lane = self._next_lane(now)
        if lane is None:
            return None
        entry = lane.pop()
        if now > entry.latest_start:
            lane.forget(entry)
            return _refuse(entry, calls.NotRunReason.DEADLINE)
        lane.begin(entry, now)
        self.busy += 1
        return entry

    def _next_lane(self, now: float) -> lanes.RankLane | None:
        waiting = [lane for lane in self._open if lane.waiting]
        for lane in waiting:
            if lane.below_floor(self.slots, now):
                return lane
        return waiting[0] if waiting else None

    def withdraw(self, entry: lanes.Entry, reason: calls.NotRunReason) -> bool:
        """Take a waiting request out of the queue.

        :param entry: the request.
        :param reason: why it is turned away.
        :returns: whether it was waiting.
        """
        lane = self._lanes_by_rank.get(entry.rank)
        if lane is None or not lane.remove(entry):
            return False
        _refuse(entry, reason)
        return True

    def release(self, entry: lanes.Entry, held_s: float, now: float) -> None:
        """Give a slot back.

        :param entry: the request that held it.
        :param held_s: how long it was held, in s.
        :param now: the present instant.
        """
        self.busy -= 1
        self._service.add(held_s)
        self._lanes_by_rank[entry.rank].end(entry, held_s, now)

    def resize(self, slots: int) -> None:
        """Change the number of slots; requests that hold one keep it.

        :param slots: requests that the backend server runs from now on.
        """
        self.slots = slots

    # -----------------------------------------------------------------------
    #   Estimates
    # -----------------------------------------------------------------------

    def expected_wait(self, entry: lanes.Entry, now: float) -> float:
        """Return the time that a request would wait, in s.

        Only work that is served before it counts: that of more urgent ranks,
        what stands before it in its own, and the floors of less urgent ones.
        """
        if self.busy + self.waiting < self.slots:
            return 0.0
        if self.slots <= 0:
            return math.inf
        lane = self._lanes_by_rank[entry.rank]
        own_s = lane.work_ahead(entry)
        higher = [other for other in self._open if _order(other) < _order(lane)]
        lower = [other for other in self._open if _order(other) > _order(lane)]
        higher_s = sum(other.work_s for other in higher)
        used = sum(other.occupancy.average(now) for other in higher) / self.slots
        kept = sum(other.rule.floor for other in lower if other.waiting)
        first_free_s = self.service_s / self.slots
        by_order_s = _time(own_s + higher_s, self.slots * (1 - used - kept))
        # Above its floor, the rank has to wait for a service of its own to end.
        below = lane.below_floor(self.slots, now)
        turns_s = own_s if below else own_s + lane.service.mean_s
        by_floor_s = _time(turns_s, self.slots * lane.rule.floor)
        return first_free_s + min(by_order_s, by_floor_s)

    def retry_after_ms(self, rank: str, now: float) -> int:
        """Return when a refused caller of a rank may come again, in ms."""
        if rank not in self._lanes_by_rank:
            return MAX_RETRY_AFTER_MS
        entry = lanes.Entry("", rank, "", math.inf)
        wait_ms = 1000 * min(self.expected_wait(entry, now), 1e6)
        return max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, int(wait_ms)))


# Order of a rank that the rules no longer name.
_LAST_ORDER = 1_000_000


def _order(lane: lanes.RankLane) -> int:
    return lane.rule.order


def _worth(lane: lanes.RankLane) -> tuple[float, int]:
    return (lane.rule.worth, -lane.rule.order)


def _time(work_s: float, slots: float) -> float:
    return work_s / slots if slots > 0 else math.inf


def _refuse(entry: lanes.Entry, reason: calls.NotRunReason) -> lanes.Entry:
    entry.refusal = reason
    return entry
