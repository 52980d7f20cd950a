"""The promises, checked against what callers and backend servers have seen.

Pure computation over a ledger. Checks that depend on how quickly things go are kept
apart: they only count in calm times, and not where the observer itself was late.
"""

import bisect
import collections
import collections.abc
import dataclasses
import itertools

from soak import layout, records

__all__ = ["TIMED_CHECKS", "UNTIMED_CHECKS", "check"]

BOUNDS = layout.BOUNDS
# Statuses that say that a request wasn't run and won't be.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
MAX_ATTEMPTS = 3
# Share of a grace period at whose end work that is still running may be broken off.
FINAL_GRACE_SHARE = 1 / 6
# A request that is sent later than this after SIGTERM may be broken off, in s.
CALLER_GRACE_S = 3.0

Check = collections.abc.Callable[[records.History], list[str]]


def check(
    history: records.History, checks: collections.abc.Iterable[Check]
) -> list[str]:
    """Return every broken promise, with what shows it."""
    return [violation for check_one in checks for violation in check_one(history)]


def _runs_by_id(history: records.History) -> dict[str, list[records.Run]]:
    runs: dict[str, list[records.Run]] = collections.defaultdict(list)
    for run in history.runs:
        runs[run.request_id].append(run)
    return runs


# ---------------------------------------------------------------------------
#   Whatever happens
# ---------------------------------------------------------------------------


def find_repeated_runs(history: records.History) -> list[str]:
    """A request that isn't idempotent runs at most once."""
    return [
        f"ran {len(runs)} times: {history.sent_by_id[request_id]}"
        for request_id, runs in _runs_by_id(history).items()
        if len(runs) > 1
        and request_id in history.sent_by_id
        and not history.sent_by_id[request_id].idempotent
    ]


def find_false_refusals(history: records.History) -> list[str]:
    """A request that isn't idempotent and was refused has not run."""
    runs = _runs_by_id(history)
    return [
        f"refused with {sent.status}, but ran: {sent}"
        for sent in history.sent_by_id.values()
        if sent.status in NOT_RUN_STATUSES
        and not sent.idempotent
        and runs.get(sent.request_id)
    ]


def find_invalid_responses(history: records.History) -> list[str]:
    """An answer is whole, the request's own, and what the backend server gave."""
    runs = _runs_by_id(history)
    violations = []
    for sent in history.sent_by_id.values():
        if not sent.sound:
            violations.append(f"not its own answer, or not whole: {sent}")
        if sent.signed:
            statuses = {run.status for run in runs.get(sent.request_id, ())}
            if sent.status not in statuses:
                violations.append(f"no backend server answered {sent.status}: {sent}")
    return violations


def find_unrequested_runs(history: records.History) -> list[str]:
    """What runs was asked for, in these words, by this service."""
    violations = []
    for run in history.runs:
        sent = history.sent_by_id.get(run.request_id)
        if sent is None:
            violations.append(f"nobody sent it: {run}")
            continue
        if (run.path, run.method, run.body) != (sent.path, sent.method, sent.body):
            violations.append(f"changed on the way: {run}")
        if run.caller_service not in history.services_by_instance[sent.place]:
            violations.append(f"named another caller: {run}")
    return violations


def find_misrouted_runs(history: records.History) -> list[str]:
    """A request runs at a service that some configuration allows."""
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
    """A request runs on no more endpoints than its route allows."""
    violations = []
    for request_id, runs in _runs_by_id(history).items():
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
    """The repeats of a service keep to their budget in every window."""
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
                    f"{index + 1 - since} repeats at {service} until {at:.2f}, "
                    f"where {limit:.1f} are allowed"
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
        if arrival.service != service:
            continue
        if arrival.request_id in seen:
            times.append(arrival.at)
        seen.add(arrival.request_id)
    return times


def _count_between(times: list[float], since: float, until: float) -> int:
    return bisect.bisect_right(times, until) - bisect.bisect_right(times, since)


def find_configuration_rollbacks(history: records.History) -> list[str]:
    """A daemon doesn't go back to an older configuration while it runs."""
    violations = []
    observations_by_boot = collections.defaultdict(list)
    for entry in _find_observations(history):
        observations_by_boot[entry.place, entry.boot].append(entry)
    for observations in observations_by_boot.values():
        observations.sort(key=lambda observation: observation.seen_at)
        seen_at = [observation.seen_at for observation in observations]
        min_versions = list(
            itertools.accumulate(
                (observation.versions[0] for observation in observations), max
            )
        )
        for observation in observations:
            before = bisect.bisect_left(
                seen_at, observation.sent_at - BOUNDS.rollback_slack_s
            )
            if before and observation.versions[-1] < min_versions[before - 1]:
                violations.append(
                    f"after version {min_versions[before - 1]}: {observation}"
                )
    return violations


@dataclasses.dataclass(frozen=True, slots=True)
class _Observation:
    """A request, and the versions of the configuration that explain its outcome."""

    place: int
    boot: int
    sent_at: float
    seen_at: float
    versions: list[int]
    detail: str


