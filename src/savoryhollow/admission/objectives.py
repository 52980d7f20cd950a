"""Admission queue that orders requests by rank and by latency objective.

The answer to a request is of full use until its objective and of little use after
it. Requests that can still meet their objective are therefore served first, by rank;
the others get the slots that remain, and are refused once it shows that these won't
suffice before their deadline. Nested requests, for which a running request
waits, are served before other requests of their rank, because the request that waits
holds a slot meanwhile.

The pace of a backend server is its current service time relative to the usual one: 1
is usual, and at 2 everything takes twice as long. A slow spell is a short time at a
slow pace; a request that would run long may wait for its end.

Pure computation: the caller passes the current time.
"""

import collections
import dataclasses
import enum
import math

from savoryhollow.admission import estimates

__all__ = ["ObjectiveQueue", "QueueEntry", "Refusal"]

# Service time assumed before the first sample of a rank, as a share of the time until
# the objective or the deadline of the request, whichever is sooner.
INITIAL_SERVICE_SHARE = 0.3
# Share of its expected service time that a request needs before its deadline to start.
MIN_SERVICE_SHARE = 0.8
# A pace counts as slow from this multiple of the baseline pace.
SLOW_RATIO = 1.5
# Time over which the fastest pace is taken as the baseline, in s.
PACE_WINDOW_S = 1.5
# Upper limit of the baseline pace. It is above 1 because a backend server that has
# just started is slower, which is not a slow spell.
MAX_BASELINE_PACE = 2.0
# Extra service time at a slow pace from which a request waits instead of starting, in
# s. It is about the time that a slow spell still lasts when a request meets it.
MIN_DEFER_COST_S = 0.12
# Time after which a slowdown is lasting and no request waits for its end, in s.
MAX_SPELL_S = 0.7
# Time without a pace reading after which a slow reading starts a new spell, in s.
MAX_READING_GAP_S = 0.35
# Pace from which requests avoid an instance whose lasting slowdown would make them
# late. It is above 2 because an instance that has just started takes twice as long, and
# after a restart so do all the others.
LASTING_SLOW_PACE = 3.0
# Waiting requests per slot above which the least urgent request is refused.
MAX_WAITING_PER_SLOT = 8

# Time over which starts of requests that meet their objective are counted, in s.
START_RATE_WINDOW_S = 1.0
# Interval of the checks for late requests that won't get a slot, in s.
STARVATION_CHECK_INTERVAL_S = 0.05


class Refusal(enum.Enum):
    """The reason why a request was refused."""

    TOO_LATE = "too-late"
    FULL = "full"
    LEAVING = "leaving"


@dataclasses.dataclass(slots=True, eq=False)
class QueueEntry:
    """A request that waits for a slot or holds one.

    :param rank: the rank, by which service times are averaged.
    :param order: the priority of the rank; 0 is the most urgent.
    :param is_nested: True if a running request waits for the answer.
    :param objective: the time until which the answer is of full use.
    :param deadline: the time after which the answer is of no use.
    :param expected_service_s: the expected service time at the usual pace, in s.
    :param refusal: why the request was refused; None if it was not.
    """

    rank: str
    order: int
    is_nested: bool
    objective: float
    deadline: float
    expected_service_s: float = 0.0
    refusal: Refusal | None = None

    @property
    def latest_start(self) -> float:
        """The time after which the request is not started any more."""
        return self.deadline - MIN_SERVICE_SHARE * self.expected_service_s

    def sort_key(self, now: float) -> tuple[bool, int, bool, float]:
        """Return the key by which waiting requests are sorted, the next one first."""
        late = self.is_late(now)
        return (late, self.order, not self.is_nested, self.objective)

    def is_late(self, now: float) -> bool:
        """Return True if the request would miss its objective if it started now."""
        return now + self.expected_service_s > self.objective


