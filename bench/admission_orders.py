"""Compare policies that order the requests waiting for one backend server.

The admission queue runs in simulated time, so a seed always gives the same results.
"""

import collections
import collections.abc
import dataclasses
import heapq
import itertools
import random
import sys

from savoryhollow.admission import queueing, rank_queues

__all__ = ["OrderResult", "run"]

SLOTS = 9
QUEUE_LIMIT = 64
# Mean service time in s; a service time lies between half and one and a half of it.
SERVICE_S = 0.04
# Time between the arrival of a request and its deadline, in s.
DEADLINE_S = 1.0
# Simulated time in which requests arrive, in s.
DURATION_S = 60.0
SEED = 7
CAPACITY_PER_S = SLOTS / SERVICE_S
RULES_BY_RANK = {
    "urgent": rank_queues.RankRule(order=0, floor=0.3, worth=10),
    "ordinary": rank_queues.RankRule(order=1, floor=0.2, worth=5),
    "late": rank_queues.RankRule(order=2, floor=0.1, worth=1),
}
BASE_RATES_BY_RANK = {
    "urgent": 0.3 * CAPACITY_PER_S,
    "ordinary": 0.2 * CAPACITY_PER_S,
    "late": 0.1 * CAPACITY_PER_S,
}
RULES_WITHOUT_FLOORS = {
    name: rank_queues.RankRule(rule.order, 0.0, rule.worth)
    for name, rule in RULES_BY_RANK.items()
}
# All requests share one queue, whatever their rank.
SINGLE_QUEUE_RULES = {"all": rank_queues.RankRule(order=0, floor=0.0, worth=1)}
RATES_BY_CASE = {
    "calm": BASE_RATES_BY_RANK,
    "flood of late": BASE_RATES_BY_RANK | {"late": 3 * CAPACITY_PER_S},
    "flood of urgent": BASE_RATES_BY_RANK | {"urgent": 3 * CAPACITY_PER_S},
}


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResult:
    """The result of one rank in one case under one policy.

    :param offered: the number of requests that arrived.
    :param served: the number of requests that were served.
    :param share: the slot time that the rank used, as a share of all slot time.
    :param goodput: the slot time that all ranks used, as a share of all slot time.
    """

    policy: str
    case: str
    rank: str
    offered: int
    served: int
    p99_ms: float
    share: float
    goodput: float


class _ReservedSlotQueue(queueing.AdmissionQueue):
    """A queue that reserves some slots for the most urgent rank."""

    reserved_slots = 1

    def _next_queue(self, now):
        queue = super()._next_queue(now)
        if queue is None or queue.rule.order == 0:
            return queue
        return queue if self.busy < self.slots - self.reserved_slots else None


QUEUE_FACTORIES_BY_POLICY = {
    "ranks with floors": lambda: queueing.AdmissionQueue(
        SLOTS, QUEUE_LIMIT, RULES_BY_RANK
    ),
    "first come": lambda: queueing.AdmissionQueue(
        SLOTS, QUEUE_LIMIT, SINGLE_QUEUE_RULES
    ),
    "ranks, no floors": lambda: queueing.AdmissionQueue(
        SLOTS, QUEUE_LIMIT, RULES_WITHOUT_FLOORS
    ),
    "one slot held back": lambda: _ReservedSlotQueue(SLOTS, QUEUE_LIMIT, RULES_BY_RANK),
}


def run() -> list[OrderResult]:
    """Run every policy in every case.

    :returns: the results by case, policy and rank.
    """
    return [
        result
        for case, rates in RATES_BY_CASE.items()
        for policy, make_queue in QUEUE_FACTORIES_BY_POLICY.items()
        for result in _Simulation(policy, make_queue(), case, rates).run_to_end()
    ]


class _Simulation:
    """One policy in one case."""

    def __init__(
        self,
        policy: str,
        queue: queueing.AdmissionQueue,
        case: str,
        rates: dict[str, float],
    ):
        self._policy = policy
        self._case = case
        self._queue = queue
        self._has_single_queue = policy == "first come"
        self._rng = random.Random(SEED)
        self._sequence = itertools.count()
        self._events: list[tuple] = []
        self._ranks_by_id: dict[str, str] = {}
        self._offered_by_rank: collections.Counter[str] = collections.Counter()
        self._served_s_by_rank: collections.Counter[str] = collections.Counter()
        self._response_times_s_by_rank: dict[str, list[float]] = {r: [] for r in rates}
        for rank, rate in rates.items():
            self._schedule_arrivals(rank, rate)

    def _schedule_arrivals(self, rank: str, rate: float) -> None:
        arrival = 0.0
        while (arrival := arrival + self._rng.expovariate(rate)) < DURATION_S:
            self._push_event(arrival, rank, None)

    def _push_event(self, time, rank, in_service) -> None:
        heapq.heappush(self._events, (time, next(self._sequence), rank, in_service))

    def run_to_end(self) -> collections.abc.Iterator[OrderResult]:
        """Run all events and yield the result of each rank."""
        while self._events:
            now, number, rank, in_service = heapq.heappop(self._events)
            if in_service is None:
                self._handle_arrival(number, rank, now)
            else:
                self._handle_completion(rank, in_service, now)
            self._grant_slots(now)
        total_slot_s = SLOTS * DURATION_S
        goodput = self._served_s_by_rank.total() / total_slot_s
        for rank, response_times_s in self._response_times_s_by_rank.items():
            yield OrderResult(
                policy=self._policy,
                case=self._case,
                rank=rank,
                offered=self._offered_by_rank[rank],
                served=len(response_times_s),
                p99_ms=_p99_ms(response_times_s),
                share=self._served_s_by_rank[rank] / total_slot_s,
                goodput=goodput,
            )

    def _handle_arrival(self, number: int, rank: str, now: float) -> None:
        self._offered_by_rank[rank] += 1
        queue_rank = "all" if self._has_single_queue else rank
        entry = rank_queues.Entry(str(number), queue_rank, "caller", now + DEADLINE_S)
        self._ranks_by_id[entry.request_id] = rank
        self._queue.offer(entry, now)

    def _grant_slots(self, now: float) -> None:
        while (entry := self._queue.take(now)) is not None:
            if entry.refusal is None:
                service_s = SERVICE_S * self._rng.uniform(0.5, 1.5)
                rank = self._ranks_by_id[entry.request_id]
                self._push_event(now + service_s, rank, (now, entry))

    def _handle_completion(self, rank: str, in_service, now: float) -> None:
        started, entry = in_service
        self._queue.release(entry, now - started, now)
        self._served_s_by_rank[rank] += max(0.0, min(now, DURATION_S) - started)
        arrival = entry.deadline - DEADLINE_S
        self._response_times_s_by_rank[rank].append(now - arrival)


def _p99_ms(response_times_s: list[float]) -> float:
    if not response_times_s:
        return 0.0
    return 1000 * sorted(response_times_s)[int(0.99 * len(response_times_s))]


def main() -> int:
    """Print the results as a table.

    :returns: the exit status.
    """
    print(f"{'case':16}{'policy':20}{'rank':10}{'offered':>8}{'served':>8}", end="")
    print(f"{'p99 ms':>8}{'share':>7}{'goodput':>8}")
    for row in run():
        print(f"{row.case:16}{row.policy:20}{row.rank:10}{row.offered:8}", end="")
        print(f"{row.served:8}{row.p99_ms:8.1f}{row.share:7.3f}{row.goodput:8.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