def _find_observations(history: records.History) -> list[_Observation]:
    runs = _runs_by_id(history)
    observations = []
    for sent in history.sent_by_id.values():
        prefix = records.route_prefix(sent.path)
        ran = runs.get(sent.request_id)
        if ran:
            seen_at = ran[0].started_at
            versions = _matching_versions(history, prefix, ran[0].service)
        elif sent.status == 404:
            seen_at = sent.ended_at
            versions = _matching_versions(history, prefix, None)
        else:
            continue
        if versions and sent.boot:
            observations.append(
                _Observation(
                    sent.place, sent.boot, sent.sent_at, seen_at, versions, str(sent)
                )
            )
    return observations


def _matching_versions(
    history: records.History, prefix: str, service: str | None
) -> list[int]:
    """Return the versions by which a request runs there, or is unknown."""
    return [
        configuration.version
        for configuration in history.configurations
        if (
            prefix not in configuration.services_by_prefix
            if service is None
            else service in configuration.services_by_prefix.get(prefix, ())
        )
    ]


# ---------------------------------------------------------------------------
#   In calm times
# ---------------------------------------------------------------------------


def find_late_configurations(history: records.History) -> list[str]:
    """A configuration is in force everywhere within its time."""
    violations = []
    window_s = BOUNDS.stability_window_s
    for observation in _find_observations(history):
        due_versions = [
            configuration.version
            for configuration in history.configurations
            if configuration.at + BOUNDS.config_apply_s < observation.sent_at
        ]
        undisturbed = history.is_undisturbed(
            observation.sent_at - window_s, observation.sent_at
        )
        if due_versions and undisturbed and observation.versions[-1] < due_versions[-1]:
            violations.append(
                f"version {due_versions[-1]} isn't in force: {observation.detail}"
            )
    return violations


def find_arrivals_after_drain(history: records.History) -> list[str]:
    """An endpoint that leaves gets no request after its time."""
    drains_by_endpoint = {entry.endpoint_id: entry for entry in history.drains}
    violations = []
    for arrival in history.arrivals:
        drain = drains_by_endpoint.get(arrival.endpoint_id)
        if drain is None or not arrival.ran:
            continue
        late_s = arrival.at - drain.at - BOUNDS.drain_s
        window_s = BOUNDS.stability_window_s
        undisturbed = history.is_undisturbed(drain.at - window_s, arrival.at)
        if late_s > 0 and undisturbed:
            violations.append(f"{late_s:.2f} s too late: {arrival}")
    return violations


def find_interrupted_requests(history: records.History) -> list[str]:
    """A planned stop cuts off no request."""
    runs = _runs_by_id(history)
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
        if was_read and undisturbed and not _may_be_cut_off(sent, stop):
            violations.append(f"cut off by a planned stop: {sent}")
    return violations


def _find_planned_stop(history, sent: records.Sent) -> records.Disturbance | None:
    for stop in history.planned_stops:
        if stop.place == sent.place and stop.since <= sent.ended_at <= stop.until:
            return stop
    return None


def _may_be_cut_off(sent: records.Sent, stop: records.Disturbance) -> bool:
    final_phase_at = stop.since + BOUNDS.grace_s * (1 - FINAL_GRACE_SHARE)
    return sent.sent_at > stop.since + CALLER_GRACE_S or sent.ended_at >= final_phase_at


def find_wasted_runs(history: records.History) -> list[str]:
    """Work for a caller that left is stopped soon."""
    violations = []
    for run in history.runs:
        sent = history.sent_by_id.get(run.request_id)
        if sent is None or sent.left_at is None or not sent.idempotent:
            continue
        since = sent.left_at - BOUNDS.stability_window_s
        late_s = run.ended_at - sent.left_at - BOUNDS.cancel_after_s
        if late_s > 0 and history.is_undisturbed(since, run.ended_at):
            violations.append(f"{late_s:.2f} s too long for a caller that left: {run}")
    return violations


def find_excess_deadlines(history: records.History) -> list[str]:
    """An endpoint is given no more time than the caller waits."""
    violations = []
    for run in history.runs:
        sent = history.sent_by_id.get(run.request_id)
        if sent is None:
            continue
        excess_s = run.given_until - sent.deadline
        since = sent.sent_at - BOUNDS.stability_window_s
        if excess_s > BOUNDS.deadline_slack_s and history.is_undisturbed(
            since, run.started_at
        ):
            violations.append(f"{excess_s:.2f} s more than the caller waits: {run}")
    return violations


def find_unanswered_requests(history: records.History) -> list[str]:
    """Each request is answered, or its connection ends, by its deadline."""
    return [
        f"no answer by its deadline: {sent}"
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
    find_configuration_rollbacks,
)
TIMED_CHECKS: tuple[Check, ...] = (
    find_late_configurations,
    find_arrivals_after_drain,
    find_interrupted_requests,
    find_wasted_runs,
    find_excess_deadlines,
    find_unanswered_requests,
)
