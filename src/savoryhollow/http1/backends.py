"""HTTP/1.1 client connections to backend servers and other servers.

A response is accepted only if it is complete and belongs to the request. Others, such
as a second copy of an earlier response, are ignored.
"""

import asyncio
import collections.abc
import dataclasses

import httptools

from savoryhollow import calls, errors
from savoryhollow.http1 import messages

__all__ = ["BODY_PART_BYTES", "Connection", "Pool", "is_response_to", "open_connection"]

# Timeout for establishing a connection, in s.
CONNECT_TIMEOUT_S = 1.0
# Time for which an idle connection is kept, in s. A server may announce a shorter
# time in a `Keep-Alive` header.
DEFAULT_IDLE_TIMEOUT_S = 8.0
# Subtracted from the keep-alive timeout that the server announces, in s.
IDLE_MARGIN_S = 1.0
# Maximum idle time of a connection to be reused in a cautious period, in s.
CAUTIOUS_MAX_IDLE_S = 0.2
# Limit of what is received in one exchange, in bytes. A response has to fit into a
# message between daemons.
MAX_RESPONSE_BYTES = 16 << 20
# Limit of what is received without any part of a body, in bytes.
MAX_HEAD_BYTES = 1 << 16
# Longer bodies are sent in parts of this size, in bytes.
BODY_PART_BYTES = 1 << 18
# Length of the cautious period after a server has dropped an idle connection, in s.
CAUTIOUS_PERIOD_S = 30.0


def is_response_to(request_id: str | None, response_id: str | None) -> bool:
    """Return True if a response certainly belongs to the request in progress.

    Servers repeat the id of a request in its response. A response without an id may be
    a second copy of one to an earlier request, such as a probe.

    :param request_id: the id of the request in progress; None if it has none.
    :param response_id: the id in the response; None if it has none.
    """
    return response_id == request_id


class Connection(asyncio.Protocol):
    """A connection to a server that carries one request at a time."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._response_future: asyncio.Future[messages.Response] | None = None
        self._on_data: collections.abc.Callable[[], None] = lambda: None
        self._id_header: str | None = None
        self._request_id: str | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self.usable = True
        self.idle_until = float("inf")
        self.idle_since = self._loop.time()
        self._response_started = False
        self._received_bytes = 0
        self._bytes_since_body = 0
        self._reset_message()

    # -----------------------------------------------------------------------
    #   Requests
    # -----------------------------------------------------------------------

    async def exchange(
        self,
        data: bytes,
        id_header: str | None = None,
        request_id: str | None = None,
        on_data: collections.abc.Callable[[], None] = lambda: None,
        body: bytes = b"",
    ) -> messages.Response:
        """Send a request and wait for its response.

        :param data: the serialized request.
        :param id_header: the name of the response header that carries the id of the
            request; if None, the next response is accepted.
        :param request_id: the id of the request, if it has one; responses that don't
            certainly belong to it are ignored.
        :param on_data: called whenever a part of the response was received.
        :param body: a long body, sent after the data in parts.
        :returns: the complete response.
        :raises errors.BackendError: if no complete response was received.
        """
        if not self.usable or self._transport is None:
            text = "the connection is already closed; use a new one"
            raise errors.BackendError(text, started=False)
        self._response_future = self._loop.create_future()
        self._id_header = id_header
        self._request_id = request_id
        self._on_data = on_data
        self._response_started = False
        self._received_bytes = 0
        self._bytes_since_body = 0
        self._transport.write(data)
        sending = asyncio.ensure_future(self._send_body(body)) if body else None
        try:
            response = await self._response_future
        except BaseException:
            self.abort()
            raise
        finally:
            self._response_future = None
            is_sent = sending is None or sending.done()
            if sending is not None:
                sending.cancel()
        if not is_sent or self._transport.get_write_buffer_size():
            # The server responded before the whole request was sent. The rest of it
            # would be taken for the start of the next request.
            self.abort()
        self.idle_since = self._loop.time()
        return response

    async def _send_body(self, body: bytes) -> None:
        """Send a body in parts, so that the transport never copies all of it."""
        assert self._transport is not None
        parts = memoryview(body)
        for start in range(0, len(body), BODY_PART_BYTES):
            await self._can_write.wait()
            if not self.usable:
                return
            self._transport.write(parts[start : start + BODY_PART_BYTES])

    def pause_writing(self) -> None:
        """Wait with the next part, as the transport's buffer is full."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Go on with the next part."""
        self._can_write.set()

    def abort(self) -> None:
        """Close the connection immediately."""
        self.usable = False
        if self._transport is not None:
            self._transport.abort()

    # -----------------------------------------------------------------------
    #   Callbacks of the transport
    # -----------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse data from the server."""
        if self._response_future is None:
            # No request is in progress, so the data can't belong to one.
            self.abort()
            return
        self._response_started = True
        self._on_data()
        self._received_bytes += len(data)
        self._bytes_since_body += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"its response can't be parsed: {error}; check the server")
            self.abort()
            return
        if (
            self._received_bytes > MAX_RESPONSE_BYTES
            or self._bytes_since_body > MAX_HEAD_BYTES
        ):
            self._fail("its response exceeds the size limit; check the server")
            self.abort()

    def eof_received(self) -> bool:
        """Complete a response whose body ends when the connection is closed."""
        if self._headers_complete and self._ends_at_close:
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress, if there is one."""
        self.usable = False
        self._fail("connection closed before a complete response; check the server")

    def _fail(self, text: str) -> None:
        self.usable = False
        # The connection is part of a reference cycle, so it may outlive its use.
        self._reset_message()
        if self._response_future is not None and not self._response_future.done():
            error = errors.BackendError(
                text, started=True, response_started=self._response_started
            )
            self._response_future.set_exception(error)

    # -----------------------------------------------------------------------
    #   Callbacks of the parser
    # -----------------------------------------------------------------------

    def _reset_message(self) -> None:
        self._headers: list[calls.Header] = []
        self._body: list[bytes] = []
        self._headers_complete = False
        self._ends_at_close = False

    def on_message_begin(self) -> None:
        """Start a new response."""
        self._reset_message()
        if self._response_future is None or self._response_future.done():
            # More follows a complete response, so what comes next on the connection
            # can't be told from the response to a later request.
            self.usable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        header = calls.Header(name.decode("latin-1"), value.decode("latin-1"))
        self._headers.append(header)

    def on_headers_complete(self) -> None:
        """Determine how the end of the body is marked."""
        headers = tuple(self._headers)
        has_length = (
            messages.find_header(headers, "content-length") is not None
            or messages.find_header(headers, "transfer-encoding") is not None
        )
        status = self._parser.get_status_code()
        self._ends_at_close = (
            not has_length and status >= 200 and status not in (204, 304)
        )
        self._headers_complete = True

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self._bytes_since_body = 0
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Deliver the response unless it belongs to another request."""
        if self._headers_complete:
            self._complete()

    def _complete(self) -> None:
        self._headers_complete = False
        status = self._parser.get_status_code()
        headers = tuple(self._headers)
        if status < 200:
            return
        if not self._is_awaited(headers):
            # The server repeats responses, so the connection isn't used again.
            self.usable = False
            return
        if self._ends_at_close or not self._parser.should_keep_alive():
            self.usable = False
        self._update_idle_until(headers)
        if self._response_future is None or self._response_future.done():
            self.usable = False
            return
        body = b"".join(self._body)
        self._body = []
        self._response_future.set_result(messages.Response(status, headers, body))

    def _is_awaited(self, headers: tuple[calls.Header, ...]) -> bool:
        if self._id_header is None:
            return True
        response_id = messages.find_header(headers, self._id_header)
        return is_response_to(self._request_id, response_id)

    def _update_idle_until(self, headers: tuple[calls.Header, ...]) -> None:
        timeout_s = DEFAULT_IDLE_TIMEOUT_S
        for parameter in (messages.find_header(headers, "keep-alive") or "").split(","):
            name, _, value = parameter.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                timeout_s = min(timeout_s, max(0.0, int(value) - IDLE_MARGIN_S))
        self.idle_until = self._loop.time() + timeout_s


