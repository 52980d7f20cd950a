"""A thin layer over cheroot: one function answers every request.

Used on the port for callers and on the port for operators.
"""

import collections.abc
import dataclasses
import http.client
import io
import logging
import select
import socket
import sys
import threading

import cheroot.server

from savoryhollow import calls, errors

__all__ = ["HttpRequest", "HttpResponse", "WebServer"]

# Limit of a request's head, in bytes.
MAX_HEAD_BYTES = 32 << 10
# A caller that sends nothing for this time is cut off, in s.
IDLE_LIMIT_S = 60.0
# How long a thread stays with a connection after an answer, in ms.
LINGER_MS = 50
# Connections waiting to be accepted.
BACKLOG = 512


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """One request as it came.

    :param path: the path with its query.
    :param headers: every header, once.
    """

    method: str
    path: str
    headers: tuple[calls.Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """One answer to be sent."""

    status: int
    headers: tuple[calls.Header, ...]
    body: bytes


Handler = collections.abc.Callable[[HttpRequest], HttpResponse]


class WebServer:
    """An HTTP/1.1 server.

    :param host: the IP number to listen on.
    :param port: the port to listen on; 0 picks one.
    :param threads: requests served at one time.
    :param max_body_bytes: limit of a request's body.
    :param handler: answers a request; it may block.
    """

    def __init__(
        self, host: str, port: int, threads: int, max_body_bytes: int, handler: Handler
    ):
        self._handler = handler
        self._server = cheroot.server.HTTPServer(
            (host, port), self._make_gateway, minthreads=threads, maxthreads=threads
        )
        self._server.timeout = IDLE_LIMIT_S
        self._server.request_queue_size = BACKLOG
        self._server.max_request_header_size = MAX_HEAD_BYTES
        self._server.max_request_body_size = max_body_bytes
        self._server.ConnectionClass = _Connection
        self._server.server_name = "savoryhollow"
        self._server.error_log = _log_error
        # Threads that may wait with a connection instead of for any.
        self._server.lingering = threading.Semaphore(threads // 2)
        self._server.prepare()

    @property
    def port(self) -> int:
        """The port that is listened on."""
        return self._server.bind_addr[1]

    def start(self) -> None:
        """Begin to serve in the background."""
        threading.Thread(target=self._server.serve, name="http", daemon=True).start()

    def stop(self) -> None:
        """Stop to accept, let requests in progress end, and close."""
        self._server.stop()

    def _make_gateway(self, request: cheroot.server.HTTPRequest) -> "_Gateway":
        return _Gateway(request, self._handler)


# ---------------------------------------------------------------------------
#   Hooks of cheroot
# ---------------------------------------------------------------------------


def _log_error(message: str = "", level: int = logging.ERROR, traceback: bool = False):
    """Log an error of a connection by its place; its text may quote the caller."""
    error = sys.exc_info()[1]
    if error is None:
        logging.getLogger(__name__).log(level, "%s", message)
        return
    trace = error.__traceback__
    while trace.tb_next is not None:
        trace = trace.tb_next
    function = trace.tb_frame.f_code.co_name
    text = "%s in %s, line %d, on a connection"
    name = type(error).__name__
    logging.getLogger(__name__).log(level, text, name, function, trace.tb_lineno)


class HeaderError(errors.BadRequestError, ValueError):
    """A header can't stand as it does; cheroot answers it with 400."""


class _Headers(dict):
    """Headers of one request; a header that stands twice is refused."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        folded = name in cheroot.server.comma_separated_headers
        if name in self and not folded:
            raise HeaderError(f"header {name!r} stands twice; send it once")
        if name == b"Content-Length" and not value.isdigit():
            raise HeaderError("Content-Length is no length; send digits")
        super().__setitem__(name, value)


class _HeaderReader(cheroot.server.HeaderReader):
    """Reads headers into :class:`_Headers`."""

    def __call__(self, rfile, hdict=None):
        headers = super().__call__(rfile, _Headers())
        if hdict is None:
            return headers
        hdict.update(headers)
        return hdict


class _Request(cheroot.server.HTTPRequest):
    header_reader = _HeaderReader()


class _Reader(io.BufferedReader):
    """Reads a socket through the interpreter's compiled buffer.

    cheroot brings a buffer written in Python, which costs each call more.
    """

    bytes_read = 0

    def __init__(self, sock: socket.socket, size: int):
        super().__init__(_RawReader(sock, "rb"), size)

    def has_data(self) -> bool:
        """Say whether more of the caller's data has been read already."""
        self.raw.paused = True
        try:
            return bool(self.peek(1))
        finally:
            self.raw.paused = False


class _RawReader(socket.SocketIO):
    """Reads a socket; while paused it has nothing."""

    paused = False

    def readinto(self, buffer) -> int | None:
        """Read what the socket has."""
        return None if self.paused else super().readinto(buffer)


class _Writer(socket.SocketIO):
    """Writes whole answers to a socket without a buffer."""

    bytes_written = 0

    def __init__(self, sock: socket.socket):
        super().__init__(sock, "wb")
        self._whole_sock = sock

    def write(self, data: bytes) -> int:
        """Send all of the data."""
        self._whole_sock.sendall(data)
        return len(data)


def _make_file(sock: socket.socket, mode: str, size: int) -> io.IOBase:
    return _Reader(sock, size) if "r" in mode else _Writer(sock)


class _Connection(cheroot.server.HTTPConnection):
    RequestHandlerClass = _Request

    def __init__(self, server, sock, makefile=None):
        super().__init__(server, sock, _make_file)
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)

    def communicate(self) -> bool:
        """Serve requests for as long as they follow closely on one another.

        A connection that goes back to cheroot's selector costs its next request
        two hand-overs between threads.
        """
        while super().communicate():
            if not self._next_is_near():
                return True
        return False

    def _next_is_near(self) -> bool:
        if self.rfile.has_data():
            return True
        if not self.server.lingering.acquire(blocking=False):
            return False
        try:
            return self.server.ready and bool(self._poll.poll(LINGER_MS))
        finally:
            self.server.lingering.release()


class _Gateway(cheroot.server.Gateway):
    """Turns cheroot's request into ours and writes the answer."""

    def __init__(self, request: cheroot.server.HTTPRequest, handler: Handler):
        super().__init__(request)
        self._handler = handler

    def respond(self) -> None:
        """Answer the request."""
        request = self.req
        got = self._read()
        if len(got.body) < self._stated_length():
            # Half a request must not run; the rest of the connection is void.
            request.close_connection = True
            answer = HttpResponse(400, (), b"the body ended early; send it whole")
        else:
            answer = self._handler(got)
        kept = self._may_be_kept()
        request.close_connection = not kept
        request.sent_headers = True
        body = b"" if request.method == b"HEAD" else answer.body
        request.conn.wfile.write(_head(answer, kept) + body)

    def _stated_length(self) -> int:
        if self.req.chunked_read:
            return 0
        return int(self.req.inheaders.get(b"Content-Length", 0))

    def _may_be_kept(self) -> bool:
        request = self.req
        if request.close_connection or request.response_protocol != "HTTP/1.1":
            return False
        return request.server.can_add_keepalive_connection

    def _read(self) -> HttpRequest:
        request = self.req
        headers = tuple(
            calls.Header(name.decode("latin-1"), value.decode("latin-1"))
            for name, value in request.inheaders.items()
        )
        path = request.uri.decode("latin-1")
        method = request.method.decode("latin-1")
        return HttpRequest(method, path, headers, request.rfile.read())


def _head(answer: HttpResponse, kept: bool) -> bytes:
    phrase = http.client.responses.get(answer.status, "Other")
    lines = [f"HTTP/1.1 {answer.status} {phrase}"]
    lines += [f"{header.name}: {header.value}" for header in answer.headers]
    lines.append(f"Content-Length: {len(answer.body)}")
    if not kept:
        lines.append("Connection: close")
    return "\r\n".join((*lines, "", "")).encode("latin-1")
