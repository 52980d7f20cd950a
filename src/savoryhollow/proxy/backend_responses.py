"""Decide what the response of a backend server proves about the run of a request.

This module does no I/O. Only complete responses get here, and only those that belong
to the request; see :func:`savoryhollow.http1.backends.is_response_to`.
"""

import dataclasses

from savoryhollow import calls
from savoryhollow.http1 import messages
from savoryhollow.proxy import dialect as dialect_module

__all__ = ["BackendResult", "interpret"]

MISDIRECTED_STATUS = 421
# Status codes that tell a caller that its request was not run and never will be.
NOT_RUN_STATUSES = frozenset((408, MISDIRECTED_STATUS, 429, 503))


@dataclasses.dataclass(frozen=True, slots=True)
class BackendResult:
    """The result of sending a request to the backend server.

    :param response: the complete response, if there is one that may be forwarded.
    :param reason: why the request was not run, if it is certain that it was not.
    :param detail: what went wrong; always set if it is unknown whether it ran.
    """

    response: messages.Response | None = None
    reason: calls.NotRunReason | None = None
    detail: str = ""


def interpret(
    response: messages.Response, dialect: dialect_module.Dialect
) -> BackendResult:
    """Return the result that a response to a request stands for.

    A status code alone doesn't prove that the request was not run, except for a
    misdirected request, which the backend server must not run.

    :param response: the complete response to the request.
    :param dialect: the HTTP header names that the platform uses.
    """
    headers = response.headers
    if response.status == MISDIRECTED_STATUS:
        return BackendResult(reason=calls.NotRunReason.MISDIRECTED)
    if messages.find_header(headers, dialect.not_executed) is not None:
        return BackendResult(reason=calls.NotRunReason.REJECTED)
    problem = _find_problem(response, dialect)
    if problem:
        return BackendResult(detail=problem)
    kept = tuple(
        header
        for header in messages.end_to_end_headers(headers)
        if header.name.lower() != dialect.load.lower()
    )
    return BackendResult(messages.Response(response.status, kept, response.body))


def _find_problem(
    response: messages.Response, dialect: dialect_module.Dialect
) -> str | None:
    """Return why a response can't be forwarded, or None if it can."""
    headers = response.headers
    if response.status in NOT_RUN_STATUSES:
        return (
            f"status {response.status} without the {dialect.not_executed} header "
            "doesn't prove that the request was not run"
        )
    signed = messages.find_header(headers, dialect.signature) is not None
    if 200 <= response.status < 300 and not signed:
        return "the response lacks the signature header"
    if messages.find_header(headers, "content-encoding") is not None:
        return "the response has a Content-Encoding that was not requested"
    return None
