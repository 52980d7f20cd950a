"""Compare the placement policies with and without a faulty endpoint."""

import contextlib
import dataclasses
import time

from bench import report
from emulator import deployment, load, plans

__all__ = ["run_one_region", "run_two_regions"]

POLICIES = ("evidence", "random", "round-robin", "least-in-flight", "two-choices")
SERVICE = "dispatch"
# Load as a share of the capacity, by rank.
SHARES_BY_RANK = {"lookup": 0.2, "search": 0.3}
# Duration of the load, and of the load before it that is not measured, both in s.
LOAD_S = 2.5
SETTLE_S = 0.6
DEADLINE_MS = 2000
# Time for all slots to become free after the last answer, in s.
FREE_SLOTS_TIMEOUT_S = 4.0
# Maximum number of concurrent requests, and the processes that send them.
WORKERS = 300
PROCESSES = 3
SEED = 71

# The settings that each case changes at the backend server of FAULTY_ID.
FAULTY_ID = "dispatch-2"
FAULTS_BY_CASE = {
    "calm": {},
    "noisy neighbour": {"noise_ms": 60.0},
    "slow endpoint": {"service_ms": 200.0},
    "failing endpoint": {"fail_share": 1.0},
}
NO_FAULT = {"noise_ms": 0.0, "service_ms": 40.0, "fail_share": 0.0}


@dataclasses.dataclass(frozen=True, slots=True)
class _PolicyResult:
    """The result of one policy for one rank in one case."""

    p50_ms: float
    p99_ms: float
    p999_ms: float
    served_percent: float
    other_region_percent: float


def run_two_regions() -> report.PartReport:
    """Compare the policies with endpoints in two regions."""
    return _run(_plan(plans.COULEE.regions))


def run_one_region() -> report.PartReport:
    """Compare the policies in one region, where locality has almost no benefit."""
    return _run(_plan(plans.COULEE.regions[:1]))


def _plan(regions: tuple[str, ...]) -> plans.DeploymentPlan:
    services = tuple(s for s in plans.COULEE.services if s.name == SERVICE)
    return dataclasses.replace(plans.COULEE, regions=regions, services=services)


def _run(plan: plans.DeploymentPlan) -> report.PartReport:
    results_by_key: dict[tuple[str, str, str], _PolicyResult] = {}
    unfinished: list[str] = []
    with contextlib.ExitStack() as stack:
        running_by_policy = {
            policy: stack.enter_context(deployment.Deployment(plan, placement=policy))
            for policy in POLICIES
        }
        generator = stack.enter_context(load.LoadGenerator(WORKERS, PROCESSES))
        for case_index, (case, fault) in enumerate(FAULTS_BY_CASE.items()):
            # Each case starts with another policy, so that none is always first.
            for policy in POLICIES[case_index:] + POLICIES[:case_index]:
                running = running_by_policy[policy]
                load_results = _measure(running, generator, fault)
                unfinished += [
                    f"{case}, {policy}: {line}"
                    for line in _find_unfinished_requests(running)
                ]
                for rank, result in _results_by_rank(running, load_results).items():
                    results_by_key[case, policy, rank] = result
    columns = ("case", "policy", "rank", "p50 ms", "p99 ms", "p99.9 ms", "served %")
    rows = tuple(
        (*key, *dataclasses.astuple(result)) for key, result in results_by_key.items()
    )
    return report.PartReport(
        f"placement of {SERVICE} over {len(plan.regions)} region(s)",
        report.Table((*columns, "other region %"), rows),
        tuple(_targets(results_by_key)),
        (
            "times from the intended start; a request that is not served counts"
            f" {DEADLINE_MS} ms, its deadline",
            *(unfinished or ["every gate was at rest after each run"]),
        ),
    )


# ---------------------------------------------------------------------------
#   One case
# ---------------------------------------------------------------------------


def _measure(running, generator, fault) -> dict[str, load.LoadResult]:
    faulty = running.instances_by_id[FAULTY_ID]
    running.control_backend(faulty, **(NO_FAULT | fault))
    streams = _streams(running)
    generator.run(streams, SETTLE_S, SEED)
    results = generator.run(streams, LOAD_S, SEED + PROCESSES)
    running.control_backend(faulty, **NO_FAULT)
    time.sleep(0.1)
    return results


def _find_unfinished_requests(running: deployment.Deployment) -> list[str]:
    deadline = time.monotonic() + FREE_SLOTS_TIMEOUT_S
    while True:
        loads_by_id = {
            endpoint_id: running.dump(instance)["load"]
            for endpoint_id, instance in running.instances_by_id.items()
        }
        requests_by_id = {i: v["busy"] + v["queued"] for i, v in loads_by_id.items()}
        if not any(requests_by_id.values()) or time.monotonic() > deadline:
            break
        time.sleep(0.1)
    return [f"{i} is left with {n} requests" for i, n in requests_by_id.items() if n]


def _streams(running: deployment.Deployment) -> list[load.Stream]:
    service_plan = running.plan.services[0]
    capacity = (
        service_plan.endpoints * running.plan.slots * 1000 / service_plan.service_ms
    )
    streams = []
    for region in running.plan.regions:
        local_instances = [
            i for i in running.instances_by_id.values() if i.region == region
        ]
        urls = tuple(running.front_url(instance) for instance in local_instances)
        region_share = len(local_instances) / len(running.instances_by_id)
        for rank, share in SHARES_BY_RANK.items():
            name = f"{region}/{rank}"
            rate = share * capacity * region_share
            streams.append(load.Stream(name, urls, SERVICE, rank, rate, DEADLINE_MS))
    return streams


def _results_by_rank(running, load_results) -> dict[str, _PolicyResult]:
    regions_by_id = {i: v.region for i, v in running.instances_by_id.items()}
    results_by_rank = {}
    for rank in SHARES_BY_RANK:
        results_by_region = {
            name.partition("/")[0]: result
            for name, result in load_results.items()
            if name.endswith("/" + rank)
        }
        other_region_count = sum(
            count
            for region, result in results_by_region.items()
            for endpoint_id, count in result.endpoints.items()
            if regions_by_id[endpoint_id] != region
        )
        total = next(iter(results_by_region.values()))
        for result in list(results_by_region.values())[1:]:
            total.add(result)
        results_by_rank[rank] = _PolicyResult(
            total.percentile_of_sent_ms(50, DEADLINE_MS),
            total.percentile_of_sent_ms(99, DEADLINE_MS),
            total.percentile_of_sent_ms(99.9, DEADLINE_MS),
            100 * total.outcomes["served"] / total.outcomes.total(),
            100 * other_region_count / max(1, total.outcomes["served"]),
        )
    return results_by_rank


def _targets(results_by_key):
    for case in FAULTS_BY_CASE:
        if case == "calm":
            continue
        for rank in SHARES_BY_RANK:
            evidence_p99_ms = results_by_key[case, POLICIES[0], rank].p99_ms
            best_baseline_p99_ms = min(
                results_by_key[case, policy, rank].p99_ms for policy in POLICIES[1:]
            )
            text = f"{case}, {rank}: p99 against the best baseline, ms"
            yield report.Target(text, evidence_p99_ms, best_baseline_p99_ms)
