"""Compare ways to order the work in front of one backend server.

Runs in virtual time on the pure queue, so the same seed gives the same figures.
"""

import collections
import collections.abc
import dataclasses
import heapq
import itertools
import random
import sys

from savoryhollow.admission import queueing, rank_queues

__all__ = ["OrderFigures", "run"]

SLOTS = 9
QUEUE_LIMIT = 64
# Mean time that a request runs; it varies by half either way, in s.
SERVICE_S = 0.04
# Time that a caller gives a request, in s.
DEADLINE_S = 1.0
# Virtual time of one run, in s.
DURATION_S = 60.0
SEED = 7
CAPACITY = SLOTS / SERVICE_S
RULES = {
    "urgent": rank_queues.RankRule(order=0, floor=0.3, worth=10),
    "ordinary": rank_queues.RankRule(order=1, floor=0.2, worth=5),
    "late": rank_queues.RankRule(order=2, floor=0.1, worth=1),
}
CALM = {"urgent": 0.3 * CAPACITY, "ordinary": 0.2 * CAPACITY, "late": 0.1 * CAPACITY}
NO_FLOORS = {
    name: rank_queues.RankRule(rule.order, 0.0, rule.worth)
    for name, rule in RULES.items()
}
# All ranks stand in one line.
ONE_LINE = {"all": rank_queues.RankRule(order=0, floor=0.0, worth=1)}
CASES = {
    "calm": CALM,
    "flood of late": CALM | {"late": 3 * CAPACITY},
    "flood of urgent": CALM | {"urgent": 3 * CAPACITY},
}


@dataclasses.dataclass(frozen=True, slots=True)
class OrderFigures:
    """One rank in one case under one way.

    :param goodput: slot time served by all ranks, as a share of all.
    """

    way: str
    case: str
    rank: str
    offered: int
    served: int
    p99_ms: float
    share: float
    goodput: float


class _Headroom(queueing.AdmissionQueue):
    """Holds slots back: all but the most urgent work sees fewer."""

    held_back = 1

    def _next_queue(self, now):
        queue = super()._next_queue(now)
        if queue is None or queue.rule.order == 0:
            return queue
        return queue if self.busy < self.slots - self.held_back else None


MAKERS_BY_WAY = {
    "ranks with floors": lambda: queueing.AdmissionQueue(SLOTS, QUEUE_LIMIT, RULES),
    "first come": lambda: queueing.AdmissionQueue(SLOTS, QUEUE_LIMIT, ONE_LINE),
    "ranks, no floors": lambda: queueing.AdmissionQueue(SLOTS, QUEUE_LIMIT, NO_FLOORS),
    "one slot held back": lambda: _Headroom(SLOTS, QUEUE_LIMIT, RULES),
}


def run() -> list[OrderFigures]:
    """Run every way in every case.

    :returns: the figures by way, case and rank.
    """
    return [
        figures
        for case, rates in CASES.items()
        for way, make in MAKERS_BY_WAY.items()
        for figures in _Run(way, make(), case, rates).figures()
    ]


class _Run:
    """One way in one case."""

    def __init__(
        self,
        way: str,
        queue: queueing.AdmissionQueue,
        case: str,
        rates: dict[str, float],
    ):
        self._way = way
        self._case = case
        self._queue = queue
        self._one_line = way == "first come"
        self._rng = random.Random(SEED)
        self._sequence = itertools.count()
        self._events: list[tuple] = []
        self._ranks_by_id: dict[str, str] = {}
        self._offered: collections.Counter[str] = collections.Counter()
        self._served_s: collections.Counter[str] = collections.Counter()
        self._responses_by_rank: dict[str, list[float]] = {r: [] for r in rates}
        for rank, rate in rates.items():
            self._lay_down(rank, rate)

    def _lay_down(self, rank: str, rate: float) -> None:
        at = 0.0
        while (at := at + self._rng.expovariate(rate)) < DURATION_S:
            self._push(at, rank, None)

    def _push(self, at, rank, held) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), rank, held))

    def figures(self) -> collections.abc.Iterator[OrderFigures]:
        """Run to the end and return the figures of each rank."""
        while self._events:
            now, number, rank, held = heapq.heappop(self._events)
            if held is None:
                self._arrive(number, rank, now)
            else:
                self._end(rank, held, now)
            self._grant(now)
        whole_s = SLOTS * DURATION_S
        goodput = self._served_s.total() / whole_s
        for rank, responses in self._responses_by_rank.items():
            yield OrderFigures(
                way=self._way,
                case=self._case,
                rank=rank,
                offered=self._offered[rank],
                served=len(responses),
                p99_ms=_p99_ms(responses),
                share=self._served_s[rank] / whole_s,
                goodput=goodput,
            )

    def _arrive(self, number: int, rank: str, now: float) -> None:
        self._offered[rank] += 1
        line = "all" if self._one_line else rank
        entry = rank_queues.Entry(str(number), line, "caller", now + DEADLINE_S)
        self._ranks_by_id[entry.request_id] = rank
        self._queue.offer(entry, now)

    def _grant(self, now: float) -> None:
        while (entry := self._queue.take(now)) is not None:
            if entry.refusal is None:
                held_s = SERVICE_S * self._rng.uniform(0.5, 1.5)
                rank = self._ranks_by_id[entry.request_id]
                self._push(now + held_s, rank, (now, entry))

    def _end(self, rank: str, held, now: float) -> None:
        started, entry = held
        self._queue.release(entry, now - started, now)
        self._served_s[rank] += max(0.0, min(now, DURATION_S) - started)
        arrived = entry.deadline - DEADLINE_S
        self._responses_by_rank[rank].append(now - arrived)


def _p99_ms(responses: list[float]) -> float:
    if not responses:
        return 0.0
    return 1000 * sorted(responses)[int(0.99 * len(responses))]


def main() -> int:
    """Print the table.

    :returns: the exit status.
    """
    print(f"{'case':16}{'way':20}{'rank':10}{'offered':>8}{'served':>8}", end="")
    print(f"{'p99 ms':>8}{'share':>7}{'goodput':>8}")
    for row in run():
        print(f"{row.case:16}{row.way:20}{row.rank:10}{row.offered:8}", end="")
        print(f"{row.served:8}{row.p99_ms:8.1f}{row.share:7.3f}{row.goodput:8.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
