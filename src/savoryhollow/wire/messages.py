"""The messages of the inner protocol.

Each message is a data class. Processes don't share a clock, so messages carry
durations, in whole microseconds, and never points in time.
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
    "MessageWithBody",
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

# Must be incremented when a message changes in a way that older peers can't decode.
PROTOCOL_VERSION = 6


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of one backend server as reported by its gate.

    :param busy: the number of slots in use.
    :param queued: the number of queued requests.
    :param slots: the number of slots.
    :param service_us: the smoothed time for which a request holds a slot, in µs; 0 if
        it isn't known yet.
    :param leaving: whether the gate accepts no new requests.
    :param queued_by_order: for each order of rank, the number of requests queued at
        this or a more urgent order; the most urgent order comes first.
    :param pace_percent: the time that work takes on the instance, in percent of the
        usual time; slow spells that will end soon are not included.
    :param spell_us: the time after which the current slow spell is expected to end,
        in µs.
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
        """Return the number of queued requests that are served before a new one.

        :param position: the order of the new request's rank; 0 is the most urgent.
        """
        if position < len(self.queued_by_order):
            return self.queued_by_order[position]
        return self.queued


@dataclasses.dataclass(frozen=True, slots=True)
class HelloMessage:
    """The first message on a connection, sent by both ends.

    :param version: the protocol version of the sender.
    :param endpoint_id: the endpoint id of the sender, or another name for a process
        that is no endpoint.
    :param incarnation: identifies one run of the sending process.
    :param connection: the number of the connection among those opened by this
        incarnation; 0 in the message of the accepting end.
    :param report_interval_ms: the shortest interval at which the accepting end should
        send load reports, in ms; 0 for no reports.
    """

    version: int
    endpoint_id: str
    incarnation: str
    connection: int = 0
    report_interval_ms: Count = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallMessage:
    """Asks the gate to run a request.

    The fields that also exist in :class:`savoryhollow.calls.Call` mean the same.

    :param remaining_us: the time left until the deadline, in µs.
    :param order: the priority of its rank among all work; 0 is the most urgent.
    :param objective_us: the time within which an answer has its full value, in µs.
    :param expected_endpoint: the id of the endpoint that should run the request; if
        empty, any endpoint may run it.
    :param patient: whether the gate may queue the request if it can't start at once;
        otherwise the gate refuses it.
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
    """The complete response of the backend server."""

    request_id: str
    status: int
    headers: tuple[calls.Header, ...]
    body: bytes
    load: LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class NotRunMessage:
    """The request was not run and will never be run by this incarnation."""

    request_id: str
    reason: calls.NotRunReason
    retry_after_ms: int
    load: LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownMessage:
    """The backend server may have run the request but gave no complete response."""

    request_id: str
    detail: str
    load: LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class ReportMessage:
    """The load of a gate, sent without a request."""

    load: LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedItem:
    """An item published by the platform, or the removal of one.

    :param content: the content compressed by zlib; None for a removal.
    """

    key: str
    revision: int
    content: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class SubscribeMessage:
    """Subscribes to the items that the platform publishes.

    :param known_revision: the newest revision known to the sender; it needs only
        later items.
    """

    known_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ItemsMessage:
    """Items published by the platform, sent to a subscriber.

    The items are all those with a revision later than ``since`` and not later than
    ``as_of``.

    :param since: the revision after which the items start.
    :param as_of: the revision up to which the items are complete.
    :param confirmed_age_us: the time since the platform last confirmed that the items
        are complete up to ``as_of``, in µs; None if it never did.
    """

    since: int
    as_of: int
    confirmed_age_us: Count | None
    items: tuple[PublishedItem, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CancelMessage:
    """The caller no longer waits for the request."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ResolveMessage:
    """Asks for the state of a request and bars it if it has not arrived.

    A barred request never runs: the connection that would carry it refuses further
    calls and is closed.

    :param origin: the connection and position at which the request was sent.
    """

    request_id: str
    origin: calls.Origin


@dataclasses.dataclass(frozen=True, slots=True)
class GoAwayMessage:
    """Announces that the sender accepts no further calls on this connection.

    :param last_number: the number of the last call that it accepted.
    """

    last_number: int


class ResolutionState(enum.StrEnum):
    """The state of a request as known to a gate."""

    BARRED = "barred"
    RUNNING = "running"
    FINISHED = "finished"
    FORGOTTEN = "forgotten"


@dataclasses.dataclass(frozen=True, slots=True)
class ResolutionMessage:
    """Answers a :class:`ResolveMessage`.

    :param answer: the complete response if the request is finished and the response
        is still stored.
    """

    request_id: str
    state: ResolutionState
    answer: ServedMessage | None = None


# ---------------------------------------------------------------------------
#   Published documents; an older daemon closes a connection that carries them
# ---------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentVersion:
    """The version of a document that a daemon has in force.

    :param topic: the name of the document.
    :param revision: the revision of the document; -1 if the daemon has none.
    :param digest: the digest of the content; two publications may have the same
        revision, so the revision alone doesn't identify the content.
    :param rejected_digest: the digest of the newest version that the daemon rejected;
        empty if there is none.
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
    """The changes from a base version of a document to a newer version.

    :param base_revision: the revision of the base version; -1 if the delta contains
        the whole document.
    :param base_digest: the digest of the base version.
    :param changed: the parts that were added or changed.
    :param removed: the names of the removed parts.
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
    """Lists the versions in force at the sender and asks for those of the peer."""

    versions: tuple[DocumentVersion, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RelayMessage:
    """Lists the versions in force at the sender and updates the peer's older ones."""

    versions: tuple[DocumentVersion, ...]
    deltas: tuple[RevisionDelta, ...]


MessageWithBody: typing.TypeAlias = CallMessage | ServedMessage

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
