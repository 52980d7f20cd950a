"""Measure the processor time that calls cost on two daemons.

    python -m bench.call_cost

One caller sends calls to one daemon at a fixed rate. The router places half of them
on its own endpoint and half on the other one.
"""

import dataclasses
import json
import time

import urllib3

from bench import spread
from emulator import deployment, plans

__all__ = ["CallCost", "measure"]

# Calls per second that are sent to the routing daemon.
RATES = (20, 60, 120)
RUN_S = 5.0


@dataclasses.dataclass(slots=True)
class CallCost:
    """The cost of calls at one rate.

    :param rate: the measured rate, in calls per second.
    :param router_cpu_s_per_s: processor time of the daemon that receives the calls
        and is also the gate of half of them.
    :param gate_cpu_s_per_s: processor time of the daemon that is the gate of the
        other half.
    :param router_rss_mb: resident memory of the daemon that receives the calls.
    """

    rate: float
    router_cpu_s_per_s: float
    gate_cpu_s_per_s: float
    router_rss_mb: float


def measure() -> list[CallCost]:
    """Measure every rate on one deployment."""
    plan = plans.DeploymentPlan(
        name="cost",
        regions=("east",),
        zones_per_region=1,
        services=(plans.ServicePlan("s", 2, 2.0),),
        store_region="east",
        files={"10.json": json.dumps(_FILE)},
    )
    with deployment.Deployment(plan, placement="round-robin") as running:
        time.sleep(2.0)
        return [_run(running, rate) for rate in RATES]


_RANKS = {"lookup": {"order": 0, "idempotent": True}}
_FILE = {"services": {"s": {"share": 1, "ranks": _RANKS}}}


def _run(running: deployment.Deployment, rate: int) -> CallCost:
    router, gate = running.instances_by_id.values()
    url = running.front_url(router) + "/work"
    headers = {"Savoryhollow-Service": "s", "Savoryhollow-Rank": "lookup"}
    http = urllib3.PoolManager()
    pids = (router.daemon.pid, gate.daemon.pid)
    cpu_s_before = [spread.cpu_s(pid) for pid in pids]
    started = time.monotonic()
    call_count = int(rate * RUN_S)
    for number in range(call_count):
        http.request("GET", url, headers=headers)
        time.sleep(max(0.0, started + (number + 1) / rate - time.monotonic()))
    elapsed_s = time.monotonic() - started
    cpu_shares = [
        (spread.cpu_s(pid) - previous_cpu_s) / elapsed_s
        for pid, previous_cpu_s in zip(pids, cpu_s_before, strict=True)
    ]
    return CallCost(
        call_count / elapsed_s, cpu_shares[0], cpu_shares[1], spread.rss_mb(pids[0])
    )


def main() -> None:
    """Print one JSON line for each rate."""
    for cost in measure():
        print(json.dumps(dataclasses.asdict(cost)))


if __name__ == "__main__":
    main()
