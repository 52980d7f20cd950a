"""Performs the faults and maintenance steps of a run."""

import asyncio
import collections.abc
import dataclasses
import signal

from emulator import proxy
from soak import deployments, layout, records

__all__ = ["CUTS", "FAULTS", "PLANNED", "Step", "perform"]

# Time from the cut between readers and the store to a publication.
CUT_PUBLICATION_DELAY_S = 0.4
# Time after an outage of the store within which expired entries are renewed.
MAX_RENEWAL_DELAY_S = 1.8
# A draining endpoint keeps serving for this time. Once it has stopped, its
# replacement starts after a delay.
DRAIN_TIME_S = layout.BOUNDS.drain_s + 0.7
REPLACEMENT_DELAY_S = 0.3
# Share of crashes after which the address goes to the other service, the delay of that,
# the time until the new entry is written, and the lifetime of the former one.
REUSED_ADDRESS_SHARE = 0.3
REUSE_DELAY_S = 0.05
REGISTRATION_DELAY_S = 0.8
ENTRY_LIFETIME_S = 4.5
# Share of planned replacements in which draining is never reported.
UNREPORTED_DRAIN_SHARE = 0.4
# Time that still counts as disturbed after a fault, and after a daemon is killed.
RECOVERY_MARGIN_S = 0.5
RESTART_TIME_S = 2.0


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

