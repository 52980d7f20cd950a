"""Register of the connections and request outcomes of one gate incarnation.

A request is reported as never run only if that is proved: the connection that
carried it is known, accepts no further calls, and had not accepted the request.
The proof doesn't depend on any clock. A request whose record was evicted is
reported as forgotten, never as not run.
"""

import collections
import collections.abc
import dataclasses
import enum
import heapq
import threading
import typing

from savoryhollow.wire import messages

__all__ = ["BeginResult", "Connection", "OutcomeRegister"]

# How long the outcome of a request is kept after its deadline, in s.
OUTCOME_RETENTION_S = 10.0
# Limit of the requests on record, running and finished.
MAX_RECORDS = 8192
# Limit of the response bodies kept in memory, in bytes.
MAX_ANSWER_BYTES = 4 << 20
# The number that connections without calls announce.
NO_CALLS_NUMBER = 0
# Limit of the closed connections that are remembered.
MAX_CLOSED_CONNECTIONS = 2048

GateAnswer: typing.TypeAlias = (
    messages.ServedMessage | messages.NotRunMessage | messages.UnknownMessage
)


class BeginResult(enum.Enum):
    """Whether a new call is accepted, or why not.

    A call is barred if its connection refuses calls, and a duplicate if its request
    id is already on record.
    """

    ACCEPTED = enum.auto()
    BARRED = enum.auto()
    DUPLICATE = enum.auto()
    FULL = enum.auto()


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """One connection; calls arrive on it in the order in which they were sent.

    :param session: the incarnation of the router at the other end.
    :param number: the connection's number within the session.
    :param close: closes the connection; may be called from any thread.
    :param accepted_calls: the number of calls accepted so far.
    :param refuses_calls: whether further calls are refused.
    """

    session: str
    number: int
    close: collections.abc.Callable[[], None]
    accepted_calls: int = 0
    refuses_calls: bool = False


@dataclasses.dataclass(slots=True)
class _Record:
    """The state of one request and, once it is finished, its answer."""

    state: messages.ResolutionState
    deadline: float
    answer: messages.ServedMessage | None = None


