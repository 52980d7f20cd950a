"""One run of the soak, from a seed to what it found."""

import asyncio
import collections
import dataclasses
import pathlib
import random

from soak import deployments, faults, layout, promises, records

__all__ = ["Report", "run"]

# How often it is looked whether every daemon serves again, in s.
POLL_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What one run came to.

    :param broken: the promises broken, with what shows each.
    :param statuses: how many requests ended with each status; 0 without an answer.
    :param steps: how often each kind of step happened.
    """

    seed: int
    violations: list[str]
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
    subnet_lock, subnet = layout.reserve_subnet()
    try:
        return asyncio.run(_run(seed, seconds, instances, subnet, folder, timed))
    finally:
        subnet_lock.close()


async def _run(seed, seconds, instances, subnet, folder, timed) -> Report:
    deployment = deployments.Deployment(instances, subnet, folder, seed)
    steps = faults.generate_steps(random.Random(seed), seconds, instances)
    try:
        await deployment.start()
        await _perform_steps(deployment, steps)
        await _await_recovery(deployment)
        await deployment.stop_callers()
    finally:
        await deployment.stop()
    history = deployment.history
    checks = promises.UNTIMED_CHECKS + (promises.TIMED_CHECKS if timed else ())
    violations = history.violations + promises.check(history, checks)
    for instance in deployment.instances_by_number.values():
        violations += instance.daemon.find_failures()
    return Report(
        seed,
        violations,
        collections.Counter(sent.status or 0 for sent in history.sent_by_id.values()),
        collections.Counter(step.kind for step in steps),
        len(history.runs),
    )


async def _perform_steps(
    deployment: deployments.Deployment, steps: list[faults.Step]
) -> None:
    started = deployment.history.now
    tasks = []
    for step in steps:
        await asyncio.sleep(started + step.at - deployment.history.now)
        tasks.append(asyncio.create_task(faults.perform(deployment, step)))
    await asyncio.gather(*tasks)


async def _await_recovery(deployment: deployments.Deployment) -> None:
    """Wait until each daemon has served a request again."""
    since = deployment.history.now
    until = since + layout.BOUNDS.recovery_s
    missing = set(deployment.instances_by_number)
    while missing and deployment.history.now < until:
        await asyncio.sleep(POLL_INTERVAL_S)
        missing -= _served_instances(deployment.history, since)
    for number in sorted(missing):
        name = deployment.instances_by_number[number].spec.name
        deployment.history.violations.append(
            f"{name} serves nothing after the last fault"
        )


def _served_instances(history: records.History, since: float) -> set[int]:
    return {
        sent.place
        for sent in history.sent_by_id.values()
        if sent.sent_at > since and sent.status == 200
    }
