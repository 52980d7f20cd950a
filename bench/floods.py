"""Measure the service of each rank with and without a flood of requests.

Both deployments run at their current sizes. The load of a flooded rank is three times
the capacity of its service. The load of the other ranks is slightly below their floors
and must be served completely. In a flood of the most urgent rank it is above their
floors, and at least the floor must be served. Shares are measured over a window inside
the flood, from the daemons' counts of served requests.
"""

import collections
import dataclasses
import threading
import time

from bench import report
from emulator import deployment, load, plans, ranked_load

__all__ = ["FloodResult", "evaluate_targets", "measure", "run"]

# Load of a rank as a share of its floor: if all of it must be served, and if only the
# floor must be served.
LOAD_BELOW_FLOOR = 0.9
LOAD_ABOVE_FLOOR = 1.5
# Duration of the load, and the window in which shares are measured, both in s.
LOAD_S = 8.0
WINDOW_S = (3.0, 7.5)
DEADLINE_MS = 2000
# Maximum number of concurrent requests.
WORKERS = 1600
SEED = 31
# The index of the flooded rank in the order of urgency, by case; None for no flood.
FLOODED_INDEX_BY_CASE = {"calm": None, "flood of least": -1, "flood of most": 0}

# Targets: the p99 of the most urgent rank in a flood of the least urgent one, relative
# to its p99 without a flood, and the share of the capacity that a flood may cost.
MAX_P99_RATIO = 1.2
MAX_GOODPUT_LOSS = 0.05
COLUMNS = (
    "case",
    "service/rank",
    "offered",
    "served",
    "refused",
    "other",
    "p50 ms",
    "p99 ms",
    "asked",
    "share",
    "goodput",
    "ran",
)


@dataclasses.dataclass(frozen=True, slots=True)
class FloodResult:
    """The result of one rank of one service in one case.

    :param floor: the configured floor of the rank.
    :param requested: the requested slot time, as a share of the capacity.
    :param share: the slot time served in the window, as a share of the capacity.
    :param goodput: the sum of the shares of all ranks of the service.
    :param run_though_refused: the number of requests that were refused as not run
        although a backend server had run them.
    """

    deployment: str
    case: str
    service: str
    rank: str
    offered: int
    served: int
    refused: int
    other: int
    p50_ms: float
    p99_ms: float
    floor: float
    requested: float
    share: float
    goodput: float
    run_though_refused: int

    @property
    def floor_shortfall(self) -> float:
        """The share of the floor, or of a load below the floor, that was not served."""
        if self.requested < self.floor:
            return 1 - self.served / self.offered
        return max(0.0, 1 - self.share / self.floor)


def measure() -> list[FloodResult]:
    """Run both deployments through every case.

    :returns: the results by deployment, case, service and rank.
    """
    rows = []
    for plan in plans.PLANS_BY_NAME.values():
        with deployment.Deployment(ranked_load.with_long_requests(plan)) as running:
            load.run(_streams(running, None), 2.0, WORKERS, SEED)
            for case, flooded_index in FLOODED_INDEX_BY_CASE.items():
                rows.extend(_run_case(running, case, flooded_index))
    return rows


def _streams(
    running: deployment.Deployment, flooded_index: int | None
) -> list[load.Stream]:
    share_of_floor = LOAD_ABOVE_FLOOR if flooded_index == 0 else LOAD_BELOW_FLOOR
    return ranked_load.RankedLoad(
        share_of_floor, flooded_index, DEADLINE_MS
    ).make_streams(running)


# ---------------------------------------------------------------------------
#   One case
# ---------------------------------------------------------------------------


class _ServedCounter:
    """Counts the requests served within a time window while the load runs."""

    def __init__(self, running: deployment.Deployment):
        self._running = running
        self._thread = threading.Thread(target=self._count_window)
        self.served: collections.Counter[str] = collections.Counter()
        self.duration_s = 0.0

    def __enter__(self) -> "_ServedCounter":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._thread.join()

    def _count_window(self) -> None:
        load_start = time.monotonic() + load.START_DELAY_S
        start_offset_s, end_offset_s = WINDOW_S
        time.sleep(load_start + start_offset_s - time.monotonic())
        window_start = time.monotonic()
        served_before = self._read_served()
        time.sleep(load_start + end_offset_s - time.monotonic())
        self.duration_s = time.monotonic() - window_start
        self.served = self._read_served() - served_before

    def _read_served(self) -> collections.Counter[str]:
        served: collections.Counter[str] = collections.Counter()
        for instance in self._running.instances_by_id.values():
            for key, count in self._running.dump(instance)["placements"].items():
                service, rank, _, outcome = key.split("/")
                if outcome == "served":
                    served[f"{service}/{rank}"] += count
        return served


