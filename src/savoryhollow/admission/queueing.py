"""The order in which waiting requests get the slots of a backend server.

Pure computation: no threads, sockets or clocks. The caller passes the instant.
"""

import dataclasses
import heapq
import itertools

from savoryhollow import calls

__all__ = ["AdmissionQueue", "Entry", "RankRule"]

# Weight of the newest sample in the smoothed service time.
SERVICE_TIME_WEIGHT = 0.1
# Service time assumed before the first sample, in s.
FIRST_SERVICE_S = 0.01
# Shortest wait that a refused caller is told, in ms.
MIN_RETRY_AFTER_MS = 50


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
    """One waiting request."""

    request_id: str
    rank: str
    caller: str
    deadline: float
    expired: bool = False
    cancelled: bool = False


class AdmissionQueue:
    """Slots, and a bounded queue ordered by rank and deadline.

    :param slots: requests that the backend server runs at one time.
    :param limit: requests that may wait.
    :param rules_by_rank: the rule of each rank.
    """

    def __init__(self, slots: int, limit: int, rules_by_rank: dict[str, RankRule]):
        self.slots = slots
        self.limit = limit
        self.rules_by_rank = rules_by_rank
        self.busy = 0
        self.service_s = FIRST_SERVICE_S
        self._sequence = itertools.count()
        self._heap: list[tuple[int, float, int, Entry]] = []
        self._waiting = 0

    @property
    def waiting(self) -> int:
        """The number of requests that wait."""
        return self._waiting

    def expected_wait(self) -> float:
        """Return the time that a new request of the last order would wait, in s."""
        ahead = max(0, self.busy + self._waiting - self.slots + 1)
        return ahead * self.service_s / self.slots

    def offer(self, entry: Entry, now: float) -> calls.NotRunReason | None:
        """Take a request in, or say why not.

        :param entry: the request.
        :param now: the present instant.
        :returns: None where the request holds a slot or waits, else the reason.
        """
        if entry.rank not in self.rules_by_rank:
            return calls.NotRunReason.UNKNOWN_RANK
        if now + self.service_s > entry.deadline:
            return calls.NotRunReason.DEADLINE
        if self._waiting >= self.limit:
            return calls.NotRunReason.QUEUE_FULL
        order = self.rules_by_rank[entry.rank].order
        item = (order, entry.deadline, next(self._sequence), entry)
        heapq.heappush(self._heap, item)
        self._waiting += 1
        return None

    def take(self, now: float) -> Entry | None:
        """Give a free slot to the request that comes next.

        :param now: the present instant.
        :returns: an entry that now holds a slot, or whose deadline can't be
            met any more (``expired``); None where nothing can be done.
        """
        while self._heap and self.busy < self.slots:
            entry = heapq.heappop(self._heap)[-1]
            if entry.cancelled:
                continue
            self._waiting -= 1
            entry.expired = now + self.service_s > entry.deadline
            if not entry.expired:
                self.busy += 1
            return entry
        return None

    def withdraw(self, entry: Entry) -> None:
        """Take a waiting request out of the queue."""
        entry.cancelled = True
        self._waiting -= 1

    def release(self, held_s: float) -> None:
        """Give a slot back.

        :param held_s: how long the slot was held, in s.
        """
        self.busy -= 1
        self.service_s += SERVICE_TIME_WEIGHT * (held_s - self.service_s)

    def retry_after_ms(self) -> int:
        """Return when a refused caller may come again, in ms."""
        return max(MIN_RETRY_AFTER_MS, int(1000 * self.expected_wait()))
