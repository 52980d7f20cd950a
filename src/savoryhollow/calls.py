"""Calls and their outcomes, as used by all packages of the project.

Points in time, such as deadlines, are seconds of this process's monotonic clock.
They are never sent to another process: messages carry the remaining time instead.
"""

import dataclasses
import enum
import math
import secrets
import typing

__all__ = [
    "Call",
    "Header",
    "NotRun",
    "NotRunReason",
    "Origin",
    "Outcome",
    "Served",
    "Ticket",
    "TimedOut",
    "Unknown",
    "new_request_id",
]

# Number of random bytes in a generated request id.
REQUEST_ID_BYTES = 12


def new_request_id() -> str:
    """Return a new request id that is unique across processes.

    :returns: random hexadecimal digits.
    """
    return secrets.token_hex(REQUEST_ID_BYTES)


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header that is forwarded between a caller and a backend server."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller to a service.

    :param request_id: identifies the request in every process and record.
    :param service: the name of the requested service.
    :param rank: the rank of the request within the service.
    :param caller: the name of the caller, used for fairness within a rank.
    :param deadline: the time after which an answer is useless.
    :param idempotent: whether the request may run more than once.
    :param depth: the number of calls above this one in the tree of calls.
    :param attempts_left: attempts that may still be made in the whole tree of
        calls, the first attempt of this call included.
    :param method: the HTTP method.
    :param path: the HTTP path with its query.
    :param headers: the headers forwarded to the backend server.
    :param body: the whole body.
    :param order: the priority of its rank among all work; 0 is the most urgent.
    :param objective: the time up to which an answer has its full value.
    """

    request_id: str
    service: str
    rank: str
    caller: str
    deadline: float
    idempotent: bool
    depth: int
    attempts_left: int
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    order: int = 0
    objective: float = math.inf


# ---------------------------------------------------------------------------
#   Outcomes
# ---------------------------------------------------------------------------


class NotRunReason(enum.StrEnum):
    """The reason why a request was not run."""

    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_RANK = "unknown-rank"
    NO_ENDPOINT = "no-endpoint"
    DEADLINE = "deadline"
    QUEUE_FULL = "queue-full"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    BARRED = "barred"
    CANCELLED = "cancelled"
    RETRY_BUDGET = "retry-budget"
    LINK_BUDGET = "link-budget"
    UNREACHABLE = "unreachable"
    # The backend server received the request and replied that it did not run it.
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    # The request would have to wait at this gate; another gate may be faster.
    NOT_NOW = "not-now"


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """The router, connection and position of a call sent by the inner protocol.

    :param session: the incarnation of the router that sent the call.
    :param connection: the number of its connection within the session.
    :param number: the position of the call on that connection, counted from 1.
    """

    session: str
    connection: int
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Identifies the endpoint incarnation that may have run a request.

    :param request_id: the id of the attempt sent to the endpoint.
    :param incarnation: the incarnation of the endpoint at the time.
    :param origin: the connection and position of the attempt.
    """

    request_id: str
    endpoint_id: str
    incarnation: str
    origin: Origin


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """The backend server ran the request and its response is complete."""

    request_id: str
    endpoint_id: str
    status: int
    headers: tuple[Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request was not run, and will not be.

    :param reason: why it was not run.
    :param retry_after_ms: how long the caller should wait before it retries, in
        milliseconds.
    """

    request_id: str
    reason: NotRunReason
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run.

    :param ticket: lets the caller ask for the outcome later.
    :param detail: what went wrong.
    """

    request_id: str
    ticket: Ticket
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class TimedOut:
    """The deadline passed while the idempotent request was in progress."""

    request_id: str
    endpoint_id: str


Outcome: typing.TypeAlias = Served | NotRun | Unknown | TimedOut
