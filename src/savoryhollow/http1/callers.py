"""Connections of callers.

Requests that may run more than once are served side by side, though their
answers leave in the order of the requests. Any other request waits until the
answers before it have left, as a connection that closes in between makes the
caller send it again.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import socket

import httptools

from savoryhollow import calls
from savoryhollow.http1 import messages

__all__ = ["CallerConnection", "Handler", "Limits", "Server"]

# Requests read from one connection and not yet answered, at most.
MAX_PIPELINED = 64
# Connections that may wait to be accepted.
BACKLOG = 1024
# Time that an unread answer may take to leave once the connection is to close, in s.
CLOSE_TIMEOUT_S = 1.0
# Methods whose requests may be served beside others of their connection.
CONCURRENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))

Handler = collections.abc.Callable[
    [messages.Request], collections.abc.Awaitable[messages.Response]
]


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What a caller may send, and how long it may take."""

    header_bytes: int = 65_536
    body_bytes: int = 16 << 20
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclasses.dataclass(slots=True)
class _PipelinedRequest:
    """One request's place in the order of answers.

    :param request: None for a request that was rejected while it was read.
    """

    request: messages.Request | None
    response: messages.Response | None = None
    task: asyncio.Task | None = None


class Server:
    """Accepts callers and keeps account of their connections.

    :param handle: answers one request; cancelled where the caller has left.

    ``on_rejected`` is told the status of each request that is rejected while it is
    read, and the headers read so far.
    """

    def __init__(self, handle: Handler):
        self.handle = handle
        self.limits = Limits()
        self.closing = False
        self.closed = False
        self.on_rejected: collections.abc.Callable[
            [int, tuple[calls.Header, ...]], None
        ] = lambda status, headers: None
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    @property
    def in_progress(self) -> int:
        """The number of requests that were read and not yet answered."""
        return sum(connection.pending for connection in self.connections)

    async def start(
        self, host: str, port: int, listening: socket.socket | None = None
    ) -> None:
        """Listen on an address.

        :param listening: a socket that does so already, in place of a new one.
        """
        if listening is None:
            listening = socket.create_server((host, port), backlog=BACKLOG)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), sock=listening, backlog=BACKLOG
        )

    def disable_keep_alive(self) -> None:
        """Let each connection end with the answer to its next request."""
        self.closing = True

    def close(self) -> None:
        """Accept nothing more and end what is idle; answers owed still leave."""
        self.closing = True
        self.closed = True
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            if not connection.pending:
                connection.close()


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    :param server: the server that accepted it.
    """

    def __init__(self, server: Server):
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._pipeline: collections.deque[_PipelinedRequest] = collections.deque()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False
        self._reset_message()

    @property
    def pending(self) -> int:
        """The number of requests that are not yet answered."""
        return len(self._pipeline)

    # -----------------------------------------------------------------------
    #   The transport
    # -----------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)
        self._restart_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the work that nobody waits for any more."""
        self._closed = True
        self._server.connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        for entry in self._pipeline:
            if entry.task is not None:
                entry.task.cancel()
        self._pipeline.clear()

    def data_received(self, data: bytes) -> None:
        """Read what the caller sent."""
        if self._closed:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError:
            self._reject(400)
        self._restart_timer()

    # -----------------------------------------------------------------------
    #   The parser
    # -----------------------------------------------------------------------

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: list[calls.Header] = []
        self._body: list[bytes] = []
        self._header_bytes = 0
        self._body_bytes = 0
        self._reading_message = False

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._reset_message()
        self._reading_message = True

    def on_url(self, url: bytes) -> None:
        """Take in a part of the target."""
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in one header."""
        header = calls.Header(name.decode("latin-1"), value.decode("latin-1"))
        self._headers.append(header)
        self._count_header_bytes(len(name) + len(value) + 4)

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits.header_bytes:
            self._reject(431)

    def on_headers_complete(self) -> None:
        """Invite the body where the caller waits for that."""
        expected = messages.find_header(tuple(self._headers), "expect")
        if expected and expected.lower() == "100-continue" and not self._closed:
            assert self._transport is not None
            if not self._pipeline:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take in a part of the body."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.body_bytes:
            self._reject(413)

    def on_message_complete(self) -> None:
        """Serve the request that is now whole."""
        self._reading_message = False
        if self._closed or self._server.closed:
            # Not read, as far as the caller is concerned: it sends it again.
            return
        request = messages.Request(
            method=self._parser.get_method().decode("latin-1"),
            target=self._target.decode("latin-1"),
            headers=tuple(self._headers),
            body=b"".join(self._body),
            received_at=self._loop.time(),
            keep_alive=self._parser.should_keep_alive(),
        )
        self._pipeline.append(_PipelinedRequest(request))
        if len(self._pipeline) >= MAX_PIPELINED:
            assert self._transport is not None
            self._transport.pause_reading()
        self._start_ready()

    # -----------------------------------------------------------------------
    #   Turns
    # -----------------------------------------------------------------------

    def _start_ready(self) -> None:
        """Start each request that needn't wait for the ones before it."""
        for position, entry in enumerate(self._pipeline):
            if entry.request is None:
                return
            if entry.request.method not in CONCURRENT_METHODS:
                if position == 0 and entry.task is None:
                    self._start_task(entry)
                return
            if entry.task is None:
                self._start_task(entry)
            if not entry.request.keep_alive:
                return

    def _start_task(self, entry: _PipelinedRequest) -> None:
        assert entry.request is not None
        entry.task = self._loop.create_task(self._serve(entry, entry.request))

    async def _serve(self, entry: _PipelinedRequest, request: messages.Request) -> None:
        try:
            entry.response = await self._server.handle(request)
        finally:
            if entry.response is None and not self._closed:
                # A fault of ours; the caller is told nothing that may be untrue.
                entry.response = messages.Response(500, close=True)
            self._flush()

    def _flush(self) -> None:
        while (
            self._pipeline
            and self._pipeline[0].response is not None
            and not self._closed
        ):
            entry = self._pipeline.popleft()
            self._write(entry)
        if not self._closed:
            self._start_ready()
            if len(self._pipeline) < MAX_PIPELINED and self._transport is not None:
                self._transport.resume_reading()
            self._restart_timer()

    def _write(self, entry: _PipelinedRequest) -> None:
        assert entry.response is not None and self._transport is not None
        request = entry.request
        is_kept_alive = request is not None and request.keep_alive
        # With answers still owed, the connection may end after the last of them.
        must_close = not is_kept_alive or entry.response.close
        must_close = must_close or (self._server.closing and not self._pipeline)
        response = messages.Response(
            entry.response.status,
            entry.response.headers,
            entry.response.body,
            must_close,
        )
        self._transport.write(messages.render_response(response))
        if must_close:
            self.close()

    def close(self) -> None:
        """Close the connection once what was written has left."""
        self._closed = True
        for entry in self._pipeline:
            if entry.task is not None:
                entry.task.cancel()
        self._pipeline.clear()
        if self._transport is not None:
            self._transport.close()
            self._loop.call_later(CLOSE_TIMEOUT_S, self._transport.abort)

    def _reject(self, status: int) -> None:
        """Answer bytes that are no request, after all answers owed before it."""
        if self._pipeline and self._pipeline[-1].request is None:
            return
        self._server.on_rejected(status, tuple(self._headers))
        self._pipeline.append(
            _PipelinedRequest(None, messages.Response(status, close=True))
        )
        if self._transport is not None:
            self._transport.pause_reading()
        self._flush()

    # -----------------------------------------------------------------------
    #   Time
    # -----------------------------------------------------------------------

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._closed or self._pipeline:
            return
        limits = self._server.limits
        timeout_s = (
            limits.header_timeout_s if self._reading_message else limits.idle_timeout_s
        )
        self._timer = self._loop.call_later(timeout_s, self._on_timeout)

    def _on_timeout(self) -> None:
        if self._pipeline or self._closed:
            return
        if self._reading_message:
            self._reject(408)
        else:
            self.close()
