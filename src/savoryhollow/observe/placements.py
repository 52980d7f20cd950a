"""Record where requests were placed and why, with a limit on memory."""

import collections
import dataclasses
import threading

from savoryhollow import calls

__all__ = [
    "Choice",
    "PlacementRecord",
    "PlacementLog",
    "PlacementTotal",
    "outcome_detail",
    "outcome_name",
]

# Default number of placement records that are kept.
DEFAULT_MAX_RECORDS = 4096
# Maximum number of separate totals. Beyond it, the oldest total is merged into that
# of OTHER_ENDPOINT.
MAX_TOTALS = 10_000
OTHER_ENDPOINT = "other"

_NAMES_BY_CLASS = {
    calls.Served: "served",
    calls.NotRun: "not-run",
    calls.Unknown: "unknown",
    calls.TimedOut: "timed-out",
}


def outcome_name(outcome: calls.Outcome) -> str:
    """Return the name of an outcome that callers and operators see."""
    return _NAMES_BY_CLASS[type(outcome)]


def outcome_detail(outcome: calls.Outcome) -> str:
    """Return a short description of an outcome, to show in addition to its name.

    :param outcome: the outcome of a call.
    :returns: the status of the backend server's response, the reason of a
        refusal, or the detail of an unknown outcome; never a body. Empty for a
        timeout.
    """
    if isinstance(outcome, calls.Served):
        return f"status {outcome.status}"
    if isinstance(outcome, calls.NotRun):
        return str(outcome.reason)
    if isinstance(outcome, calls.Unknown):
        return outcome.detail
    return ""


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The router's evidence about an endpoint at the time it was chosen.

    :param expected_ms: the expected cost of sending the request to the endpoint,
        in ms; the value that the policy ``evidence`` compares.
    :param in_flight: requests that this router had in progress at the endpoint,
        including this one.
    :param busy: slots in use according to the last load report; None without a
        recent report.
    :param queued: requests waiting according to the last load report; None without
        a recent report.
    :param evidence_age_ms: the age of that report, in ms; None without a report.
    :param failing: whether the endpoint was distrusted because it had failed recently.
    """

    expected_ms: float
    in_flight: int
    busy: int | None
    queued: int | None
    evidence_age_ms: float | None
    failing: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRecord:
    """One attempt to place a request.

    :param attempt: the number of the attempt; 0 for the first.
    :param ended_unix_s: the wall-clock time at which the attempt ended, in seconds
        since the epoch; only shown to operators.
    :param attempt_id: the id of the attempt at the endpoint's gate.
    :param detail: the result of :func:`outcome_detail`.
    :param crossed_region: whether the attempt was sent to another region.
    :param request_bytes: length of the request body.
    :param answer_bytes: length of the response body.
    :param choice: the evidence on which the endpoint was chosen.
    """

    request_id: str
    service: str
    rank: str
    attempt: int
    endpoint_id: str
    region: str
    outcome: str
    duration_ms: float
    ended_unix_s: float
    attempt_id: str = ""
    detail: str = ""
    crossed_region: bool = False
    request_bytes: int = 0
    answer_bytes: int = 0
    choice: Choice | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementTotal:
    """The number of attempts with one service, rank, endpoint and outcome."""

    service: str
    rank: str
    region: str
    endpoint_id: str
    outcome: str
    attempts: int


class PlacementLog:
    """Keeps the newest placement records and the totals of all placements.

    :param size: maximum number of records.
    """

    def __init__(self, size: int = DEFAULT_MAX_RECORDS):
        self._lock = threading.Lock()
        self._records: collections.deque[PlacementRecord] = collections.deque(
            maxlen=size
        )
        self._totals: dict[tuple[str, str, str, str, str], int] = {}
        self._retries_by_service: collections.Counter[str] = collections.Counter()

    def add(self, record: PlacementRecord) -> None:
        """Add a record."""
        key = (
            record.service,
            record.rank,
            record.region,
            record.endpoint_id,
            record.outcome,
        )
        with self._lock:
            self._records.append(record)
            self._totals[key] = self._totals.get(key, 0) + 1
            if record.attempt:
                self._retries_by_service[record.service] += 1
            if len(self._totals) > MAX_TOTALS:
                self._merge_oldest()

    def find(self, request_id: str) -> list[PlacementRecord]:
        """Return the stored records of one request."""
        with self._lock:
            return [r for r in self._records if r.request_id == request_id]

    def totals(self) -> dict[str, int]:
        """Return the number of attempts by endpoint and outcome.

        :returns: counts by ``service/rank/endpoint/outcome``.
        """
        with self._lock:
            totals = dict(self._totals)
        counts: collections.Counter[str] = collections.Counter()
        for (service, rank, _, endpoint_id, outcome), count in totals.items():
            counts[f"{service}/{rank}/{endpoint_id}/{outcome}"] += count
        return dict(counts)

    def accounts(self) -> list[PlacementTotal]:
        """Return the totals of all attempts since the process started."""
        with self._lock:
            totals = dict(self._totals)
        return [PlacementTotal(*key, count) for key, count in totals.items()]

    def retries_by_service(self) -> dict[str, int]:
        """Return the number of attempts after the first of a request, by service."""
        with self._lock:
            return dict(self._retries_by_service)

    def _merge_oldest(self) -> None:
        oldest = next((key for key in self._totals if key[3] != OTHER_ENDPOINT), None)
        if oldest is None:
            return
        count = self._totals.pop(oldest)
        service, rank, region, _, outcome = oldest
        merged = (service, rank, region, OTHER_ENDPOINT, outcome)
        self._totals[merged] = self._totals.get(merged, 0) + count