def _run_case(running, case, flooded_index) -> list[FloodResult]:
    streams = _streams(running, flooded_index)
    with _ServedCounter(running) as counter:
        results = load.run(streams, LOAD_S, WORKERS, SEED)
    shares = {
        stream.name: counter.served[stream.name]
        / counter.duration_s
        / ranked_load.capacity_per_s(
            running.plan, _service_plan(running.plan, stream.service)
        )
        for stream in streams
    }
    goodput: collections.Counter[str] = collections.Counter()
    for stream in streams:
        goodput[stream.service] += shares[stream.name]
    executed_ids = _executed_request_ids(running)
    return [
        _make_result(
            running.plan,
            case,
            stream,
            results[stream.name],
            shares[stream.name],
            goodput[stream.service],
            executed_ids,
        )
        for stream in streams
    ]


def _make_result(
    plan, case, stream, result, share, goodput, executed_ids
) -> FloodResult:
    service = _service_plan(plan, stream.service)
    offered = result.outcomes.total()
    served = result.outcomes["served"]
    refused = result.outcomes["not-run"]
    return FloodResult(
        deployment=plan.name,
        case=case,
        service=stream.service,
        rank=stream.rank,
        offered=offered,
        served=served,
        refused=refused,
        other=offered - served - refused,
        p50_ms=result.percentile_ms(50),
        p99_ms=result.percentile_ms(99),
        floor=dict(ranked_load.sorted_ranks(plan, service.name))[stream.rank].floor,
        requested=stream.rate / ranked_load.capacity_per_s(plan, service),
        share=share,
        goodput=goodput,
        run_though_refused=sum(
            request_id in executed_ids for request_id in result.not_run_ids
        ),
    )


def _service_plan(plan: plans.DeploymentPlan, name: str) -> plans.ServicePlan:
    return next(service for service in plan.services if service.name == name)


def _executed_request_ids(running: deployment.Deployment) -> set[str]:
    """Return the ids of all requests that a backend server has run."""
    return {
        attempt_id.rpartition(".")[0]
        for instance in running.instances_by_id.values()
        for attempt_id in running.run_counts(instance)
    }


# ---------------------------------------------------------------------------
#   Report
# ---------------------------------------------------------------------------


def run() -> report.PartReport:
    """Run every case and compare the results with the targets."""
    rows = measure()
    return report.PartReport(
        title="service by rank in calm and in floods at 3 times the capacity",
        table=report.Table(COLUMNS, tuple(_cells(row) for row in rows)),
        targets=tuple(evaluate_targets(rows)),
        notes=("shares are taken over 4.5 s and are good to about 2%",),
    )


def _cells(row: FloodResult) -> tuple[report.Cell, ...]:
    return (
        row.case,
        f"{row.service}/{row.rank}",
        row.offered,
        row.served,
        row.refused,
        row.other,
        row.p50_ms,
        row.p99_ms,
        row.requested,
        row.share,
        row.goodput,
        row.run_though_refused,
    )


def evaluate_targets(rows: list[FloodResult]) -> list[report.Target]:
    """Compare the results with the targets.

    :param rows: the results of all cases.
    :returns: the targets of each flood.
    """
    targets = []
    calm_by_name = {(r.service, r.rank): r for r in rows if r.case == "calm"}
    for row in rows:
        if row.case == "calm":
            continue
        name = f"{row.case}: {row.service}/{row.rank}"
        most_urgent = next(r for r in rows if r.service == row.service)
        if row.rank == most_urgent.rank:
            text = f"{row.case}: {row.service} goodput lost"
            targets.append(report.Target(text, 1 - row.goodput, MAX_GOODPUT_LOSS))
        if row.rank == most_urgent.rank and row.case == "flood of least":
            p99_ratio = row.p99_ms / calm_by_name[row.service, row.rank].p99_ms
            targets.append(
                report.Target(f"{name} p99, times calm", p99_ratio, MAX_P99_RATIO)
            )
            targets.append(report.Target(f"{name} refused", row.refused, 0))
        if row.requested < 1:
            text = f"{name} short of its floor"
            targets.append(report.Target(text, row.floor_shortfall, 0))
    run_count = sum(row.run_though_refused for row in rows)
    targets.append(report.Target("refused requests that had run", run_count, 0))
    return targets
