"""What measuring load costs, in bytes on the inner protocol.

Load reports travel on answers between daemons. An answer that is given on the
spot, in the caller's own process, carries nothing over any wire.
"""

import dataclasses

import cbor2

from bench import report
from emulator import deployment, load, plans
from savoryhollow.wire import codec, messages

__all__ = ["run"]

# How long requests arrive, in s.
LOAD_S = 5.0
# Calls a second that each daemon is sent.
RATE = 59.0
WORKERS = 200
PROCESSES = 2
SEED = 5
# The budget of a service that sets none, in bytes a second over all daemons.
BUDGET_BYTES_PER_S = 20_000


def run() -> report.PartReport:
    """Measure the bytes spent on load reports, per daemon and over the link."""
    plan = dataclasses.replace(plans.COULEE, services=plans.COULEE.services[:1])
    with deployment.Deployment(plan) as running:
        with load.LoadGenerator(WORKERS, PROCESSES) as generator:
            results = generator.run(_streams(running), LOAD_S, SEED)
        regions_by_id = {i: v.region for i, v in running.instances_by_id.items()}
        report_bytes = _report_bytes(running)
    served = wired = linked = 0
    for name, result in results.items():
        home = name.partition("/")[0]
        for endpoint_id, count in result.endpoints.items():
            served += count
            wired += count if endpoint_id != name.partition("/")[2] else 0
            linked += count if regions_by_id[endpoint_id] != home else 0
    daemons = len(regions_by_id)
    rows = (
        ("all daemons", served, wired, _rate(wired, report_bytes)),
        ("mean of a daemon", served // daemons, wired // daemons)
        + (_rate(wired, report_bytes) / daemons,),
        ("regions' link", served, linked, _rate(linked, report_bytes)),
    )
    target = report.Target(
        "load reports of the service, bytes/s",
        _rate(wired, report_bytes),
        BUDGET_BYTES_PER_S,
    )
    return report.PartReport(
        f"cost of measuring at {RATE:.0f} calls/s a daemon",
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
            RATE,
        )
        for instance in running.instances_by_id.values()
    ]


def _report_bytes(running: deployment.Deployment) -> int:
    found = running.dump(next(iter(running.instances_by_id.values())))["load"]
    loaded = messages.NotRunMessage("", "leaving", 0, messages.LoadReport(**found))
    return len(codec.encode(loaded)) - len(cbor2.dumps([4, "", "leaving", 0]))


def _rate(reports: int, report_bytes: int) -> float:
    return reports * report_bytes / LOAD_S
