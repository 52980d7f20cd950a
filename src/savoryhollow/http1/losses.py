"""Requests that were read, at least in part, and end without a received response."""

import asyncio
import collections
import dataclasses
import enum
import typing

from savoryhollow import calls
from savoryhollow.http1 import messages, tcp_info

if typing.TYPE_CHECKING:
    from savoryhollow.http1 import callers

__all__ = ["MAX_REQUEST_ID_LENGTH", "Loss", "LossReporter", "Reason", "Stage"]

# Longer request ids are truncated to this many characters.
MAX_REQUEST_ID_LENGTH = 64
# Maximum number of responses of a connection whose receipt is checked at its end.
MAX_TRACKED_RESPONSES = 64
# Number of responses from which the kernel is asked which were received.
MIN_CHECKED_RESPONSES = 4


class Reason(enum.Enum):
    """Why a request ends without a received response."""

    # The caller closed its connection.
    CALLER_CLOSED = "caller-closed"
    # The connection was reset or timed out.
    CONNECTION_LOST = "connection-lost"
    # An earlier response closes the connection, so the request hasn't run.
    BEHIND_CLOSE = "behind-close"
    # The caller took no data for too long while its connection was closed.
    STALLED = "stalled"
    # The connection was idle for too long.
    IDLE_TIMEOUT = "idle-timeout"
    # The request lasted until the end of a planned stop, which responds to it.
    STOP_ENDED = "stop-ended"
    # The process ended.
    PROCESS_ENDED = "process-ended"
    # The handler failed; the response says nothing about the request.
    HANDLER_FAILED = "handler-failed"


class Stage(enum.Enum):
    """How far a request had come when it was lost."""

    HEAD = "head"
    BODY = "body"
    QUEUED = "queued"
    SERVED = "served"
    RESPONSE = "response"


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """A request that ends without a received response.

    :param request_id: its id; empty if that wasn't read.
    :param stage: how far it had come.
    :param reason: why it ends.
    :param received_at: the event loop's time at which its first byte arrived, in s.
    """

    request_id: str
    stage: Stage
    reason: Reason
    received_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _SentResponse:
    """The request of a response, and the length of all data sent up to its end."""

    request_id: str
    received_at: float
    end: int


class LossReporter:
    """Reports the lost requests of one connection.

    :param server: the server of the connection.
    """

    def __init__(self, server: "callers.Server"):
        self._server = server
        self._sent_bytes = 0
        self._responses: collections.deque[_SentResponse] = collections.deque(
            maxlen=MAX_TRACKED_RESPONSES
        )

    def record_sent(
        self, transport: asyncio.Transport, size: int, request: messages.Request | None
    ) -> None:
        """Record sent data.

        :param transport: the transport of the connection.
        :param size: the length of the data, in bytes.
        :param request: the request to which it is the response, if any.
        """
        self._sent_bytes += size
        if request is None:
            return
        if len(self._responses) >= MIN_CHECKED_RESPONSES:
            self._forget_received(transport)
        # The headers of a request aren't kept for as long as the connection is idle.
        request_id = self._find_id(request.headers)
        sent = _SentResponse(request_id, request.received_at, self._sent_bytes)
        self._responses.append(sent)

    def _forget_received(self, transport: asyncio.Transport) -> None:
        confirmed = tcp_info.confirmed_bytes(transport.get_extra_info("socket"))
        # Nothing can be told about the receipt where the kernel doesn't tell.
        limit = self._sent_bytes if confirmed is None else confirmed
        while self._responses and self._responses[0].end <= limit:
            self._responses.popleft()

    def report(
        self,
        headers: tuple[calls.Header, ...],
        received_at: float,
        stage: Stage,
        reason: Reason,
    ) -> None:
        """Report a lost request.

        :param headers: its headers, as far as they were read.
        :param received_at: when its first byte arrived, in s.
        :param stage: how far it had come.
        :param reason: why it ends.
        """
        request_id = self._find_id(headers)
        self._server.on_lost(Loss(request_id, stage, reason, received_at))

    def _find_id(self, headers: tuple[calls.Header, ...]) -> str:
        name = self._server.request_id_header
        return (messages.find_header(headers, name) or "")[:MAX_REQUEST_ID_LENGTH]

    def report_request(
        self, request: messages.Request, stage: Stage, reason: Reason
    ) -> None:
        """Report a lost request that was read completely."""
        self.report(request.headers, request.received_at, stage, reason)

    def report_unreceived(self, transport: asyncio.Transport, reason: Reason) -> None:
        """Report each response whose end the peer hasn't confirmed, once.

        :param transport: the transport of the connection.
        :param reason: why the connection ends.
        """
        if self._responses:
            self._forget_received(transport)
        for one in self._responses:
            loss = Loss(one.request_id, Stage.RESPONSE, reason, one.received_at)
            self._server.on_lost(loss)
        self._responses.clear()