Action = collections.abc.Callable[
    ["deployments.Deployment", "deployments.Instance", "Step"],
    collections.abc.Awaitable[None],
]
Effect = collections.abc.Callable[["deployments.Instance", "Step"], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A fault or a planned maintenance step.

    :param at: when it starts, in s since the start of the run.
    :param kind: the kind, which is a key of ``FAULTS``, ``PLANNED`` or ``CUTS``.
    :param instance: the number of the instance that it affects.
    :param duration_s: how long it lasts, in s.
    :param strength: a number between 0 and 1 that sets the severity or selects a
        variant.
    """

    at: float
    kind: str
    instance: int
    duration_s: float
    strength: float


async def perform(deployment: "deployments.Deployment", step: Step) -> None:
    """Perform a step and wait until it has ended.

    :param deployment: the deployment that it affects.
    :param step: the step.
    """
    instance = deployment.instances_by_number[step.instance]
    action = (FAULTS | PLANNED | CUTS)[step.kind]
    await action(deployment, instance, step)


# ---------------------------------------------------------------------------
#   Temporary faults
# ---------------------------------------------------------------------------


def _temporary(apply: Effect, revert: Effect) -> Action:
    """Return an action that applies a fault and reverts it after the duration."""

    async def apply_temporarily(deployment, instance, step) -> None:
        deployment.history.record_disturbance(
            step.kind, None, step.duration_s + RECOVERY_MARGIN_S
        )
        apply(instance, step)
        await asyncio.sleep(step.duration_s)
        revert(instance, step)

    return apply_temporarily


def _select_proxy(instance, step) -> proxy.Proxy:
    """Return the proxy of an instance that the strength of the step selects."""
    ports = sorted(instance.proxies_by_port)
    return instance.proxies_by_port[ports[int(step.strength * len(ports))]]


def _on_one_proxy(apply: collections.abc.Callable[[proxy.Proxy, Step], None]) -> Action:
    return _temporary(
        lambda instance, step: apply(_select_proxy(instance, step), step),
        lambda instance, step: _select_proxy(instance, step).restore(),
    )


def _on_all_proxies(apply: collections.abc.Callable[[proxy.Proxy], None]) -> Action:
    def apply_to_all(instance, step) -> None:
        for target in instance.proxies_by_port.values():
            apply(target)

    def revert_all(instance, step) -> None:
        for target in instance.proxies_by_port.values():
            target.restore()

    return _temporary(apply_to_all, revert_all)


def _delay(target: proxy.Proxy, step: Step) -> None:
    target.delay_s = 0.05 + 0.3 * step.strength


def _refuse_connections(target: proxy.Proxy, step: Step) -> None:
    target.refusing = True
    target.reset()


def _on_backend(name: str, value: collections.abc.Callable[[Step], float]) -> Action:
    def apply(instance, step) -> None:
        setattr(instance.backend.behavior, name, value(step))

    def revert(instance, step) -> None:
        setattr(instance.backend.behavior, name, 1.0 if name == "pace" else 0.0)

    return _temporary(apply, revert)


def _corrupt_responses(mode: str) -> Action:
    def apply(instance, step) -> None:
        instance.backend.behavior.corruption = mode
        instance.backend.behavior.corrupt_share = 0.1 + 0.4 * step.strength

    def revert(instance, step) -> None:
        instance.backend.behavior.corrupt_share = 0.0

    return _temporary(apply, revert)


def _on_store(name: str, value: float, default: float) -> Action:
    async def apply_temporarily(deployment, instance, step) -> None:
        deployment.history.record_disturbance(
            step.kind, None, step.duration_s + RECOVERY_MARGIN_S
        )
        setattr(deployment.store, name, value)
        await asyncio.sleep(step.duration_s)
        setattr(deployment.store, name, default)

    return apply_temporarily


# ---------------------------------------------------------------------------
#   Processes and connections
# ---------------------------------------------------------------------------


async def _kill_daemon(deployment, instance, step) -> None:
    deployment.history.record_disturbance(
        step.kind, instance.spec.number, RESTART_TIME_S
    )
    instance.daemon.signal(signal.SIGKILL)


async def _kill_daemons(deployment, instance, step) -> None:
    for other in deployment.instances_by_number.values():
        if other is instance or step.strength > 0.5 or other.spec.number % 2:
            await _kill_daemon(deployment, other, step)


async def _terminate_daemon(deployment, instance, step) -> None:
    now = deployment.history.now
    until = now + layout.BOUNDS.grace_s + 1
    stop = records.Disturbance(step.kind, instance.spec.number, now, until)
    deployment.history.planned_stops.append(stop)
    await instance.daemon.terminate()


async def _reload_settings(deployment, instance, step) -> None:
    instance.daemon.write_settings()
    instance.daemon.signal(signal.SIGHUP)


async def _reset_connections(deployment, instance, step) -> None:
    deployment.history.record_disturbance(step.kind, None, 0.0)
    _select_proxy(instance, step).reset()


async def _silence_connections(deployment, instance, step) -> None:
    # Only timeouts detect a silent connection.
    deployment.history.record_disturbance(
        step.kind, None, layout.BOUNDS.stability_window_s
    )
    _select_proxy(instance, step).silence()


async def _reset_backend_connections(deployment, instance, step) -> None:
    deployment.history.record_disturbance(step.kind, None, 0.0)
    instance.backend.reset_connections()


async def _crash_backend(deployment, instance, step) -> None:
    if not instance.backend.is_up:
        return
    if step.strength < REUSED_ADDRESS_SHARE:
        await _reuse_address(deployment, instance, step)
        return
    deployment.history.record_disturbance(step.kind, None, step.duration_s + 1.0)
    key = deployment.entry_key(instance)
    instance.backend.stop()
    await asyncio.sleep(step.duration_s)
    if step.strength < 0.5:
        # Its entry expires, and it restarts under a new endpoint id.
        deployment.store.remove(key)
        await instance.backend.start(instance.new_endpoint_id())
    else:
        await instance.backend.start()
    deployment.register(instance)


async def _reuse_address(deployment, instance, step) -> None:
    """Lose an instance, and give its address to the other service soon after."""
    reuse_s = layout.BOUNDS.address_reuse_s + REUSE_DELAY_S
    deployment.history.record_disturbance(
        step.kind, None, reuse_s + REGISTRATION_DELAY_S + ENTRY_LIFETIME_S
    )
    former_key = deployment.entry_key(instance)
    instance.daemon.signal(signal.SIGKILL)
    instance.backend.stop()
    await asyncio.sleep(reuse_s)
    if instance.backend.is_up:
        return
    instance.change_service()
    await instance.backend.start(instance.new_endpoint_id())
    await asyncio.sleep(REGISTRATION_DELAY_S)
    deployment.register(instance)
    await asyncio.sleep(ENTRY_LIFETIME_S - reuse_s)
    deployment.store.remove(former_key)


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


async def _replace_backend(deployment, instance, step) -> None:
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


def _cut_readers(apply: collections.abc.Callable[[proxy.Proxy, Step], None]) -> Action:
    """Return an action that cuts all readers of a region off from the store.

    Only these readers count as disturbed: the other instances reach the store.
    """

    async def cut_temporarily(deployment, instance, step) -> None:
        readers = await deployment.find_readers(instance.spec.region)
        for reader in readers:
            deployment.history.record_disturbance(
                step.kind, reader.spec.number, step.duration_s + RECOVERY_MARGIN_S
            )
            apply(reader.proxies_by_port[layout.STORE_PORT], step)
        await asyncio.sleep(CUT_PUBLICATION_DELAY_S)
        deployment.publish()
        await asyncio.sleep(step.duration_s - CUT_PUBLICATION_DELAY_S)
        for reader in readers:
            reader.proxies_by_port[layout.STORE_PORT].restore()

    return cut_temporarily


CUTS: dict[str, Action] = {
    "readers cut off": _cut_readers(lambda target, step: target.cut()),
    "readers refused": _cut_readers(_refuse_connections),
}
FAULTS: dict[str, Action] = {
    "daemon killed": _kill_daemon,
    "daemons killed": _kill_daemons,
    "daemon paused": _temporary(
        lambda instance, step: instance.daemon.signal(signal.SIGSTOP),
        lambda instance, step: instance.daemon.signal(signal.SIGCONT),
    ),
    "daemon terminated": _terminate_daemon,
    "settings reloaded": _reload_settings,
    "proxy delays data": _on_one_proxy(_delay),
    "proxy blocks all data": _on_one_proxy(lambda target, step: target.cut()),
    "proxy blocks data to target": _on_one_proxy(
        lambda target, step: target.cut((proxy.OUT,))
    ),
    "proxy blocks data from target": _on_one_proxy(
        lambda target, step: target.cut((proxy.BACK,))
    ),
    "proxy refuses connections": _on_one_proxy(_refuse_connections),
    "proxy resets connections": _reset_connections,
    "proxy silences connections": _silence_connections,
    "instance isolated": _on_all_proxies(lambda target: target.cut()),
    "backend slow": _on_backend("pace", lambda step: 2 + 6 * step.strength),
    "backend fails": _on_backend("fail_share", lambda step: step.strength),
    "backend sheds load": _on_backend("shed_share", lambda step: step.strength),
    "answers cut short": _corrupt_responses("truncate"),
    "answers lost": _corrupt_responses("drop"),
    "answers garbled": _corrupt_responses("garble"),
    "answers duplicated": _corrupt_responses("duplicate"),
    "connections reset": _reset_backend_connections,
    "backend crashes": _crash_backend,
    "store busy": _on_store("busy", True, False),
    "store silent": _on_store("silent", True, False),
    "store slow": _on_store("delay_s", 0.4, 0.0),
    "entry expires": _expire_entry,
    "history compacted": _compact_history,
    "entry invalid": _add_invalid_entry,
    "configuration published": _publish,
    "configurations published": _publish_series,
    "backend replaced": _replace_backend,
}
PLANNED: dict[str, Action] = {
    "daemon terminated": _terminate_daemon,
    "settings reloaded": _reload_settings,
    "configuration published": _publish,
    "configurations published": _publish_series,
    "many routes": _publish_many_routes,
    "backend replaced": _replace_backend,
}
