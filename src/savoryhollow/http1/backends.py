"""Connections to backend servers, and other servers of HTTP/1.1.

An answer counts only if it is whole and bears the id of its request. One that
bears another id belongs to an earlier request and is passed over.
"""

import asyncio
import collections.abc
import dataclasses

import httptools

from savoryhollow import calls, errors
from savoryhollow.http1 import messages

__all__ = ["Connection", "Pool", "open_connection"]

# Time that a server may take to accept a connection, in s.
CONNECT_TIMEOUT_S = 1.0
# Time that an idle connection is kept where the server names none, in s.
IDLE_LIMIT_S = 8.0
# Taken off the time that the server names, in s.
IDLE_MARGIN_S = 1.0
# Idle time after which a connection isn't used where servers forget idle ones, in s.
CAUTIOUS_IDLE_S = 0.2
# Time for which servers are held to forget idle connections after one did, in s.
CAUTION_S = 30.0


class Connection(asyncio.Protocol):
    """One connection to a server; it carries one request at a time."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[messages.Response] | None = None
        self._id_header: str | None = None
        self._request_id: str | None = None
        self.usable = True
        self.idle_until = float("inf")
        self.idle_since = self._loop.time()
        self._heard = False
        self._reset_message()

    # -----------------------------------------------------------------------
    #   Use
    # -----------------------------------------------------------------------

    async def exchange(
        self, data: bytes, id_header: str | None = None, request_id: str | None = None
    ) -> messages.Response:
        """Send a request and wait for its answer.

        :param data: the bytes of the request.
        :param id_header: the header in which answers name their request.
        :param request_id: the id that the answer bears, if it bears one.
        :returns: the whole answer.
        :raises errors.BackendError: where none came.
        """
        if not self.usable or self._transport is None:
            text = "the connection had closed; use a new one"
            raise errors.BackendError(text, started=False)
        self._answer = self._loop.create_future()
        self._id_header = id_header
        self._request_id = request_id
        self._heard = False
        self._transport.write(data)
        try:
            response = await self._answer
        except BaseException:
            self.abort()
            raise
        finally:
            self._answer = None
        if self._transport.get_write_buffer_size():
            # Bytes still due would be taken for the next request.
            self.abort()
        self.idle_since = self._loop.time()
        return response

    def abort(self) -> None:
        """End the connection at once."""
        self.usable = False
        if self._transport is not None:
            self._transport.abort()

    # -----------------------------------------------------------------------
    #   The transport
    # -----------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Read what the server sent."""
        if self._answer is None:
            # No request waits, so these bytes belong to none.
            self.abort()
            return
        self._heard = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"its answer can't be read: {error}; see to the server")
            self.abort()

    def eof_received(self) -> bool:
        """Complete an answer whose body ends with the connection."""
        if self._in_body and self._until_close:
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request that waits, if one does."""
        self.usable = False
        self._fail("the connection closed without a whole answer; see to the server")

    def _fail(self, text: str) -> None:
        self.usable = False
        if self._answer is not None and not self._answer.done():
            error = errors.BackendError(
                text, started=True, response_started=self._heard
            )
            self._answer.set_exception(error)

    # -----------------------------------------------------------------------
    #   The parser
    # -----------------------------------------------------------------------

    def _reset_message(self) -> None:
        self._headers: list[calls.Header] = []
        self._body: list[bytes] = []
        self._in_body = False
        self._until_close = False

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._reset_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in one header."""
        header = calls.Header(name.decode("latin-1"), value.decode("latin-1"))
        self._headers.append(header)

    def on_headers_complete(self) -> None:
        """Find out where the body ends."""
        headers = tuple(self._headers)
        framed = (
            messages.find_header(headers, "content-length") is not None
            or messages.find_header(headers, "transfer-encoding") is not None
        )
        status = self._parser.get_status_code()
        self._until_close = not framed and status >= 200 and status not in (204, 304)
        self._in_body = True

    def on_body(self, body: bytes) -> None:
        """Take in a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hand over the answer, unless it belongs to another request."""
        if self._in_body:
            self._complete()

    def _complete(self) -> None:
        self._in_body = False
        status = self._parser.get_status_code()
        headers = tuple(self._headers)
        if status < 200 or self._belongs_elsewhere(headers):
            return
        if self._until_close or not self._parser.should_keep_alive():
            self.usable = False
        self._note_idle_limit(headers)
        if self._answer is None or self._answer.done():
            self.usable = False
            return
        body = b"".join(self._body)
        self._answer.set_result(messages.Response(status, headers, body))

    def _belongs_elsewhere(self, headers: tuple[calls.Header, ...]) -> bool:
        if self._id_header is None or self._request_id is None:
            return False
        named = messages.find_header(headers, self._id_header)
        return named is not None and named != self._request_id

    def _note_idle_limit(self, headers: tuple[calls.Header, ...]) -> None:
        limit_s = IDLE_LIMIT_S
        for part in (messages.find_header(headers, "keep-alive") or "").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                limit_s = min(limit_s, max(0.0, int(value) - IDLE_MARGIN_S))
        self.idle_until = self._loop.time() + limit_s


async def open_connection(host: str, port: int) -> Connection:
    """Connect to a server.

    :raises errors.BackendError: where it doesn't accept in time.
    """
    loop = asyncio.get_running_loop()
    opening = loop.create_connection(Connection, host, port)
    try:
        _, connection = await asyncio.wait_for(opening, CONNECT_TIMEOUT_S)
    except (OSError, TimeoutError) as error:
        text = f"no connection to {host}:{port}: {error!r}; see to the server"
        raise errors.BackendError(text, started=False) from error
    return connection


@dataclasses.dataclass(slots=True)
class Pool:
    """Idle connections to one server, the one used last first.

    :param opened: connections opened so far.
    """

    host: str
    port: int
    opened_count: int = 0
    cautious_until: float = float("-inf")
    idle: list[Connection] = dataclasses.field(default_factory=list)
    clock: collections.abc.Callable[[], float] = dataclasses.field(
        default_factory=lambda: asyncio.get_running_loop().time
    )

    async def acquire(self) -> tuple[Connection, bool]:
        """Return a connection, and whether it was used before.

        :raises errors.BackendError: where a new one can't be had.
        """
        now = self.clock()
        while self.idle:
            connection = self.idle.pop()
            rested_s = now - connection.idle_since
            careful = now < self.cautious_until and rested_s > CAUTIOUS_IDLE_S
            if connection.usable and now < connection.idle_until and not careful:
                return connection, True
            connection.abort()
        self.opened_count += 1
        return await open_connection(self.host, self.port), False

    def release(self, connection: Connection) -> None:
        """Take a connection back; one that can't be used any more is closed."""
        if connection.usable:
            self.idle.append(connection)
        else:
            connection.abort()

    def record_stale_connection(self) -> None:
        """Note that the server had forgotten a connection that was idle."""
        self.cautious_until = self.clock() + CAUTION_S

    def close(self) -> None:
        """Close what is idle."""
        for connection in self.idle:
            connection.abort()
        self.idle.clear()
