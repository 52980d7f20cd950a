"""Convert outcomes of calls to HTTP responses."""

import json
import math

from savoryhollow import calls, webserver

__all__ = ["format_ticket", "make_bad_request_response", "make_response"]

OUTCOME = "Savoryhollow-Outcome"
REQUEST_ID = "Savoryhollow-Request-Id"
ENDPOINT = "Savoryhollow-Endpoint"
TICKET = "Savoryhollow-Ticket"


def make_response(outcome: calls.Outcome) -> webserver.HttpResponse:
    """Return the response for an outcome.

    :param outcome: the outcome of the call.
    :returns: the response of the backend server if it served the call; otherwise a
        response whose JSON body says what happened and what the caller can do.
    """
    if isinstance(outcome, calls.Served):
        headers = (
            *outcome.headers,
            calls.Header(OUTCOME, "served"),
            calls.Header(REQUEST_ID, outcome.request_id),
            calls.Header(ENDPOINT, outcome.endpoint_id),
        )
        return webserver.HttpResponse(outcome.status, headers, outcome.body)
    if isinstance(outcome, calls.NotRun):
        return _make_not_run_response(outcome)
    if isinstance(outcome, calls.Unknown):
        return _make_unknown_response(outcome)
    remedy = "the request may have run; as it is idempotent, send it again"
    return _make_json_response(504, "timed-out", outcome.request_id, remedy)


def make_bad_request_response(error: Exception) -> webserver.HttpResponse:
    """Return the response for an invalid request.

    :param error: says what is wrong and what to send instead.
    """
    return _make_json_response(400, "bad-request", "", str(error))


def format_ticket(ticket: calls.Ticket) -> str:
    """Return the text of a ticket, as sent in headers."""
    origin = ticket.origin
    origin_text = f"{origin.session}:{origin.connection}:{origin.number}"
    return (
        f"{ticket.request_id}/{ticket.endpoint_id}/{ticket.incarnation}/{origin_text}"
    )


def _make_not_run_response(outcome: calls.NotRun) -> webserver.HttpResponse:
    seconds = str(math.ceil(outcome.retry_after_ms / 1000))
    return _make_json_response(
        503,
        "not-run",
        outcome.request_id,
        "the request was not run and will not be run; send it again later",
        (calls.Header("Retry-After", seconds),),
        reason=str(outcome.reason),
        retry_after_ms=outcome.retry_after_ms,
    )


def _make_unknown_response(outcome: calls.Unknown) -> webserver.HttpResponse:
    ticket = format_ticket(outcome.ticket)
    return _make_json_response(
        502,
        "unknown",
        outcome.request_id,
        f"the request may have run ({outcome.detail}); ask with the ticket",
        (calls.Header(TICKET, ticket),),
        ticket=ticket,
    )


def _make_json_response(
    status, outcome, request_id, remedy, headers=(), **extra_fields
):
    document = {
        "outcome": outcome,
        "request_id": request_id,
        "remedy": remedy,
    } | extra_fields
    common_headers = (
        calls.Header("Content-Type", "application/json"),
        calls.Header(OUTCOME, outcome),
        calls.Header(REQUEST_ID, request_id),
    )
    body = json.dumps(document).encode()
    return webserver.HttpResponse(status, common_headers + tuple(headers), body)
