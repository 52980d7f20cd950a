"""Measure the time until a revision is in force everywhere, and its cost.

Real daemons run on loopback without backend servers. Each revision changes one file.
The time at which a daemon puts a revision in force is taken from its log; all
processes share the clock of the machine.

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

# Revisions published in one run, and the time between two of them in s.
REVISIONS = 15
INTERVAL_S = 1.5
# Duration of the measurement without publications, in s.
IDLE_S = 10.0
# Time for every daemon to find its neighbours, in s.
SETTLE_S = 6.0
SERVICES = 2
# Number of the event CONFIGURATION_IN_FORCE.
IN_FORCE_EVENT = 2001


@dataclasses.dataclass(slots=True)
class SpreadResult:
    """The results of one run; every cost is a mean over the daemons.

    :param one_p50_ms: median time until a daemon has a revision in force.
    :param all_p50_ms: median time until every daemon has a revision in force.
    :param missed: how often a daemon did not put a revision in force.
    :param idle_cpu_share: processor time without publications, as a share of a core.
    :param idle_bytes_per_s: bytes sent to and received from other daemons without
        publications.
    :param revision_bytes: bytes sent and received for one revision.
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
class _Counters:
    """Sums over all daemons at one point in time."""

    read_at: float
    platform_calls: int
    cpu_s: float
    relay_bytes: int
    store_bytes: int


class _DeploymentWithoutBackends(deployment.Deployment):
    """A deployment without backend servers."""

    def start_backend(self, instance: deployment.Instance) -> None:
        """Do nothing; no requests are sent."""


def measure(daemon_count: int) -> SpreadResult:
    """Measure one fleet, first without and then with publications."""
    with _DeploymentWithoutBackends(_plan(daemon_count), front_threads=2) as running:
        time.sleep(SETTLE_S)
        idle_start = _read_counters(running)
        time.sleep(IDLE_S)
        idle_end = _read_counters(running)
        publication_times = _publish_revisions(running)
        busy_end = _read_counters(running)
        return _make_result(
            running, (idle_start, idle_end, busy_end), publication_times
        )


def _publish_revisions(running: deployment.Deployment) -> dict[int, float]:
    publication_times = {}
    for revision in range(2, 2 + REVISIONS):
        files = running.plan.files | {"50.json": _queue_limit_file(revision)}
        publication_times[revision] = time.time()
        running.control_platform(files=files, revision=revision)
        time.sleep(INTERVAL_S)
    return publication_times


def _make_result(running, counters, publication_times) -> SpreadResult:
    idle_start, idle_end, busy_end = counters
    daemon_count = len(running.instances_by_id)
    delays_by_revision = _delays_by_revision(running, publication_times)
    daemon_delays_s = sorted(
        delay for delays in delays_by_revision.values() for delay in delays
    )
    fleet_delays_s = [max(delays) for delays in delays_by_revision.values()]
    idle_s = idle_end.read_at - idle_start.read_at
    busy_s = busy_end.read_at - idle_end.read_at
    idle_relay_bytes_per_s = (idle_end.relay_bytes - idle_start.relay_bytes) / idle_s
    revision_relay_bytes = (
        busy_end.relay_bytes - idle_end.relay_bytes - idle_relay_bytes_per_s * busy_s
    )
    dumps = [running.dump(i) for i in running.instances_by_id.values()]
    resident_mb = [rss_mb(i.daemon.pid) for i in running.instances_by_id.values()]
    return SpreadResult(
        daemons=daemon_count,
        readers=sum(dump["is_reader"] for dump in dumps),
        one_p50_ms=statistics.median(daemon_delays_s) * 1e3,
        one_p99_ms=daemon_delays_s[int(len(daemon_delays_s) * 0.99)] * 1e3,
        all_p50_ms=statistics.median(fleet_delays_s) * 1e3,
        all_max_ms=max(fleet_delays_s) * 1e3,
        missed=daemon_count * len(publication_times) - len(daemon_delays_s),
        platform_calls_per_s=(idle_end.platform_calls - idle_start.platform_calls)
        / idle_s,
        idle_cpu_share=(idle_end.cpu_s - idle_start.cpu_s) / idle_s / daemon_count,
        busy_cpu_share=(busy_end.cpu_s - idle_end.cpu_s) / busy_s / daemon_count,
        # Only the daemon that opened a connection counts its bytes, hence the factor 2.
        idle_bytes_per_s=2 * idle_relay_bytes_per_s / daemon_count,
        revision_bytes=2 * revision_relay_bytes / daemon_count / len(publication_times),
        store_bytes_per_s=(busy_end.store_bytes - idle_end.store_bytes)
        / busy_s
        / max(1, sum(dump["is_reader"] for dump in dumps)),
        rss_mb=statistics.mean(resident_mb),
    )


# ---------------------------------------------------------------------------
#   Plans
# ---------------------------------------------------------------------------


def _plan(daemon_count: int) -> plans.DeploymentPlan:
    endpoint_counts = [len(range(n, daemon_count, SERVICES)) for n in range(SERVICES)]
    services = tuple(
        plans.ServicePlan(f"s{n}", count, 5.0)
        for n, count in enumerate(endpoint_counts)
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


def _queue_limit_file(revision: int) -> str:
    return json.dumps({"services": {"s0": {"queue_limit": revision}}})


# ---------------------------------------------------------------------------
#   Measurements
# ---------------------------------------------------------------------------


def _read_counters(running: deployment.Deployment) -> _Counters:
    dumps = [running.dump(i) for i in running.instances_by_id.values()]
    return _Counters(
        read_at=time.monotonic(),
        platform_calls=running.platform_read_count(),
        cpu_s=sum(cpu_s(i.daemon.pid) for i in running.instances_by_id.values()),
        relay_bytes=sum(dump["relay_bytes"] for dump in dumps),
        store_bytes=sum(dump["store_bytes"] for dump in dumps),
    )


def _delays_by_revision(
    running, publication_times: dict[int, float]
) -> dict[int, list[float]]:
    delays_by_revision: dict[int, list[float]] = {
        revision: [] for revision in publication_times
    }
    for instance in running.instances_by_id.values():
        for line in running.read_log(f"daemon-{instance.endpoint_id}").splitlines():
            event = json.loads(line) if line.startswith("{") else {}
            revision = event.get("revision")
            if event.get("event") == IN_FORCE_EVENT and revision in publication_times:
                delays_by_revision[revision].append(
                    event["time"] - publication_times[revision]
                )
    return {
        revision: delays for revision, delays in delays_by_revision.items() if delays
    }


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
    for daemon_count in map(int, sys.argv[1:] or ("10", "30", "60")):
        print(json.dumps(dataclasses.asdict(measure(daemon_count))), flush=True)


if __name__ == "__main__":
    main()
