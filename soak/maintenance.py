"""Planned maintenance, entries of the store, and cuts between readers and the store."""

import asyncio
import collections.abc
import signal

from emulator import proxy
from soak import deployments, layout, records, steps

__all__ = ["CUTS", "PLANNED", "STORE_FAULTS", "replace_backend", "terminate_daemon"]

# Time from the cut between readers and the store to a publication.
CUT_PUBLICATION_DELAY_S = 0.4
# Time after an outage of the store within which expired entries are renewed.
MAX_RENEWAL_DELAY_S = 1.8
# A draining endpoint keeps serving for this time. Once it has stopped, its
# replacement starts after a delay.
DRAIN_TIME_S = layout.BOUNDS.drain_s + 0.7
REPLACEMENT_DELAY_S = 0.3
# Share of planned replacements in which draining is never reported.
UNREPORTED_DRAIN_SHARE = 0.4


def _entry(**changes: object) -> dict[str, object]:
    entry: dict[str, object] = {"service": layout.SERVICES[0], "address": "10.0.0.9:80"}
    entry |= {"zone": next(iter(layout.REGIONS_BY_ZONE)), "state": "ready", "slots": 4}
    return entry | changes


# Entries of another writer that name no endpoint to use.
INVALID_ENTRIES = (
    b"\xff\xfe",
    b'{"note":' + 4000 * b"[",
    {"service": 7},
    _entry(address="10.0.0.9:70000"),
    _entry(address="nowhere:80"),
    _entry(slots=10**30),
    {"state": "odd"},
    b"",
)

# ---------------------------------------------------------------------------
#   The store
# ---------------------------------------------------------------------------


async def _expire_entry(deployment, instance, step) -> None:
    deployment.history.record_disturbance(
        step.kind, None, step.duration_s + MAX_RENEWAL_DELAY_S
    )
    key = deployment.entry_key(instance)
    deployment.store.busy = True
    deployment.store.remove(key)
    await asyncio.sleep(step.duration_s)
    deployment.store.busy = False
    await asyncio.sleep(step.strength * MAX_RENEWAL_DELAY_S)
    if instance.backend.is_up and key == deployment.entry_key(instance):
        deployment.register(instance)


async def _compact_history(deployment, instance, step) -> None:
    deployment.history.record_disturbance(step.kind, None, 0.0)
    deployment.publish()
    deployment.store.compact()


async def _add_invalid_entry(deployment, instance, step) -> None:
    value = INVALID_ENTRIES[int(step.strength * len(INVALID_ENTRIES))]
    deployment.store.put(f"{deployments.ENTRY_PREFIX}foreign-{step.at}", value)


async def terminate_daemon(deployment, instance, step) -> None:
    """Stop a daemon as planned work does."""
    now = deployment.history.now
    until = now + layout.BOUNDS.grace_s + 1
    stop = records.Disturbance(step.kind, instance.spec.number, now, until)
    deployment.history.planned_stops.append(stop)
    await instance.daemon.terminate()


async def _reload_settings(deployment, instance, step) -> None:
    instance.daemon.write_settings()
    instance.daemon.signal(signal.SIGHUP)


# ---------------------------------------------------------------------------
#   Planned maintenance
# ---------------------------------------------------------------------------


async def _publish(deployment, instance, step) -> None:
    deployment.publish()


async def _publish_series(deployment, instance, step) -> None:
    for _ in range(4):
        deployment.publish()
        await asyncio.sleep(0.15)


async def _publish_many_routes(deployment, instance, step) -> None:
    deployment.publish(extra_routes=300)


async def replace_backend(deployment, instance, step) -> None:
    """Drain a backend server and replace it by another one at the same address.

    Some backend servers never report that they drain: their entry just disappears.
    """
    backend = instance.backend
    if not backend.is_up:
        return
    history = deployment.history
    key = deployment.entry_key(instance)
    if step.strength < UNREPORTED_DRAIN_SHARE:
        deployment.store.remove(key)
    else:
        deployment.register(instance, "draining")
    history.drains.append(
        records.Drain(backend.endpoint_id, instance.spec.number, history.now)
    )
    await asyncio.sleep(DRAIN_TIME_S)
    if not backend.is_up or key != deployment.entry_key(instance):
        return
    deployment.store.remove(key)
    backend.stop()
    await asyncio.sleep(REPLACEMENT_DELAY_S)
    if not backend.is_up:
        await backend.start(instance.new_endpoint_id())
        deployment.register(instance)


def _cut_readers(
    apply: collections.abc.Callable[[proxy.Proxy, steps.Step], None],
) -> steps.Action:
    """Return an action that cuts all readers of a region off from the store.

    Only these readers count as disturbed: the other instances reach the store.
    """

    async def cut_temporarily(deployment, instance, step) -> None:
        readers = await deployment.find_readers(instance.spec.region)
        for reader in readers:
            deployment.history.record_disturbance(
                step.kind, reader.spec.number, step.duration_s + steps.RECOVERY_MARGIN_S
            )
            apply(reader.proxies_by_port[layout.STORE_PORT], step)
        await asyncio.sleep(CUT_PUBLICATION_DELAY_S)
        deployment.publish()
        await asyncio.sleep(step.duration_s - CUT_PUBLICATION_DELAY_S)
        for reader in readers:
            reader.proxies_by_port[layout.STORE_PORT].restore()

    return cut_temporarily


def refuse_connections(target: proxy.Proxy, step: steps.Step) -> None:
    """Reset the connections of a proxy, and refuse others."""
    target.refusing = True
    target.reset()


CUTS: dict[str, steps.Action] = {
    "readers cut off": _cut_readers(lambda target, step: target.cut()),
    "readers refused": _cut_readers(refuse_connections),
}
PLANNED: dict[str, steps.Action] = {
    "daemon terminated": terminate_daemon,
    "settings reloaded": _reload_settings,
    "configuration published": _publish,
    "configurations published": _publish_series,
    "many routes": _publish_many_routes,
    "backend replaced": replace_backend,
}
STORE_FAULTS: dict[str, steps.Action] = {
    "entry expires": _expire_entry,
    "history compacted": _compact_history,
    "entry invalid": _add_invalid_entry,
}
