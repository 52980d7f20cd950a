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
LAST_GRACE_SHARE = 1 / 6
# A request that is sent later than this after SIGTERM may be broken off, in s.
LATE_CALLERS_S = 3.0

Check = collections.abc.Callable[[records.History], list[str]]


def check(
    history: records.History, checks: collections.abc.Iterable[Check]
) -> list[str]:
    """Return every broken promise, with what shows it."""
    return [finding for one in checks for finding in one(history)]


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


def find_mixed_answers(history: records.History) -> list[str]:
    """An answer is whole, the request's own, and what the backend server gave."""
    runs = _runs_by_id(history)
    found = []
    for sent in history.sent_by_id.values():
        if not sent.sound:
            found.append(f"not its own answer, or not whole: {sent}")
        if sent.signed:
            statuses = {run.status for run in runs.get(sent.request_id, ())}
            if sent.status not in statuses:
                found.append(f"no backend server answered {sent.status}: {sent}")
    return found


def find_unasked_runs(history: records.History) -> list[str]:
    """What runs was asked for, in these words, by this service."""
    found = []
    for run in history.runs:
        sent = history.sent_by_id.get(run.request_id)
        if sent is None:
            found.append(f"nobody sent it: {run}")
            continue
        if (run.path, run.method, run.body) != (sent.path, sent.method, sent.body):
            found.append(f"changed on the way: {run}")
        if run.caller_service not in history.services_by_place[sent.place]:
            found.append(f"named another caller: {run}")
    return found


def find_misrouted_runs(history: records.History) -> list[str]:
    """A request runs at a service that some configuration allows."""
    allowed: dict[str, set[str]] = collections.defaultdict(set)
    for change in history.changes:
        for prefix, services in change.services_by_prefix.items():
            allowed[prefix] |= services
    return [
        f"ran at the wrong service: {run}"
        for run in history.runs
        if run.service not in allowed[records.prefix_of(run.path)]
    ]


def find_excess_attempts(history: records.History) -> list[str]:
    """A request runs on no more endpoints than its route allows."""
    found = []
    for request_id, runs in _runs_by_id(history).items():
        ended = {
            run.endpoint_id
            for run in runs
            if history.ended_at_by_endpoint.get(run.endpoint_id, 0) >= run.started_at
        }
        endpoints = {run.endpoint_id for run in runs} - ended
        if len(endpoints) > MAX_ATTEMPTS:
            found.append(f"ran on {len(endpoints)} endpoints: {request_id}")
    return found


def find_excess_repeats(history: records.History) -> list[str]:
    """The repeats of a service keep to their budget in every window."""
    found = []
    for service in layout.SERVICES:
        firsts = _first_instants(history, service)
        repeats = _repeat_instants(history, service)
        window_s = BOUNDS.retry_window_s
        for index, at in enumerate(repeats):
            since = bisect.bisect_right(repeats, at - window_s)
            requests = max(
                _count(firsts, at - window_s - back_s, at - back_s)
                for back_s in (0.0, window_s / 2, window_s)
            )
            limit = BOUNDS.retry_ratio * requests + BOUNDS.retry_slack
            if index + 1 - since > limit:
                found.append(
                    f"{index + 1 - since} repeats at {service} until {at:.2f}, "
                    f"where {limit:.1f} are allowed"
                )
                break
    return found


def _first_instants(history: records.History, service: str) -> list[float]:
    latest = history.changes[-1].services_by_prefix if history.changes else {}
    return sorted(
        sent.sent_at
        for sent in history.sent_by_id.values()
        if service in latest.get(records.prefix_of(sent.path), ())
    )


def _repeat_instants(history: records.History, service: str) -> list[float]:
    seen: set[str] = set()
    instants = []
    for arrival in sorted(history.arrivals, key=lambda one: one.at):
        if arrival.service != service:
            continue
        if arrival.request_id in seen:
            instants.append(arrival.at)
        seen.add(arrival.request_id)
    return instants


def _count(instants: list[float], since: float, until: float) -> int:
    return bisect.bisect_right(instants, until) - bisect.bisect_right(instants, since)


def find_regressions(history: records.History) -> list[str]:
    """A daemon doesn't go back to an older configuration while it runs."""
    found = []
    by_boot = collections.defaultdict(list)
    for handled in _handled(history):
        by_boot[handled.place, handled.boot].append(handled)
    for handled_ones in by_boot.values():
        handled_ones.sort(key=lambda one: one.seen_at)
        seen_at = [one.seen_at for one in handled_ones]
        lowest = list(
            itertools.accumulate((one.versions[0] for one in handled_ones), max)
        )
        for one in handled_ones:
            before = bisect.bisect_left(seen_at, one.sent_at - BOUNDS.rollback_slack_s)
            if before and one.versions[-1] < lowest[before - 1]:
                found.append(f"after version {lowest[before - 1]}: {one}")
    return found


@dataclasses.dataclass(frozen=True, slots=True)
class _Handled:
    """A request, and the versions of the configuration that explain its outcome."""

    place: int
    boot: int
    sent_at: float
    seen_at: float
    versions: list[int]
    detail: str


