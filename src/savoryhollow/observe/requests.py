"""What became of the requests that callers made here, by service and rank."""

import bisect
import collections
import collections.abc
import dataclasses
import threading
import time

from savoryhollow import calls
from savoryhollow.observe import placements

__all__ = ["BUCKETS_S", "RefusalRecord", "RequestTotal", "RequestTotals"]

# Upper bounds of the buckets of response times, in s.
BUCKETS_S = (0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0)
# Pairs of service and rank that are counted apart; the rest count as OTHER.
MAX_PAIRS = 1200
OTHER = "other"
# Requests without a whole answer that are kept.
REFUSALS_KEPT = 1024

Route = collections.abc.Callable[[calls.Call], calls.Outcome]

_NO_SUCH_NAME = frozenset(
    (calls.NotRunReason.UNKNOWN_SERVICE, calls.NotRunReason.UNKNOWN_RANK)
)


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalRecord:
    """One request that was not served, attempts or none.

    :param duration_ms: time between its arrival and its answer.
    :param ended_unix_s: when it ended, in seconds of the wall clock.
    """

    request_id: str
    service: str
    rank: str
    outcome: str
    detail: str
    duration_ms: float
    ended_unix_s: float


@dataclasses.dataclass(slots=True)
class RequestTotal:
    """The requests of one rank of a service.

    :param served_by_bucket: served requests by response time, one count for
        each of :data:`BUCKETS_S` and one for longer ones.
    :param served_s: the sum of the response times of served requests.
    :param outcomes: requests by the name of their outcome.
    :param refusals: requests that were not run, by reason.
    """

    service: str
    rank: str
    served_by_bucket: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (len(BUCKETS_S) + 1)
    )
    served_s: float = 0.0
    outcomes: dict[str, int] = dataclasses.field(default_factory=dict)
    refusals: dict[str, int] = dataclasses.field(default_factory=dict)


class RequestTotals:
    """Counts requests; the number of its counts is bounded."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._totals_by_pair: dict[tuple[str, str], RequestTotal] = {}
        self._refused: collections.deque[RefusalRecord] = collections.deque(
            maxlen=REFUSALS_KEPT
        )

    def observe(self, route: Route) -> Route:
        """Return a function that routes a call as before and counts it.

        :param route: takes a call to an endpoint.
        """

        def observed(call: calls.Call) -> calls.Outcome:
            started = time.monotonic()
            outcome = route(call)
            self.add(call, outcome, time.monotonic() - started)
            return outcome

        return observed

    def add(self, call: calls.Call, outcome: calls.Outcome, response_s: float) -> None:
        """Count a request.

        :param call: the call.
        :param outcome: what became of it.
        :param response_s: its response time, in s.
        """
        name = placements.outcome_name(outcome)
        with self._lock:
            total = self._total(call, outcome)
            total.outcomes[name] = total.outcomes.get(name, 0) + 1
            if isinstance(outcome, calls.Served):
                bucket = bisect.bisect_left(BUCKETS_S, response_s)
                total.served_by_bucket[bucket] += 1
                total.served_s += response_s
                return
            if isinstance(outcome, calls.NotRun):
                reason = str(outcome.reason)
                total.refusals[reason] = total.refusals.get(reason, 0) + 1
            self._refused.append(_refusal(call, outcome, name, response_s))

    def find(self, request_id: str) -> list[RefusalRecord]:
        """Return the record of a request that was not served, if it is kept."""
        with self._lock:
            return [r for r in self._refused if r.request_id == request_id]

    def totals(self) -> list[RequestTotal]:
        """Return the totals of all requests since the daemon started."""
        with self._lock:
            return [
                dataclasses.replace(
                    total,
                    served_by_bucket=list(total.served_by_bucket),
                    outcomes=dict(total.outcomes),
                    refusals=dict(total.refusals),
                )
                for total in self._totals_by_pair.values()
            ]

    def _total(self, call: calls.Call, outcome: calls.Outcome) -> RequestTotal:
        pair = (call.service, call.rank)
        # A caller can send any name; only configured ones get counts of their own.
        if isinstance(outcome, calls.NotRun) and outcome.reason in _NO_SUCH_NAME:
            pair = (OTHER, OTHER)
        total = self._totals_by_pair.get(pair)
        if total is None:
            if len(self._totals_by_pair) >= MAX_PAIRS:
                pair = (OTHER, OTHER)
            total = self._totals_by_pair.setdefault(pair, RequestTotal(*pair))
        return total


def _refusal(call, outcome, name, response_s) -> RefusalRecord:
    return RefusalRecord(
        request_id=call.request_id,
        service=call.service,
        rank=call.rank,
        outcome=name,
        detail=placements.outcome_detail(outcome),
        duration_ms=response_s * 1e3,
        ended_unix_s=time.time(),
    )