async def open_connection(host: str, port: int) -> Connection:
    """Connect to a server.

    :param host: the host of the server.
    :param port: the port of the server.
    :returns: the connection.
    :raises errors.BackendError: if no connection is established in time.
    """
    loop = asyncio.get_running_loop()
    connecting = loop.create_connection(Connection, host, port)
    try:
        _, connection = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
    except (OSError, TimeoutError) as error:
        text = f"can't connect to {host}:{port}: {error!r}; check the server"
        raise errors.BackendError(text, started=False) from error
    return connection


@dataclasses.dataclass(slots=True)
class Pool:
    """The idle connections to one server; the most recently used one is reused first.

    :param host: the host of the server.
    :param port: the port of the server.
    :param opened_count: the number of connections opened so far.
    :param cautious_until: the end of the current cautious period, in which only
        connections that were idle for a short time are reused.
    :param closed: whether connections are closed when they are released.
    :param idle: the idle connections, the most recently used one last.
    :param clock: returns the current time of the event loop, in s.
    """

    host: str
    port: int
    opened_count: int = 0
    cautious_until: float = float("-inf")
    closed: bool = False
    idle: list[Connection] = dataclasses.field(default_factory=list)
    clock: collections.abc.Callable[[], float] = dataclasses.field(
        default_factory=lambda: asyncio.get_running_loop().time
    )

    async def acquire(self, *, reuse: bool = True) -> tuple[Connection, bool]:
        """Return a connection and whether it was used before.

        :param reuse: whether an idle connection may be returned.
        :returns: the connection, and True if it is a reused one.
        :raises errors.BackendError: if a new connection can't be opened.
        """
        now = self.clock()
        while reuse and self.idle:
            connection = self.idle.pop()
            idle_s = now - connection.idle_since
            is_suspect = now < self.cautious_until and idle_s > CAUTIOUS_MAX_IDLE_S
            if connection.usable and now < connection.idle_until and not is_suspect:
                return connection, True
            connection.abort()
        self.opened_count += 1
        return await open_connection(self.host, self.port), False

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool, or close it if it is no longer usable."""
        if connection.usable and not self.closed:
            self.idle.append(connection)
        else:
            connection.abort()

    def record_stale_connection(self) -> None:
        """Start a cautious period, as the server has dropped an idle connection."""
        self.cautious_until = self.clock() + CAUTIOUS_PERIOD_S

    def close(self) -> None:
        """Close all idle connections, and the others when they are released."""
        self.closed = True
        for connection in self.idle:
            connection.abort()
        self.idle.clear()
