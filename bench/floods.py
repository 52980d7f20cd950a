"""Service by rank in calm and in floods, at today's sizes of both deployments.

A flooded rank asks for three times the capacity of its service. The others ask
for a little less than their floors, of which all has to be served; in a flood
of the most urgent rank for more, of which the floor has to be served. Shares are
taken over a window inside the flood, from what the daemons count as served.
"""

import collections
import dataclasses
import sys
import threading
import time

from emulator import deployment, load, plans, ranked_load

__all__ = ["FloodFigures", "run"]

# What a rank asks for as a share of its floor, where all has to be served, and
# where the floor has to be.
WITHIN_FLOOR = 0.9
ABOVE_FLOOR = 1.5
# How long requests arrive, and the window in which shares are taken, in s.
LOAD_S = 8.0
WINDOW_S = (3.0, 7.5)
DEADLINE_MS = 2000
# Requests open at one time.
WORKERS = 1600
SEED = 31
# Calm, a flood of the least urgent rank, a flood of the most urgent one: the
# place of the flooded rank in the order.
CASES = {"calm": None, "flood of least": -1, "flood of most": 0}

# Targets.
P99_TIMES = 1.2
GOODPUT = 0.95
# A rank keeps its floor where it gets this share of it, or of what it asks for
# within it.
KEPT_SHARE = 0.95


