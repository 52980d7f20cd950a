"""Run the current deployments and show the outcomes and endpoints of all requests."""

import collections
import dataclasses
import os
import sys
import time

from emulator import deployment, load, plans, ranked_load

# Minimum number of cores for running more than the first deployment.
MIN_CORES_FOR_ALL = 4
# Load of a rank that is not flooded, as a share of its floor.
SHARE_OF_FLOOR = 0.9
DEADLINE_MS = 1500
# Maximum number of open requests.
WORKERS = 1600
SEED = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """A phase of the demonstration.

    :param duration_s: the time during which requests arrive, in s.
    :param flooded_index: the index of the flooded rank in the order of urgency;
        None for no flood.
    """

    title: str
    duration_s: float
    flooded_index: int | None


PHASES = (
    Phase("calm", 2.0, None),
    Phase("flood of the least urgent rank", 3.0, -1),
    Phase("flood of the most urgent rank", 3.0, 0),
)


@dataclasses.dataclass(slots=True)
class Totals:
    """The outcomes of all requests, compared with the backend servers' run counts.

    :param violations: outcomes that contradict the run counts, and daemons that
        exited with an error.
    """

    served: int = 0
    refused: int = 0
    other: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)


def main() -> int:
    """Run the demonstration.

    :returns: the exit status: 0 if there was no violation, else 1.
    """
    started_at = time.monotonic()
    selected_plans = list(plans.PLANS_BY_NAME.values())
    if (os.cpu_count() or 1) < MIN_CORES_FOR_ALL:
        selected_plans = selected_plans[:1]
        print("too few cores: running the first deployment only")
    totals = Totals()
    for plan in selected_plans:
        _run_plan(plan, totals)
    print(f"summary: {totals.served} served, {totals.refused} refused as not run,")
    print(f"  {totals.other} other, in {time.monotonic() - started_at:.0f} s")
    for violation in totals.violations:
        print(f"  VIOLATION: {violation}")
    if not totals.violations:
        print("  every served request ran, and no refused request ran")
    return 1 if totals.violations else 0


def _run_plan(plan: plans.DeploymentPlan, totals: Totals) -> None:
    print(f"== {plan.name}: {', '.join(plan.regions)}")
    for service in plan.services:
        print(
            f"   {service.name} on {service.endpoints} endpoints of {plan.slots} slots"
        )
    with deployment.Deployment(ranked_load.with_long_requests(plan)) as running:
        for phase in PHASES:
            rank_load = ranked_load.RankedLoad(
                SHARE_OF_FLOOR, phase.flooded_index, DEADLINE_MS
            )
            streams = rank_load.make_streams(running)
            results = load.run(streams, phase.duration_s, WORKERS, SEED)
            _print_phase(phase, streams, results)
            _check_runs(running, streams, results, totals)
        statuses = running.stop()
    failed = [name for name, status in statuses.items() if status != 0]
    totals.violations.extend(f"{name} exited with an error" for name in failed)
    print()


# ---------------------------------------------------------------------------
#   Results
# ---------------------------------------------------------------------------


def _print_phase(phase: Phase, streams, results) -> None:
    print(f"-- {phase.title}")
    print(f"   {'rank':13}{'served':>7}{'refused':>8}{'other':>6}", end="")
    print(f"{'p50 ms':>8}{'p99 ms':>8}")
    service = ""
    for stream in streams:
        if stream.service != service:
            service = stream.service
            print(f"   {service}")
        _print_rank(stream, results[stream.name])


def _print_rank(stream: load.Stream, result: load.LoadResult) -> None:
    served = result.outcomes["served"]
    refused = result.outcomes["not-run"]
    other = result.outcomes.total() - served - refused
    print(f"     {stream.rank:11}{served:7}{refused:8}{other:6}", end="")
    print(f"{result.percentile_ms(50):8.0f}{result.percentile_ms(99):8.0f}")
    distribution = " ".join(
        f"-{endpoint_id.rpartition('-')[2]}:{count}"
        for endpoint_id, count in sorted(result.endpoints.items())
    )
    print(f"       endpoints {distribution}")
    if refused:
        reasons = ", ".join(f"{r} {n}" for r, n in result.reasons.most_common())
        print(f"       refused: {reasons}")


def _check_runs(running, streams, results, totals: Totals) -> None:
    runs_by_request_id: collections.Counter[str] = collections.Counter()
    for instance in running.instances_by_id.values():
        for attempt_id, count in running.run_counts(instance).items():
            runs_by_request_id[attempt_id.rpartition(".")[0]] += count
    for stream in streams:
        result = results[stream.name]
        totals.served += len(result.served_ids)
        totals.refused += len(result.not_run_ids)
        totals.other += result.outcomes.total()
        totals.other -= len(result.served_ids) + len(result.not_run_ids)
        for request_id in result.not_run_ids:
            if runs_by_request_id[request_id]:
                totals.violations.append(f"{request_id} was refused but ran")
        for request_id in result.served_ids:
            if not runs_by_request_id[request_id]:
                totals.violations.append(f"{request_id} was served but never ran")
            elif runs_by_request_id[request_id] > 1 and not stream.idempotent:
                totals.violations.append(
                    f"{request_id} is not idempotent but ran more than once"
                )


if __name__ == "__main__":
    sys.exit(main())
