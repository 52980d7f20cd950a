"""A small HTTP server, built on cheroot, that passes each request to one function.

It serves the port for callers and the port for operators.
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
import time

import cheroot.server

from savoryhollow import calls, errors
from savoryhollow.http1 import tcp_info

__all__ = ["HttpRequest", "HttpResponse", "WebServer"]

# Maximum size of a request line with its headers, in bytes.
MAX_HEAD_BYTES = 32 << 10
# Time without received data after which a connection is closed, in s.
IDLE_TIMEOUT_S = 60.0
# Time for which a thread waits for the next request on a connection, in ms.
NEXT_REQUEST_WAIT_MS = 50
# Time for a caller to receive the last response of its connection and to close its
# side, and for the latter alone, in s.
CLOSE_TIMEOUT_S = 5.0
PEER_CLOSE_TIMEOUT_S = 1.0
# Interval between checks of what the caller has received, in s.
CLOSE_CHECK_INTERVAL_S = 0.25
DISCARDED_BYTES = 1 << 16
# Maximum number of connections waiting to be accepted.
BACKLOG = 512


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request as received.

    :param method: the HTTP method.
    :param path: the path with its query.
    :param headers: the headers; each name occurs once.
    :param body: the whole body.
    """

    method: str
    path: str
    headers: tuple[calls.Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response to send.

    :param status: the HTTP status code.
    :param headers: the headers, without ``Content-Length`` and ``Connection``.
    :param body: the whole body.
    """

    status: int
    headers: tuple[calls.Header, ...]
    body: bytes


Handler = collections.abc.Callable[[HttpRequest], HttpResponse]


class WebServer:
    """An HTTP/1.1 server.

    :param host: the IP address to listen on.
    :param port: the port to listen on; 0 picks a free one.
    :param threads: the number of requests that can be served at the same time.
    :param max_body_bytes: the maximum size of a request's body, in bytes.
    :param handler: returns the response to a request; it may block.
    """

    def __init__(
        self, host: str, port: int, threads: int, max_body_bytes: int, handler: Handler
    ):
        self._handler = handler
        self._server = cheroot.server.HTTPServer(
            (host, port), self._make_gateway, minthreads=threads, maxthreads=threads
        )
        self._server.timeout = IDLE_TIMEOUT_S
        self._server.request_queue_size = BACKLOG
        self._server.max_request_header_size = MAX_HEAD_BYTES
        self._server.max_request_body_size = max_body_bytes
        self._server.ConnectionClass = _KeepAliveConnection
        self._server.server_name = "savoryhollow"
        self._server.error_log = _log_error
        # Limits how many threads wait for the next request of one connection; the
        # others stay available for any connection.
        self._server.lingering = threading.Semaphore(threads // 2)
        self._server.prepare()

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self._server.bind_addr[1]

    def start(self) -> None:
        """Serve requests in background threads."""
        threading.Thread(target=self._server.serve, name="http", daemon=True).start()

    def stop(self) -> None:
        """Stop accepting connections, finish the requests in progress, and close."""
        self._server.stop()

    def _make_gateway(self, request: cheroot.server.HTTPRequest) -> "_Gateway":
        return _Gateway(request, self._handler)


# ---------------------------------------------------------------------------
#   Customization of cheroot
# ---------------------------------------------------------------------------


def _log_error(message: str = "", level: int = logging.ERROR, traceback: bool = False):
    """Log an error of a connection with its type and its place in the code.

    The text of the exception is left out, as it may contain data from the caller.
    """
    error = sys.exc_info()[1]
    if error is None:
        logging.getLogger(__name__).log(level, "%s", message)
        return
    traceback_entry = error.__traceback__
    while traceback_entry.tb_next is not None:
        traceback_entry = traceback_entry.tb_next
    function = traceback_entry.tb_frame.f_code.co_name
    text = "%s in %s, line %d, while serving a connection"
    name = type(error).__name__
    logging.getLogger(__name__).log(
        level, text, name, function, traceback_entry.tb_lineno
    )


class HeaderError(errors.BadRequestError, ValueError):
    """A header is invalid; cheroot responds with status 400 to a ValueError."""


class _Headers(dict):
    """The headers of one request; a repeated header is rejected."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        is_list_header = name in cheroot.server.comma_separated_headers
        if name in self and not is_list_header:
            raise HeaderError(f"header {name!r} is repeated; send it once")
        if name == b"Content-Length" and not value.isdigit():
            raise HeaderError("Content-Length isn't a number; send digits")
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


class _BufferedReader(io.BufferedReader):
    """Reads a socket through the buffer of the standard library, written in C.

    It makes each request cheaper than cheroot's own buffer, written in Python.
    """

    bytes_read = 0

    def __init__(self, sock: socket.socket, size: int):
        super().__init__(_PausableRawReader(sock, "rb"), size)

    def has_data(self) -> bool:
        """Return True if the buffer holds data that was not parsed yet."""
        self.raw.paused = True
        try:
            return bool(self.peek(1))
        finally:
            self.raw.paused = False


class _PausableRawReader(socket.SocketIO):
    """Reads a socket; while paused, it returns no data."""

    paused = False

    def readinto(self, buffer) -> int | None:
        """Read available data into the buffer."""
        return None if self.paused else super().readinto(buffer)


class _SocketWriter(socket.SocketIO):
    """Writes to a socket without a buffer."""

    bytes_written = 0

    def __init__(self, sock: socket.socket):
        super().__init__(sock, "wb")
        self._sock_to_send = sock

    def write(self, data: bytes) -> int:
        """Send all of the data."""
        self._sock_to_send.sendall(data)
        return len(data)


def _make_file(sock: socket.socket, mode: str, size: int) -> io.IOBase:
    return _BufferedReader(sock, size) if "r" in mode else _SocketWriter(sock)


class _KeepAliveConnection(cheroot.server.HTTPConnection):
    RequestHandlerClass = _Request

    def __init__(self, server, sock, makefile=None):
        super().__init__(server, sock, _make_file)
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)
        self._has_last_response = False

    def communicate(self) -> bool:
        """Serve the requests of a connection while they follow each other closely.

        Otherwise the connection would be returned to cheroot's selector after each
        request, which costs the next request two switches between threads.
        """
        while super().communicate():
            if self._next_request_arrives():
                continue
            if self.server.ready:
                return True
            # The server is stopping, and closes the connections that it keeps.
            break
        self._has_last_response = True
        return False

    def _close_kernel_socket(self) -> None:
        """Close the socket once the caller has received the last response.

        A socket that is closed with received data unread is reset, which drops the end
        of the response.
        """
        if self._has_last_response:
            try:
                self._await_receipt()
            except OSError:
                # The caller has closed or reset the connection.
                pass
        super()._close_kernel_socket()

    def _await_receipt(self) -> None:
        """Discard what the caller sends until it has received everything and closed.

        :raises OSError: if the connection is lost.
        """
        self.socket.shutdown(socket.SHUT_WR)
        self.socket.settimeout(CLOSE_CHECK_INTERVAL_S)
        deadline = time.monotonic() + CLOSE_TIMEOUT_S
        while time.monotonic() < deadline:
            if not tcp_info.unconfirmed_bytes(self.socket):
                deadline = min(deadline, time.monotonic() + PEER_CLOSE_TIMEOUT_S)
            try:
                if not self.socket.recv(DISCARDED_BYTES):
                    return
            except TimeoutError:
                continue

    def _next_request_arrives(self) -> bool:
        if self.rfile.has_data():
            return True
        if not self.server.lingering.acquire(blocking=False):
            return False
        try:
            return self.server.ready and bool(self._poll.poll(NEXT_REQUEST_WAIT_MS))
        finally:
            self.server.lingering.release()


