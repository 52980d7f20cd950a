"""Checks the guarantees of the load balancer against the records of a run.

The checks only read the records. Guarantees about time are checked separately: they
apply only in periods without faults in which the soak test itself wasn't delayed.
"""

import bisect
import collections
import collections.abc

from soak import configurations, layout, records

__all__ = ["TIMED_CHECKS", "UNTIMED_CHECKS", "check"]

BOUNDS = layout.BOUNDS
# Statuses which state that a request hasn't run and won't run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
MAX_ATTEMPTS = 3
# Requests that may be cut off outside of planned stops.
MAX_CUT_REQUESTS = 3
# A request may be interrupted if an endpoint still runs it in this last part of the
# grace period, and if it was sent soon enough after SIGTERM.
FINAL_GRACE_SHARE = 1 / 6
CALLER_GRACE_S = 3.0

Check = collections.abc.Callable[[records.History], list[str]]


def check(
    history: records.History, checks: collections.abc.Iterable[Check]
) -> list[str]:
    """Run checks on the records of a run.

    :returns: the violated guarantees, each with its evidence.
    """
    return [violation for check_one in checks for violation in check_one(history)]


# ---------------------------------------------------------------------------
#   Guarantees that always apply
# ---------------------------------------------------------------------------


def find_repeated_runs(history: records.History) -> list[str]:
    """Find non-idempotent requests that ran more than once."""
    return [
        f"ran {len(runs)} times: {history.sent_by_id[request_id]}"
        for request_id, runs in history.runs_by_id().items()
        if len(runs) > 1
        and request_id in history.sent_by_id
        and not history.sent_by_id[request_id].idempotent
    ]


def find_false_refusals(history: records.History) -> list[str]:
    """Find non-idempotent requests that ran although they were refused."""
    runs = history.runs_by_id()
    return [
        f"refused with {sent.status}, but ran: {sent}"
        for sent in history.sent_by_id.values()
        if sent.status in NOT_RUN_STATUSES
        and not sent.idempotent
        and runs.get(sent.request_id)
    ]


def find_invalid_responses(history: records.History) -> list[str]:
    """Find responses that are incomplete, mixed up or not from a backend server."""
    runs = history.runs_by_id()
    violations = []
    for sent in history.sent_by_id.values():
        if not sent.sound:
            violations.append(f"response incomplete or of another request: {sent}")
        if sent.signed:
            statuses = {run.status for run in runs.get(sent.request_id, ())}
            if sent.status not in statuses:
                violations.append(
                    f"no backend server responded with {sent.status}: {sent}"
                )
    return violations


def find_unrequested_runs(history: records.History) -> list[str]:
    """Find runs that no caller requested in this form."""
    violations = []
    for run in history.runs:
        sent = history.sent_by_id.get(run.request_id)
        if sent is None:
            violations.append(f"ran, but was never sent: {run}")
            continue
        if (run.path, run.method, run.body) != (sent.path, sent.method, sent.body):
            violations.append(f"path, method or body changed in transit: {run}")
        if run.caller_service not in history.services_by_instance[sent.place]:
            violations.append(f"stated the wrong caller service: {run}")
    return violations


def find_misrouted_runs(history: records.History) -> list[str]:
    """Find runs at a service that no configuration allows."""
    allowed_by_prefix: dict[str, set[str]] = collections.defaultdict(set)
    for configuration in history.configurations:
        for prefix, services in configuration.services_by_prefix.items():
            allowed_by_prefix[prefix] |= services
    return [
        f"ran at the wrong service: {run}"
        for run in history.runs
        if run.service not in allowed_by_prefix[records.route_prefix(run.path)]
    ]


def find_excess_attempts(history: records.History) -> list[str]:
    """Find requests that ran on more endpoints than their route allows."""
    violations = []
    for request_id, runs in history.runs_by_id().items():
        stopped = {
            run.endpoint_id
            for run in runs
            if history.stopped_at_by_endpoint.get(run.endpoint_id, 0) >= run.started_at
        }
        endpoints = {run.endpoint_id for run in runs} - stopped
        if len(endpoints) > MAX_ATTEMPTS:
            violations.append(f"ran on {len(endpoints)} endpoints: {request_id}")
    return violations


