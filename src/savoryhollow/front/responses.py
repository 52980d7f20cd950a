"""Turn an outcome into the HTTP answer that a caller gets."""

import json
import math

from savoryhollow import calls, webserver

__all__ = ["format_ticket", "make_bad_request_response", "make_response"]

OUTCOME = "Savoryhollow-Outcome"
REQUEST_ID = "Savoryhollow-Request-Id"
ENDPOINT = "Savoryhollow-Endpoint"
TICKET = "Savoryhollow-Ticket"


def make_response(outcome: calls.Outcome) -> webserver.HttpResponse:
    """Return the answer for an outcome.

    :param outcome: what became of the call.
    :returns: the backend server's own answer where it served the call, else a
        JSON body that says what happened and what the caller may do.
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
    remedy = "it may have run; it is idempotent, so send it again"
    return _make_json_response(504, "timed-out", outcome.request_id, remedy)


def make_bad_request_response(error: Exception) -> webserver.HttpResponse:
    """Return the answer for a request that can't be understood."""
    return _make_json_response(400, "bad-request", "", str(error))


def format_ticket(ticket: calls.Ticket) -> str:
    """Return a ticket as callers carry it."""
    origin = ticket.origin
    entry = f"{origin.session}:{origin.connection}:{origin.number}"
    return f"{ticket.request_id}/{ticket.endpoint_id}/{ticket.incarnation}/{entry}"


def _make_not_run_response(outcome: calls.NotRun) -> webserver.HttpResponse:
    seconds = str(math.ceil(outcome.retry_after_ms / 1000))
    return _make_json_response(
        503,
        "not-run",
        outcome.request_id,
        "it was not run and will not be; send it again later",
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
        f"it may have run ({outcome.detail}); ask with the ticket",
        (calls.Header(TICKET, ticket),),
        ticket=ticket,
    )


def _make_json_response(status, outcome, request_id, remedy, headers=(), **more):
    document = {"outcome": outcome, "request_id": request_id, "remedy": remedy} | more
    common = (
        calls.Header("Content-Type", "application/json"),
        calls.Header(OUTCOME, outcome),
        calls.Header(REQUEST_ID, request_id),
    )
    body = json.dumps(document).encode()
    return webserver.HttpResponse(status, common + tuple(headers), body)
