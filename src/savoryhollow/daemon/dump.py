"""Dump the state of a daemon as versioned JSON.

These functions only copy state. A dump holds each lock only while it makes one
copy, and its size has a limit that does not depend on the size of the fleet.
"""

import dataclasses
import time
import typing

import msgspec

from savoryhollow.observe import events, metrics, process_stats

if typing.TYPE_CHECKING:
    from savoryhollow.daemon import assembly

__all__ = [
    "DUMP_VERSION",
    "dump_daemon",
    "make_metrics_snapshot",
    "to_json_value",
    "trace_request",
]

# Incremented when a key of the dump changes its meaning or is removed.
DUMP_VERSION = 1
# Maximum number of entries of one kind in a dump. ``counts`` has the full numbers of
# evidence and placement entries.
MAX_ENTRIES = 500


def to_json_value(value: typing.Any) -> typing.Any:
    """Convert data classes and models to JSON values.

    :param value: the value to convert; infinite numbers become None.
    """
    return msgspec.json.decode(msgspec.json.encode(value))


def dump_daemon(daemon: "assembly.Daemon") -> dict[str, typing.Any]:
    """Return the state of a daemon.

    :param daemon: the daemon.
    :returns: a JSON object; its ``version`` identifies the layout.
    """
    evidence = daemon.router.evidence_by_id()
    totals = daemon.placements.totals()
    accounts = daemon.placements.accounts()
    return {
        "version": DUMP_VERSION,
        "endpoint_id": daemon.settings.endpoint_id,
        "service": daemon.settings.service,
        "region": daemon.settings.region,
        "zone": daemon.settings.zone,
        "incarnation": daemon.incarnation,
        "placement": daemon.settings.placement,
        "configuration_revision": daemon.follower.revision,
        "list_revision": daemon.members.revision,
        "store_reads": daemon.store.reads,
        "store_bytes": daemon.store.bytes_received,
        "is_reader": daemon.follower.is_reader,
        "relay_bytes": daemon.follower.relay.bytes_total,
        "link_budgets": to_json_value(daemon.link_budgets.states_by_service()),
        "known_endpoints": daemon.members.size,
        "load": dataclasses.asdict(daemon.gate.report()),
        "outcome_records": len(daemon.outcomes),
        "counts": {"evidence": len(evidence), "placements": len(totals)},
        "evidence_by_endpoint": _newest_evidence(evidence),
        "placements": _last_entries(totals),
        "accounts": to_json_value(accounts[-MAX_ENTRIES:]),
        "requests": to_json_value(daemon.requests.totals()[:MAX_ENTRIES]),
        "runs": to_json_value(daemon.runs.totals()[:MAX_ENTRIES]),
        "retries_left_by_service": _last_entries(
            daemon.router.retries_left_by_service()
        ),
        "peer_bytes_by_region": daemon.connections.bytes_by_region(),
        "suppressed_by_event": events.suppressed_by_event(),
        "vitals": to_json_value(process_stats.read_process_stats()),
        "lag_s": daemon.lag_meter.last_s,
    }


def make_metrics_snapshot(daemon: "assembly.Daemon") -> metrics.MetricsSnapshot:
    """Return the current values that a daemon's metrics are rendered from.

    :param daemon: the daemon.
    """
    now = time.monotonic()
    evidence = daemon.router.evidence_by_id().values()
    return metrics.MetricsSnapshot(
        endpoint_id=daemon.settings.endpoint_id,
        region=daemon.settings.region,
        requests=daemon.requests.totals(),
        runs=daemon.runs.totals(),
        placements=daemon.placements.accounts(),
        retries_by_service=daemon.placements.retries_by_service(),
        retries_left_by_service=daemon.router.retries_left_by_service(),
        load=daemon.gate.report(),
        outcome_records=len(daemon.outcomes),
        evidence_ages_s=[
            now - item.reported_at for item in evidence if item.report is not None
        ],
        link_bytes_by_region=daemon.connections.bytes_by_region(),
        revision=daemon.follower.revision,
        list_revision=daemon.members.revision,
        known_endpoints=daemon.members.size,
        platform_calls=daemon.store.reads,
        platform_bytes=daemon.store.bytes_received,
        relay_bytes=daemon.follower.relay.bytes_total,
        is_reader=daemon.follower.is_reader,
        suppressed_by_event=events.suppressed_by_event(),
        process_stats=process_stats.read_process_stats(),
        lag_s=daemon.lag_meter.last_s,
        highest_lag_s=daemon.lag_meter.take_highest(),
    )


def trace_request(daemon: "assembly.Daemon", request_id: str) -> dict[str, typing.Any]:
    """Return the records that a daemon has of one request.

    :param daemon: the daemon.
    :param request_id: the id in the response to the caller.
    :returns: a JSON object with the placements by this daemon's router, the runs
        of its backend server, and the request's outcome if a caller sent it to
        this daemon and it was not served. Each is a list that may be empty.
    """
    return {
        "version": DUMP_VERSION,
        "endpoint_id": daemon.settings.endpoint_id,
        "placement": daemon.settings.placement,
        "placements": to_json_value(daemon.placements.find(request_id)),
        "runs": to_json_value(daemon.runs.find(request_id)),
        "refusals": to_json_value(daemon.requests.find(request_id)),
    }


def _newest_evidence(evidence_by_id: dict) -> typing.Any:
    newest = sorted(
        evidence_by_id, key=lambda i: evidence_by_id[i].reported_at, reverse=True
    )
    return to_json_value({i: evidence_by_id[i] for i in newest[:MAX_ENTRIES]})


def _last_entries(values: dict[str, typing.Any]) -> dict[str, typing.Any]:
    return dict(list(values.items())[-MAX_ENTRIES:])
