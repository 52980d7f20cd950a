"""What one incarnation of a gate knows of each request.

That a request never started, and never will, is said on proof alone: the
connection that carried it is known here, accepts no further call, and had not
accepted the request. No clock takes part in the proof. What is forgotten is
answered as forgotten, never as not run.
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

# How long the outcome of a request outlives its deadline, in s.
KEEP_S = 10.0
# Records held at one time.
MAX_RECORDS = 8192
# Bytes of finished answers held at one time.
MAX_ANSWER_BYTES = 4 << 20
# The number of connections that carry no calls.
NO_CALLS = 0
# Closed connections remembered at one time.
MAX_CLOSED = 2048

GateAnswer: typing.TypeAlias = (
    messages.ServedMessage | messages.NotRunMessage | messages.UnknownMessage
)


class BeginResult(enum.Enum):
    """Whether a call may go on."""

    ACCEPTED = enum.auto()
    BARRED = enum.auto()
    DUPLICATE = enum.auto()
    FULL = enum.auto()


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """One connection on which calls arrive in their order.

    :param session: the incarnation of the router at the other end.
    :param number: the connection's number within the session.
    :param close: ends the connection; it may be called by any thread.
    :param accepted: calls accepted so far.
    :param void: whether no further call is accepted.
    """

    session: str
    number: int
    close: collections.abc.Callable[[], None]
    accepted: int = 0
    refuses_calls: bool = False


@dataclasses.dataclass(slots=True)
class _Record:
    state: messages.ResolutionState
    deadline: float
    answer: messages.ServedMessage | None = None


class OutcomeRegister:
    """Remembers connections and the outcomes of requests in a bounded memory.

    A running request is never forgotten. At the bound the outcome that would
    be forgotten next goes first.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._records_by_id: dict[str, _Record] = {}
        self._ended: list[tuple[float, str]] = []
        self._answer_bytes = 0
        self._connections_by_origin: dict[tuple[str, int], Connection] = {}
        self._closed: collections.deque[Connection] = collections.deque()

    def __len__(self) -> int:
        return len(self._records_by_id)

    # -----------------------------------------------------------------------
    #   Connections
    # -----------------------------------------------------------------------

    def open(
        self, session: str, number: int, close: collections.abc.Callable[[], None]
    ) -> Connection:
        """Note a new connection.

        :param session: the incarnation of the router at the other end.
        :param number: the connection's number within the session.
        :param close: ends the connection.
        :returns: the connection; it is void where it carries no calls or its
            number is known already.
        """
        connection = Connection(session, number, close)
        if number == NO_CALLS:
            connection.refuses_calls = True
            return connection
        with self._lock:
            key = (session, number)
            connection.refuses_calls = key in self._connections_by_origin
            self._connections_by_origin.setdefault(key, connection)
        return connection

    def close(self, connection: Connection) -> None:
        """Note that a connection has ended; no call on it is accepted any more."""
        with self._lock:
            connection.refuses_calls = True
            key = (connection.session, connection.number)
            if self._connections_by_origin.get(key) is not connection:
                return
            if connection not in self._closed:
                self._closed.append(connection)
            while len(self._closed) > MAX_CLOSED:
                oldest = self._closed.popleft()
                del self._connections_by_origin[oldest.session, oldest.number]

    def stop_accepting(self, connection: Connection) -> int | None:
        """Accept no further call on a connection.

        :param connection: the connection.
        :returns: the number of the last call that was accepted on it, or None
            where it carries no calls.
        """
        if connection.number == NO_CALLS:
            return None
        with self._lock:
            connection.refuses_calls = True
            return connection.accepted

    # -----------------------------------------------------------------------
    #   Requests
    # -----------------------------------------------------------------------

    def begin(
        self, request_id: str, connection: Connection | None, deadline: float
    ) -> BeginResult:
        """Note that a call has arrived.

        :param request_id: the id of the request.
        :param connection: carried the call; None for a call of this process.
        :param deadline: the instant after which its answer is of no use.
        :returns: whether it may go on.
        """
        with self._lock:
            if connection is not None and not connection.refuses_calls:
                connection.accepted += 1
            if request_id in self._records_by_id:
                return BeginResult.DUPLICATE
            if connection is not None and connection.refuses_calls:
                return BeginResult.BARRED
            if len(self._records_by_id) >= MAX_RECORDS and not self._forget_one():
                return BeginResult.FULL
            state = messages.ResolutionState.RUNNING
            self._records_by_id[request_id] = _Record(state, deadline)
            return BeginResult.ACCEPTED

    def finish(self, request_id: str, answer: GateAnswer, now: float) -> None:
        """Note the answer of a request that began here.

        :param request_id: the id of the request.
        :param answer: its answer.
        :param now: the present instant.
        """
        with self._lock:
            self._forget_old(now)
            record = self._records_by_id.get(request_id)
            if record is None or record.state is not messages.ResolutionState.RUNNING:
                return
            if isinstance(answer, messages.NotRunMessage):
                record.state = messages.ResolutionState.BARRED
            elif isinstance(answer, messages.UnknownMessage):
                record.state = messages.ResolutionState.FORGOTTEN
            else:
                self._keep_answer(record, answer)
            forget_at = max(record.deadline, now) + KEEP_S
            heapq.heappush(self._ended, (forget_at, request_id))

    def resolve(
        self, message: messages.ResolveMessage, asker: Connection | None, now: float
    ) -> messages.ResolutionMessage:
        """Say what became of a request; one that never arrived never will.

        :param message: names the request and where it entered.
        :param asker: the connection that the question came on; None for one of
            this process.
        :param now: the present instant.
        :returns: the state and, for a finished request, its answer.
        """
        origin = message.origin
        request_id = message.request_id
        with self._lock:
            self._forget_old(now)
            entry = (origin.session, origin.connection)
            connection = self._connections_by_origin.get(entry)
            record = self._records_by_id.get(request_id)
            arrived = connection is None or origin.number <= connection.accepted
            abandoned = connection is not None and _is_abandoned(connection, asker)
            ends = connection is not None and (abandoned or not arrived)
            if connection is not None and ends:
                connection.refuses_calls = True
        if connection is not None and ends:
            connection.close()
        if record is not None:
            return messages.ResolutionMessage(request_id, record.state, record.answer)
        if arrived:
            state = messages.ResolutionState.FORGOTTEN
        else:
            state = messages.ResolutionState.BARRED
        return messages.ResolutionMessage(request_id, state)

    def _keep_answer(self, record: _Record, answer: messages.ServedMessage) -> None:
        size = len(answer.body)
        while self._answer_bytes + size > MAX_ANSWER_BYTES and self._forget_one():
            pass
        if self._answer_bytes + size > MAX_ANSWER_BYTES:
            record.state = messages.ResolutionState.FORGOTTEN
            return
        record.state = messages.ResolutionState.FINISHED
        record.answer = answer
        self._answer_bytes += size

    def _forget_old(self, now: float) -> None:
        while self._ended and self._ended[0][0] <= now:
            self._forget_one()

    def _forget_one(self) -> bool:
        if not self._ended:
            return False
        _, request_id = heapq.heappop(self._ended)
        record = self._records_by_id.pop(request_id)
        if record.answer is not None:
            self._answer_bytes -= len(record.answer.body)
        return True


def _is_abandoned(connection: Connection, asker: Connection | None) -> bool:
    """Say whether a router asks on a newer connection about an older one."""
    if asker is None or asker.session != connection.session:
        return False
    return asker.number > connection.number
