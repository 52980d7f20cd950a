"""One run of the soak, from a seed to what it found."""

import asyncio
import collections
import dataclasses
import pathlib
import random

from soak import faults, layout, promises, records, world

__all__ = ["Report", "run"]

# How often it is looked whether every daemon serves again, in s.
LOOK_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What one run came to.

    :param broken: the promises broken, with what shows each.
    :param statuses: how many requests ended with each status; 0 without an answer.
    :param steps: how often each kind of step happened.
    """

    seed: int
    broken: list[str]
    statuses: collections.Counter[int]
    steps: collections.Counter[str]
    runs: int


def run(
    seed: int, seconds: float, instances: int, folder: pathlib.Path, timed: bool
) -> Report:
    """Run a deployment under the steps of a seed and check every promise.

    :param seconds: how long faults go on, in s.
    :param instances: how many instances there are.
    :param folder: where settings and logs are kept.
    :param timed: whether promises about time are checked too.
    """
    held, subnet = layout.hold_subnet()
    try:
        return asyncio.run(_run(seed, seconds, instances, subnet, folder, timed))
    finally:
        held.close()


async def _run(seed, seconds, instances, subnet, folder, timed) -> Report:
    running = world.World(instances, subnet, folder, seed)
    steps = faults.draw(random.Random(seed), seconds, instances)
    try:
        await running.start()
        await _perform_all(running, steps)
        await _await_recovery(running)
        await running.stop_callers()
    finally:
        await running.stop()
    ledger = running.ledger
    checks = promises.ALWAYS + (promises.TIMED if timed else ())
    broken = ledger.findings + promises.check(ledger, checks)
    for instance in running.instances_by_number.values():
        broken += instance.daemon.find_faults()
    return Report(
        seed,
        broken,
        collections.Counter(one.status or 0 for one in ledger.sent_by_id.values()),
        collections.Counter(step.kind for step in steps),
        len(ledger.runs),
    )


async def _perform_all(running: world.World, steps: list[faults.Step]) -> None:
    started = running.ledger.now
    tasks = []
    for step in steps:
        await asyncio.sleep(started + step.at - running.ledger.now)
        tasks.append(asyncio.create_task(faults.perform(running, step)))
    await asyncio.gather(*tasks)


async def _await_recovery(running: world.World) -> None:
    """Wait until each daemon has served a request again."""
    since = running.ledger.now
    until = since + layout.BOUNDS.recovery_s
    missing = set(running.instances_by_number)
    while missing and running.ledger.now < until:
        await asyncio.sleep(LOOK_S)
        missing -= _serving(running.ledger, since)
    for number in sorted(missing):
        name = running.instances_by_number[number].place.name
        running.ledger.findings.append(f"{name} serves nothing after the last fault")


def _serving(ledger: records.Ledger, since: float) -> set[int]:
    return {
        sent.place
        for sent in ledger.sent_by_id.values()
        if sent.sent_at > since and sent.status == 200
    }
