"""Compare methods of sharing a link budget among processes.

    python -m bench.budgets

The first lines come from a simulation with a fixed seed: for one minute of simulated
time, processes send messages between regions. The demand equals the budget; it is
spread evenly over the processes, or a fifth of them generate most of it. The last line
counts the bytes that two real daemons send over the link.
"""

import dataclasses
import json
import random
import time

import urllib3

from emulator import deployment, plans
from savoryhollow.budgets import buckets

__all__ = ["SharingResult", "measure"]

BUDGET_BYTES_PER_S = 1_000_000
DURATION_S = 60.0
MESSAGE_BYTES = 1_200
FLEET_SIZES = (9, 100, 8_800)
# Shares of the processes that generate four fifths of the demand.
HOT_SHARES = (1.0, 0.2)
# Processes that may send between regions under the "concentrated" method.
CONCENTRATED_PROCESSES = 9
# The smallest share of the processes that an outdated instance list contains.
MIN_LISTED_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class SharingResult:
    """The result of one method in one fleet.

    :param way: the method.
    :param hot_share: the share of the processes that generate most of the demand.
    :param used: the share of the budget that was spent over the whole time.
    :param served: the share of the messages that the budget allowed.
    """

    way: str
    processes: int
    hot_share: float
    used: float
    served: float


def measure() -> list[SharingResult]:
    """Return the result of each method in each fleet."""
    return [
        _simulate(method, processes, hot_share)
        for processes in FLEET_SIZES
        for hot_share in HOT_SHARES
        for method in (
            "equal",
            "equal, a third declared more",
            "by list",
            "concentrated",
        )
    ]


def _simulate(method: str, processes: int, hot_share: float) -> SharingResult:
    rng = random.Random(7)
    token_buckets = [
        buckets.TokenBucket(
            _process_budget_bytes_per_s(method, processes, index, rng), 0.0
        )
        for index in range(processes)
    ]
    hot_processes = max(1, round(processes * hot_share))
    messages_per_s = BUDGET_BYTES_PER_S / MESSAGE_BYTES
    now, message_count, sent_bytes = 0.0, 0, 0
    while now < DURATION_S:
        now += rng.expovariate(messages_per_s)
        message_count += 1
        # The hot processes generate four fifths of the demand.
        index = rng.randrange(hot_processes if rng.random() < 0.8 else processes)
        if token_buckets[index].can_spend(MESSAGE_BYTES, now):
            token_buckets[index].spend(MESSAGE_BYTES, now)
            sent_bytes += MESSAGE_BYTES
    return SharingResult(
        method,
        processes,
        hot_share,
        sent_bytes / BUDGET_BYTES_PER_S / DURATION_S,
        sent_bytes / MESSAGE_BYTES / message_count,
    )


def _process_budget_bytes_per_s(
    method: str, processes: int, index: int, rng: random.Random
) -> float:
    if method == "by list":
        listed_processes = rng.randint(round(processes * MIN_LISTED_SHARE), processes)
        return buckets.share_of(BUDGET_BYTES_PER_S, listed_processes)
    if method == "concentrated":
        may_send = index < CONCENTRATED_PROCESSES
        sending_processes = min(CONCENTRATED_PROCESSES, processes)
        return (
            buckets.share_of(BUDGET_BYTES_PER_S, sending_processes) if may_send else 0.0
        )
    declared_processes = processes * 4 / 3 if method.endswith("more") else processes
    return buckets.share_of(BUDGET_BYTES_PER_S, round(declared_processes))


# ---------------------------------------------------------------------------
#   Bytes on a real link
# ---------------------------------------------------------------------------

_LINK_BUDGET_BYTES_PER_S = 40_000
_PROCESSES = 2
_RANKS = {"lookup": {"order": 0, "idempotent": True}}
_SERVICE = {
    "share": 1,
    "ranks": _RANKS,
    "budgets": {"link_bytes_per_s": _LINK_BUDGET_BYTES_PER_S},
}
_PLAN = plans.DeploymentPlan(
    name="link",
    regions=("east", "west"),
    zones_per_region=1,
    services=(plans.ServicePlan("s", 2, 2.0),),
    store_region="east",
    files={
        "10.json": json.dumps(
            {"endpoints_at_most": _PROCESSES, "services": {"s": _SERVICE}}
        )
    },
)
_LOAD_S = 12.0


def count_real_bytes() -> dict[str, float]:
    """Return the rates of real and of accounted bytes on the link, in bytes/s.

    The real bytes don't include the traffic of the idle daemons.
    """
    with deployment.Deployment(_PLAN, placement="round-robin") as running:
        time.sleep(3.0)
        idle_bytes = _link_bytes(running)
        time.sleep(3.0)
        idle_bytes_per_s = (_link_bytes(running) - idle_bytes) / 3.0
        router = next(iter(running.instances_by_id.values()))
        started, bytes_before = time.monotonic(), _link_bytes(running)
        spent_before = _spent_bytes(running, router)
        call_count = _call_until(running, router, started + _LOAD_S)
        elapsed_s = time.monotonic() - started
        link_bytes = _link_bytes(running) - bytes_before - idle_bytes_per_s * elapsed_s
        return {
            "calls": call_count,
            "share_bytes_per_s": _LINK_BUDGET_BYTES_PER_S / _PROCESSES,
            "real_bytes_per_s": link_bytes / elapsed_s,
            "accounted_bytes_per_s": (_spent_bytes(running, router) - spent_before)
            / elapsed_s,
            "idle_bytes_per_s": idle_bytes_per_s,
        }


def _call_until(running, router, end: float) -> int:
    http = urllib3.PoolManager()
    headers = {"Savoryhollow-Service": "s", "Savoryhollow-Rank": "lookup"}
    count = 0
    while time.monotonic() < end:
        url = running.front_url(router) + "/work"
        http.request("POST", url, headers=headers, body=b"x" * 600)
        count += 1
    return count


def _link_bytes(running: deployment.Deployment) -> int:
    counts = running.control_link()
    return counts["bytes_out"] + counts["bytes_back"]


def _spent_bytes(running: deployment.Deployment, router: deployment.Instance) -> float:
    return running.dump(router)["link_budgets"]["s"]["spent_bytes"]


def main() -> None:
    """Print one JSON line for each simulation and one for the real bytes."""
    for result in measure():
        print(json.dumps(dataclasses.asdict(result)))
    print(json.dumps(count_real_bytes()))


if __name__ == "__main__":
    main()
