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
LINGER_S = 1.0
# Methods whose requests may be served beside others of their connection.
SIDE_BY_SIDE = frozenset(("GET", "HEAD", "OPTIONS"))

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
class _Turn:
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
                connection.end()


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    :param server: the server that accepted it.
    """

    def __init__(self, server: Server):
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._turns: collections.deque[_Turn] = collections.deque()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._ended = False
        self._reset_message()

    @property
    def pending(self) -> int:
        """The number of requests that are not yet answered."""
        return len(self._turns)

    # -----------------------------------------------------------------------
    #   The transport
    # -----------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)
        self._arm()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the work that nobody waits for any more."""
        self._ended = True
        self._server.connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        for turn in self._turns:
            if turn.task is not None:
                turn.task.cancel()
        self._turns.clear()

    def data_received(self, data: bytes) -> None:
        """Read what the caller sent."""
        if self._ended:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError:
            self._reject(400)
        self._arm()

    # -----------------------------------------------------------------------
    #   The parser
    # -----------------------------------------------------------------------

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: list[calls.Header] = []
        self._body: list[bytes] = []
        self._header_bytes = 0
        self._body_bytes = 0
        self._reading = False

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._reset_message()
        self._reading = True

    def on_url(self, url: bytes) -> None:
        """Take in a part of the target."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in one header."""
        header = calls.Header(name.decode("latin-1"), value.decode("latin-1"))
        self._headers.append(header)
        self._count_head(len(name) + len(value) + 4)

    def _count_head(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits.header_bytes:
            self._reject(431)

    def on_headers_complete(self) -> None:
        """Invite the body where the caller waits for that."""
        expected = messages.find_header(tuple(self._headers), "expect")
        if expected and expected.lower() == "100-continue" and not self._ended:
            assert self._transport is not None
            if not self._turns:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take in a part of the body."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.body_bytes:
            self._reject(413)

    def on_message_complete(self) -> None:
        """Serve the request that is now whole."""
        self._reading = False
        if self._ended or self._server.closed:
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
        self._turns.append(_Turn(request))
        if len(self._turns) >= MAX_PIPELINED:
            assert self._transport is not None
            self._transport.pause_reading()
        self._begin()

    # -----------------------------------------------------------------------
    #   Turns
    # -----------------------------------------------------------------------

    def _begin(self) -> None:
        """Start each request that needn't wait for the ones before it."""
        for place, turn in enumerate(self._turns):
            if turn.request is None:
                return
            if turn.request.method not in SIDE_BY_SIDE:
                if place == 0 and turn.task is None:
                    self._start(turn)
                return
            if turn.task is None:
                self._start(turn)
            if not turn.request.keep_alive:
                return

    def _start(self, turn: _Turn) -> None:
        assert turn.request is not None
        turn.task = self._loop.create_task(self._serve(turn, turn.request))

    async def _serve(self, turn: _Turn, request: messages.Request) -> None:
        try:
            turn.response = await self._server.handle(request)
        finally:
            if turn.response is None and not self._ended:
                # A fault of ours; the caller is told nothing that may be untrue.
                turn.response = messages.Response(500, close=True)
            self._flush()

    def _flush(self) -> None:
        while self._turns and self._turns[0].response is not None and not self._ended:
            turn = self._turns.popleft()
            self._write(turn)
        if not self._ended:
            self._begin()
            if len(self._turns) < MAX_PIPELINED and self._transport is not None:
                self._transport.resume_reading()
            self._arm()

    def _write(self, turn: _Turn) -> None:
        assert turn.response is not None and self._transport is not None
        request = turn.request
        stays = request is not None and request.keep_alive
        # With answers still owed, the connection may end after the last of them.
        ends = not stays or turn.response.close
        ends = ends or (self._server.closing and not self._turns)
        response = messages.Response(
            turn.response.status, turn.response.headers, turn.response.body, ends
        )
        self._transport.write(messages.render_response(response))
        if ends:
            self.end()

    def end(self) -> None:
        """Close the connection once what was written has left."""
        self._ended = True
        for turn in self._turns:
            if turn.task is not None:
                turn.task.cancel()
        self._turns.clear()
        if self._transport is not None:
            self._transport.close()
            self._loop.call_later(LINGER_S, self._transport.abort)

    def _reject(self, status: int) -> None:
        """Answer bytes that are no request, after all answers owed before it."""
        if self._turns and self._turns[-1].request is None:
            return
        self._server.on_rejected(status, tuple(self._headers))
        self._turns.append(_Turn(None, messages.Response(status, close=True)))
        if self._transport is not None:
            self._transport.pause_reading()
        self._flush()

    # -----------------------------------------------------------------------
    #   Time
    # -----------------------------------------------------------------------

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._ended or self._turns:
            return
        limits = self._server.limits
        limit_s = limits.header_timeout_s if self._reading else limits.idle_timeout_s
        self._timer = self._loop.call_later(limit_s, self._expire)

    def _expire(self) -> None:
        if self._turns or self._ended:
            return
        if self._reading:
            self._reject(408)
        else:
            self.end()
