"""The requests of one rank that wait, and the order among them.

The caller with the fewest requests in service comes next, the one served
longest ago among equals; of one caller, the request with the earliest deadline.
So a caller that floods a rank holds up its own requests alone.
"""

import bisect
import dataclasses
import math

from savoryhollow import calls
from savoryhollow.admission import estimates

__all__ = ["Entry", "RankQueue", "RankRule"]

# Slots that a rank may hold beyond its floor while its average is below it.
FLOOR_MARGIN_SLOTS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RankRule:
    """How one rank of work is treated.

    :param order: lower is served first.
    :param floor: the share of the slots kept for it while it has work.
    :param worth: what one served request is worth when work has to be shed.
    """

    order: int
    floor: float
    worth: float


@dataclasses.dataclass(slots=True)
class Entry:
    """One request in front of the slots.

    :param deadline: the instant after which an answer is of no use.
    :param latest_start: the instant after which it can't end in time.
    :param sequence: breaks ties between equal deadlines.
    :param refusal: why it was turned away, if it was.
    """

    request_id: str
    rank: str
    caller: str
    deadline: float
    latest_start: float = math.inf
    sequence: int = 0
    refusal: calls.NotRunReason | None = None


@dataclasses.dataclass(slots=True)
class _CallerQueue:
    """The requests of one caller: waiting, by deadline, and in service.

    :param turn: the last turn in which it was served, or in which it came.
    """

    last_turn: int
    entries: list[Entry] = dataclasses.field(default_factory=list)
    in_service: int = 0


class RankQueue:
    """The requests of one rank.

    :param rule: how the rank is treated; it may be replaced.
    """

    def __init__(self, rule: RankRule):
        self.rule = rule
        self.service = estimates.ServiceTime()
        self.occupancy = estimates.Occupancy()
        self.waiting_count = 0
        self._turn_count = 0
        self._queues_by_caller: dict[str, _CallerQueue] = {}

    @property
    def waiting_work_s(self) -> float:
        """The slot time that all waiting requests ask for, in s."""
        return self.waiting_count * self.service.mean_s

    def is_below_floor(self, slots: int, now: float) -> bool:
        """Say whether the rank holds less than the slots kept for it.

        Both its average and what it holds now count: a rank that was idle may
        not take many more slots at one time than its floor comes to. The spare
        part makes up for the time between two of its services.
        """
        kept = self.rule.floor * slots
        if self.occupancy.busy >= math.ceil(kept + FLOOR_MARGIN_SLOTS):
            return False
        return self.occupancy.average(now) < kept

    def work_ahead_s(self, entry: Entry) -> float:
        """Return the slot time asked for by what is served before an entry, in s."""
        own = self._queues_by_caller.get(entry.caller)
        before = (
            0
            if own is None
            else bisect.bisect(own.entries, _deadline_key(entry), key=_deadline_key)
        )
        # While the caller's earlier requests are served, others take turns.
        others = sum(
            min(len(queue.entries), before + 1)
            for queue in self._queues_by_caller.values()
            if queue is not own
        )
        return (before + others) * self.service.mean_s

    # -----------------------------------------------------------------------
    #   Changes
    # -----------------------------------------------------------------------

    def push(self, entry: Entry) -> None:
        """Let a request wait."""
        queue = self._queues_by_caller.setdefault(
            entry.caller, _CallerQueue(self._turn_count)
        )
        bisect.insort(queue.entries, entry, key=_deadline_key)
        self.waiting_count += 1

    def pop(self) -> Entry:
        """Take out the request that comes next; one must wait."""
        queue = min(
            (queue for queue in self._queues_by_caller.values() if queue.entries),
            key=lambda queue: (queue.in_service, queue.last_turn),
        )
        self.waiting_count -= 1
        return queue.entries.pop(0)

    def remove(self, entry: Entry) -> bool:
        """Take out a certain request.

        :returns: whether it was waiting.
        """
        queue = self._queues_by_caller.get(entry.caller)
        if queue is None:
            return False
        index = bisect.bisect_left(
            queue.entries, _deadline_key(entry), key=_deadline_key
        )
        if index == len(queue.entries) or queue.entries[index] is not entry:
            return False
        del queue.entries[index]
        self.waiting_count -= 1
        self._drop_if_idle(entry.caller)
        return True

    def next_to_shed(self) -> Entry:
        """Return the request to be shed first; one must wait.

        :returns: the latest deadline of the caller with most requests waiting.
        """
        queues = self._queues_by_caller.values()
        return max(queues, key=lambda queue: len(queue.entries)).entries[-1]

    def waiting_count_of(self, caller: str) -> int:
        """Return how many requests of a caller wait."""
        queue = self._queues_by_caller.get(caller)
        return 0 if queue is None else len(queue.entries)

    def record_start(self, entry: Entry, now: float) -> None:
        """Note that a request that was taken out holds a slot."""
        self._turn_count += 1
        queue = self._queues_by_caller[entry.caller]
        queue.in_service += 1
        queue.last_turn = self._turn_count
        self.occupancy.change(1, now)

    def record_end(self, entry: Entry, held_s: float, now: float) -> None:
        """Note that a request gave its slot back."""
        self._queues_by_caller[entry.caller].in_service -= 1
        self.occupancy.change(-1, now)
        self.service.add(held_s)
        self._drop_if_idle(entry.caller)

    def discard(self, entry: Entry) -> None:
        """Note that a request that was taken out will not run."""
        self._drop_if_idle(entry.caller)

    def _drop_if_idle(self, caller: str) -> None:
        queue = self._queues_by_caller[caller]
        if not queue.entries and not queue.in_service:
            del self._queues_by_caller[caller]


def _deadline_key(entry: Entry) -> tuple[float, int]:
    return (entry.deadline, entry.sequence)
