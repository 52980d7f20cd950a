"""The progress of a call over its attempts, and the message of each attempt."""

import dataclasses

from savoryhollow import calls
from savoryhollow.membership import table
from savoryhollow.routing import evidence as evidence_module
from savoryhollow.routing import nearby
from savoryhollow.wire import messages

__all__ = [
    "NO_ENDPOINT_RETRY_AFTER_MS",
    "Progress",
    "call_message",
    "outcome_detail",
    "report_age_ms",
]

# Retry-After sent to a caller if no gate suggested a time, in ms.
NO_ENDPOINT_RETRY_AFTER_MS = 250


@dataclasses.dataclass(slots=True)
class Progress:
    """The results of a call's attempts so far.

    :param sent: number of attempts that may have reached a backend server.
    :param asked: number of attempts except those that bounced.
    :param tried: the ids of the endpoints of these attempts.
    :param unknown_outcome: the first outcome that leaves open whether the request
        ran.
    :param failure: the last failure response of a backend server.
    :param bounced: the ids of the endpoints whose gate refused the call because it
        couldn't start at once.
    :param full: how many of these refused for lack of a slot, not for a slow spell.
    :param patient: whether the next gate may queue the call.
    :param last: the outcome of the last attempt.
    :param retry_after_ms: when the caller may retry, in ms, as the last gate that
        refused the call suggested.
    """

    sent: int = 0
    asked: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    unknown_outcome: calls.Outcome | None = None
    failure: calls.Served | None = None
    bounced: set[str] = dataclasses.field(default_factory=set)
    full: int = 0
    patient: bool = False
    last: calls.Outcome | None = None
    retry_after_ms: int = NO_ENDPOINT_RETRY_AFTER_MS


def call_message(
    call: calls.Call,
    endpoint: table.Endpoint,
    number: int,
    now: float,
    patient: bool,
) -> messages.CallMessage:
    """Return the message of one attempt.

    :param endpoint: the endpoint that the attempt is sent to.
    :param number: a number that is unique among the attempts of this process.
    :param now: the current time.
    :param patient: whether the gate may queue the call if it can't start at once.
    """
    return messages.CallMessage(
        request_id=f"{call.request_id}.{number}",
        service=call.service,
        rank=call.rank,
        caller=call.caller,
        remaining_us=max(0, int(1e6 * (call.deadline - now))),
        idempotent=call.idempotent,
        depth=call.depth,
        attempts_left=call.attempts_left,
        method=call.method,
        path=call.path,
        headers=call.headers,
        body=call.body,
        order=call.order,
        objective_us=int(1e6 * (call.objective - now)),
        expected_endpoint=endpoint.endpoint_id,
        patient=patient,
    )


def outcome_detail(outcome: calls.Outcome) -> str:
    """Return the status, reason or error of an outcome, for the log."""
    if isinstance(outcome, calls.Served):
        return str(outcome.status)
    if isinstance(outcome, calls.NotRun):
        return outcome.reason.value
    return outcome.detail if isinstance(outcome, calls.Unknown) else "deadline"


def report_age_ms(decision: nearby.Decision) -> int | None:
    """Return the age of the load report used by a decision, in ms.

    :returns: None if the report is too old to be used.
    """
    age_s = decision.report_age_s
    return round(1000 * age_s) if age_s < evidence_module.MAX_EVIDENCE_AGE_S else None
