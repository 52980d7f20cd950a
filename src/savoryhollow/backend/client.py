"""Send calls to the backend server of this instance."""

import collections
import dataclasses
import http.client
import threading
import time

import urllib3.connection
import urllib3.exceptions

from savoryhollow import calls, errors
from savoryhollow.wire import messages

__all__ = ["BackendAnswer", "BackendClient"]

# Headers that belong to one connection and are never passed on.
HOP_BY_HOP_HEADERS = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "content-length", "te", "upgrade")
)
# Bytes of a body read at one time.
READ_BYTES = 1 << 16
# Tells the backend server how long the answer is of use, in ms.
DEADLINE_HEADER = "X-Deadline-Ms"
# Tells the backend server the id of the request.
REQUEST_ID_HEADER = "X-Request-Id"


@dataclasses.dataclass(frozen=True, slots=True)
class BackendAnswer:
    """The whole answer of a backend server."""

    status: int
    headers: tuple[calls.Header, ...]
    body: bytes


class BackendClient:
    """Keeps connections to one backend server.

    urllib3's connections are driven through the standard library's part of them:
    a gate has no use for the pool, its retries or its decoding of answers.

    :param host: the IP number of the backend server.
    :param port: its port.
    :param max_body_bytes: limit of an answer's body.
    """

    def __init__(self, host: str, port: int, max_body_bytes: int):
        self._host = host
        self._port = port
        self._max_body_bytes = max_body_bytes
        self._lock = threading.Lock()
        self._idle: collections.deque[urllib3.connection.HTTPConnection] = (
            collections.deque()
        )

    def run(self, call: messages.CallMessage, deadline: float) -> BackendAnswer:
        """Run a call and return the whole answer.

        :param call: the call.
        :param deadline: the monotonic instant to give up at.
        :raises errors.BackendError: where no whole answer came.
        """
        connection = self._connection(deadline)
        try:
            answer = self._exchange(connection, call, deadline)
        except (OSError, http.client.HTTPException, urllib3.exceptions.HTTPError) as e:
            connection.close()
            text = f"backend server gave no whole answer: {e!r}; resolve the request"
            raise errors.BackendError(text, started=True) from e
        with self._lock:
            self._idle.append(connection)
        return answer

    def close(self) -> None:
        """Close every idle connection."""
        with self._lock:
            while self._idle:
                self._idle.pop().close()

    def _connection(self, deadline: float) -> urllib3.connection.HTTPConnection:
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
            text = f"no connection to the backend server: {error}; start it"
            raise errors.BackendError(text, started=False) from error
        return connection

    def _exchange(self, connection, call, deadline):
        remaining_s = max(1e-3, deadline - time.monotonic())
        sock = connection.sock
        sock.settimeout(remaining_s)
        headers = {header.name: header.value for header in call.headers}
        headers[REQUEST_ID_HEADER] = call.request_id
        headers[DEADLINE_HEADER] = str(int(remaining_s * 1000))
        base = http.client.HTTPConnection
        base.request(connection, call.method, call.path, call.body or None, headers)
        response = base.getresponse(connection)
        body = self._read_whole(sock, response, deadline)
        if response.will_close:
            connection.close()
        passed = tuple(
            calls.Header(name, value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_BY_HOP_HEADERS
        )
        return BackendAnswer(response.status, passed, body)

    def _read_whole(self, sock, response, deadline) -> bytes:
        length = response.length
        limit = self._max_body_bytes
        if length is None and not response.chunked:
            raise http.client.HTTPException("the answer does not tell its length")
        body = b""
        # A time limit of the socket holds for each read; the deadline for all.
        while length is None or len(body) < length:
            part = response.read1(READ_BYTES)
            body += part
            if len(body) > limit or (length is not None and length > limit):
                raise http.client.HTTPException("the answer is larger than the limit")
            if not part:
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
        raise TimeoutError("the answer was not whole at the deadline")
    return remaining_s
