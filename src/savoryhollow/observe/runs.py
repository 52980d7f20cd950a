"""A bounded record of what a gate had its backend server run.

It is the other half of the placement records: routers know why a request went
to an endpoint, the endpoint's gate knows how long it waited and ran there.
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

# Runs kept by one daemon.
RING_SIZE = 4096

RunBackend = collections.abc.Callable[
    [messages.CallMessage, float], backend_client.BackendAnswer
]


@dataclasses.dataclass(frozen=True, slots=True)
class RunRecord:
    """One request that was sent to the backend server.

    :param attempt_id: the id under which routers know the attempt.
    :param waited_ms: time between its arrival at the gate and its slot.
    :param ran_ms: time that it held the slot.
    :param outcome: ``answered``, ``lost`` where no whole answer came, or
        ``not-started`` where the backend server never saw it.
    :param status: the status of the answer; 0 without one.
    :param ended_unix_s: when it ended, in seconds of the wall clock.
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
    """How many requests of one kind the backend server ran, and at what cost."""

    service: str
    rank: str
    outcome: str
    runs: int = 0
    waited_s: float = 0.0
    ran_s: float = 0.0


class RunLog:
    """Keeps the newest runs and the totals of all.

    :param size: runs kept.
    """

    def __init__(self, size: int = RING_SIZE):
        self._lock = threading.Lock()
        self._ring: collections.deque[RunRecord] = collections.deque(maxlen=size)
        self._totals_by_key: dict[tuple[str, str, str], RunTotal] = {}

    def observe(self, run: RunBackend) -> RunBackend:
        """Return a function that runs a call as before and records it.

        :param run: sends a call to the backend server by a deadline.
        """

        def observed(
            call: messages.CallMessage, deadline: float
        ) -> backend_client.BackendAnswer:
            started = time.monotonic()
            try:
                answer = run(call, deadline)
            except errors.BackendError as error:
                outcome = "lost" if error.started else "not-started"
                self._note(call, deadline, started, outcome, None)
                raise
            self._note(call, deadline, started, "answered", answer)
            return answer

        return observed

    def find(self, request_id: str) -> list[RunRecord]:
        """Return the kept runs of every attempt of one request."""
        with self._lock:
            kept = list(self._ring)
        return [r for r in kept if r.attempt_id.rpartition(".")[0] == request_id]

    def totals(self) -> list[RunTotal]:
        """Return the totals of all runs since the daemon started."""
        with self._lock:
            return [dataclasses.replace(t) for t in self._totals_by_key.values()]

    def _note(self, call, deadline, started, outcome, answer) -> None:
        # The gate stores the deadline at the instant at which the call arrives.
        arrived = deadline - call.remaining_us / 1e6
        waited_s = max(0.0, started - arrived)
        ran_s = time.monotonic() - started
        record = RunRecord(
            attempt_id=call.request_id,
            service=call.service,
            rank=call.rank,
            waited_ms=waited_s * 1e3,
            ran_ms=ran_s * 1e3,
            outcome=outcome,
            status=answer.status if answer else 0,
            answer_bytes=len(answer.body) if answer else 0,
            ended_unix_s=time.time(),
        )
        key = (call.service, call.rank, outcome)
        with self._lock:
            self._ring.append(record)
            total = self._totals_by_key.get(key)
            if total is None:
                total = self._totals_by_key[key] = RunTotal(*key)
            total.runs += 1
            total.waited_s += waited_s
            total.ran_s += ran_s
