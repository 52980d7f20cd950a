"""Checks that a published configuration is in force in time, and that it stays."""

import bisect
import collections
import dataclasses
import itertools

from soak import layout, records

__all__ = ["find_late_configurations", "find_configuration_rollbacks"]

BOUNDS = layout.BOUNDS


def find_configuration_rollbacks(history: records.History) -> list[str]:
    """Find daemons that returned to an older configuration without a restart."""
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
                    f"older than version {min_versions[before - 1]}, already in force: "
                    f"{observation}"
                )
    return violations


@dataclasses.dataclass(frozen=True, slots=True)
class _Observation:
    """A request and the configuration versions that are consistent with its result."""

    place: int
    boot: int
    sent_at: float
    seen_at: float
    versions: list[int]
    detail: str


def _find_observations(history: records.History) -> list[_Observation]:
    runs = history.runs_by_id()
    observations = []
    for sent in history.sent_by_id.values():
        prefix = records.route_prefix(sent.path)
        ran = runs.get(sent.request_id)
        if ran:
            seen_at = ran[0].started_at
            versions = _matching_versions(history, prefix, ran[0].service, seen_at)
        elif sent.status == 404:
            seen_at = sent.ended_at
            versions = _matching_versions(history, prefix, None, seen_at)
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
    history: records.History, prefix: str, service: str | None, seen_at: float
) -> list[int]:
    """Return the configuration versions that are consistent with a result.

    :param prefix: the path prefix of the request.
    :param service: the service that ran the request; None if there was no route.
    :param seen_at: the time of the result; later versions can't have caused it.
    """
    return [
        configuration.version
        for configuration in history.configurations
        if configuration.at <= seen_at
        and (
            prefix not in configuration.services_by_prefix
            if service is None
            else service in configuration.services_by_prefix.get(prefix, ())
        )
    ]


def find_late_configurations(history: records.History) -> list[str]:
    """Find requests for which a configuration was in force too late."""
    violations = []
    window_s = BOUNDS.stability_window_s
    for observation in _find_observations(history):
        due_versions = [
            configuration.version
            for configuration in history.configurations
            if configuration.at + BOUNDS.config_apply_s < observation.sent_at
        ]
        undisturbed = history.is_undisturbed(
            observation.sent_at - window_s, observation.sent_at, observation.place
        )
        if due_versions and undisturbed and observation.versions[-1] < due_versions[-1]:
            violations.append(
                f"version {due_versions[-1]} isn't in force: {observation.detail}"
            )
    return violations
