"""Derive the outcome of an attempt and update the evidence about its endpoint.

The functions have no side effects except on their arguments and the log. The caller
passes the current time.
"""

from savoryhollow import calls, errors
from savoryhollow.membership import table
from savoryhollow.observe import events
from savoryhollow.proxy import attempts, gate
from savoryhollow.recovery import retrying
from savoryhollow.routing import placement
from savoryhollow.wire import messages

__all__ = ["interpret_answer", "update_evidence"]

# Refusals that don't count as a failure of the endpoint.
_HEALTHY_REFUSALS = frozenset(calls.NotRunReason) - {
    calls.NotRunReason.UNREACHABLE,
    calls.NotRunReason.MISDIRECTED,
}
# Refusals by the backend server itself, so the request has reached it.
_BACKEND_REFUSALS = frozenset(
    (calls.NotRunReason.REJECTED, calls.NotRunReason.MISDIRECTED)
)


def interpret_answer(
    call: calls.Call,
    endpoint: table.Endpoint,
    answer: gate.Answer | errors.WireError,
    progress: attempts.Progress,
    now: float,
) -> calls.Outcome:
    """Return the outcome of an attempt and record it in the call's progress.

    :param endpoint: the endpoint that the attempt was sent to.
    :param answer: the gate's answer, or the error raised in place of one.
    :param now: the current time.
    """
    request_id = call.request_id
    if isinstance(answer, messages.ServedMessage):
        progress.sent += 1
        served = calls.Served(
            request_id,
            endpoint.endpoint_id,
            answer.status,
            answer.headers,
            answer.body,
        )
        if served.status >= retrying.MIN_FAILURE_STATUS:
            progress.failure = served
        return served
    if isinstance(answer, messages.NotRunMessage):
        progress.sent += answer.reason in _BACKEND_REFUSALS
        progress.retry_after_ms = answer.retry_after_ms
        return calls.NotRun(request_id, answer.reason, answer.retry_after_ms)
    if isinstance(answer, errors.PeerUnreachableError):
        reason = calls.NotRunReason.UNREACHABLE
        return calls.NotRun(request_id, reason, attempts.NO_ENDPOINT_RETRY_AFTER_MS)
    progress.sent += 1
    detail = str(answer) if isinstance(answer, Exception) else answer.detail
    outcome = _unknown_outcome(call, endpoint, detail, now)
    progress.unknown_outcome = progress.unknown_outcome or outcome
    return outcome


def _unknown_outcome(call, endpoint, detail: str, now: float) -> calls.Outcome:
    if now >= call.deadline:
        return calls.TimedOut(call.request_id, endpoint.endpoint_id)
    origin = calls.Origin("", 0, 0)
    ticket = calls.Ticket(call.request_id, endpoint.endpoint_id, "", origin)
    return calls.Unknown(call.request_id, ticket, detail)


def update_evidence(
    candidate: placement.Candidate,
    answer: gate.Answer | errors.WireError,
    outcome: calls.Outcome,
    started: float,
    now: float,
) -> None:
    """Update the evidence about an endpoint with the result of an attempt.

    :param candidate: the endpoint that the attempt was sent to, and its evidence.
    :param answer: the gate's answer, or the error raised in place of one.
    :param outcome: the outcome of the attempt.
    :param started: the time at which the attempt began.
    :param now: the current time.
    """
    evidence = candidate.evidence
    trusted = evidence.trusted
    report = getattr(answer, "load", None)
    if report is not None:
        evidence.record_report(report, now)
    if isinstance(outcome, calls.Served):
        if outcome.status >= retrying.MIN_FAILURE_STATUS:
            evidence.record_failure(now, reached=True)
        else:
            evidence.record_success(now - started, now)
    elif isinstance(outcome, calls.NotRun):
        if outcome.reason not in _HEALTHY_REFUSALS:
            evidence.record_failure(now, reached=False)
    elif not isinstance(outcome, calls.TimedOut):
        evidence.record_failure(now, reached=True)
    if trusted is not evidence.trusted:
        _log_trust(candidate, outcome)


def _log_trust(candidate: placement.Candidate, outcome: calls.Outcome) -> None:
    evidence = candidate.evidence
    event = events.Event.ENDPOINT_DISTRUSTED
    if evidence.trusted:
        event = events.Event.ENDPOINT_TRUSTED
    events.emit(
        event,
        endpoint_id=candidate.endpoint.endpoint_id,
        request_id=outcome.request_id,
        failure_share=round(evidence.failure_share, 2),
        backoff_ms=round(1000 * evidence.backoff_s),
        detail=attempts.outcome_detail(outcome),
    )