def find_excess_retries(history: records.History) -> list[str]:
    """Find services whose retries exceed the budget in some window."""
    violations = []
    for service in layout.SERVICES:
        request_times = _request_times(history, service)
        retry_times = _retry_times(history, service)
        window_s = BOUNDS.retry_window_s
        for index, at in enumerate(retry_times):
            since = bisect.bisect_right(retry_times, at - window_s)
            requests = max(
                _count_between(request_times, at - window_s - back_s, at - back_s)
                for back_s in (0.0, window_s / 2, window_s)
            )
            limit = BOUNDS.retry_ratio * requests + BOUNDS.retry_slack
            if index + 1 - since > limit:
                violations.append(
                    f"{index + 1 - since} retries at {service} until {at:.2f}, "
                    f"but {limit:.1f} are allowed"
                )
                break
    return violations


def _request_times(history: records.History, service: str) -> list[float]:
    latest_services = (
        history.configurations[-1].services_by_prefix if history.configurations else {}
    )
    return sorted(
        sent.sent_at
        for sent in history.sent_by_id.values()
        if service in latest_services.get(records.route_prefix(sent.path), ())
    )


def _retry_times(history: records.History, service: str) -> list[float]:
    seen: set[str] = set()
    times = []
    for arrival in sorted(history.arrivals, key=lambda arrival: arrival.at):
        # Probes have no id; each is a request of its own.
        if arrival.service != service or not arrival.request_id:
            continue
        if arrival.request_id in seen:
            times.append(arrival.at)
        seen.add(arrival.request_id)
    return times


def _count_between(times: list[float], since: float, until: float) -> int:
    return bisect.bisect_right(times, until) - bisect.bisect_right(times, since)


def find_unlogged_runs(history: records.History) -> list[str]:
    """Find requests that ran, got no answer, and aren't named in the caller's log."""
    runs = history.runs_by_id()
    return [
        f"ran, not answered, and no line in the log: {sent}"
        for sent in _find_unlogged(history)
        if runs.get(sent.request_id)
    ]


def _find_unlogged(history: records.History) -> list[records.Sent]:
    """Return requests without an answer or a line, of daemons that weren't killed."""
    window_s = BOUNDS.stability_window_s
    return [
        sent
        for sent in history.sent_by_id.values()
        if sent.status is None
        and sent.request_id not in history.logged_ids_by_place.get(sent.place, ())
        and not any(
            sent.sent_at - window_s <= killed_at <= sent.ended_at + window_s
            for killed_at in history.killed_at_by_place[sent.place]
        )
    ]


# ---------------------------------------------------------------------------
#   Guarantees about time
# ---------------------------------------------------------------------------


def find_arrivals_after_drain(history: records.History) -> list[str]:
    """Find requests that ran at an endpoint long after it began to drain."""
    drains_by_endpoint = {entry.endpoint_id: entry for entry in history.drains}
    violations = []
    for arrival in history.arrivals:
        drain = drains_by_endpoint.get(arrival.endpoint_id)
        if drain is None or not arrival.ran:
            continue
        late_s = arrival.at - drain.at - BOUNDS.drain_s
        since = drain.at - BOUNDS.stability_window_s
        sent = history.sent_by_id.get(arrival.request_id)
        # A machine in touch learns of it also while others are disturbed.
        undisturbed = all(
            history.is_undisturbed(since, arrival.at, place)
            for place in (drain.place, sent.place if sent else None)
        )
        if late_s > 0 and undisturbed:
            violations.append(
                f"{late_s:.2f} s too late at a draining endpoint: {arrival}"
            )
    return violations


def find_interrupted_requests(history: records.History) -> list[str]:
    """Find requests that were interrupted by a planned stop."""
    runs = history.runs_by_id()
    violations = []
    for sent in history.sent_by_id.values():
        stop = _find_planned_stop(history, sent)
        if stop is None or sent.status is not None or sent.left_at is not None:
            continue
        if sent.ended_at >= sent.deadline or sent.detail == "not read":
            continue
        ran = runs.get(sent.request_id)
        was_read = ran or sent.ended_at - sent.sent_at > BOUNDS.assumed_read_after_s
        window_s = BOUNDS.stability_window_s
        undisturbed = history.is_undisturbed(sent.sent_at - window_s, sent.ended_at)
        if was_read and undisturbed and not _may_be_interrupted(sent, ran, stop):
            violations.append(f"interrupted by a planned stop: {sent}")
    return violations


