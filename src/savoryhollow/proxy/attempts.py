"""The attempts of one call: what they have come to, and the message of each."""

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

# Time that a caller is told to wait where no endpoint could be asked, in ms.
NO_ENDPOINT_RETRY_AFTER_MS = 250


@dataclasses.dataclass(slots=True)
class Progress:
    """What the attempts of one call have come to so far.

    :param sent: attempts that may have reached a backend server.
    :param maybe_run: the first attempt that may have run.
    :param failure: the failure that a backend server answered.
    :param bounced: endpoints where it could not start at once.
    :param full: how many of these had no free slot.
    :param patient: whether it waits from now on.
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

    :param number: tells the attempt from all others of this process.
    :param now: the present instant.
    :param patient: whether it waits at a gate where it can't start at once.
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
    """Return what an attempt came to, in a word."""
    if isinstance(outcome, calls.Served):
        return str(outcome.status)
    if isinstance(outcome, calls.NotRun):
        return outcome.reason.value
    return outcome.detail if isinstance(outcome, calls.Unknown) else "deadline"


def report_age_ms(decision: nearby.Decision) -> int | None:
    """Return the age of the report that a choice rests on, in ms, if it counts."""
    age_s = decision.report_age_s
    return round(1000 * age_s) if age_s < evidence_module.MAX_EVIDENCE_AGE_S else None
