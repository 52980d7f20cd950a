"""The order in which requests get slots, by rank and by their objectives.

A request is of full use until its objective and of little use after it. So those
that can still meet theirs come first, by rank; the others take what is left. Work
that a running request waits for comes before new work of its rank, as the one
that waits holds a slot.

Pure computation: the caller passes the instant.
"""

import collections
import dataclasses
import enum
import math

from savoryhollow.admission import estimates

__all__ = ["ObjectiveQueue", "QueueEntry", "Refusal"]

# Work time assumed of a rank before its first sample, as a part of the time that it
# has until its objective or its deadline, whichever is sooner.
FIRST_SHARE = 0.3
# Part of the work time that has to fit before the deadline for a request to start.
START_SHARE = 0.8
# Times the quickest pace of late from which work counts as slow.
SLOW_RATIO = 1.5
# Time over which the quickest pace is looked for, in s.
PACE_WINDOW_S = 1.5
# Quickest pace that is believed of a backend server at first; 1 is usual, and one
# that has just started takes longer.
FIRST_PACE = 2.0
# Time that a start at a slow pace has to cost for a request to wait instead, in s:
# about what is left of a slow spell when it is met.
HOLD_COST_S = 0.12
# Time after which a slow spell counts as lasting, so that nothing waits for it, in s.
LASTING_S = 0.7
# Time without a reading after which a slow one begins a new spell, in s.
SPELL_GAP_S = 0.35
# Pace from which an instance is avoided by work that it would make late; one that is
# cold takes twice as long, and so do all others after a restart.
LASTING_RATIO = 3.0
# Times the slots that may wait before the least urgent is turned away.
MAX_WAITING_PER_SLOT = 8


class Refusal(enum.Enum):
    """Why a request gets no slot."""

    TOO_LATE = "too-late"
    FULL = "full"
    LEAVING = "leaving"


