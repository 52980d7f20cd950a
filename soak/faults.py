"""Performs the faults and maintenance steps of a run."""

import asyncio
import collections.abc
import signal

from emulator import proxy
from soak import deployments, layout, maintenance, series, steps

__all__ = ["ACTIONS", "CUTS", "FAULTS", "PLANNED", "perform"]

# Share of crashes after which the address goes to the other service, the delay of that,
# the time until the new entry is written, and the lifetime of the former one.
REUSED_ADDRESS_SHARE = 0.3
REUSE_DELAY_S = 0.05
REGISTRATION_DELAY_S = 0.8
ENTRY_LIFETIME_S = 4.5
# Time that still counts as disturbed after a daemon is killed.
RESTART_TIME_S = 2.0

Effect = collections.abc.Callable[["deployments.Instance", steps.Step], None]


async def perform(deployment: "deployments.Deployment", step: steps.Step) -> None:
    """Perform a step and wait until it has ended.

    :param deployment: the deployment that it affects.
    :param step: the step.
    """
    instance = deployment.instances_by_number[step.instance]
    await ACTIONS[step.kind](deployment, instance, step)


# ---------------------------------------------------------------------------
#   Temporary faults
# ---------------------------------------------------------------------------


def _temporary(apply: Effect, revert: Effect) -> steps.Action:
    """Return an action that applies a fault and reverts it after the duration."""

    async def apply_temporarily(deployment, instance, step) -> None:
        deployment.history.record_disturbance(
            step.kind, None, step.duration_s + steps.RECOVERY_MARGIN_S
        )
        apply(instance, step)
        await asyncio.sleep(step.duration_s)
        revert(instance, step)

    return apply_temporarily


def _select_proxy(instance, step) -> proxy.Proxy:
    """Return the proxy of an instance that the strength of the step selects."""
    ports = sorted(instance.proxies_by_port)
    return instance.proxies_by_port[ports[int(step.strength * len(ports))]]


def _on_one_proxy(
    apply: collections.abc.Callable[[proxy.Proxy, steps.Step], None],
) -> steps.Action:
    return _temporary(
        lambda instance, step: apply(_select_proxy(instance, step), step),
        lambda instance, step: _select_proxy(instance, step).restore(),
    )


def _on_all_proxies(
    apply: collections.abc.Callable[[proxy.Proxy], None],
) -> steps.Action:
    def apply_to_all(instance, step) -> None:
        for target in instance.proxies_by_port.values():
            apply(target)

    def revert_all(instance, step) -> None:
        for target in instance.proxies_by_port.values():
            target.restore()

    return _temporary(apply_to_all, revert_all)


def _delay(target: proxy.Proxy, step: steps.Step) -> None:
    target.delay_s = 0.05 + 0.3 * step.strength


def _on_backend(
    name: str, value: collections.abc.Callable[[steps.Step], float]
) -> steps.Action:
    def apply(instance, step) -> None:
        setattr(instance.backend.behavior, name, value(step))

    def revert(instance, step) -> None:
        setattr(instance.backend.behavior, name, 1.0 if name == "pace" else 0.0)

    return _temporary(apply, revert)


def _corrupt_responses(mode: str) -> steps.Action:
    def apply(instance, step) -> None:
        instance.backend.behavior.corruption = mode
        instance.backend.behavior.corrupt_share = 0.1 + 0.4 * step.strength

    def revert(instance, step) -> None:
        instance.backend.behavior.corrupt_share = 0.0

    return _temporary(apply, revert)


def _on_store(name: str, value: float, default: float) -> steps.Action:
    async def apply_temporarily(deployment, instance, step) -> None:
        deployment.history.record_disturbance(
            step.kind, None, step.duration_s + steps.RECOVERY_MARGIN_S
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


CUTS = maintenance.CUTS
PLANNED = maintenance.PLANNED
FAULTS: dict[str, steps.Action] = {
    "daemon killed": _kill_daemon,
    "daemons killed": _kill_daemons,
    "daemon paused": _temporary(
        lambda instance, step: instance.daemon.signal(signal.SIGSTOP),
        lambda instance, step: instance.daemon.signal(signal.SIGCONT),
    ),
    "proxy delays data": _on_one_proxy(_delay),
    "proxy blocks all data": _on_one_proxy(lambda target, step: target.cut()),
    "proxy blocks data to target": _on_one_proxy(
        lambda target, step: target.cut((proxy.OUT,))
    ),
    "proxy blocks data from target": _on_one_proxy(
        lambda target, step: target.cut((proxy.BACK,))
    ),
    "proxy refuses connections": _on_one_proxy(maintenance.refuse_connections),
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
    **maintenance.STORE_FAULTS,
    **{kind: action for kind, action in PLANNED.items() if kind != "many routes"},
}
ACTIONS: dict[str, steps.Action] = FAULTS | PLANNED | CUTS | series.SERIES