class _Gateway(cheroot.server.Gateway):
    """Converts cheroot's request, calls the handler and writes the response."""

    def __init__(self, request: cheroot.server.HTTPRequest, handler: Handler):
        super().__init__(request)
        self._handler = handler

    def respond(self) -> None:
        """Respond to the request."""
        request = self.req
        http_request = self._read_request()
        if len(http_request.body) < self._content_length():
            # An incomplete request must not run, and what follows it on the connection
            # can't be parsed.
            request.close_connection = True
            response = HttpResponse(400, (), b"the body is incomplete; send all of it")
        else:
            response = self._handler(http_request)
        keep_alive = self._may_keep_alive()
        request.close_connection = not keep_alive
        request.sent_headers = True
        body = b"" if request.method == b"HEAD" else response.body
        request.conn.wfile.write(_encode_head(response, keep_alive) + body)

    def _content_length(self) -> int:
        if self.req.chunked_read:
            return 0
        return int(self.req.inheaders.get(b"Content-Length", 0))

    def _may_keep_alive(self) -> bool:
        request = self.req
        if request.close_connection or request.response_protocol != "HTTP/1.1":
            return False
        return request.server.can_add_keepalive_connection

    def _read_request(self) -> HttpRequest:
        request = self.req
        headers = tuple(
            calls.Header(name.decode("latin-1"), value.decode("latin-1"))
            for name, value in request.inheaders.items()
        )
        path = request.uri.decode("latin-1")
        method = request.method.decode("latin-1")
        return HttpRequest(method, path, headers, request.rfile.read())


def _encode_head(response: HttpResponse, keep_alive: bool) -> bytes:
    reason_phrase = http.client.responses.get(response.status, "Other")
    lines = [f"HTTP/1.1 {response.status} {reason_phrase}"]
    lines += [f"{header.name}: {header.value}" for header in response.headers]
    lines.append(f"Content-Length: {len(response.body)}")
    if not keep_alive:
        lines.append("Connection: close")
    return "\r\n".join((*lines, "", "")).encode("latin-1")
