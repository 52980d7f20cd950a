"""The messages of the inner protocol.

A message is a plain data class. Durations are carried in whole microseconds,
as no two processes share a clock.
"""

import dataclasses
import enum
import typing
from typing import Annotated

import msgspec

from savoryhollow import calls

__all__ = [
    "CallMessage",
    "CancelMessage",
    "CompareMessage",
    "DocumentText",
    "DocumentVersion",
    "GoAwayMessage",
    "HelloMessage",
    "ItemsMessage",
    "LoadReport",
    "Message",
    "NotRunMessage",
    "PROTOCOL_VERSION",
    "PublishedItem",
    "RelayMessage",
    "ReportMessage",
    "ResolutionMessage",
    "ResolutionState",
    "ResolveMessage",
    "RevisionDelta",
    "ServedMessage",
    "SubscribeMessage",
    "UnknownMessage",
]

Count = Annotated[int, msgspec.Meta(ge=0)]

# Raised whenever a message changes in a way that an older peer can't read.
PROTOCOL_VERSION = 4


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of one backend server as its gate knows it.

    :param service_us: smoothed time that a request holds a slot.
    :param queued_by_order: requests that wait at each order of rank or before
        it, the most urgent order first.
    :param pace_percent: how long work takes on the instance; 100 is usual. A slow
        spell that will soon end is left out.
    :param spell_us: time until such a spell is expected to end.
    """

    busy: Count
    queued: Count
    slots: Annotated[int, msgspec.Meta(ge=1)]
    service_us: Count
    leaving: bool
    queued_by_order: tuple[Count, ...] = ()
    pace_percent: Count = 100
    spell_us: Count = 0

    def queued_before(self, position: int) -> int:
        """Return the requests that a new one would find before it.

        :param position: the place of its rank in the order, 0 the most urgent.
        """
        if position < len(self.queued_by_order):
            return self.queued_by_order[position]
        return self.queued


@dataclasses.dataclass(frozen=True, slots=True)
class HelloMessage:
    """The first message on a connection, sent by both ends.

    :param connection: numbers the connections that this incarnation opened; 0
        from the end that accepts.
    :param wants_reports: whether the end that accepts is to send its load
        unasked.
    """

    version: int
    endpoint_id: str
    incarnation: str
    connection: int = 0
    wants_reports: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CallMessage:
    """Asks the gate to run a request.

    :param order: the place of its rank among all work, 0 the most urgent.
    :param objective_us: time within which its answer is of full use.
    :param expected_endpoint: the endpoint that is to run it; empty for any.
    :param patient: whether it waits at a gate where it can't start at once; else
        it is refused there.
    """

    request_id: str
    service: str
    rank: str
    caller: str
    remaining_us: int
    idempotent: bool
    depth: int
    attempts_left: int
    method: str
    path: str
    headers: tuple[calls.Header, ...]
    body: bytes
    order: int = 0
    objective_us: int = 0
    expected_endpoint: str = ""
    patient: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ServedMessage:
    """The whole answer of the backend server."""

    request_id: str
    status: int
    headers: tuple[calls.Header, ...]
    body: bytes
    load: LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class NotRunMessage:
    """The request was not run, and this incarnation never will run it."""

    request_id: str
    reason: calls.NotRunReason
    retry_after_ms: int
    load: LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownMessage:
    """The backend server may have run the request but gave no whole answer."""

    request_id: str
    detail: str
    load: LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class ReportMessage:
    """The load of a gate, sent unasked."""

    load: LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedItem:
    """One item that the platform publishes, or its removal.

    :param content: packed by zlib; None for a removal.
    """

    key: str
    revision: int
    content: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class SubscribeMessage:
    """Asks to be told what the platform publishes.

    :param known_revision: what came later than this isn't known yet.
    """

    known_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ItemsMessage:
    """What the platform has published, in answer to a subscription.

    :param since: the items are all that came later than this revision,
    :param as_of: and not later than this one.
    :param in_contact: whether the platform answers the sender.
    """

    since: int
    as_of: int
    in_contact: bool
    items: tuple[PublishedItem, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CancelMessage:
    """The caller no longer waits for the request."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ResolveMessage:
    """Asks what became of a request, and bars it if it never started.

    :param origin: where the request entered the inner protocol.
    """

    request_id: str
    origin: calls.Origin


@dataclasses.dataclass(frozen=True, slots=True)
class GoAwayMessage:
    """No call after the one numbered here was or will be accepted.

    :param last_number: the last call accepted on this connection.
    """

    last_number: int


class ResolutionState(enum.StrEnum):
    """What a gate knows of a request id."""

    BARRED = "barred"
    RUNNING = "running"
    FINISHED = "finished"
    FORGOTTEN = "forgotten"


@dataclasses.dataclass(frozen=True, slots=True)
class ResolutionMessage:
    """Answers a :class:`ResolveMessage`.

    :param answer: the whole answer, for a finished request.
    """

    request_id: str
    state: ResolutionState
    answer: ServedMessage | None = None


# ---------------------------------------------------------------------------
#   Published documents; an older daemon closes the connection that carries them
# ---------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentVersion:
    """The version of one document that a daemon has in force.

    :param revision: -1 where it has none.
    :param digest: of the content, as two publications may share a revision.
    :param rejected_digest: of the newest one it has rejected; empty for none.
    """

    topic: str
    revision: int
    digest: bytes
    rejected_digest: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentText:
    """One named part of a document."""

    name: str
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionDelta:
    """What turns a base version of a document into a newer one.

    :param base_revision: -1 where the delta holds the whole document.
    :param base_digest: the digest of the base.
    """

    topic: str
    base_revision: int
    base_digest: bytes
    revision: int
    digest: bytes
    changed: tuple[DocumentText, ...]
    removed: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CompareMessage:
    """Tells the versions in force here and asks for those of the peer."""

    versions: tuple[DocumentVersion, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RelayMessage:
    """Tells the versions in force here with what is newer than the peer's."""

    versions: tuple[DocumentVersion, ...]
    deltas: tuple[RevisionDelta, ...]


Message: typing.TypeAlias = (
    HelloMessage
    | CallMessage
    | ServedMessage
    | NotRunMessage
    | UnknownMessage
    | CancelMessage
    | ResolveMessage
    | ResolutionMessage
    | CompareMessage
    | RelayMessage
    | GoAwayMessage
    | ReportMessage
    | SubscribeMessage
    | ItemsMessage
)
