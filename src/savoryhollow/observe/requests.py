"""Count the requests of callers by service, rank and outcome."""

import bisect
import collections
import collections.abc
import dataclasses
import threading
import time

from savoryhollow import calls
from savoryhollow.observe import placements

__all__ = ["BUCKETS_S", "RefusalRecord", "RequestTotal", "RequestTotals"]

# Upper bounds of the response time buckets, in s.
BUCKETS_S = (0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0)
# Maximum number of service and rank pairs with separate counts. Requests of further
# pairs are counted as OTHER.
MAX_PAIRS = 1200
OTHER = "other"
# Maximum number of stored records of requests that were not served.
MAX_REFUSALS = 1024

Route = collections.abc.Callable[[calls.Call], calls.Outcome]

_UNKNOWN_NAME_REASONS = frozenset(
    (calls.NotRunReason.UNKNOWN_SERVICE, calls.NotRunReason.UNKNOWN_RANK)
)


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalRecord:
    """One request that was not served, with or without attempts.

    :param detail: the result of :func:`placements.outcome_detail`.
    :param duration_ms: time between the request's arrival and the response to it.
    :param ended_unix_s: the wall-clock time at which the request ended, in seconds
        since the epoch.
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
    """The request counts of one rank of a service.

    :param served_by_bucket: number of served requests by response time: one count
        for each bucket of :data:`BUCKETS_S` and one for longer response times.
    :param served_s: sum of the response times of served requests, in s.
    :param outcomes: number of requests by name of the outcome.
    :param refusals: number of requests that were not run, by reason.
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
    """Counts requests, for a limited number of services and ranks."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._totals_by_pair: dict[tuple[str, str], RequestTotal] = {}
        self._refusals: collections.deque[RefusalRecord] = collections.deque(
            maxlen=MAX_REFUSALS
        )

    def observe(self, route: Route) -> Route:
        """Wrap a routing function to count the calls.

        :param route: a function that routes a call and returns its outcome.
        :returns: a function with the same parameters and result.
        """

        def observed_route(call: calls.Call) -> calls.Outcome:
            started = time.monotonic()
            outcome = route(call)
            self.add(call, outcome, time.monotonic() - started)
            return outcome

        return observed_route

    def add(self, call: calls.Call, outcome: calls.Outcome, response_s: float) -> None:
        """Count a request.

        :param call: the call.
        :param outcome: the outcome of the call.
        :param response_s: its response time, in s.
        """
        name = placements.outcome_name(outcome)
        with self._lock:
            total = self._total_of(call, outcome)
            total.outcomes[name] = total.outcomes.get(name, 0) + 1
            if isinstance(outcome, calls.Served):
                bucket = bisect.bisect_left(BUCKETS_S, response_s)
                total.served_by_bucket[bucket] += 1
                total.served_s += response_s
                return
            if isinstance(outcome, calls.NotRun):
                reason = str(outcome.reason)
                total.refusals[reason] = total.refusals.get(reason, 0) + 1
            self._refusals.append(_make_refusal_record(call, outcome, name, response_s))

    def find(self, request_id: str) -> list[RefusalRecord]:
        """Return the stored records of a request that was not served."""
        with self._lock:
            return [r for r in self._refusals if r.request_id == request_id]

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

    def _total_of(self, call: calls.Call, outcome: calls.Outcome) -> RequestTotal:
        pair = (call.service, call.rank)
        # Callers can send any name. Only configured names get separate counts.
        if (
            isinstance(outcome, calls.NotRun)
            and outcome.reason in _UNKNOWN_NAME_REASONS
        ):
            pair = (OTHER, OTHER)
        total = self._totals_by_pair.get(pair)
        if total is None:
            if len(self._totals_by_pair) >= MAX_PAIRS:
                pair = (OTHER, OTHER)
            total = self._totals_by_pair.setdefault(pair, RequestTotal(*pair))
        return total


def _make_refusal_record(call, outcome, name, response_s) -> RefusalRecord:
    return RefusalRecord(
        request_id=call.request_id,
        service=call.service,
        rank=call.rank,
        outcome=name,
        detail=placements.outcome_detail(outcome),
        duration_ms=response_s * 1e3,
        ended_unix_s=time.time(),
    )
