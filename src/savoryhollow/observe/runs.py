"""Record the runs of requests on the backend server, with a limit on memory.

The records complement the placement records: a router records why a request was sent
to an endpoint, and the endpoint's gate records how long it waited and ran there.
"""

import collections
import collections.abc
import dataclasses
import threading
import time

from savoryhollow import errors
from savoryhollow.backend import client as backend_client
from savoryhollow.wire import messages

__all__ = ["RunLog", "RunRecord", "RunTotal"]

# Default number of run records that are kept.
DEFAULT_MAX_RECORDS = 4096

RunBackend = collections.abc.Callable[
    [messages.CallMessage, float], backend_client.BackendAnswer
]


@dataclasses.dataclass(frozen=True, slots=True)
class RunRecord:
    """One request that was sent to the backend server.

    :param attempt_id: the id of the attempt at the router.
    :param waited_ms: time between its arrival at the gate and the grant of a slot.
    :param ran_ms: time for which it occupied the slot.
    :param outcome: ``answered``, ``lost`` if the response was incomplete or
        missing, or ``not-started`` if the backend server never received the request.
    :param status: the status of the response; 0 without a response.
    :param answer_bytes: length of the response body.
    :param ended_unix_s: the wall-clock time at which the run ended, in seconds since
        the epoch.
    """

    attempt_id: str
    service: str
    rank: str
    waited_ms: float
    ran_ms: float
    outcome: str
    status: int
    answer_bytes: int
    ended_unix_s: float


@dataclasses.dataclass(slots=True)
class RunTotal:
    """The number of runs with one service, rank and outcome, and their times."""

    service: str
    rank: str
    outcome: str
    runs: int = 0
    waited_s: float = 0.0
    ran_s: float = 0.0


class RunLog:
    """Keeps the newest run records and the totals of all runs.

    :param size: maximum number of records.
    """

    def __init__(self, size: int = DEFAULT_MAX_RECORDS):
        self._lock = threading.Lock()
        self._records: collections.deque[RunRecord] = collections.deque(maxlen=size)
        self._totals_by_key: dict[tuple[str, str, str], RunTotal] = {}

    def observe(self, run: RunBackend) -> RunBackend:
        """Wrap a function that runs calls to record the runs.

        :param run: a function that sends a call to the backend server, with a
            deadline.
        :returns: a function with the same parameters and result.
        """

        def observed_run(
            call: messages.CallMessage, deadline: float
        ) -> backend_client.BackendAnswer:
            started_at = time.monotonic()
            try:
                response = run(call, deadline)
            except errors.BackendError as error:
                outcome = "lost" if error.started else "not-started"
                self._record(call, deadline, started_at, outcome, None)
                raise
            self._record(call, deadline, started_at, "answered", response)
            return response

        return observed_run

    def find(self, request_id: str) -> list[RunRecord]:
        """Return the stored run records of all attempts of one request."""
        with self._lock:
            records = list(self._records)
        return [r for r in records if r.attempt_id.rpartition(".")[0] == request_id]

    def totals(self) -> list[RunTotal]:
        """Return the totals of all runs since the daemon started."""
        with self._lock:
            return [dataclasses.replace(t) for t in self._totals_by_key.values()]

    def _record(self, call, deadline, started_at, outcome, response) -> None:
        # The gate computes the deadline from remaining_us when the call arrives.
        arrived_at = deadline - call.remaining_us / 1e6
        waited_s = max(0.0, started_at - arrived_at)
        ran_s = time.monotonic() - started_at
        record = RunRecord(
            attempt_id=call.request_id,
            service=call.service,
            rank=call.rank,
            waited_ms=waited_s * 1e3,
            ran_ms=ran_s * 1e3,
            outcome=outcome,
            status=response.status if response else 0,
            answer_bytes=len(response.body) if response else 0,
            ended_unix_s=time.time(),
        )
        key = (call.service, call.rank, outcome)
        with self._lock:
            self._records.append(record)
            total = self._totals_by_key.get(key)
            if total is None:
                total = self._totals_by_key[key] = RunTotal(*key)
            total.runs += 1
            total.waited_s += waited_s
            total.ran_s += ran_s
