"""A bounded record of where requests went, and why there."""

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

# Placements kept by one daemon.
RING_SIZE = 4096
# Totals kept apart; the oldest beyond them are added to those of OTHER_ENDPOINT.
MAX_TOTALS = 10_000
OTHER_ENDPOINT = "other"

_NAMES_BY_CLASS = {
    calls.Served: "served",
    calls.NotRun: "not-run",
    calls.Unknown: "unknown",
    calls.TimedOut: "timed-out",
}


def outcome_name(outcome: calls.Outcome) -> str:
    """Return the name of an outcome as callers and operators see it."""
    return _NAMES_BY_CLASS[type(outcome)]


def outcome_detail(outcome: calls.Outcome) -> str:
    """Return what is worth knowing of an outcome besides its name.

    :param outcome: what became of a call.
    :returns: the status of the backend server's answer, the reason of a
        refusal, or what was lost; never a body.
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
    """What was known of an endpoint when it was chosen.

    :param expected_ms: the time that the request was expected to lose there,
        which is what the policy ``evidence`` compares.
    :param in_flight: requests that this router had open there, this one too.
    :param busy: slots in use by its last report; None without a fresh one.
    :param queued: requests waiting by its last report; None without one.
    :param evidence_age_ms: age of that report; None before the first.
    :param failing: whether it had failed shortly before.
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

    :param ended_unix_s: when it ended, in seconds of the wall clock, for
        operators alone.
    :param attempt_id: the id under which the endpoint's gate knows it.
    :param detail: status, reason of a refusal, or what was lost.
    :param crossed_region: whether it went to another region.
    :param request_bytes: length of the request's body.
    :param answer_bytes: length of the answer's body.
    :param choice: why the endpoint was chosen.
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
    """How many attempts of one kind ended in one way."""

    service: str
    rank: str
    region: str
    endpoint_id: str
    outcome: str
    attempts: int


class PlacementLog:
    """Keeps the newest placements and the totals of all.

    :param size: placements kept.
    """

    def __init__(self, size: int = RING_SIZE):
        self._lock = threading.Lock()
        self._ring: collections.deque[PlacementRecord] = collections.deque(maxlen=size)
        self._totals: dict[tuple[str, str, str, str, str], int] = {}
        self._retries_by_service: collections.Counter[str] = collections.Counter()

    def add(self, record: PlacementRecord) -> None:
        """Keep a record."""
        key = (
            record.service,
            record.rank,
            record.region,
            record.endpoint_id,
            record.outcome,
        )
        with self._lock:
            self._ring.append(record)
            self._totals[key] = self._totals.get(key, 0) + 1
            if record.attempt:
                self._retries_by_service[record.service] += 1
            if len(self._totals) > MAX_TOTALS:
                self._fold_oldest()

    def find(self, request_id: str) -> list[PlacementRecord]:
        """Return the kept records of one request."""
        with self._lock:
            return [r for r in self._ring if r.request_id == request_id]

    def totals(self) -> dict[str, int]:
        """Return how many attempts ended in each way.

        :returns: counts by ``service/rank/endpoint/outcome``.
        """
        with self._lock:
            totals = dict(self._totals)
        counts: collections.Counter[str] = collections.Counter()
        for (service, rank, _, endpoint_id, outcome), count in totals.items():
            counts[f"{service}/{rank}/{endpoint_id}/{outcome}"] += count
        return dict(counts)

    def accounts(self) -> list[PlacementTotal]:
        """Return the totals of all attempts since the daemon started."""
        with self._lock:
            totals = dict(self._totals)
        return [PlacementTotal(*key, count) for key, count in totals.items()]

    def retries_by_service(self) -> dict[str, int]:
        """Return how many attempts were not the first of their request."""
        with self._lock:
            return dict(self._retries_by_service)

    def _fold_oldest(self) -> None:
        oldest = next((key for key in self._totals if key[3] != OTHER_ENDPOINT), None)
        if oldest is None:
            return
        count = self._totals.pop(oldest)
        service, rank, region, _, outcome = oldest
        folded = (service, rank, region, OTHER_ENDPOINT, outcome)
        self._totals[folded] = self._totals.get(folded, 0) + count
