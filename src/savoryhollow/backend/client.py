"""HTTP client that sends calls to the backend server of this instance."""

import collections
import collections.abc
import dataclasses
import http.client
import io
import threading
import time

import urllib3.connection
import urllib3.exceptions

from savoryhollow import calls, errors
from savoryhollow.wire import messages

__all__ = ["BackendAnswer", "BackendClient"]

# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "content-length", "te", "upgrade")
)
# Largest number of bytes of a body that one read returns.
MAX_READ_BYTES = 1 << 16
# Request header with the time left until the deadline of the call, in ms.
DEADLINE_HEADER = "X-Deadline-Ms"
# Request header with the id of the request.
REQUEST_ID_HEADER = "X-Request-Id"


@dataclasses.dataclass(frozen=True, slots=True)
class BackendAnswer:
    """A complete HTTP response of a backend server.

    :param status: the HTTP status code.
    :param headers: the headers without those that apply to one connection.
    :param body: the whole body.
    """

    status: int
    headers: tuple[calls.Header, ...]
    body: bytes


class _LineReader(io.BufferedReader):
    """A buffered reader that records whether the input ended within a line."""

    line_cut = False

    def readline(self, size: int | None = -1) -> bytes:
        """Read a line."""
        line = super().readline(size)
        self.line_cut = self.line_cut or not line.endswith(b"\n")
        return line


class _Response(http.client.HTTPResponse):
    """A response that records whether its head or a chunk line was cut off.

    :mod:`http.client` takes the end of the input for the end of the headers.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.lines = _LineReader(self.fp.detach())
        self.fp = self.lines


class BackendClient:
    """Sends calls to one backend server and keeps idle connections for reuse.

    The connections are those of urllib3, but requests and responses go through
    the methods of :class:`http.client.HTTPConnection`: a gate needs neither the
    pool of urllib3 nor its retries or its decoding of responses.

    A connection is reused only if the backend server repeats the id of the request in
    its responses. Without the id, a late second copy of a response could not be told
    from the response to the next request on the connection.

    :param host: the IP address of the backend server.
    :param port: the port of the backend server.
    :param max_body_bytes: the largest response body that is accepted, in bytes.

    ``may_send`` is called right before a call is sent: it isn't if the result is False.
    """

    def __init__(self, host: str, port: int, max_body_bytes: int):
        self._host = host
        self._port = port
        self.may_send: collections.abc.Callable[[], bool] = lambda: True
        self._max_body_bytes = max_body_bytes
        self._lock = threading.Lock()
        self._idle: collections.deque[urllib3.connection.HTTPConnection] = (
            collections.deque()
        )

    def run(self, call: messages.CallMessage, deadline: float) -> BackendAnswer:
        """Send a call and return the complete response.

        :param call: the call.
        :param deadline: the monotonic time at which to give up, in seconds.
        :returns: the response.
        :raises errors.BackendError: if no complete response was received.
        """
        connection = self._get_connection(deadline)
        if not self.may_send():
            connection.close()
            message = "the backend server left while a connection was opened"
            raise errors.BackendError(message, started=False)
        try:
            response = self._exchange(connection, call, deadline)
        except (
            OSError,
            http.client.HTTPException,
            urllib3.exceptions.HTTPError,
        ) as error:
            connection.close()
            message = (
                f"the backend server gave no complete response: {error!r}; "
                "resolve the request to learn its outcome"
            )
            raise errors.BackendError(message, started=True) from error
        with self._lock:
            self._idle.append(connection)
        return response

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            while self._idle:
                self._idle.pop().close()

    def _get_connection(self, deadline: float) -> urllib3.connection.HTTPConnection:
        with self._lock:
            while self._idle:
                connection = self._idle.pop()
                if connection.is_connected:
                    return connection
                connection.close()
        timeout = max(1e-3, deadline - time.monotonic())
        connection = urllib3.connection.HTTPConnection(
            self._host, self._port, timeout=timeout
        )
        try:
            connection.connect()
        except (OSError, urllib3.exceptions.HTTPError) as error:
            message = (
                f"cannot connect to the backend server: {error}; "
                "check that it is running"
            )
            raise errors.BackendError(message, started=False) from error
        return connection

    def _exchange(self, connection, call, deadline):
        remaining_s = max(1e-3, deadline - time.monotonic())
        sock = connection.sock
        sock.settimeout(remaining_s)
        headers = {header.name: header.value for header in call.headers}
        headers[REQUEST_ID_HEADER] = call.request_id
        headers[DEADLINE_HEADER] = str(int(remaining_s * 1000))
        base = http.client.HTTPConnection
        connection.response_class = _Response
        base.request(connection, call.method, call.path, call.body or None, headers)
        response = base.getresponse(connection)
        body = self._read_body(sock, response, deadline)
        if response.lines.line_cut:
            raise http.client.IncompleteRead(body)
        response_id = response.headers.get(REQUEST_ID_HEADER)
        if response_id not in (call.request_id, None):
            raise http.client.HTTPException("the response belongs to another request")
        if response.will_close or response_id is None:
            connection.close()
        forwarded = tuple(
            calls.Header(name, value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_BY_HOP_HEADERS
        )
        return BackendAnswer(response.status, forwarded, body)

    def _read_body(self, sock, response, deadline) -> bytes:
        length = response.length
        limit = self._max_body_bytes
        if length is None and not response.chunked:
            raise http.client.HTTPException(
                "the response has no Content-Length and isn't chunked"
            )
        body = b""
        # A socket timeout limits each read; the deadline limits all of them.
        while length is None or len(body) < length:
            chunk = response.read1(MAX_READ_BYTES)
            body += chunk
            if len(body) > limit or (length is not None and length > limit):
                raise http.client.HTTPException(
                    "the response body is larger than max_body_bytes"
                )
            if not chunk:
                break
            if length is None or len(body) < length:
                sock.settimeout(_remaining_s(deadline))
        if length is not None and len(body) < length:
            raise http.client.IncompleteRead(b"", length - len(body))
        response.close()
        return body


def _remaining_s(deadline: float) -> float:
    remaining_s = deadline - time.monotonic()
    if remaining_s <= 0:
        raise TimeoutError("the response was not complete at the deadline")
    return remaining_s
