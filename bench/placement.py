"""Placement policies side by side, under even and uneven load."""

import contextlib
import dataclasses
import time

from bench import report
from emulator import deployment, load, plans

__all__ = ["run_one_region", "run_two_regions"]

POLICIES = ("evidence", "random", "round-robin", "least-in-flight", "two-choices")
SERVICE = "dispatch"
# Share of the capacity that is asked for, by rank.
SHARES_BY_RANK = {"lookup": 0.2, "search": 0.3}
# How long requests arrive, in s, and how long a new case settles before.
LOAD_S = 2.5
SETTLE_S = 0.6
DEADLINE_MS = 2000
# Limit for every slot to be free again once all answers have come, in s.
REST_LIMIT_S = 4.0
# Requests open at one time, and the processes that send them.
WORKERS = 300
PROCESSES = 3
SEED = 71

# The fault of each case: what is changed at the backend server of FAULTY_ID.
FAULTY_ID = "dispatch-2"
FAULTS_BY_CASE = {
    "calm": {},
    "noisy neighbour": {"noise_ms": 60.0},
    "slow endpoint": {"service_ms": 200.0},
    "failing endpoint": {"fail_share": 1.0},
}
SOUND = {"noise_ms": 0.0, "service_ms": 40.0, "fail_share": 0.0}


@dataclasses.dataclass(frozen=True, slots=True)
class _Cell:
    """What one policy did for one rank in one case."""

    p50_ms: float
    p99_ms: float
    p999_ms: float
    served_percent: float
    elsewhere_percent: float


def run_two_regions() -> report.PartReport:
    """Compare the policies on an endpoint list spread over two regions."""
    return _run(_plan(plans.COULEE.regions))


def run_one_region() -> report.PartReport:
    """Compare the policies where locality is worth next to nothing."""
    return _run(_plan(plans.COULEE.regions[:1]))


def _plan(regions: tuple[str, ...]) -> plans.DeploymentPlan:
    services = tuple(s for s in plans.COULEE.services if s.name == SERVICE)
    return dataclasses.replace(plans.COULEE, regions=regions, services=services)


def _run(plan: plans.DeploymentPlan) -> report.PartReport:
    cells: dict[tuple[str, str, str], _Cell] = {}
    stuck: list[str] = []
    with contextlib.ExitStack() as stack:
        running_by_policy = {
            policy: stack.enter_context(deployment.Deployment(plan, placement=policy))
            for policy in POLICIES
        }
        generator = stack.enter_context(load.LoadGenerator(WORKERS, PROCESSES))
        for turn, (case, fault) in enumerate(FAULTS_BY_CASE.items()):
            # Each case begins with another policy, so that none is always first.
            for policy in POLICIES[turn:] + POLICIES[:turn]:
                running = running_by_policy[policy]
                results = _measure(running, generator, fault)
                stuck += [f"{case}, {policy}: {text}" for text in _stuck(running)]
                for rank, cell in _cells(running, results).items():
                    cells[case, policy, rank] = cell
    columns = ("case", "policy", "rank", "p50 ms", "p99 ms", "p99.9 ms", "served %")
    rows = tuple((*key, *dataclasses.astuple(cell)) for key, cell in cells.items())
    return report.PartReport(
        f"placement of {SERVICE} over {len(plan.regions)} region(s)",
        report.Table((*columns, "other region %"), rows),
        tuple(_targets(cells)),
        (
            "times from the intended start; a request that is not served counts"
            f" {DEADLINE_MS} ms, its deadline",
            *(stuck or ["every gate was at rest after each run"]),
        ),
    )


# ---------------------------------------------------------------------------
#   One case
# ---------------------------------------------------------------------------


def _measure(running, generator, fault) -> dict[str, load.LoadResult]:
    faulty = running.instances_by_id[FAULTY_ID]
    running.control_backend(faulty, **(SOUND | fault))
    streams = _streams(running)
    generator.run(streams, SETTLE_S, SEED)
    results = generator.run(streams, LOAD_S, SEED + PROCESSES)
    running.control_backend(faulty, **SOUND)
    time.sleep(0.1)
    return results


def _stuck(running: deployment.Deployment) -> list[str]:
    deadline = time.monotonic() + REST_LIMIT_S
    while True:
        loads_by_id = {
            endpoint_id: running.dump(instance)["load"]
            for endpoint_id, instance in running.instances_by_id.items()
        }
        busy_by_id = {i: v["busy"] + v["queued"] for i, v in loads_by_id.items()}
        if not any(busy_by_id.values()) or time.monotonic() > deadline:
            break
        time.sleep(0.1)
    return [f"{i} is left with {n} requests" for i, n in busy_by_id.items() if n]


def _streams(running: deployment.Deployment) -> list[load.Stream]:
    planned = running.plan.services[0]
    capacity = planned.endpoints * running.plan.slots * 1000 / planned.service_ms
    streams = []
    for region in running.plan.regions:
        inside = [i for i in running.instances_by_id.values() if i.region == region]
        urls = tuple(running.front_url(instance) for instance in inside)
        region_share = len(inside) / len(running.instances_by_id)
        for rank, share in SHARES_BY_RANK.items():
            name = f"{region}/{rank}"
            rate = share * capacity * region_share
            streams.append(load.Stream(name, urls, SERVICE, rank, rate, DEADLINE_MS))
    return streams


def _cells(running, results) -> dict[str, _Cell]:
    regions_by_id = {i: v.region for i, v in running.instances_by_id.items()}
    cells = {}
    for rank in SHARES_BY_RANK:
        parts = {
            name.partition("/")[0]: result
            for name, result in results.items()
            if name.endswith("/" + rank)
        }
        elsewhere = sum(
            count
            for region, result in parts.items()
            for endpoint_id, count in result.endpoints.items()
            if regions_by_id[endpoint_id] != region
        )
        total = next(iter(parts.values()))
        for result in list(parts.values())[1:]:
            total.add(result)
        cells[rank] = _Cell(
            total.percentile_of_sent_ms(50, DEADLINE_MS),
            total.percentile_of_sent_ms(99, DEADLINE_MS),
            total.percentile_of_sent_ms(99.9, DEADLINE_MS),
            100 * total.outcomes["served"] / total.outcomes.total(),
            100 * elsewhere / max(1, total.outcomes["served"]),
        )
    return cells


def _targets(cells):
    for case in FAULTS_BY_CASE:
        if case == "calm":
            continue
        for rank in SHARES_BY_RANK:
            own = cells[case, POLICIES[0], rank].p99_ms
            best = min(cells[case, policy, rank].p99_ms for policy in POLICIES[1:])
            text = f"{case}, {rank}: p99 against the best baseline, ms"
            yield report.Target(text, own, best)
