"""Combine the records that several daemons have of one request.

The daemon that placed an attempt records why it chose the endpoint and how the
attempt ended. The daemon beside the backend server records how long the attempt
waited and ran.
"""

import collections.abc
import dataclasses

from savoryhollow.cli import operator_client
from savoryhollow.observe import placements, requests, runs

__all__ = ["Attempt", "Trace", "build_trace", "trace_lines"]


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt, as recorded by its router and by its gate.

    :param placed_by: the daemon that placed it; empty if that daemon was not
        queried.
    :param policy: the placement policy of that daemon.
    :param ran_on: the daemon whose backend server ran it; empty if no queried
        daemon has a record of the run.
    """

    attempt_id: str
    placed_by: str = ""
    policy: str = ""
    placement: placements.PlacementRecord | None = None
    ran_on: str = ""
    run: runs.RunRecord | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Trace:
    """The combined records of one request.

    :param refusals: a record of the outcome if the request was not served.
    """

    request_id: str
    attempts: list[Attempt]
    refusals: list[requests.RefusalRecord]


def build_trace(
    request_id: str, replies: collections.abc.Iterable[operator_client.TraceReply]
) -> Trace:
    """Return the trace of a request.

    :param request_id: the id in the response to the caller.
    :param replies: the records of each daemon.
    """
    attempts_by_id: dict[str, Attempt] = {}
    refusals: list[requests.RefusalRecord] = []
    for reply in replies:
        refusals.extend(reply.refusals)
        for placement in reply.placements:
            attempt = attempts_by_id.get(
                placement.attempt_id, Attempt(placement.attempt_id)
            )
            attempts_by_id[placement.attempt_id] = dataclasses.replace(
                attempt,
                placed_by=reply.endpoint_id,
                policy=reply.placement,
                placement=placement,
            )
        for run in reply.runs:
            attempt = attempts_by_id.get(run.attempt_id, Attempt(run.attempt_id))
            attempts_by_id[run.attempt_id] = dataclasses.replace(
                attempt, ran_on=reply.endpoint_id, run=run
            )
    attempts = [attempts_by_id[attempt_id] for attempt_id in sorted(attempts_by_id)]
    return Trace(request_id, attempts, refusals)


# ---------------------------------------------------------------------------
#   Text
# ---------------------------------------------------------------------------


def trace_lines(trace: Trace) -> list[str]:
    """Return a trace as lines for a terminal of 60 columns."""
    text = [f"request {trace.request_id}"]
    for attempt in trace.attempts:
        text.extend(_attempt_lines(attempt))
    for refusal in trace.refusals:
        text.append(f"answered  {refusal.outcome}, {refusal.detail}")
        text.append(f"          after {refusal.duration_ms:.1f} ms")
    return text


def _attempt_lines(attempt: Attempt) -> list[str]:
    number = attempt.attempt_id.rpartition(".")[2]
    placement = attempt.placement
    if placement is None:
        text = [f"attempt {number} on {attempt.ran_on}"]
        text.append("  placed    by a daemon that was not queried")
    else:
        text = [f"attempt {number} to {placement.endpoint_id} ({placement.region})"]
        text.append(f"  placed    by {attempt.placed_by}, policy {attempt.policy}")
        text.extend(_choice_lines(placement.choice))
    text.extend(_run_lines(attempt.run))
    if placement is not None:
        text.extend(_outcome_lines(placement))
    return text


def _choice_lines(choice: placements.Choice | None) -> list[str]:
    if choice is None:
        return []
    expected = f"  why       expected {choice.expected_ms:.1f} ms"
    text = [f"{expected}, {choice.in_flight} in flight from this router"]
    if choice.failing:
        text.append("            the endpoint had failed recently")
    if choice.busy is None:
        text.append("            no recent load report")
    else:
        text.append(
            f"            {choice.busy} busy and {choice.queued} queued"
            f" {choice.evidence_age_ms:.0f} ms earlier"
        )
    return text


def _run_lines(run: runs.RunRecord | None) -> list[str]:
    if run is None:
        return ["  waited    no queried daemon has a record of a run"]
    return [
        f"  waited    {run.waited_ms:.1f} ms for a slot",
        f"  ran       {run.ran_ms:.1f} ms, {run.outcome}",
    ]


def _outcome_lines(placement: placements.PlacementRecord) -> list[str]:
    link = "over the link" if placement.crossed_region else "not over the link"
    cost = f"{placement.request_bytes} B out, {placement.answer_bytes} B back"
    return [
        f"  cost      {cost}, {link}",
        f"  ended     {placement.outcome}, {placement.detail}",
        f"            after {placement.duration_ms:.1f} ms",
    ]