def _find_planned_stop(history, sent: records.Sent) -> records.Disturbance | None:
    for stop in history.planned_stops:
        if stop.place == sent.place and stop.since <= sent.ended_at <= stop.until:
            return stop
    return None


def _may_be_interrupted(
    sent: records.Sent, runs: list[records.Run] | None, stop: records.Disturbance
) -> bool:
    final_part_at = stop.since + BOUNDS.grace_s * (1 - FINAL_GRACE_SHARE)
    still_ran = any(
        run.started_at < stop.until and run.ended_at >= final_part_at
        for run in runs or ()
    )
    return still_ran and sent.sent_at <= stop.since + CALLER_GRACE_S


def find_cut_requests(history: records.History) -> list[str]:
    """Find requests that were passed on and cut by daemons that nobody stops."""
    runs = history.runs_by_id()
    cut = [
        sent
        for sent in history.sent_by_id.values()
        if sent.status is None and sent.left_at is None
        if sent.ended_at < sent.deadline and runs.get(sent.request_id)
        if _find_planned_stop(history, sent) is None
        if all(
            history.is_undisturbed(
                sent.sent_at - BOUNDS.stability_window_s, sent.ended_at, place
            )
            for place in {sent.place, *(run.place for run in runs[sent.request_id])}
        )
    ]
    if len(cut) <= MAX_CUT_REQUESTS:
        return []
    return [f"cut without a planned stop: {sent}" for sent in cut]


def find_unlogged_requests(history: records.History) -> list[str]:
    """Find requests that were read, got no answer, and aren't named in the log."""
    return [
        f"not answered, and no line in the log: {sent}"
        for sent in _find_unlogged(history)
        if sent.detail != "not read"
        and sent.ended_at - sent.sent_at > BOUNDS.assumed_read_after_s
        and history.is_undisturbed(
            sent.sent_at - BOUNDS.stability_window_s, sent.ended_at
        )
    ]


def find_wasted_runs(history: records.History) -> list[str]:
    """Find runs that continued too long after their caller had left."""
    violations = []
    for run in history.runs:
        sent = history.sent_by_id.get(run.request_id)
        if sent is None or sent.left_at is None or not sent.idempotent:
            continue
        since = sent.left_at - BOUNDS.stability_window_s
        late_s = run.ended_at - sent.left_at - BOUNDS.cancel_after_s
        if late_s > 0 and history.is_undisturbed(since, run.ended_at):
            violations.append(f"{late_s:.2f} s too long after its caller left: {run}")
    return violations


def find_excess_deadlines(history: records.History) -> list[str]:
    """Find runs whose deadline is later than that of the caller."""
    violations = []
    for run in history.runs:
        sent = history.sent_by_id.get(run.request_id)
        if sent is None:
            continue
        late_s = run.given_until - sent.deadline
        since = sent.sent_at - BOUNDS.stability_window_s
        if late_s > BOUNDS.deadline_slack_s and history.is_undisturbed(
            since, run.started_at
        ):
            violations.append(f"{late_s:.2f} s later than the caller's deadline: {run}")
    return violations


def find_unanswered_requests(history: records.History) -> list[str]:
    """Find requests with neither a response nor a closed connection by the deadline."""
    return [
        f"no response by the deadline: {sent}"
        for sent in history.sent_by_id.values()
        if sent.left_at is not None
        and sent.left_at > sent.deadline
        and history.is_undisturbed(
            sent.sent_at - BOUNDS.stability_window_s, sent.left_at
        )
    ]


UNTIMED_CHECKS: tuple[Check, ...] = (
    find_repeated_runs,
    find_false_refusals,
    find_invalid_responses,
    find_unrequested_runs,
    find_misrouted_runs,
    find_excess_attempts,
    find_excess_retries,
    find_unlogged_runs,
    configurations.find_configuration_rollbacks,
)
TIMED_CHECKS: tuple[Check, ...] = (
    configurations.find_late_configurations,
    find_arrivals_after_drain,
    find_interrupted_requests,
    find_cut_requests,
    find_unlogged_requests,
    find_wasted_runs,
    find_excess_deadlines,
    find_unanswered_requests,
)
