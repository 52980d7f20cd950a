"""Requests and answers of HTTP/1.1, and their bytes."""

import dataclasses
import http

from savoryhollow import calls

__all__ = [
    "Request",
    "Response",
    "end_to_end_headers",
    "find_header",
    "render_request",
    "render_response",
]

# Headers that concern one connection alone; those that `Connection` names join them.
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
# Statuses whose answers never have a body.
STATUSES_WITHOUT_BODY = frozenset((204, 304))


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One whole request.

    :param target: the path with its query, as it was sent.
    :param received_at: the instant at which its last byte was read.
    :param keep_alive: whether the caller lets the connection stay open.
    """

    method: str
    target: str
    headers: tuple[calls.Header, ...]
    body: bytes
    received_at: float = 0.0
    keep_alive: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """One whole answer.

    :param close: whether the connection ends with it.
    """

    status: int
    headers: tuple[calls.Header, ...] = ()
    body: bytes = b""
    close: bool = False


def find_header(headers: tuple[calls.Header, ...], name: str) -> str | None:
    """Return the value of the first header of a name, or None.

    :param name: the name; its case doesn't matter.
    """
    wanted = name.lower()
    for header in headers:
        if header.name.lower() == wanted:
            return header.value
    return None


def end_to_end_headers(headers: tuple[calls.Header, ...]) -> tuple[calls.Header, ...]:
    """Return the headers that are passed on."""
    listed = find_header(headers, "connection") or ""
    dropped = HOP_BY_HOP_HEADERS | {name.strip().lower() for name in listed.split(",")}
    return tuple(header for header in headers if header.name.lower() not in dropped)


def render_request(request: Request) -> bytes:
    """Return the bytes of a request; its headers hold no length."""
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [f"{header.name}: {header.value}" for header in request.headers]
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(request.body)}")
    return _join(lines) + request.body


def render_response(response: Response) -> bytes:
    """Return the bytes of an answer; its headers hold no length."""
    lines = [f"HTTP/1.1 {response.status} {_phrase(response.status)}"]
    lines += [f"{header.name}: {header.value}" for header in response.headers]
    if response.status not in STATUSES_WITHOUT_BODY:
        lines.append(f"Content-Length: {len(response.body)}")
    if response.close:
        lines.append("Connection: close")
    return _join(lines) + response.body


def _join(lines: list[str]) -> bytes:
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def _phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unassigned"
