"""Calls and their outcomes, as every package of the project sees them.

Instants are seconds of this process's monotonic clock. They are never sent to
another process: a message carries the time that remains.
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

# Length of a generated request id, in random bytes.
REQUEST_ID_BYTES = 12


def new_request_id() -> str:
    """Return a request id that no other process generates.

    :returns: a random identifier in hexadecimal digits.
    """
    return secrets.token_hex(REQUEST_ID_BYTES)


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header that is passed between a caller and a backend server."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller on its way to a backend server.

    :param request_id: identifies the request in every process and record.
    :param service: the named service that is asked for.
    :param rank: the rank of work within the service.
    :param caller: names the caller, for fairness within a rank.
    :param deadline: the instant after which an answer is of no use.
    :param idempotent: whether the request may run more than once.
    :param depth: how many calls stand above this one.
    :param attempts_left: attempts that may still be made for the whole tree.
    :param method: the HTTP method.
    :param path: the HTTP path with its query.
    :param headers: the headers passed on to the backend server.
    :param body: the whole body.
    :param order: the place of its rank among all work, 0 the most urgent.
    :param objective: the instant until which its answer is of full use.
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
    """Why a request was refused before any backend server saw it."""

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
    # The backend server was reached and said that it did not run the request.
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    # It would have to wait at this gate, and others may be quicker.
    NOT_NOW = "not-now"


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Where a call entered the inner protocol.

    :param session: the incarnation of the router that sent it.
    :param connection: the number of its connection within the session.
    :param number: which call on that connection it was; the first is 1.
    """

    session: str
    connection: int
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Names the one endpoint incarnation that may have run a request.

    :param request_id: the id of the attempt there.
    :param origin: where the attempt entered the inner protocol.
    """

    request_id: str
    endpoint_id: str
    incarnation: str
    origin: Origin


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """The backend server answered, and the answer is whole."""

    request_id: str
    endpoint_id: str
    status: int
    headers: tuple[Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """No backend server saw the request, and none will.

    :param retry_after_ms: when the caller may come again, in milliseconds.
    """

    request_id: str
    reason: NotRunReason
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; the ticket asks for it later."""

    request_id: str
    ticket: Ticket
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class TimedOut:
    """The deadline passed while the idempotent request was in progress."""

    request_id: str
    endpoint_id: str


Outcome: typing.TypeAlias = Served | NotRun | Unknown | TimedOut