class OutcomeRegister:
    """Keeps connections and the outcomes of requests in bounded memory.

    A running request is never evicted. When the register is full, it evicts the
    outcome that would expire next.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._records_by_id: dict[str, _Record] = {}
        self._expiry_heap: list[tuple[float, str]] = []
        self._answer_bytes = 0
        self._connections_by_origin: dict[tuple[str, int], Connection] = {}
        self._closed_connections: collections.deque[Connection] = collections.deque()

    def __len__(self) -> int:
        return len(self._records_by_id)

    # -----------------------------------------------------------------------
    #   Connections
    # -----------------------------------------------------------------------

    def open(
        self, session: str, number: int, close: collections.abc.Callable[[], None]
    ) -> Connection:
        """Register a new connection.

        :param session: the incarnation of the router at the other end.
        :param number: the connection's number within the session.
        :param close: closes the connection.
        :returns: the connection; it refuses calls if it announced that it carries
            none or if its number is already registered.
        """
        connection = Connection(session, number, close)
        if number == NO_CALLS_NUMBER:
            connection.refuses_calls = True
            return connection
        with self._lock:
            key = (session, number)
            connection.refuses_calls = key in self._connections_by_origin
            self._connections_by_origin.setdefault(key, connection)
        return connection

    def close(self, connection: Connection) -> None:
        """Record that a connection is closed; further calls on it are refused."""
        with self._lock:
            connection.refuses_calls = True
            key = (connection.session, connection.number)
            if self._connections_by_origin.get(key) is not connection:
                return
            if connection not in self._closed_connections:
                self._closed_connections.append(connection)
            while len(self._closed_connections) > MAX_CLOSED_CONNECTIONS:
                oldest = self._closed_connections.popleft()
                del self._connections_by_origin[oldest.session, oldest.number]

    def stop_accepting(self, connection: Connection) -> int | None:
        """Refuse all further calls on a connection.

        :param connection: the connection.
        :returns: the number of the last call accepted on it, or None if it
            carries no calls.
        """
        if connection.number == NO_CALLS_NUMBER:
            return None
        with self._lock:
            connection.refuses_calls = True
            return connection.accepted_calls

    # -----------------------------------------------------------------------
    #   Requests
    # -----------------------------------------------------------------------

    def begin(
        self, request_id: str, connection: Connection | None, deadline: float
    ) -> BeginResult:
        """Register a call that has arrived.

        :param request_id: the id of the request.
        :param connection: the connection that carried the call; None for a call
            made by this process.
        :param deadline: the time after which an answer is useless.
        :returns: whether the call is accepted, or why not.
        """
        with self._lock:
            if connection is not None and not connection.refuses_calls:
                connection.accepted_calls += 1
            if request_id in self._records_by_id:
                return BeginResult.DUPLICATE
            if connection is not None and connection.refuses_calls:
                return BeginResult.BARRED
            if len(self._records_by_id) >= MAX_RECORDS and not self._evict_next():
                return BeginResult.FULL
            state = messages.ResolutionState.RUNNING
            self._records_by_id[request_id] = _Record(state, deadline)
            return BeginResult.ACCEPTED

    def finish(self, request_id: str, answer: GateAnswer, now: float) -> None:
        """Record the answer to a request that was accepted here.

        :param request_id: the id of the request.
        :param answer: the answer.
        :param now: the current time.
        """
        with self._lock:
            self._evict_expired(now)
            record = self._records_by_id.get(request_id)
            if record is None or record.state is not messages.ResolutionState.RUNNING:
                return
            if isinstance(answer, messages.NotRunMessage):
                record.state = messages.ResolutionState.BARRED
            elif isinstance(answer, messages.UnknownMessage):
                record.state = messages.ResolutionState.FORGOTTEN
            else:
                self._store_answer(record, answer)
            expires_at = max(record.deadline, now) + OUTCOME_RETENTION_S
            heapq.heappush(self._expiry_heap, (expires_at, request_id))

    def resolve(
        self,
        message: messages.ResolveMessage,
        received_on: Connection | None,
        now: float,
    ) -> messages.ResolutionMessage:
        """Return the state of a request, and bar it if it never arrived.

        A barred request is never run: the connection that would carry it refuses
        further calls and is closed.

        :param message: the id of the request and its origin.
        :param received_on: the connection that carried the message; None for a
            message of this process.
        :param now: the current time.
        :returns: the state and, for a finished request, its answer.
        """
        origin = message.origin
        request_id = message.request_id
        with self._lock:
            self._evict_expired(now)
            key = (origin.session, origin.connection)
            connection = self._connections_by_origin.get(key)
            record = self._records_by_id.get(request_id)
            may_have_arrived = (
                connection is None or origin.number <= connection.accepted_calls
            )
            superseded = connection is not None and _is_superseded(
                connection, received_on
            )
            must_close = connection is not None and (superseded or not may_have_arrived)
            if connection is not None and must_close:
                connection.refuses_calls = True
        if connection is not None and must_close:
            connection.close()
        if record is not None:
            return messages.ResolutionMessage(request_id, record.state, record.answer)
        if may_have_arrived:
            state = messages.ResolutionState.FORGOTTEN
        else:
            state = messages.ResolutionState.BARRED
        return messages.ResolutionMessage(request_id, state)

    def _store_answer(self, record: _Record, answer: messages.ServedMessage) -> None:
        size = len(answer.body)
        while self._answer_bytes + size > MAX_ANSWER_BYTES and self._evict_next():
            pass
        if self._answer_bytes + size > MAX_ANSWER_BYTES:
            record.state = messages.ResolutionState.FORGOTTEN
            return
        record.state = messages.ResolutionState.FINISHED
        record.answer = answer
        self._answer_bytes += size

    def _evict_expired(self, now: float) -> None:
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            self._evict_next()

    def _evict_next(self) -> bool:
        if not self._expiry_heap:
            return False
        _, request_id = heapq.heappop(self._expiry_heap)
        record = self._records_by_id.pop(request_id)
        if record.answer is not None:
            self._answer_bytes -= len(record.answer.body)
        return True


def _is_superseded(connection: Connection, received_on: Connection | None) -> bool:
    """Return True if the same router asks on a newer connection."""
    if received_on is None or received_on.session != connection.session:
        return False
    return received_on.number > connection.number