def _handled(history: records.History) -> list[_Handled]:
    runs = _runs_by_id(history)
    found = []
    for sent in history.sent_by_id.values():
        prefix = records.prefix_of(sent.path)
        ran = runs.get(sent.request_id)
        if ran:
            seen_at = ran[0].started_at
            versions = _versions(history, prefix, ran[0].service)
        elif sent.status == 404:
            seen_at = sent.ended_at
            versions = _versions(history, prefix, None)
        else:
            continue
        if versions and sent.boot:
            found.append(
                _Handled(
                    sent.place, sent.boot, sent.sent_at, seen_at, versions, str(sent)
                )
            )
    return found


def _versions(history: records.History, prefix: str, service: str | None) -> list[int]:
    """Return the versions by which a request runs there, or is unknown."""
    return [
        change.version
        for change in history.changes
        if (
            prefix not in change.services_by_prefix
            if service is None
            else service in change.services_by_prefix.get(prefix, ())
        )
    ]


# ---------------------------------------------------------------------------
#   In calm times
# ---------------------------------------------------------------------------


def find_late_configurations(history: records.History) -> list[str]:
    """A configuration is in force everywhere within its time."""
    found = []
    window_s = BOUNDS.stability_window_s
    for one in _handled(history):
        due = [
            change.version
            for change in history.changes
            if change.at + BOUNDS.config_apply_s < one.sent_at
        ]
        calm = history.is_calm(one.sent_at - window_s, one.sent_at)
        if due and calm and one.versions[-1] < due[-1]:
            found.append(f"version {due[-1]} isn't in force: {one.detail}")
    return found


def find_late_arrivals(history: records.History) -> list[str]:
    """An endpoint that leaves gets no request after its time."""
    left = {one.endpoint_id: one for one in history.departures}
    found = []
    for arrival in history.arrivals:
        departure = left.get(arrival.endpoint_id)
        if departure is None or not arrival.ran:
            continue
        late_s = arrival.at - departure.at - BOUNDS.drain_s
        window_s = BOUNDS.stability_window_s
        calm = history.is_calm(departure.at - window_s, arrival.at)
        if late_s > 0 and calm:
            found.append(f"{late_s:.2f} s too late: {arrival}")
    return found


def find_lost_requests(history: records.History) -> list[str]:
    """A planned stop cuts off no request."""
    runs = _runs_by_id(history)
    found = []
    for sent in history.sent_by_id.values():
        stop = _stop_around(history, sent)
        if stop is None or sent.status is not None or sent.left_at is not None:
            continue
        if sent.ended_at >= sent.deadline or sent.detail == "not read":
            continue
        ran = runs.get(sent.request_id)
        read = ran or sent.ended_at - sent.sent_at > BOUNDS.lost_after_s
        window_s = BOUNDS.stability_window_s
        calm = history.is_calm(sent.sent_at - window_s, sent.ended_at)
        if read and calm and not _at_the_end_of_grace(sent, stop):
            found.append(f"cut off by a planned stop: {sent}")
    return found


def _stop_around(history, sent: records.Sent) -> records.Disturbance | None:
    for stop in history.planned_stops:
        if stop.place == sent.place and stop.since <= sent.ended_at <= stop.until:
            return stop
    return None


def _at_the_end_of_grace(sent: records.Sent, stop: records.Disturbance) -> bool:
    last = stop.since + BOUNDS.grace_s * (1 - LAST_GRACE_SHARE)
    return sent.sent_at > stop.since + LATE_CALLERS_S or sent.ended_at >= last


def find_wasted_runs(history: records.History) -> list[str]:
    """Work for a caller that left is stopped soon."""
    found = []
    for run in history.runs:
        sent = history.sent_by_id.get(run.request_id)
        if sent is None or sent.left_at is None or not sent.idempotent:
            continue
        since = sent.left_at - BOUNDS.stability_window_s
        late_s = run.ended_at - sent.left_at - BOUNDS.gone_after_s
        if late_s > 0 and history.is_calm(since, run.ended_at):
            found.append(f"{late_s:.2f} s too long for a caller that left: {run}")
    return found


def find_excess_time(history: records.History) -> list[str]:
    """An endpoint is given no more time than the caller waits."""
    found = []
    for run in history.runs:
        sent = history.sent_by_id.get(run.request_id)
        if sent is None:
            continue
        excess_s = run.given_until - sent.deadline
        since = sent.sent_at - BOUNDS.stability_window_s
        if excess_s > BOUNDS.deadline_slack_s and history.is_calm(
            since, run.started_at
        ):
            found.append(f"{excess_s:.2f} s more than the caller waits: {run}")
    return found


def find_held_requests(history: records.History) -> list[str]:
    """Each request is answered, or its connection ends, by its deadline."""
    return [
        f"no answer by its deadline: {sent}"
        for sent in history.sent_by_id.values()
        if sent.left_at is not None
        and sent.left_at > sent.deadline
        and history.is_calm(sent.sent_at - BOUNDS.stability_window_s, sent.left_at)
    ]


UNTIMED_CHECKS: tuple[Check, ...] = (
    find_repeated_runs,
    find_false_refusals,
    find_mixed_answers,
    find_unasked_runs,
    find_misrouted_runs,
    find_excess_attempts,
    find_excess_repeats,
    find_regressions,
)
TIMED_CHECKS: tuple[Check, ...] = (
    find_late_configurations,
    find_late_arrivals,
    find_lost_requests,
    find_wasted_runs,
    find_excess_time,
    find_held_requests,
)
