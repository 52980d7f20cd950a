"""Measure what the ways to share a link budget spend and leave unused.

    python -m bench.budgets

The first lines are worked out with fixed seeds and no clock: processes ask to
cross for a minute, with as much demand as there is budget, spread evenly or with
most of it on a few of them. The last line counts real bytes on the link between
two daemons.
"""

import dataclasses
import json
import random
import time

import urllib3

from emulator import deployment, plans
from savoryhollow.budgets import buckets

__all__ = ["Way", "measure"]

BUDGET_BYTES_PER_S = 1_000_000
SPAN_S = 60.0
MESSAGE_BYTES = 1_200
FLEETS = (9, 100, 8_800)
# Shares of the processes that have four fifths of the demand.
HOT_SHARES = (1.0, 0.2)
# Processes of the concentrated way.
CROSSERS = 9
# Lists that lag show between this share of the processes and all of them.
LEAST_LISTED = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Way:
    """What one way came to.

    :param used: of the budget, over the whole span.
    :param served: of the demand.
    """

    way: str
    processes: int
    hot_share: float
    used: float
    served: float


def measure() -> list[Way]:
    """Return what each way came to in each fleet."""
    return [
        _simulate(way, processes, hot_share)
        for processes in FLEETS
        for hot_share in HOT_SHARES
        for way in ("equal", "equal, a third declared more", "by list", "concentrated")
    ]


def _simulate(way: str, processes: int, hot_share: float) -> Way:
    rng = random.Random(7)
    held = [
        buckets.TokenBucket(_rate(way, processes, number, rng), 0.0)
        for number in range(processes)
    ]
    hot = max(1, round(processes * hot_share))
    demand = BUDGET_BYTES_PER_S / MESSAGE_BYTES
    now, asked, spent = 0.0, 0, 0
    while now < SPAN_S:
        now += rng.expovariate(demand)
        asked += 1
        # Four fifths of the demand stand with the hot ones.
        number = rng.randrange(hot if rng.random() < 0.8 else processes)
        if held[number].can_spend(MESSAGE_BYTES, now):
            held[number].spend(MESSAGE_BYTES, now)
            spent += MESSAGE_BYTES
    return Way(
        way,
        processes,
        hot_share,
        spent / BUDGET_BYTES_PER_S / SPAN_S,
        spent / MESSAGE_BYTES / asked,
    )


def _rate(way: str, processes: int, number: int, rng: random.Random) -> float:
    if way == "by list":
        listed = rng.randint(round(processes * LEAST_LISTED), processes)
        return buckets.share_of(BUDGET_BYTES_PER_S, listed)
    if way == "concentrated":
        crosses = number < CROSSERS
        holders = min(CROSSERS, processes)
        return buckets.share_of(BUDGET_BYTES_PER_S, holders) if crosses else 0.0
    declared = processes * 4 / 3 if way.endswith("more") else processes
    return buckets.share_of(BUDGET_BYTES_PER_S, round(declared))


# ---------------------------------------------------------------------------
#   Real bytes
# ---------------------------------------------------------------------------

_BUDGET = 40_000
_HOLDERS = 2
_RANKS = {"lookup": {"order": 0, "idempotent": True}}
_SERVICE = {
    "share": 1,
    "ranks": _RANKS,
    "budgets": {"link_bytes_per_s": _BUDGET},
}
_PLAN = plans.DeploymentPlan(
    name="link",
    regions=("east", "west"),
    zones_per_region=1,
    services=(plans.ServicePlan("s", 2, 2.0),),
    store_region="east",
    files={
        "10.json": json.dumps(
            {"endpoints_at_most": _HOLDERS, "services": {"s": _SERVICE}}
        )
    },
)
_RUN_S = 12.0


def count_real_bytes() -> dict[str, float]:
    """Return what crossed the link in truth beside what was accounted."""
    with deployment.Deployment(_PLAN, placement="round-robin") as running:
        time.sleep(3.0)
        idle = _link_bytes(running)
        time.sleep(3.0)
        idle_rate = (_link_bytes(running) - idle) / 3.0
        router = next(iter(running.instances_by_id.values()))
        started, before = time.monotonic(), _link_bytes(running)
        spent = _spent(running, router)
        calls = _call(running, router, started + _RUN_S)
        elapsed = time.monotonic() - started
        crossed = _link_bytes(running) - before - idle_rate * elapsed
        return {
            "calls": calls,
            "share_bytes_per_s": _BUDGET / _HOLDERS,
            "real_bytes_per_s": crossed / elapsed,
            "accounted_bytes_per_s": (_spent(running, router) - spent) / elapsed,
            "idle_bytes_per_s": idle_rate,
        }


def _call(running, router, until: float) -> int:
    http = urllib3.PoolManager()
    headers = {"Savoryhollow-Service": "s", "Savoryhollow-Rank": "lookup"}
    count = 0
    while time.monotonic() < until:
        url = running.front_url(router) + "/work"
        http.request("POST", url, headers=headers, body=b"x" * 600)
        count += 1
    return count


def _link_bytes(running: deployment.Deployment) -> int:
    counts = running.control_link()
    return counts["bytes_out"] + counts["bytes_back"]


def _spent(running: deployment.Deployment, router: deployment.Instance) -> float:
    return running.dump(router)["link_budgets"]["s"]["spent_bytes"]


def main() -> None:
    """Print one JSON line for each way, and one for the real bytes."""
    for way in measure():
        print(json.dumps(dataclasses.asdict(way)))
    print(json.dumps(count_real_bytes()))


if __name__ == "__main__":
    main()
