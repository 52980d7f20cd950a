"""Runs the soak test for one seed and reports the violations."""

import asyncio
import collections
import dataclasses
import pathlib
import random
import time

from soak import deployments, faults, layout, promises, records, schedule, steps

__all__ = ["Report", "run"]

POLL_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The result of one run.

    :param seed: the seed of the run.
    :param violations: the violated guarantees, each with its evidence.
    :param statuses: the number of requests by status; 0 stands for no response.
    :param steps: the number of steps by kind.
    :param runs: the number of runs at backend servers.
    """

    seed: int
    violations: list[str]
    statuses: collections.Counter[int]
    steps: collections.Counter[str]
    runs: int


def run(
    seed: int, seconds: float, instances: int, folder: pathlib.Path, timed: bool
) -> Report:
    """Run a deployment under the steps of a seed and check all guarantees.

    :param seed: determines the steps, the requests and the service times.
    :param seconds: the period within which steps start, in s.
    :param instances: the number of instances.
    :param folder: the folder for settings and logs.
    :param timed: whether to check the guarantees about time as well.
    :returns: the result of the run.
    :raises errors.SavoryhollowError: if no subnet is free or a daemon isn't ready
        in time.
    """
    subnet_lock, subnet = layout.reserve_subnet()
    try:
        return asyncio.run(_run(seed, seconds, instances, subnet, folder, timed))
    finally:
        subnet_lock.close()


async def _run(seed, seconds, instances, subnet, folder, timed) -> Report:
    deployment = deployments.Deployment(instances, subnet, folder, seed)
    planned_steps = schedule.generate_steps(random.Random(seed), seconds, instances)
    try:
        await deployment.start()
        await _perform_steps(deployment, planned_steps)
        await _await_recovery(deployment)
        await deployment.stop_callers()
    finally:
        await deployment.stop()
    history = deployment.history
    for number, instance in deployment.instances_by_number.items():
        history.logged_ids_by_place[number] = instance.daemon.logged_ids()
    checks = promises.UNTIMED_CHECKS + (promises.TIMED_CHECKS if timed else ())
    violations = history.violations + promises.check(history, checks)
    for instance in deployment.instances_by_number.values():
        violations += instance.daemon.find_failures()
    _write_periods(history, folder / "periods.txt")
    return Report(
        seed,
        violations,
        collections.Counter(sent.status or 0 for sent in history.sent_by_id.values()),
        collections.Counter(step.kind for step in planned_steps),
        len(history.runs),
    )


def _write_periods(history: records.History, path: pathlib.Path) -> None:
    """Write what disturbed the run, and when, beside the logs of the daemons."""
    periods = [*history.disturbances, *history.planned_stops, *history.drains]
    offset_s = time.time() - history.now
    lines = [f"add {offset_s:.3f} s for the times of the logs", *map(str, periods)]
    path.write_text("\n".join(lines) + "\n")


async def _perform_steps(
    deployment: deployments.Deployment, planned_steps: list[steps.Step]
) -> None:
    started = deployment.history.now
    tasks = []
    for step in planned_steps:
        await asyncio.sleep(started + step.at - deployment.history.now)
        tasks.append(asyncio.create_task(faults.perform(deployment, step)))
    await asyncio.gather(*tasks)


async def _await_recovery(deployment: deployments.Deployment) -> None:
    """Wait until every daemon has served a request after the last fault."""
    since = deployment.history.now
    until = since + layout.BOUNDS.recovery_s
    missing = set(deployment.instances_by_number)
    while missing and deployment.history.now < until:
        await asyncio.sleep(POLL_INTERVAL_S)
        missing -= _served_instances(deployment.history, since)
    for number in sorted(missing):
        name = deployment.instances_by_number[number].spec.name
        deployment.history.violations.append(
            f"{name} served no request after the last fault"
        )


def _served_instances(history: records.History, since: float) -> set[int]:
    return {
        sent.place
        for sent in history.sent_by_id.values()
        if sent.sent_at > since and sent.status == 200
    }