@dataclasses.dataclass(frozen=True, slots=True)
class FloodFigures:
    """One rank of one service in one case.

    :param floor: the configured floor of the rank.
    :param asked: slot time asked for, as a share of the capacity.
    :param share: slot time served within the window, as a share of the capacity.
    :param goodput: the shares of all ranks of the service.
    :param ran: requests refused as not run that a backend server had run.
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
    asked: float
    share: float
    goodput: float
    ran: int

    @property
    def keeps_floor(self) -> bool:
        """Whether the rank got its floor, or all that it asked for within it."""
        if self.asked < self.floor:
            return self.served >= KEPT_SHARE * self.offered
        return self.share >= KEPT_SHARE * self.floor


def run() -> list[FloodFigures]:
    """Run both deployments through every case.

    :returns: the figures by deployment, case, service and rank.
    """
    rows = []
    for plan in plans.PLANS_BY_NAME.values():
        with deployment.Deployment(ranked_load.slowed(plan)) as running:
            load.run(_streams(running, None), 2.0, WORKERS, SEED)
            for case, flooded in CASES.items():
                rows.extend(_run_case(running, case, flooded))
    return rows


def _streams(running: deployment.Deployment, flooded: int | None) -> list[load.Stream]:
    share = ABOVE_FLOOR if flooded == 0 else WITHIN_FLOOR
    return ranked_load.RankedLoad(share, flooded, DEADLINE_MS).streams(running)


# ---------------------------------------------------------------------------
#   One case
# ---------------------------------------------------------------------------


class _Window:
    """Counts what is served between two instants while the load runs."""

    def __init__(self, running: deployment.Deployment):
        self._running = running
        self._thread = threading.Thread(target=self._watch)
        self.served: collections.Counter[str] = collections.Counter()
        self.length_s = 0.0

    def __enter__(self) -> "_Window":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._thread.join()

    def _watch(self) -> None:
        started = time.monotonic() + load.LEAD_S
        opens_s, closes_s = WINDOW_S
        time.sleep(started + opens_s - time.monotonic())
        opened = time.monotonic()
        before = self._count()
        time.sleep(started + closes_s - time.monotonic())
        self.length_s = time.monotonic() - opened
        self.served = self._count() - before

    def _count(self) -> collections.Counter[str]:
        served: collections.Counter[str] = collections.Counter()
        for instance in self._running.instances_by_id.values():
            for key, count in self._running.dump(instance)["placements"].items():
                service, rank, _, outcome = key.split("/")
                if outcome == "served":
                    served[f"{service}/{rank}"] += count
        return served


def _run_case(running, case, flooded) -> list[FloodFigures]:
    streams = _streams(running, flooded)
    with _Window(running) as window:
        results = load.run(streams, LOAD_S, WORKERS, SEED)
    shares = {
        stream.name: window.served[stream.name]
        / window.length_s
        / ranked_load.capacity(running.plan, _service(running.plan, stream.service))
        for stream in streams
    }
    goodput: collections.Counter[str] = collections.Counter()
    for stream in streams:
        goodput[stream.service] += shares[stream.name]
    runs = _runs(running)
    return [
        _figures(
            running.plan,
            case,
            stream,
            results[stream.name],
            shares[stream.name],
            goodput[stream.service],
            runs,
        )
        for stream in streams
    ]


def _figures(plan, case, stream, result, share, goodput, runs) -> FloodFigures:
    service = _service(plan, stream.service)
    offered = result.outcomes.total()
    served = result.outcomes["served"]
    refused = result.outcomes["not-run"]
    return FloodFigures(
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
        floor=dict(ranked_load.ranks(plan, service.name))[stream.rank].floor,
        asked=stream.rate / ranked_load.capacity(plan, service),
        share=share,
        goodput=goodput,
        ran=sum(request_id in runs for request_id in result.not_run_ids),
    )


def _service(plan: plans.DeploymentPlan, name: str) -> plans.ServicePlan:
    return next(service for service in plan.services if service.name == name)


def _runs(running: deployment.Deployment) -> set[str]:
    """Return the ids of all requests that any backend server has run."""
    return {
        attempt_id.rpartition(".")[0]
        for instance in running.instances_by_id.values()
        for attempt_id in running.records(instance)
    }


# ---------------------------------------------------------------------------
#   Printing
# ---------------------------------------------------------------------------


def main() -> int:
    """Print the table and the targets.

    :returns: the exit status.
    """
    rows = run()
    print(f"{'case':15}{'service/rank':24}{'offered':>8}{'served':>7}", end="")
    print(f"{'refused':>8}{'other':>6}{'p50 ms':>8}{'p99 ms':>8}", end="")
    print(f"{'asked':>7}{'share':>7}{'goodput':>8}{'ran':>4}")
    for row in rows:
        print(f"{row.case:15}{row.service + '/' + row.rank:24}", end="")
        print(f"{row.offered:8}{row.served:7}{row.refused:8}{row.other:6}", end="")
        print(f"{row.p50_ms:8.0f}{row.p99_ms:8.0f}{row.asked:7.2f}", end="")
        print(f"{row.share:7.3f}{row.goodput:8.3f}{row.ran:4}")
    for text, met in targets(rows):
        print(f"{'met   ' if met else 'MISSED'} {text}")
    return 0


def targets(rows: list[FloodFigures]) -> list[tuple[str, bool]]:
    """Hold the figures against the targets.

    :param rows: the figures.
    :returns: the text of each target, with its figure, and whether it is met.
    """
    found = []
    calm_by_name = {(r.service, r.rank): r for r in rows if r.case == "calm"}
    for row in rows:
        if row.case == "calm":
            continue
        name = f"{row.case}: {row.service}/{row.rank}"
        first = next(r for r in rows if r.service == row.service)
        if row.rank == first.rank:
            text = f"{row.case}: {row.service} goodput {row.goodput:.3f}"
            found.append((text, row.goodput >= GOODPUT))
        if row.rank == first.rank and row.case == "flood of least":
            times = row.p99_ms / calm_by_name[row.service, row.rank].p99_ms
            text = f"{name} p99 {times:.2f} times calm, {row.refused} refused"
            found.append((text, times <= P99_TIMES and not row.refused))
        if row.asked < 1:
            text = f"{name} asks {row.asked:.3f}, floor {row.floor:.2f}, gets "
            text += f"{row.share:.3f}; {row.served} of {row.offered} served"
            found.append((text, row.keeps_floor))
    ran = sum(row.ran for row in rows)
    found.append((f"{ran} refused requests had run", ran == 0))
    return found


if __name__ == "__main__":
    sys.exit(main())