class ObjectiveQueue:
    """The slots of a backend server, and the requests that wait for them.

    :param slots: the number of requests that may run at the same time.
    :param nested_slots: additional slots that only nested requests may take.
    """

    def __init__(self, slots: int, nested_slots: int):
        self.slots = slots
        self.nested_slots = nested_slots
        self.busy = 0
        self.waiting: list[QueueEntry] = []
        self.pace = 1.0
        self._slow_since: float | None = None
        self._last_slow_at = float("-inf")
        self._recent_paces: collections.deque[tuple[float, float]] = collections.deque()
        self._starts_in_time = estimates.RecentCount(START_RATE_WINDOW_S)
        self._starvation_check_due_at = float("-inf")
        self._service_times_by_rank: dict[str, estimates.ServiceTime] = {}
        self._overall_service_time: estimates.ServiceTime | None = None

    @property
    def service_s(self) -> float:
        """The average service time of requests of all ranks, in s; 0 if unknown."""
        overall = self._overall_service_time
        return 0.0 if overall is None else overall.mean_s

    def estimate_service_s(self, entry: QueueEntry, now: float) -> float:
        """Return the expected service time of a request, in s."""
        service_time = self._service_times_by_rank.get(entry.rank)
        if service_time is not None:
            return service_time.mean_s
        remaining_s = min(entry.objective, entry.deadline) - now
        return (
            INITIAL_SERVICE_SHARE * remaining_s if math.isfinite(remaining_s) else 0.0
        )

    # -----------------------------------------------------------------------
    #   Changes
    # -----------------------------------------------------------------------

    def offer(self, entry: QueueEntry, now: float) -> list[QueueEntry]:
        """Add a request to the queue, or refuse one.

        :param entry: the request.
        :param now: the current time.
        :returns: the refused requests with their ``refusal`` set: this request, or
            the least urgent one if too many wait; empty if none is refused.
        """
        entry.expected_service_s = self.estimate_service_s(entry, now)
        latest_start = (
            entry.deadline
            - MIN_SERVICE_SHARE * self.lasting_pace(now) * entry.expected_service_s
        )
        if now + self.expected_wait_s(entry, now) > latest_start:
            entry.refusal = Refusal.TOO_LATE
            return [entry]
        self.waiting.append(entry)
        if len(self.waiting) <= MAX_WAITING_PER_SLOT * max(1, self.slots):
            return []
        least_urgent = max(self.waiting, key=lambda other: other.sort_key(now))
        self.waiting.remove(least_urgent)
        least_urgent.refusal = Refusal.FULL
        return [least_urgent]

    def take(self, now: float) -> QueueEntry | None:
        """Remove the next request from the queue and give it a free slot.

        :param now: the current time.
        :returns: the request that now holds a slot; None if no slot is free for the
            waiting requests or all of them wait for the end of a slow spell.
        """
        free = self.slots - self.busy
        if free + self.nested_slots <= 0:
            return None
        ready = [entry for entry in self.waiting if not self.should_defer(entry, now)]
        if free <= 0:
            ready = [entry for entry in ready if entry.is_nested]
        if not ready:
            return None
        next_entry = min(ready, key=lambda entry: entry.sort_key(now))
        self.waiting.remove(next_entry)
        self.busy += 1
        if not next_entry.is_late(now):
            self._starts_in_time.add(now)
        return next_entry

    def expire(self, now: float) -> list[QueueEntry]:
        """Remove and return the requests that missed their latest start, or will.

        :param now: the current time.
        :returns: the removed requests with their ``refusal`` set.
        """
        expired = [entry for entry in self.waiting if entry.latest_start < now]
        self._refuse_waiting(expired)
        if now < self._starvation_check_due_at:
            return expired
        self._starvation_check_due_at = now + STARVATION_CHECK_INTERVAL_S
        starved = self._find_starved(now)
        self._refuse_waiting(starved)
        return expired + starved

    def _refuse_waiting(self, entries: list[QueueEntry]) -> None:
        for entry in entries:
            self.waiting.remove(entry)
            entry.refusal = Refusal.TOO_LATE

    def _find_starved(self, now: float) -> list[QueueEntry]:
        """Return the late requests that won't get one of the slots that remain.

        Later requests that meet their objective overtake them, so what remains is
        estimated by the recent rate of these.
        """
        if self.busy < self.slots or not self.service_s:
            return []
        starts_per_s = self.slots / (self.service_s * max(1.0, self.pace))
        remaining_per_s = starts_per_s - self._starts_in_time.rate_per_s(now)
        starved: list[QueueEntry] = []
        ahead = 0
        for entry in sorted(self.waiting, key=lambda entry: entry.sort_key(now)):
            if not entry.is_late(now):
                continue
            if ahead >= remaining_per_s * (entry.latest_start - now):
                starved.append(entry)
            else:
                ahead += 1
        return starved

    def withdraw(self, entry: QueueEntry) -> bool:
        """Remove a waiting request; return True if it was waiting."""
        if entry not in self.waiting:
            return False
        self.waiting.remove(entry)
        return True

    def release(self, rank: str, held_s: float | None) -> None:
        """Release a slot.

        :param rank: the rank of the request that held it.
        :param held_s: the service time at the usual pace, in s; None if the time is
            not a valid sample.
        """
        self.busy -= 1
        if held_s is None:
            return
        if rank not in self._service_times_by_rank:
            self._service_times_by_rank[rank] = estimates.ServiceTime(held_s)
        self._service_times_by_rank[rank].add(held_s)
        if self._overall_service_time is None:
            self._overall_service_time = estimates.ServiceTime(held_s)
        self._overall_service_time.add(held_s)

    def resize(self, slots: int, nested_slots: int) -> None:
        """Change the number of slots; requests that hold a slot keep it.

        :param slots: the number of requests that may run at the same time.
        :param nested_slots: additional slots that only nested requests may take.
        """
        self.slots = slots
        self.nested_slots = nested_slots

    # -----------------------------------------------------------------------
    #   Pace
    # -----------------------------------------------------------------------

    def record_pace(self, pace: float, now: float) -> None:
        """Record the current pace of the backend server.

        :param pace: the pace; 1 is usual, higher is slower.
        :param now: the current time.
        """
        self.pace = pace
        self._recent_paces.append((now, pace))
        while self._recent_paces[0][0] < now - PACE_WINDOW_S:
            self._recent_paces.popleft()
        if pace < SLOW_RATIO * self.baseline_pace:
            self._slow_since = None
            return
        if self._slow_since is None or self._starts_new_spell(now):
            self._slow_since = now
        self._last_slow_at = now

    def _starts_new_spell(self, now: float) -> bool:
        """Return True if a slow reading belongs to a new spell."""
        assert self._slow_since is not None
        lasted = self._last_slow_at - self._slow_since > MAX_SPELL_S
        return not lasted and now - self._last_slow_at > MAX_READING_GAP_S

    @property
    def baseline_pace(self) -> float:
        """The fastest recent pace, at most ``MAX_BASELINE_PACE``; 1 is usual."""
        return min([MAX_BASELINE_PACE, *(pace for _, pace in self._recent_paces)])

    def is_in_spell(self, now: float) -> bool:
        """Return True if the pace is slow now and expected to recover soon."""
        return self._slow_since is not None and now - self._slow_since <= MAX_SPELL_S

    def lasting_pace(self, now: float) -> float:
        """Return the pace of a lasting slowdown; 1 if there is none."""
        is_lasting = self.pace >= LASTING_SLOW_PACE and not self.is_in_spell(now)
        return self.pace if is_lasting else 1.0

    def would_miss_objective(self, entry: QueueEntry, now: float) -> bool:
        """Return True if a lasting slowdown would make a request miss its objective."""
        pace = self.lasting_pace(now)
        return pace > 1.0 and now + pace * entry.expected_service_s > entry.objective

    def should_defer(self, entry: QueueEntry, now: float) -> bool:
        """Return True if a request should wait for the end of a slow spell.

        A request keeps the pace at which it starts. A long request that starts in a
        slow spell therefore loses more time than the rest of the spell would take,
        and holds its slot for longer.
        """
        if not self.is_in_spell(now):
            return False
        return (
            self.pace - self.baseline_pace
        ) * entry.expected_service_s > MIN_DEFER_COST_S

    # -----------------------------------------------------------------------
    #   Estimates
    # -----------------------------------------------------------------------

    def expected_wait_s(self, entry: QueueEntry, now: float) -> float:
        """Return the expected time until a request gets a slot, in s."""
        if self.busy < self.slots and not self.waiting:
            return 0.0
        if self.slots <= 0:
            return math.inf
        own_key = entry.sort_key(now)
        ahead_s = sum(
            other.expected_service_s
            for other in self.waiting
            if other.sort_key(now) <= own_key
        )
        ends_needed = max(0, self.busy - self.slots + 1)
        next_free_s = ends_needed * self.service_s / self.slots
        return next_free_s + ahead_s / self.slots

    def queued_by_order(self) -> tuple[int, ...]:
        """Return the number waiting at each order or a more urgent one."""
        counts = collections.Counter(entry.order for entry in self.waiting)
        max_order = max(counts, default=-1)
        return tuple(sum(counts[i] for i in range(n + 1)) for n in range(max_order + 1))
