"""Parse the HTTP requests of callers.

The functions use neither sockets nor clocks.
"""

import dataclasses
import re

from savoryhollow import calls, errors, webserver
from savoryhollow.configuration import models

__all__ = ["ParsedRequest", "parse"]

HEADER_PREFIX = "Savoryhollow-"
SERVICE = "Savoryhollow-Service"
RANK = "Savoryhollow-Rank"
CALLER = "Savoryhollow-Caller"
DEADLINE_MS = "Savoryhollow-Deadline-Ms"
REQUEST_ID = "Savoryhollow-Request-Id"
IDEMPOTENT = "Savoryhollow-Idempotent"
DEPTH = "Savoryhollow-Depth"
ATTEMPTS_LEFT = "Savoryhollow-Attempts-Left"
TICKET = "Savoryhollow-Ticket"
KNOWN_HEADERS = frozenset(
    (SERVICE, RANK, CALLER, DEADLINE_MS, REQUEST_ID, IDEMPOTENT, DEPTH, ATTEMPTS_LEFT)
    + (TICKET,)
)
# The system can't give the guarantee that this header asks for, so requests with it
# are rejected; ignoring it would mislead the caller.
IDEMPOTENCY_KEY = "Idempotency-Key"

# Default and maximum of the time until a request's deadline, in ms.
DEFAULT_DEADLINE_MS = 10_000
MAX_DEADLINE_MS = 600_000
# Maximum depth of nested calls, and the default and maximum number of attempts in a
# whole tree of calls.
MAX_DEPTH = 32
DEFAULT_ATTEMPTS = 6
MAX_ATTEMPTS = 64
# Headers that apply to a single connection only and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    "connection keep-alive transfer-encoding content-length te trailer upgrade host "
    "proxy-authorization proxy-authenticate expect".split()
)

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,63}")
_ORIGIN = re.compile(r"([0-9a-f]{1,64}):([0-9]{1,18}):([0-9]{1,18})")
_METHODS = frozenset(("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"))


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedRequest:
    """A parsed request.

    :param call: the call.
    :param ticket: the ticket of an earlier attempt whose outcome the caller asks for;
        None for a new call.
    """

    call: calls.Call
    ticket: calls.Ticket | None


def parse(
    request: webserver.HttpRequest, configuration: models.Configuration, now: float
) -> ParsedRequest:
    """Parse a request from a caller.

    :param request: the request as received.
    :param configuration: the configuration in force; it defines the defaults of each
        rank.
    :param now: the current monotonic time in s.
    :returns: the call and its ticket.
    :raises errors.BadRequestError: if the request is invalid; the message names the
        header and what to send instead.
    """
    headers_by_name = _parse_headers(request)
    service = _parse_name(headers_by_name, SERVICE)
    rank = _parse_name(headers_by_name, RANK)
    idempotent = _parse_idempotent(headers_by_name, configuration, service, rank)
    ticket = _parse_ticket(headers_by_name)
    request_id = _parse_request_id(headers_by_name, idempotent, ticket)
    remaining_ms = _parse_number(
        headers_by_name, DEADLINE_MS, DEFAULT_DEADLINE_MS, 1, MAX_DEADLINE_MS
    )
    call = calls.Call(
        request_id=request_id,
        service=service,
        rank=rank,
        caller=_parse_name(headers_by_name, CALLER, "anonymous"),
        deadline=now + remaining_ms / 1000,
        idempotent=idempotent,
        depth=_parse_number(headers_by_name, DEPTH, 0, 0, MAX_DEPTH),
        attempts_left=_parse_number(
            headers_by_name, ATTEMPTS_LEFT, DEFAULT_ATTEMPTS, 1, MAX_ATTEMPTS
        ),
        method=_parse_method(request),
        path=_parse_path(request),
        headers=_forwarded_headers(request),
        body=request.body,
    )
    return ParsedRequest(call, ticket)


def _parse_headers(request: webserver.HttpRequest) -> dict[str, str]:
    headers_by_name = {header.name.title(): header.value for header in request.headers}
    if IDEMPOTENCY_KEY in headers_by_name:
        text = f"{IDEMPOTENCY_KEY} isn't supported; repeat with {TICKET} instead"
        raise errors.BadRequestError(text)
    for name in headers_by_name:
        if name.startswith(HEADER_PREFIX) and name not in KNOWN_HEADERS:
            known = ", ".join(sorted(KNOWN_HEADERS))
            raise errors.BadRequestError(f"{name} is unknown; use one of {known}")
    return headers_by_name


def _parse_name(
    headers_by_name: dict[str, str], header: str, default: str | None = None
) -> str:
    value = headers_by_name.get(header, default)
    if value is None:
        raise errors.BadRequestError(f"{header} is missing; add it")
    if not _NAME.fullmatch(value):
        text = f"{header} is invalid; use 1 to 64 letters, digits and . _ : -"
        raise errors.BadRequestError(text)
    return value


def _parse_number(headers_by_name, header, default, minimum, maximum) -> int:
    text = headers_by_name.get(header)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        raise errors.BadRequestError(f"{header} isn't an integer; send digits")
    if not minimum <= int(text) <= maximum:
        raise errors.BadRequestError(
            f"{header} must be between {minimum} and {maximum}"
        )
    return int(text)


def _parse_idempotent(headers_by_name, configuration, service, rank) -> bool:
    text = headers_by_name.get(IDEMPOTENT)
    if text is not None:
        if text not in ("true", "false"):
            raise errors.BadRequestError(f"{IDEMPOTENT} must be true or false")
        return text == "true"
    service_config = configuration.services.get(service)
    if service_config is None or rank not in service_config.ranks:
        return False
    return service_config.ranks[rank].idempotent


def _parse_ticket(headers_by_name: dict[str, str]) -> calls.Ticket | None:
    text = headers_by_name.get(TICKET)
    if text is None:
        return None
    *names, origin_text = text.split("/")
    origin = _ORIGIN.fullmatch(origin_text)
    is_valid = len(names) == 3 and all(_NAME.fullmatch(name) for name in names)
    if not is_valid or origin is None:
        raise errors.BadRequestError(f"{TICKET} is invalid; send it as received")
    session, connection, number = origin.groups()
    return calls.Ticket(*names, calls.Origin(session, int(connection), int(number)))


def _parse_request_id(headers_by_name, idempotent, ticket) -> str:
    if REQUEST_ID not in headers_by_name:
        return calls.new_request_id()
    if not idempotent and ticket is None:
        text = (
            f"{REQUEST_ID} doesn't prevent a non-idempotent request from running twice;"
            f" leave it out, and repeat the request only with {TICKET}"
        )
        raise errors.BadRequestError(text)
    return _parse_name(headers_by_name, REQUEST_ID)


def _parse_method(request: webserver.HttpRequest) -> str:
    if request.method not in _METHODS:
        raise errors.BadRequestError(f"method {request.method!r} isn't supported")
    return request.method


def _parse_path(request: webserver.HttpRequest) -> str:
    path = request.path
    if not path.startswith("/") or not path.isascii() or not path.isprintable():
        raise errors.BadRequestError("the path must start with / and be plain ASCII")
    if " " in path:
        raise errors.BadRequestError("the path contains a space; percent-encode it")
    return path


def _forwarded_headers(request: webserver.HttpRequest) -> tuple[calls.Header, ...]:
    return tuple(
        header
        for header in request.headers
        if header.name.lower() not in HOP_BY_HOP_HEADERS
        and not header.name.title().startswith(HEADER_PREFIX)
    )
