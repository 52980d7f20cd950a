"""Run today's deployments and show where every request went."""

import sys

from emulator import deployment, load, plans

# How long each phase lasts, in s.
PHASE_S = 4.0
# Requests open at one time.
WORKERS = 1200
SEED = 20


def main() -> int:
    """Run the demonstration.

    :returns: the exit status: 0 where every request is accounted for.
    """
    good = all([_show(plan) for plan in plans.PLANS_BY_NAME.values()])
    print("summary: every request is accounted for" if good else "summary: FAILED")
    return 0 if good else 1


def _show(plan: plans.DeploymentPlan) -> bool:
    print(f"== {plan.name}: {_size(plan)}, {', '.join(plan.regions)}")
    with deployment.Deployment(plan) as running:
        good = True
        for phase, flooded in (("calm", False), ("flood of the last rank", True)):
            streams = _streams(running, flooded)
            results = load.run(streams, PHASE_S, WORKERS, SEED)
            good = _print_phase(phase, results, running) and good
        statuses = running.stop()
    failed = [name for name, status in statuses.items() if status != 0]
    print(f"   stopped; exit statuses other than 0: {failed or 'none'}\n")
    return good and not failed


def _size(plan: plans.DeploymentPlan) -> str:
    return ", ".join(f"{s.name} on {s.endpoints} endpoints" for s in plan.services)


def _streams(running: deployment.Deployment, flooded: bool) -> list[load.Stream]:
    urls = tuple(running.front_url(i) for i in running.instances_by_id.values())
    streams = []
    for service, ranks in RANKS_BY_SERVICE.items():
        planned = [s for s in running.plan.services if s.name == service]
        if not planned:
            continue
        capacity = planned[0].endpoints * running.plan.slots * 1000
        capacity /= planned[0].service_ms
        for rank, share, idempotent in ranks:
            rate = share * capacity
            if flooded and rank == ranks[-1][0]:
                rate = 2 * capacity
            name = f"{service}/{rank}"
            streams.append(
                load.Stream(name, urls, service, rank, rate, 1000, idempotent)
            )
    return streams


def _print_phase(phase, results, running) -> bool:
    print(f"-- {phase}")
    print(f"   {'service/rank':24}{'served':>8}{'not run':>8}{'other':>7}", end="")
    print(f"{'p50 ms':>9}{'p99 ms':>9}")
    runs = {}
    for instance in running.instances_by_id.values():
        for attempt_id, count in running.records(instance).items():
            request_id = attempt_id.rpartition(".")[0]
            runs[request_id] = runs.get(request_id, 0) + count
    good = True
    for name, result in results.items():
        served = result.outcomes["served"]
        refused = result.outcomes["not-run"]
        other = result.outcomes.total() - served - refused
        print(f"   {name:24}{served:8}{refused:8}{other:7}", end="")
        print(f"{result.percentile_ms(50):9.1f}{result.percentile_ms(99):9.1f}")
        where = ", ".join(f"{e} {n}" for e, n in sorted(result.endpoints.items()))
        print(f"      went to: {where}")
        if refused:
            reasons = ", ".join(f"{r} {n}" for r, n in result.reasons.items())
            print(f"      refused: {reasons}")
        good = good and all(runs.get(i, 0) >= 1 for i in result.served_ids)
        good = good and not any(runs.get(i, 0) for i in result.not_run_ids)
    return good


# Ranks of each service: name, share of the capacity when calm, idempotent.
RANKS_BY_SERVICE = {
    "dispatch": (("lookup", 0.1, True), ("booking", 0.1, False), ("search", 0.1, True)),
    "maintenance": (
        ("record", 0.1, True),
        ("order", 0.1, False),
        ("report", 0.1, True),
    ),
    "parish": (
        ("enquiry", 0.1, True),
        ("condition", 0.1, True),
        ("archive", 0.1, True),
    ),
    "workshop": (
        ("carting", 0.1, False),
        ("commission", 0.1, False),
        ("ledger", 0.1, True),
    ),
}


if __name__ == "__main__":
    sys.exit(main())
