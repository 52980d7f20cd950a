"""Measure the cost of load reports, in bytes on the inner protocol.

Load reports are part of the answers between daemons. If a daemon serves a call with
its own backend server, no answer is sent between daemons and the report costs nothing.
"""

import dataclasses

import cbor2

from bench import report
from emulator import deployment, load, plans
from savoryhollow.wire import codec, messages

__all__ = ["run"]

# Duration of the load, in s.
LOAD_S = 5.0
# Calls per second that are sent to each daemon.
CALLS_PER_S = 59.0
WORKERS = 200
PROCESSES = 2
SEED = 5
# The default measuring budget of a service, in bytes per second over all daemons.
BUDGET_BYTES_PER_S = 20_000


def run() -> report.PartReport:
    """Measure the bytes spent on load reports, per daemon and over the link."""
    plan = dataclasses.replace(plans.COULEE, services=plans.COULEE.services[:1])
    with deployment.Deployment(plan) as running:
        with load.LoadGenerator(WORKERS, PROCESSES) as generator:
            results = generator.run(_streams(running), LOAD_S, SEED)
        regions_by_id = {i: v.region for i, v in running.instances_by_id.items()}
        report_bytes = _report_bytes(running)
    served_count = remote_count = cross_region_count = 0
    for name, result in results.items():
        origin_region = name.partition("/")[0]
        for endpoint_id, count in result.endpoints.items():
            served_count += count
            remote_count += count if endpoint_id != name.partition("/")[2] else 0
            cross_region_count += (
                count if regions_by_id[endpoint_id] != origin_region else 0
            )
    daemon_count = len(regions_by_id)
    rows = (
        (
            "all daemons",
            served_count,
            remote_count,
            _bytes_per_s(remote_count, report_bytes),
        ),
        ("mean of a daemon", served_count // daemon_count, remote_count // daemon_count)
        + (_bytes_per_s(remote_count, report_bytes) / daemon_count,),
        (
            "regions' link",
            served_count,
            cross_region_count,
            _bytes_per_s(cross_region_count, report_bytes),
        ),
    )
    target = report.Target(
        "load reports of the service, bytes/s",
        _bytes_per_s(remote_count, report_bytes),
        BUDGET_BYTES_PER_S,
    )
    return report.PartReport(
        f"cost of measuring at {CALLS_PER_S:.0f} calls/s a daemon",
        report.Table(("where", "calls", "with report", "measuring bytes/s"), rows),
        (target,),
        (
            f"a load report takes {report_bytes} bytes of an answer",
            "answers counted are those served",
        ),
    )


def _streams(running: deployment.Deployment) -> list[load.Stream]:
    return [
        load.Stream(
            f"{instance.region}/{instance.endpoint_id}",
            (running.front_url(instance),),
            instance.service,
            "lookup",
            CALLS_PER_S,
        )
        for instance in running.instances_by_id.values()
    ]


def _report_bytes(running: deployment.Deployment) -> int:
    load_fields = running.dump(next(iter(running.instances_by_id.values())))["load"]
    message = messages.NotRunMessage(
        "", "leaving", 0, messages.LoadReport(**load_fields)
    )
    return len(codec.encode(message)) - len(cbor2.dumps([4, "", "leaving", 0]))


def _bytes_per_s(reports: int, report_bytes: int) -> float:
    return reports * report_bytes / LOAD_S
