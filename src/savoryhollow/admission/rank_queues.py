"""The queue of one rank, with fair queuing among its callers.

The next slot goes to the caller with the fewest requests in service; among equals,
to the one served least recently. The requests of one caller are ordered by deadline.
A caller that floods a rank therefore delays only its own requests.
"""

import bisect
import dataclasses
import math

from savoryhollow import calls
from savoryhollow.admission import estimates

__all__ = ["Entry", "RankQueue", "RankRule"]

# Slots that a rank may hold beyond its floor while its average is below the floor.
FLOOR_MARGIN_SLOTS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RankRule:
    """The admission settings of one rank.

    :param order: the priority of the rank; lower values are served first.
    :param floor: the share of the slots guaranteed to the rank while it has work.
    :param worth: the value of one served request; load shedding starts with the
        lowest.
    """

    order: int
    floor: float
    worth: float


@dataclasses.dataclass(slots=True)
class Entry:
    """A request that waits for a slot or holds one.

    :param deadline: the time after which an answer is of no use.
    :param latest_start: the latest start at which the request is expected to end
        before its deadline.
    :param sequence: orders requests with equal deadlines.
    :param refusal: why the request was refused; None if it was not.
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
    """The requests of one caller.

    :param last_turn: the value of the rank's turn counter when the caller was last
        served or, before that, when its first request arrived.
    :param entries: the waiting requests, ordered by deadline.
    :param in_service: the number of requests that hold a slot.
    """

    last_turn: int
    entries: list[Entry] = dataclasses.field(default_factory=list)
    in_service: int = 0


class RankQueue:
    """The waiting requests of one rank, and figures on those in service.

    :param rule: the settings of the rank; they may be replaced.
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
        """The expected slot time of all waiting requests, in s."""
        return self.waiting_count * self.service.mean_s

    def is_below_floor(self, slots: int, now: float) -> bool:
        """Return True if the rank holds fewer slots than its floor guarantees.

        Both the average and the current number of slots are compared, because the
        average alone would let a rank that was idle take many more slots at once
        than its floor. ``FLOOR_MARGIN_SLOTS`` compensates for the gaps between two
        services of the rank.

        :param slots: the slots of all ranks.
        :param now: the current time.
        """
        floor_slots = self.rule.floor * slots
        if self.occupancy.busy >= math.ceil(floor_slots + FLOOR_MARGIN_SLOTS):
            return False
        return self.occupancy.average(now) < floor_slots

    def work_ahead_s(self, entry: Entry) -> float:
        """Return the expected slot time of requests served before an entry, in s."""
        own = self._queues_by_caller.get(entry.caller)
        own_ahead = (
            0
            if own is None
            else bisect.bisect(own.entries, _deadline_key(entry), key=_deadline_key)
        )
        # Callers take turns: each other caller has up to one request served for every
        # request of this caller.
        others_ahead = sum(
            min(len(queue.entries), own_ahead + 1)
            for queue in self._queues_by_caller.values()
            if queue is not own
        )
        return (own_ahead + others_ahead) * self.service.mean_s

    # -----------------------------------------------------------------------
    #   Changes
    # -----------------------------------------------------------------------

    def push(self, entry: Entry) -> None:
        """Add a request."""
        queue = self._queues_by_caller.setdefault(
            entry.caller, _CallerQueue(self._turn_count)
        )
        bisect.insort(queue.entries, entry, key=_deadline_key)
        self.waiting_count += 1

    def pop(self) -> Entry:
        """Remove and return the next request; the queue must not be empty."""
        queue = min(
            (queue for queue in self._queues_by_caller.values() if queue.entries),
            key=lambda queue: (queue.in_service, queue.last_turn),
        )
        self.waiting_count -= 1
        return queue.entries.pop(0)

    def remove(self, entry: Entry) -> bool:
        """Remove a request.

        :returns: True if it was waiting.
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
        """Return the request to shed first; the queue must not be empty.

        :returns: the request with the latest deadline of the caller with the most
            waiting requests.
        """
        queues = self._queues_by_caller.values()
        return max(queues, key=lambda queue: len(queue.entries)).entries[-1]

    def waiting_count_of(self, caller: str) -> int:
        """Return the number of waiting requests of a caller."""
        queue = self._queues_by_caller.get(caller)
        return 0 if queue is None else len(queue.entries)

    def record_start(self, entry: Entry, now: float) -> None:
        """Record that a request returned by :meth:`pop` holds a slot."""
        self._turn_count += 1
        queue = self._queues_by_caller[entry.caller]
        queue.in_service += 1
        queue.last_turn = self._turn_count
        self.occupancy.change(1, now)

    def record_end(self, entry: Entry, held_s: float, now: float) -> None:
        """Record that a request released its slot.

        :param entry: the request.
        :param held_s: how long it held the slot, in s.
        :param now: the current time.
        """
        self._queues_by_caller[entry.caller].in_service -= 1
        self.occupancy.change(-1, now)
        self.service.add(held_s)
        self._drop_if_idle(entry.caller)

    def discard(self, entry: Entry) -> None:
        """Record that a request returned by :meth:`pop` will not run."""
        self._drop_if_idle(entry.caller)

    def _drop_if_idle(self, caller: str) -> None:
        queue = self._queues_by_caller[caller]
        if not queue.entries and not queue.in_service:
            del self._queues_by_caller[caller]


def _deadline_key(entry: Entry) -> tuple[float, int]:
    return (entry.deadline, entry.sequence)
