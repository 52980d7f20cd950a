"""A bounded record of where requests went."""

import collections
import dataclasses
import threading

from savoryhollow import calls

__all__ = ["PlacementRecord", "PlacementRing", "name_of"]

# Placements kept by one daemon.
RING_SIZE = 4096

_NAMES_BY_CLASS = {
    calls.Served: "served",
    calls.NotRun: "not-run",
    calls.Unknown: "unknown",
    calls.TimedOut: "timed-out",
}


def name_of(outcome: calls.Outcome) -> str:
    """Return the name of an outcome as callers and operators see it."""
    return _NAMES_BY_CLASS[type(outcome)]


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRecord:
    """One attempt to place a request.

    :param ended_unix_s: when it ended, in seconds of the wall clock, for
        operators alone.
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


class PlacementRing:
    """Keeps the newest placements and the totals of all."""

    def __init__(self, size: int = RING_SIZE):
        self._lock = threading.Lock()
        self._ring: collections.deque[PlacementRecord] = collections.deque(maxlen=size)
        self._totals: collections.Counter[tuple[str, str, str, str]] = (
            collections.Counter()
        )

    def add(self, record: PlacementRecord) -> None:
        """Keep a record."""
        key = (record.service, record.rank, record.endpoint_id, record.outcome)
        with self._lock:
            self._ring.append(record)
            self._totals[key] += 1

    def find(self, request_id: str) -> list[PlacementRecord]:
        """Return the kept records of one request."""
        with self._lock:
            return [r for r in self._ring if r.request_id == request_id]

    def totals(self) -> dict[str, int]:
        """Return how many attempts ended in each way.

        :returns: counts by ``service/rank/endpoint/outcome``.
        """
        with self._lock:
            return {"/".join(key): count for key, count in self._totals.items()}
