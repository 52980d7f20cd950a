"""HTTP/1.1 server for callers."""

import asyncio
import collections.abc
import dataclasses
import socket

from savoryhollow import calls
from savoryhollow.http1 import (
    body_budget,
    caller_connection,
    losses,
    messages,
    tcp_info,
)

__all__ = ["Handler", "Limits", "Server"]

# Maximum number of connections waiting to be accepted.
BACKLOG = 1024
# Memory for the bodies of requests, in bytes.
DEFAULT_BODY_MEMORY_BYTES = 200 << 20
# Time after the start in which connections may have waited for it, in s.
START_WINDOW_S = 1.0

Handler = collections.abc.Callable[
    [messages.Request], collections.abc.Awaitable[messages.Response]
]


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size and duration of requests.

    :param header_bytes: the maximum size of a request's target and headers, in bytes.
    :param body_bytes: the maximum size of a request's body, in bytes.
    :param header_timeout_s: the time without received data after which a partly
        received request is rejected, in s.
    :param idle_timeout_s: the time after which an idle connection is closed, in s.
    """

    header_bytes: int = 65_536
    body_bytes: int = 16 << 20
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class Server:
    """Accepts connections from callers.

    :param handle: returns the response to a request; cancelled if the caller closes
        the connection.

    ``on_rejected`` is called for each request that is rejected while it is read, with
    the status of the response and the headers read so far. ``on_lost`` is called for
    each other request that was read, at least in part, and whose caller receives no
    response to it, unless it is with the handler: that is cancelled, with the reason as
    the message. ``request_id_header`` names the header with the id of a request.
    """

    def __init__(self, handle: Handler):
        self.handle = handle
        self.limits = Limits()
        self.body_budget = body_budget.BodyBudget(DEFAULT_BODY_MEMORY_BYTES)
        self.closing = False
        self.refusal: messages.Response | None = None
        self.on_rejected: collections.abc.Callable[
            [int, tuple[calls.Header, ...]], None
        ] = lambda status, headers: None
        self.on_lost: collections.abc.Callable[[losses.Loss], None] = lambda loss: None
        self.request_id_header = ""
        self.connections: set[caller_connection.CallerConnection] = set()
        self._listening_since: float | None = None
        self._started_at = float("-inf")
        self._server: asyncio.Server | None = None
        self._address: tuple[str, int] | None = None

    @property
    def address(self) -> tuple[str, int] | None:
        """The host and port that it listens on, if it does."""
        return self._address

    @property
    def in_progress(self) -> int:
        """The number of requests whose caller hasn't received the response yet."""
        return sum(
            connection.pending_count or connection.is_sending
            for connection in self.connections
        )

    async def start(
        self,
        host: str,
        port: int,
        listening_socket: socket.socket | None = None,
        listening_since: float | None = None,
    ) -> None:
        """Start to accept connections, and stop to do so at a former address.

        :param host: the IP address to listen on.
        :param port: the port to listen on.
        :param listening_socket: a listening socket to use instead of a new one.
        :param listening_since: the time since which it has been listening, if
            connections may have waited for the start.
        """
        if self._address == (host, port):
            return
        if listening_socket is None:
            listening_socket = socket.create_server((host, port), backlog=BACKLOG)
            listening_since = None
        loop = asyncio.get_running_loop()
        self._listening_since = listening_since
        self._started_at = loop.time()
        try:
            server = await loop.create_server(
                lambda: caller_connection.CallerConnection(self),
                sock=listening_socket,
                backlog=BACKLOG,
            )
        except BaseException:
            listening_socket.close()
            raise
        self.stop_listening()
        self._server, self._address = server, (host, port)

    def stop_listening(self) -> None:
        """Accept no further connections; those that are open stay so."""
        if self._server is not None:
            self._server.close()
        self._server = self._address = None

    def waiting_since(self, transport: asyncio.Transport) -> float | None:
        """Return when the data arrived that a new connection has waiting.

        :param transport: a transport that hasn't been read yet: once it is, more data
            can arrive.
        :returns: the time, or None if the connection hasn't waited for the start.
        """
        now = asyncio.get_running_loop().time()
        if self._listening_since is None or now > self._started_at + START_WINDOW_S:
            return None
        age_s = tcp_info.unread_data_age_s(transport.get_extra_info("socket"))
        return None if age_s is None else max(self._listening_since, now - age_s)

    def disable_keep_alive(self) -> None:
        """Close each connection with a response after which no request is pending."""
        self.closing = True

    def refuse_requests(self, refusal: messages.Response) -> None:
        """Refuse all further requests; those that were read are still served.

        Connections stay open until a request comes, because one may be on its way.

        :param refusal: the response to each request; it closes the connection.
        """
        self.closing = True
        self.refusal = refusal
        for connection in tuple(self.connections):
            connection.refuse_waiting(refusal)

    def end_requests(self, response: messages.Response) -> None:
        """Cancel all requests in progress.

        :param response: the response to each of them.
        """
        for connection in tuple(self.connections):
            connection.end_requests(response)

    def report_unfinished(self) -> None:
        """Report the requests that the end of the process leaves without a response."""
        for connection in tuple(self.connections):
            connection.report_losses(losses.Reason.PROCESS_ENDED)

    def close(self) -> None:
        """Stop accepting connections, and requests if they aren't refused yet."""
        if self.refusal is None:
            self.refuse_requests(messages.Response(503, close=True))
        if self._server is not None:
            self._server.close()
