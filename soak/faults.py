"""What goes wrong and what is planned, drawn from a seed.

A run goes through stages by turns: storms, in which faults overlap, and calm times
with planned work alone, in which the timed promises count.
"""

import asyncio
import collections.abc
import dataclasses
import random
import signal

from emulator import proxy
from soak import deployments, layout, records

__all__ = ["Step", "draw", "perform"]

# Lengths of a storm, and of the calm after it, in s.
STORM_S = 10.0
CALM_S = 16.0
# Time of a calm before planned work begins, in s.
SETTLE_S = 5.0
# Pauses between steps, in s.
STORM_PAUSES_S = (0.1, 1.2)
CALM_PAUSES_S = (0.5, 2.5)
# How long a fault lasts, in s.
SHORTEST_S = 0.2
LONGEST_S = 3.0
# Time after the return of the store in which lapsed entries come back, in s.
RENEWAL_S = 1.8
# Time that an endpoint which leaves goes on serving, in s, and until its successor.
LEAVING_S = layout.BOUNDS.drain_s + 0.7
SUCCESSOR_S = 0.3

# Time that things take to settle once a fault is over, and a process to start, in s.
AFTERMATH_S = 0.5
RESTARTED_S = 2.0

Action = collections.abc.Callable[
    ["deployments.Deployment", "deployments.Instance", "Step"],
    collections.abc.Awaitable[None],
]
Change = collections.abc.Callable[["deployments.Instance", "Step"], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One fault, or one piece of planned work.

    :param at: when it begins, in s from the start of the run.
    :param instance: the number of the instance that it strikes.
    :param lasts_s: how long it lasts, in s.
    :param strength: a figure between 0 and 1.
    """

    at: float
    kind: str
    instance: int
    lasts_s: float
    strength: float


def draw(rng: random.Random, seconds: float, instances: int) -> list[Step]:
    """Draw the steps of a run.

    :param rng: the source of randomness.
    :param seconds: the length of the run, in s.
    :param instances: how many instances there are.
    """
    steps: list[Step] = []
    begun = 0.0
    while begun < seconds:
        ends = min(seconds, begun + STORM_S)
        steps += _draw_stage(
            rng, begun, ends, sorted(FAULTS), STORM_PAUSES_S, instances
        )
        begun = ends + CALM_S
        steps += _draw_stage(
            rng, ends + SETTLE_S, min(seconds, begun), sorted(PLANNED), CALM_PAUSES_S,
            instances,
        )  # fmt: skip
    return steps


def _draw_stage(rng, since, until, kinds, pauses_s, instances) -> list[Step]:
    steps = []
    at = since + rng.uniform(*pauses_s)
    while at < until:
        steps.append(
            Step(
                round(at, 3),
                rng.choice(kinds),
                rng.randint(1, instances),
                round(rng.uniform(SHORTEST_S, LONGEST_S), 3),
                round(rng.random(), 3),
            )
        )
        at += rng.uniform(*pauses_s)
    return steps


async def perform(deployment: "deployments.Deployment", step: Step) -> None:
    """Let one step happen, to its end."""
    instance = deployment.instances_by_number[step.instance]
    action = FAULTS.get(step.kind) or PLANNED[step.kind]
    await action(deployment, instance, step)


# ---------------------------------------------------------------------------
#   What lasts for a while
# ---------------------------------------------------------------------------


def _lasting(begin: Change, end: Change) -> Action:
    """Return an action that breaks something, and mends it after a while."""

    async def last(deployment, instance, step) -> None:
        deployment.history.disturb(step.kind, None, step.lasts_s + AFTERMATH_S)
        begin(instance, step)
        await asyncio.sleep(step.lasts_s)
        end(instance, step)

    return last


def _line(instance, step) -> proxy.Proxy:
    """Return one of the lines to an instance."""
    ports = sorted(instance.proxies_by_port)
    return instance.proxies_by_port[ports[int(step.strength * len(ports))]]


def _on_line(begin: collections.abc.Callable[[proxy.Proxy, Step], None]) -> Action:
    return _lasting(
        lambda instance, step: begin(_line(instance, step), step),
        lambda instance, step: _line(instance, step).restore(),
    )


def _on_lines(begin: collections.abc.Callable[[proxy.Proxy], None]) -> Action:
    def begin_all(instance, step) -> None:
        for line in instance.proxies_by_port.values():
            begin(line)

    def end_all(instance, step) -> None:
        for line in instance.proxies_by_port.values():
            line.restore()

    return _lasting(begin_all, end_all)


def _delay(line: proxy.Proxy, step: Step) -> None:
    line.delay_s = 0.05 + 0.3 * step.strength


def _refuse(line: proxy.Proxy, step: Step) -> None:
    line.refusing = True
    line.reset()


def _on_backend(name: str, value: collections.abc.Callable[[Step], float]) -> Action:
    def begin(instance, step) -> None:
        setattr(instance.backend.behaviour, name, value(step))

    def end(instance, step) -> None:
        setattr(instance.backend.behaviour, name, 1.0 if name == "pace" else 0.0)

    return _lasting(begin, end)


def _spoil(how: str) -> Action:
    def begin(instance, step) -> None:
        instance.backend.behaviour.spoil = how
        instance.backend.behaviour.spoilt_share = 0.1 + 0.4 * step.strength

    def end(instance, step) -> None:
        instance.backend.behaviour.spoilt_share = 0.0

    return _lasting(begin, end)


def _on_store(name: str, value: float, usual: float) -> Action:
    async def last(deployment, instance, step) -> None:
        deployment.history.disturb(step.kind, None, step.lasts_s + AFTERMATH_S)
        setattr(deployment.store, name, value)
        await asyncio.sleep(step.lasts_s)
        setattr(deployment.store, name, usual)

    return last


# ---------------------------------------------------------------------------
#   Processes and connections
# ---------------------------------------------------------------------------


async def _kill(deployment, instance, step) -> None:
    deployment.history.disturb(step.kind, instance.place.number, RESTARTED_S)
    instance.daemon.signal(signal.SIGKILL)


async def _kill_many(deployment, instance, step) -> None:
    for one in deployment.instances_by_number.values():
        if one is instance or step.strength > 0.5 or one.place.number % 2:
            await _kill(deployment, one, step)


async def _terminate(deployment, instance, step) -> None:
    now = deployment.history.now
    until = now + layout.BOUNDS.grace_s + 1
    stop = records.Disturbance(step.kind, instance.place.number, now, until)
    deployment.history.planned_stops.append(stop)
    await instance.daemon.terminate()


async def _reload(deployment, instance, step) -> None:
    instance.daemon.write_settings()
    instance.daemon.signal(signal.SIGHUP)


async def _reset(deployment, instance, step) -> None:
    deployment.history.disturb(step.kind, None, 0.0)
    _line(instance, step).reset()


async def _silence(deployment, instance, step) -> None:
    # Callers notice by their own limits alone.
    deployment.history.disturb(step.kind, None, layout.BOUNDS.stability_window_s)
    _line(instance, step).silence()


async def _forget_connections(deployment, instance, step) -> None:
    deployment.history.disturb(step.kind, None, 0.0)
    instance.backend.forget()


async def _crash(deployment, instance, step) -> None:
    if not instance.backend.is_up:
        return
    deployment.history.disturb(step.kind, None, step.lasts_s + 1.0)
    key = deployment.entry_key(instance)
    instance.backend.end()
    await asyncio.sleep(step.lasts_s)
    if step.strength < 0.5:
        # Its entry lapses; it comes back under a new id.
        deployment.store.remove(key)
        await instance.backend.start(instance.new_endpoint_id())
    else:
        await instance.backend.start()
    deployment.register(instance)


# ---------------------------------------------------------------------------
#   The store
# ---------------------------------------------------------------------------


async def _lapse(deployment, instance, step) -> None:
    deployment.history.disturb(step.kind, None, step.lasts_s + RENEWAL_S)
    key = deployment.entry_key(instance)
    deployment.store.busy = True
    deployment.store.remove(key)
    await asyncio.sleep(step.lasts_s)
    deployment.store.busy = False
    await asyncio.sleep(step.strength * RENEWAL_S)
    if instance.backend.is_up and key == deployment.entry_key(instance):
        deployment.register(instance)


async def _compact(deployment, instance, step) -> None:
    deployment.history.disturb(step.kind, None, 0.0)
    deployment.publish()
    deployment.store.compact()


async def _foreign_entry(deployment, instance, step) -> None:
    values = (b"\xff\xfe", {"service": 7}, {"state": "odd"}, b"")
    value = values[int(step.strength * len(values))]
    deployment.store.put(f"{deployments.ENTRY_PREFIX}foreign-{step.at}", value)


# ---------------------------------------------------------------------------
#   Planned work
# ---------------------------------------------------------------------------


async def _configure(deployment, instance, step) -> None:
    deployment.publish()


async def _configure_often(deployment, instance, step) -> None:
    for _ in range(4):
        deployment.publish()
        await asyncio.sleep(0.15)


async def _configure_much(deployment, instance, step) -> None:
    deployment.publish(extra_routes=300)


async def _replace(deployment, instance, step) -> None:
    """Drain a backend server and start another one, of another service at times."""
    backend = instance.backend
    if not backend.is_up:
        return
    history = deployment.history
    key = deployment.entry_key(instance)
    deployment.register(instance, "draining")
    history.departures.append(
        records.Departure(backend.endpoint_id, instance.place.number, history.now)
    )
    await asyncio.sleep(LEAVING_S)
    if not backend.is_up or key != deployment.entry_key(instance):
        return
    deployment.store.remove(key)
    backend.end()
    await asyncio.sleep(SUCCESSOR_S)
    if not backend.is_up:
        await backend.start(instance.new_endpoint_id())
        deployment.register(instance)


FAULTS: dict[str, Action] = {
    "daemon killed": _kill,
    "daemons killed": _kill_many,
    "daemon paused": _lasting(
        lambda instance, step: instance.daemon.signal(signal.SIGSTOP),
        lambda instance, step: instance.daemon.signal(signal.SIGCONT),
    ),
    "daemon told to stop": _terminate,
    "settings written": _reload,
    "line delayed": _on_line(_delay),
    "line cut": _on_line(lambda line, step: line.cut()),
    "line cut on the way out": _on_line(lambda line, step: line.cut((proxy.OUT,))),
    "line cut on the way back": _on_line(lambda line, step: line.cut((proxy.BACK,))),
    "line refuses": _on_line(_refuse),
    "line reset": _reset,
    "line silent": _silence,
    "instance isolated": _on_lines(lambda line: line.cut()),
    "backend slow": _on_backend("pace", lambda step: 2 + 6 * step.strength),
    "backend fails": _on_backend("fail_share", lambda step: step.strength),
    "backend sheds": _on_backend("shed_share", lambda step: step.strength),
    "answers cut": _spoil("cut"),
    "answers lost": _spoil("lose"),
    "answers garbled": _spoil("garble"),
    "answers doubled": _spoil("extra"),
    "connections forgotten": _forget_connections,
    "backend crashes": _crash,
    "store busy": _on_store("busy", True, False),
    "store silent": _on_store("silent", True, False),
    "store slow": _on_store("delay_s", 0.4, 0.0),
    "entry lapses": _lapse,
    "history forgotten": _compact,
    "foreign entry": _foreign_entry,
    "configuration": _configure,
    "configurations": _configure_often,
    "backend replaced": _replace,
}
PLANNED: dict[str, Action] = {
    "daemon told to stop": _terminate,
    "settings written": _reload,
    "configuration": _configure,
    "configurations": _configure_often,
    "many routes": _configure_much,
    "backend replaced": _replace,
}
