"""Measure how fast a revision is in force everywhere, and what that costs.

Real daemons run on loopback without backend servers. One file changes with each
revision; the instant at which a daemon puts a revision in force is taken from
its log, on the machine's one clock.

    python -m bench.spread 10 30 60
"""

import dataclasses
import json
import os
import statistics
import sys
import time

from emulator import deployment, plans

__all__ = ["SpreadResult", "cpu_s", "measure", "rss_mb"]

# Revisions published in one run, and the time between two of them, in s.
REVISIONS = 15
INTERVAL_S = 1.5
# Time over which the daemons are left alone, in s.
IDLE_S = 10.0
# Time for every daemon to find its neighbours, in s.
SETTLE_S = 6.0
SERVICES = 2
# The event of a revision that is put in force.
IN_FORCE_EVENT = 2001


@dataclasses.dataclass(slots=True)
class SpreadResult:
    """What one run has shown; every cost is a mean over the daemons.

    :param one_p50_ms: time until a daemon has a revision in force.
    :param all_p50_ms: time until every daemon has it in force.
    :param idle_cpu_share: of one core, without publications.
    :param idle_bytes_per_s: sent and received between daemons.
    :param revision_bytes: sent and received for one revision.
    """

    daemons: int
    readers: int
    one_p50_ms: float
    one_p99_ms: float
    all_p50_ms: float
    all_max_ms: float
    missed: int
    platform_calls_per_s: float
    idle_cpu_share: float
    busy_cpu_share: float
    idle_bytes_per_s: float
    revision_bytes: float
    store_bytes_per_s: float
    rss_mb: float


@dataclasses.dataclass(slots=True)
class _Counts:
    """Sums over all daemons at one instant."""

    at: float
    calls: int
    cpu_s: float
    relay_bytes: int
    store_bytes: int


class _ThinDeployment(deployment.Deployment):
    """A deployment without backend servers."""

    def start_backend(self, instance: deployment.Instance) -> None:
        """Start nothing, as no request is made."""


def measure(daemons: int) -> SpreadResult:
    """Run one fleet.

    :param daemons: how many daemons.
    """
    with _ThinDeployment(_plan(daemons), front_threads=2) as running:
        time.sleep(SETTLE_S)
        idle_from = _count(running)
        time.sleep(IDLE_S)
        idle_to = _count(running)
        published = _publish(running)
        busy_to = _count(running)
        return _result(running, (idle_from, idle_to, busy_to), published)


def _publish(running: deployment.Deployment) -> dict[int, float]:
    published = {}
    for revision in range(2, 2 + REVISIONS):
        files = running.plan.files | {"50.json": _refinement(revision)}
        published[revision] = time.time()
        running.control_platform(files=files, revision=revision)
        time.sleep(INTERVAL_S)
    return published


def _result(running, counts, published) -> SpreadResult:
    idle_from, idle_to, busy_to = counts
    daemons = len(running.instances_by_id)
    delays = _delays(running, published)
    one = sorted(delay for by_daemon in delays.values() for delay in by_daemon)
    everywhere = [max(by_daemon) for by_daemon in delays.values()]
    idle_s = idle_to.at - idle_from.at
    busy_s = busy_to.at - idle_to.at
    idle_rate = (idle_to.relay_bytes - idle_from.relay_bytes) / idle_s
    extra = busy_to.relay_bytes - idle_to.relay_bytes - idle_rate * busy_s
    dumps = [running.dump(i) for i in running.instances_by_id.values()]
    rss = [rss_mb(i.daemon.pid) for i in running.instances_by_id.values()]
    return SpreadResult(
        daemons=daemons,
        readers=sum(dump["is_reader"] for dump in dumps),
        one_p50_ms=statistics.median(one) * 1e3,
        one_p99_ms=one[int(len(one) * 0.99)] * 1e3,
        all_p50_ms=statistics.median(everywhere) * 1e3,
        all_max_ms=max(everywhere) * 1e3,
        missed=daemons * len(published) - len(one),
        platform_calls_per_s=(idle_to.calls - idle_from.calls) / idle_s,
        idle_cpu_share=(idle_to.cpu_s - idle_from.cpu_s) / idle_s / daemons,
        busy_cpu_share=(busy_to.cpu_s - idle_to.cpu_s) / busy_s / daemons,
        # Each byte is counted where the connection was opened only.
        idle_bytes_per_s=2 * idle_rate / daemons,
        revision_bytes=2 * extra / daemons / len(published),
        store_bytes_per_s=(busy_to.store_bytes - idle_to.store_bytes)
        / busy_s
        / max(1, sum(dump["is_reader"] for dump in dumps)),
        rss_mb=statistics.mean(rss),
    )


# ---------------------------------------------------------------------------
#   Plans
# ---------------------------------------------------------------------------


def _plan(daemons: int) -> plans.DeploymentPlan:
    counts = [len(range(n, daemons, SERVICES)) for n in range(SERVICES)]
    services = tuple(
        plans.ServicePlan(f"s{n}", count, 5.0) for n, count in enumerate(counts)
    )
    ranks = {"lookup": {"order": 0, "idempotent": True}, "booking": {"order": 1}}
    files = {
        f"10-{s.name}.json": json.dumps(
            {"services": {s.name: {"share": 1 / SERVICES, "ranks": ranks}}}
        )
        for s in services
    }
    return plans.DeploymentPlan(
        name="spread",
        regions=("east", "west"),
        zones_per_region=2,
        services=services,
        store_region="east",
        files=files,
    )


def _refinement(revision: int) -> str:
    return json.dumps({"services": {"s0": {"queue_limit": revision}}})


# ---------------------------------------------------------------------------
#   Readings
# ---------------------------------------------------------------------------


def _count(running: deployment.Deployment) -> _Counts:
    dumps = [running.dump(i) for i in running.instances_by_id.values()]
    return _Counts(
        at=time.monotonic(),
        calls=running.platform_reads(),
        cpu_s=sum(cpu_s(i.daemon.pid) for i in running.instances_by_id.values()),
        relay_bytes=sum(dump["relay_bytes"] for dump in dumps),
        store_bytes=sum(dump["store_bytes"] for dump in dumps),
    )


def _delays(running, published: dict[int, float]) -> dict[int, list[float]]:
    delays: dict[int, list[float]] = {revision: [] for revision in published}
    for instance in running.instances_by_id.values():
        for line in running.read_log(f"daemon-{instance.endpoint_id}").splitlines():
            event = json.loads(line) if line.startswith("{") else {}
            revision = event.get("revision")
            if event.get("event") == IN_FORCE_EVENT and revision in published:
                delays[revision].append(event["time"] - published[revision])
    return {revision: found for revision, found in delays.items() if found}


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in s."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def rss_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB."""
    with open(f"/proc/{pid}/status") as status:
        line = next(line for line in status if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def main() -> None:
    """Print one JSON line for each fleet size on the command line."""
    for daemons in map(int, sys.argv[1:] or ("10", "30", "60")):
        print(json.dumps(dataclasses.asdict(measure(daemons))), flush=True)


if __name__ == "__main__":
    main()
