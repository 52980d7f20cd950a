"""The state of a process, as versioned JSON."""

import dataclasses
import typing

import msgspec

if typing.TYPE_CHECKING:
    from savoryhollow.daemon import assembly

__all__ = ["DUMP_VERSION", "dump_daemon", "plain"]

# Raised whenever a key of the dump changes its meaning or goes away.
DUMP_VERSION = 1


def plain(value: typing.Any) -> typing.Any:
    """Return data classes and models as JSON values."""
    return msgspec.to_builtins(value, str_keys=True)


def dump_daemon(daemon: "assembly.Daemon") -> dict[str, typing.Any]:
    """Return the state of a daemon.

    :param daemon: the daemon.
    :returns: a JSON object; ``version`` tells its layout.
    """
    return {
        "version": DUMP_VERSION,
        "endpoint_id": daemon.settings.endpoint_id,
        "service": daemon.settings.service,
        "incarnation": daemon.incarnation,
        "configuration_revision": daemon.holder.revision,
        "list_revision": daemon.members.revision,
        "store_reads": daemon.store.reads,
        "store_bytes": daemon.store.bytes_received,
        "is_reader": daemon.holder.is_reader,
        "relay_bytes": daemon.holder.relay.bytes_total,
        "known_endpoints": daemon.members.size,
        "load": dataclasses.asdict(daemon.gate.report()),
        "outcome_records": len(daemon.outcomes),
        "evidence_by_endpoint": plain(daemon.router.evidence_by_id()),
        "placements": daemon.placements.totals(),
    }
