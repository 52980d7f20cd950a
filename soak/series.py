"""Planned and unplanned steps that overlap: several daemons stop while others leave.

The steps of the calm series are planned work only, so that the guarantees about time
apply to them; those of the others disturb some instances.
"""

import asyncio
import dataclasses
import random
import signal
import subprocess
import sys

from soak import deployments, maintenance, steps

__all__ = ["CALM_SERIES", "DISTURBED_SERIES", "SERIES"]

# Ranges of the number of daemons that stop in one series, and of the time between.
STOPPED_DAEMONS = (2, 4)
STOP_INTERVAL_S = (0.2, 2.0)
# Range of the time from a SIGTERM to a second signal to the same daemon.
SECOND_SIGNAL_S = (0.3, 4.0)
# Processes that do nothing but compute, and for how long.
BUSY_PROCESSES = 2
BUSY_S = 6.0
BUSY_CODE = f"import time\nend = time.monotonic() + {BUSY_S}\n" + (
    "while time.monotonic() < end: pass"
)
# The parts of a cycle in which a slowed daemon stands still and runs, and its duration.
SLOW_STOPPED_S = 0.06
SLOW_RUNNING_S = 0.03
SLOW_S = 4.0
READER_PAUSE_S = 3.0


def _rng(step: steps.Step) -> random.Random:
    return random.Random(f"{step.at}/{step.kind}/{step.strength}")


def _choose_daemons(deployment, instance, rng) -> list["deployments.Instance"]:
    """Return the instance and some others, in the order in which they stop."""
    others = [
        other
        for other in deployment.instances_by_number.values()
        if other is not instance
    ]
    count = rng.randint(*STOPPED_DAEMONS) - 1
    return [instance, *rng.sample(others, min(count, len(others) // 2))]


async def _terminate_daemons(deployment, instance, step) -> None:
    """Stop daemons one after the other, with more signals while they stop."""
    rng = _rng(step)
    tasks = []
    for target in _choose_daemons(deployment, instance, rng):
        tasks.append(
            asyncio.create_task(maintenance.terminate_daemon(deployment, target, step))
        )
        again = rng.choice((signal.SIGTERM, signal.SIGHUP, None))
        delay_s = rng.uniform(*SECOND_SIGNAL_S)
        if again is not None:
            tasks.append(asyncio.create_task(_signal_later(target, again, delay_s)))
        await asyncio.sleep(rng.uniform(*STOP_INTERVAL_S))
    await asyncio.gather(*tasks)


async def _signal_later(instance, number: signal.Signals, delay_s: float) -> None:
    boot_count = instance.daemon.boot_count
    await asyncio.sleep(delay_s)
    if instance.daemon.boot_count == boot_count:
        instance.daemon.signal(number)


async def _terminate_daemons_beside_leaving(deployment, instance, step) -> None:
    """Stop daemons while their backend servers and others leave."""
    rng = _rng(step)
    leaving = _choose_daemons(deployment, instance, rng)
    # One without a report that it drains, the next with one.
    replacements = [
        maintenance.replace_backend(
            deployment, target, dataclasses.replace(step, strength=float(index % 2))
        )
        for index, target in enumerate(leaving)
    ]
    await asyncio.gather(*replacements, _terminate_daemons(deployment, instance, step))


async def _terminate_daemons_beside_load(deployment, instance, step) -> None:
    """Stop daemons while other processes use the processors."""
    busy = [
        subprocess.Popen([sys.executable, "-c", BUSY_CODE])
        for _ in range(BUSY_PROCESSES)
    ]
    try:
        await _terminate_daemons(deployment, instance, step)
    finally:
        for process in busy:
            process.kill()
            process.wait()


async def _terminate_reader_at_drain(deployment, instance, step) -> None:
    """Stop a reader of the region at the moment at which a backend server leaves."""
    reader, leaving = await _choose_reader(deployment, instance, step)
    await asyncio.gather(
        maintenance.replace_backend(deployment, leaving, step),
        maintenance.terminate_daemon(deployment, reader, step),
    )


async def _pause_reader_at_drain(deployment, instance, step) -> None:
    """Pause a reader of the region at the moment at which a backend server leaves."""
    reader, leaving = await _choose_reader(deployment, instance, step)
    deployment.history.record_disturbance(
        step.kind, reader.spec.number, READER_PAUSE_S + steps.RECOVERY_MARGIN_S
    )
    reader.daemon.signal(signal.SIGSTOP)
    replacing = asyncio.create_task(
        maintenance.replace_backend(deployment, leaving, step)
    )
    await asyncio.sleep(READER_PAUSE_S)
    reader.daemon.signal(signal.SIGCONT)
    await replacing


async def _choose_reader(deployment, instance, step):
    """Return a reader of the instance's region, and another instance."""
    rng = _rng(step)
    readers = await deployment.find_readers(instance.spec.region)
    reader = rng.choice(readers) if readers else instance
    others = [
        other
        for other in deployment.instances_by_number.values()
        if other is not reader
    ]
    return reader, rng.choice(others or [reader])


async def _terminate_slowed_daemons(deployment, instance, step) -> None:
    """Stop daemons of which one gets a third of its time."""
    deployment.history.record_disturbance(
        step.kind, instance.spec.number, SLOW_S + steps.RECOVERY_MARGIN_S
    )
    slowing = asyncio.create_task(_slow_down(instance))
    await asyncio.sleep(SLOW_S / 4)
    await _terminate_daemons(deployment, instance, step)
    await slowing


async def _slow_down(instance) -> None:
    loop = asyncio.get_running_loop()
    until = loop.time() + SLOW_S
    while loop.time() < until:
        instance.daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(SLOW_STOPPED_S)
        instance.daemon.signal(signal.SIGCONT)
        await asyncio.sleep(SLOW_RUNNING_S)


CALM_SERIES: dict[str, steps.Action] = {
    "daemons terminated": _terminate_daemons,
    "daemons terminated beside leaving backends": _terminate_daemons_beside_leaving,
    "daemons terminated beside load": _terminate_daemons_beside_load,
    "reader terminated at a drain": _terminate_reader_at_drain,
}
DISTURBED_SERIES: dict[str, steps.Action] = {
    "reader paused at a drain": _pause_reader_at_drain,
    "slowed daemons terminated": _terminate_slowed_daemons,
}
SERIES = CALM_SERIES | DISTURBED_SERIES
