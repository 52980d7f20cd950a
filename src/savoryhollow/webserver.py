"""A thin layer over cheroot: one function answers every request.

Used on the port for callers and on the port for operators.
"""

import collections.abc
import dataclasses
import http.client
import threading

import cheroot.server

from savoryhollow import calls

__all__ = ["HttpAnswer", "HttpRequest", "WebServer"]

# Limit of a request's head, in bytes.
MAX_HEAD_BYTES = 32 << 10
# A caller that sends nothing for this time is cut off, in s.
IDLE_LIMIT_S = 60.0
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
class HttpAnswer:
    """One answer to be sent."""

    status: int
    headers: tuple[calls.Header, ...]
    body: bytes


Handler = collections.abc.Callable[[HttpRequest], HttpAnswer]


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


class _Headers(dict):
    """Headers of one request; a header that stands twice is refused."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        folded = name in cheroot.server.comma_separated_headers
        if name in self and not folded:
            raise ValueError(f"header {name!r} stands twice; send it once")
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


class _Connection(cheroot.server.HTTPConnection):
    RequestHandlerClass = _Request


class _Gateway(cheroot.server.Gateway):
    """Turns cheroot's request into ours and writes the answer."""

    def __init__(self, request: cheroot.server.HTTPRequest, handler: Handler):
        super().__init__(request)
        self._handler = handler

    def respond(self) -> None:
        """Answer the request."""
        answer = self._handler(self._read())
        request = self.req
        request.status = f"{answer.status} {_phrase(answer.status)}".encode("latin-1")
        request.outheaders = [
            (header.name.encode("latin-1"), header.value.encode("latin-1"))
            for header in answer.headers
        ]
        length = str(len(answer.body)).encode("ascii")
        request.outheaders.append((b"Content-Length", length))
        request.ensure_headers_sent()
        if answer.body and request.method != b"HEAD":
            request.write(answer.body)

    def _read(self) -> HttpRequest:
        request = self.req
        headers = tuple(
            calls.Header(name.decode("latin-1"), value.decode("latin-1"))
            for name, value in request.inheaders.items()
        )
        path = request.uri.decode("latin-1")
        method = request.method.decode("latin-1")
        return HttpRequest(method, path, headers, request.rfile.read())


def _phrase(status: int) -> str:
    return http.client.responses.get(status, "Other")
