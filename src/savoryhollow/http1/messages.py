"""HTTP/1.1 requests and responses, and their serialization."""

import dataclasses
import http

from savoryhollow import calls

__all__ = [
    "Request",
    "Response",
    "end_to_end_headers",
    "find_header",
    "render_request",
    "render_request_head",
    "render_response",
]

# Headers that apply to a single connection only and are not forwarded. Headers named
# by `Connection` are treated the same way.
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    )
)
# Status codes whose responses have no body.
STATUSES_WITHOUT_BODY = frozenset((204, 304))


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A complete request.

    :param method: the HTTP method.
    :param target: the path with its query, as received.
    :param headers: the headers in the order received.
    :param body: the whole body, without transfer encoding.
    :param received_at: the event loop's time at which its first byte arrived, in s.
    :param keep_alive: whether the caller allows the connection to stay open.
    """

    method: str
    target: str
    headers: tuple[calls.Header, ...]
    body: bytes
    received_at: float = 0.0
    keep_alive: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response.

    :param status: the HTTP status code.
    :param headers: the headers.
    :param body: the whole body, without transfer encoding.
    :param close: whether the connection is closed after the response.
    """

    status: int
    headers: tuple[calls.Header, ...] = ()
    body: bytes = b""
    close: bool = False


def find_header(headers: tuple[calls.Header, ...], name: str) -> str | None:
    """Return the value of the first header with the given name, or None.

    :param headers: the headers to search.
    :param name: the name in any case.
    """
    lowercase_name = name.lower()
    for header in headers:
        if header.name.lower() == lowercase_name:
            return header.value
    return None


def end_to_end_headers(headers: tuple[calls.Header, ...]) -> tuple[calls.Header, ...]:
    """Return the headers to forward: all but the hop-by-hop headers."""
    connection_options = find_header(headers, "connection") or ""
    dropped = HOP_BY_HOP_HEADERS | {
        name.strip().lower() for name in connection_options.split(",")
    }
    return tuple(header for header in headers if header.name.lower() not in dropped)


def render_request(request: Request) -> bytes:
    """Serialize a request; its headers must not include ``Content-Length``."""
    return render_request_head(request) + request.body


def render_request_head(request: Request) -> bytes:
    """Serialize a request without its body."""
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [f"{header.name}: {header.value}" for header in request.headers]
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(request.body)}")
    return _encode_head(lines)


def render_response(response: Response) -> bytes:
    """Serialize a response; its headers must not include ``Content-Length``."""
    lines = [f"HTTP/1.1 {response.status} {_reason_phrase(response.status)}"]
    lines += [f"{header.name}: {header.value}" for header in response.headers]
    if response.status not in STATUSES_WITHOUT_BODY:
        lines.append(f"Content-Length: {len(response.body)}")
    if response.close:
        lines.append("Connection: close")
    return _encode_head(lines) + response.body


def _encode_head(lines: list[str]) -> bytes:
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def _reason_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unassigned"