@dataclasses.dataclass(slots=True, eq=False)
class QueueEntry:
    """One request in front of the slots.

    :param kind: what its work time is known by.
    :param order: the place of its rank, 0 the most urgent.
    :param called: whether a running request waits for it.
    :param objective: the instant until which its answer is of full use.
    :param deadline: the instant after which its answer is of no use.
    :param work_s: the time that it is expected to hold a slot, in s.
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
        """The instant after which it had better not start."""
        return self.deadline - START_SHARE * self.expected_service_s

    def urgency(self, now: float) -> tuple[bool, int, bool, float]:
        """Return what it is sorted by; less comes first."""
        late = now + self.expected_service_s > self.objective
        return (late, self.order, not self.is_nested, self.objective)


class ObjectiveQueue:
    """Slots, and what waits for them.

    :param slots: requests that run at one time.
    :param extra: slots beyond these that only called work may take.
    """

    def __init__(self, slots: int, nested_slots: int):
        self.slots = slots
        self.nested_slots = nested_slots
        self.busy = 0
        self.waiting: list[QueueEntry] = []
        self.pace = 1.0
        self._slow_since: float | None = None
        self._slow_seen_at = float("-inf")
        self._paces: collections.deque[tuple[float, float]] = collections.deque()
        self._work_by_kind: dict[str, estimates.ServiceTime] = {}
        self._overall = estimates.ServiceTime()

    @property
    def service_s(self) -> float:
        """The smoothed time that a request holds a slot, in s."""
        return self._overall.mean_s

    def estimate_service_s(self, entry: QueueEntry, now: float) -> float:
        """Return the time that a request is expected to take, in s."""
        known = self._work_by_kind.get(entry.rank)
        if known is not None:
            return known.mean_s
        left_s = min(entry.objective, entry.deadline) - now
        return FIRST_SHARE * left_s if math.isfinite(left_s) else 0.0

    # -----------------------------------------------------------------------
    #   Changes
    # -----------------------------------------------------------------------

    def offer(self, entry: QueueEntry, now: float) -> list[QueueEntry]:
        """Let a request wait.

        :param entry: the request.
        :param now: the present instant.
        :returns: the requests that are turned away for it, their ``refusal`` set.
        """
        entry.expected_service_s = self.estimate_service_s(entry, now)
        last_start = (
            entry.deadline
            - START_SHARE * self.lasting_pace(now) * entry.expected_service_s
        )
        if now + self.expected_wait_s(entry, now) > last_start:
            entry.refusal = Refusal.TOO_LATE
            return [entry]
        self.waiting.append(entry)
        if len(self.waiting) <= MAX_WAITING_PER_SLOT * max(1, self.slots):
            return []
        last = max(self.waiting, key=lambda one: one.urgency(now))
        self.waiting.remove(last)
        last.refusal = Refusal.FULL
        return [last]

    def take(self, now: float) -> QueueEntry | None:
        """Give a free slot to the request that comes next, if there is one."""
        room = self.slots - self.busy
        if room + self.nested_slots <= 0:
            return None
        ready = [one for one in self.waiting if not self.should_defer(one, now)]
        if room <= 0:
            ready = [one for one in ready if one.is_nested]
        if not ready:
            return None
        first = min(ready, key=lambda one: one.urgency(now))
        self.waiting.remove(first)
        self.busy += 1
        return first

    def expire(self, now: float) -> list[QueueEntry]:
        """Take out what can't end in time any more, their ``refusal`` set."""
        late = [one for one in self.waiting if one.latest_start < now]
        for one in late:
            self.waiting.remove(one)
            one.refusal = Refusal.TOO_LATE
        return late

    def withdraw(self, entry: QueueEntry) -> bool:
        """Take a request out; return whether it waited."""
        if entry not in self.waiting:
            return False
        self.waiting.remove(entry)
        return True

    def release(self, rank: str, held_s: float | None) -> None:
        """Give a slot back.

        :param held_s: how long it was held in s; None where that says nothing.
        """
        self.busy -= 1
        if held_s is None:
            return
        if rank not in self._work_by_kind:
            self._work_by_kind[rank] = estimates.ServiceTime(held_s)
        self._work_by_kind[rank].add(held_s)
        self._overall.add(held_s)

    def resize(self, slots: int, nested_slots: int) -> None:
        """Change the number of slots; requests that hold one keep it."""
        self.slots = slots
        self.nested_slots = nested_slots

    # -----------------------------------------------------------------------
    #   Pace
    # -----------------------------------------------------------------------

    def record_pace(self, pace: float, now: float) -> None:
        """Take in how long work takes at this moment; 1 is usual."""
        self.pace = pace
        self._paces.append((now, pace))
        while self._paces[0][0] < now - PACE_WINDOW_S:
            self._paces.popleft()
        if pace < SLOW_RATIO * self.baseline_pace:
            self._slow_since = None
            return
        if self._slow_since is None or self._begins_spell(now):
            self._slow_since = now
        self._slow_seen_at = now

    def _begins_spell(self, now: float) -> bool:
        """Say whether a slow reading has nothing to do with the one before it."""
        assert self._slow_since is not None
        lasted = self._slow_seen_at - self._slow_since > LASTING_S
        return not lasted and now - self._slow_seen_at > SPELL_GAP_S

    @property
    def baseline_pace(self) -> float:
        """The quickest pace of late; 1 is usual."""
        return min([FIRST_PACE, *(pace for _, pace in self._paces)])

    def is_in_spell(self, now: float) -> bool:
        """Say whether work is slow at this moment, and will soon be quicker."""
        return self._slow_since is not None and now - self._slow_since <= LASTING_S

    def lasting_pace(self, now: float) -> float:
        """Return the pace that work has for long; 1 is usual, or a short spell."""
        slow = self.pace >= LASTING_RATIO and not self.is_in_spell(now)
        return self.pace if slow else 1.0

    def would_miss_objective(self, entry: QueueEntry, now: float) -> bool:
        """Say whether a request would be late here for the pace alone."""
        pace = self.lasting_pace(now)
        return pace > 1.0 and now + pace * entry.expected_service_s > entry.objective

    def should_defer(self, entry: QueueEntry, now: float) -> bool:
        """Say whether a request had better wait for a slow spell to end.

        Work keeps the pace at which it starts, so a start in a slow spell costs
        more than the wait for its end, and takes a slot for longer.
        """
        if not self.is_in_spell(now):
            return False
        return (self.pace - self.baseline_pace) * entry.expected_service_s > HOLD_COST_S

    # -----------------------------------------------------------------------
    #   Estimates
    # -----------------------------------------------------------------------

    def expected_wait_s(self, entry: QueueEntry, now: float) -> float:
        """Return the time that a request would wait, in s."""
        if self.busy < self.slots and not self.waiting:
            return 0.0
        if self.slots <= 0:
            return math.inf
        own = entry.urgency(now)
        ahead_s = sum(
            one.expected_service_s for one in self.waiting if one.urgency(now) <= own
        )
        held = max(0, self.busy - self.slots + 1)
        first_s = held * self.service_s / self.slots
        return first_s + ahead_s / self.slots

    def queued_by_order(self) -> tuple[int, ...]:
        """Return the requests that wait at each order or before it."""
        counts = collections.Counter(one.order for one in self.waiting)
        last = max(counts, default=-1)
        return tuple(sum(counts[i] for i in range(n + 1)) for n in range(last + 1))
