"""Run today's deployments and show where every request went."""

import collections
import dataclasses
import os
import sys
import time

from emulator import deployment, load, plans, ranked_load

# Cores below which the first deployment runs alone.
CORES_FOR_BOTH = 4
# What a rank asks for, as a share of its floor.
SHARE_OF_FLOOR = 0.9
DEADLINE_MS = 1500
# Requests open at one time.
WORKERS = 1600
SEED = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """A part of the demonstration.

    :param length_s: how long requests arrive, in s.
    :param flooded: the place of the flooded rank in the order, if there is one.
    """

    title: str
    length_s: float
    flooded_index: int | None


PHASES = (
    Phase("calm", 2.0, None),
    Phase("flood of the least urgent rank", 3.0, -1),
    Phase("flood of the most urgent rank", 3.0, 0),
)


@dataclasses.dataclass(slots=True)
class Account:
    """What became of all requests, held against the backend servers' records."""

    served: int = 0
    refused: int = 0
    other: int = 0
    faults: list[str] = dataclasses.field(default_factory=list)


def main() -> int:
    """Run the demonstration.

    :returns: the exit status: 0 where every request is accounted for.
    """
    started = time.monotonic()
    chosen = list(plans.PLANS_BY_NAME.values())
    if (os.cpu_count() or 1) < CORES_FOR_BOTH:
        chosen = chosen[:1]
        print("a small machine: the first deployment runs alone")
    account = Account()
    for plan in chosen:
        _show(plan, account)
    print(f"summary: {account.served} served, {account.refused} refused as not run,")
    print(f"  {account.other} otherwise, in {time.monotonic() - started:.0f} s")
    for fault in account.faults:
        print(f"  FAULT {fault}")
    if not account.faults:
        print("  every answer came from a run, and no refused request ran")
    return 1 if account.faults else 0


def _show(plan: plans.DeploymentPlan, account: Account) -> None:
    print(f"== {plan.name}: {', '.join(plan.regions)}")
    for service in plan.services:
        print(
            f"   {service.name} on {service.endpoints} endpoints of {plan.slots} slots"
        )
    with deployment.Deployment(ranked_load.with_long_requests(plan)) as running:
        for phase in PHASES:
            asked = ranked_load.RankedLoad(
                SHARE_OF_FLOOR, phase.flooded_index, DEADLINE_MS
            )
            streams = asked.streams(running)
            results = load.run(streams, phase.length_s, WORKERS, SEED)
            _print_phase(phase, streams, results)
            _check(running, streams, results, account)
        statuses = running.stop()
    failed = [name for name, status in statuses.items() if status != 0]
    account.faults.extend(f"{name} ended with a failure" for name in failed)
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
    where = " ".join(
        f"-{endpoint_id.rpartition('-')[2]}:{count}"
        for endpoint_id, count in sorted(result.endpoints.items())
    )
    print(f"       went to {where}")
    if refused:
        reasons = ", ".join(f"{r} {n}" for r, n in result.reasons.most_common())
        print(f"       refused: {reasons}")


def _check(running, streams, results, account: Account) -> None:
    runs: collections.Counter[str] = collections.Counter()
    for instance in running.instances_by_id.values():
        for attempt_id, count in running.run_counts(instance).items():
            runs[attempt_id.rpartition(".")[0]] += count
    for stream in streams:
        result = results[stream.name]
        account.served += len(result.served_ids)
        account.refused += len(result.not_run_ids)
        account.other += result.outcomes.total()
        account.other -= len(result.served_ids) + len(result.not_run_ids)
        for request_id in result.not_run_ids:
            if runs[request_id]:
                account.faults.append(f"{request_id} was refused, yet it ran")
        for request_id in result.served_ids:
            if not runs[request_id]:
                account.faults.append(f"{request_id} was served, yet it never ran")
            elif runs[request_id] > 1 and not stream.idempotent:
                account.faults.append(f"{request_id} ran more than once")


if __name__ == "__main__":
    sys.exit(main())
