"""Generates the faults and maintenance steps of a run from a seed.

A run alternates between two phases: one in which faults overlap, and a quiet one with
planned maintenance and cuts between readers and the store, in which the guarantees
about time apply.
"""

import random

from soak import faults, series
from soak import steps as steps_module

__all__ = ["generate_steps"]

FAULT_PHASE_S = 10.0
QUIET_PHASE_S = 16.0
# Minimum time from the start of a quiet phase to its first maintenance step.
QUIET_DELAY_S = 5.0
# Range of the time between steps, by phase.
FAULT_INTERVALS_S = (0.1, 1.2)
QUIET_INTERVALS_S = (0.5, 2.5)
# Time from the start of a quiet phase to the cut between readers and the store, and its
# duration.
CUT_DELAY_S = 5.0
CUT_DURATION_S = 4.0
# Time from the start of a quiet phase to a series that disturbs some instances, during
# the cut, and to one of planned work only, once nothing is disturbed any more.
DISTURBED_SERIES_DELAY_S = 5.5
CALM_SERIES_DELAY_S = 14.2
# Range of the duration of a fault.
MIN_DURATION_S = 0.2
MAX_DURATION_S = 3.0


def generate_steps(
    rng: random.Random, seconds: float, instances: int
) -> list[steps_module.Step]:
    """Generate the steps of a run.

    The kinds are chosen by their position in sorted order, so a new or renamed kind
    that changes this order changes the steps of every seed.

    :param rng: the source of randomness.
    :param seconds: the period within which steps start, in s.
    :param instances: the number of instances.
    :returns: the steps, ordered by start.
    """
    steps: list[steps_module.Step] = []
    quiet_starts: list[float] = []
    phase_start = 0.0
    while phase_start < seconds:
        fault_end = min(seconds, phase_start + FAULT_PHASE_S)
        kinds = sorted(faults.FAULTS)
        steps += _generate_phase(
            rng, phase_start, fault_end, kinds, FAULT_INTERVALS_S, instances
        )
        quiet_starts.append(fault_end)
        phase_start = fault_end + QUIET_PHASE_S
        since, until = fault_end + QUIET_DELAY_S, min(seconds, phase_start)
        kinds = sorted(faults.PLANNED)
        steps += _generate_phase(rng, since, until, kinds, QUIET_INTERVALS_S, instances)
    # Drawn last, so that the other steps of a seed don't depend on them.
    steps += [
        _generate_cut(rng, start + CUT_DELAY_S, instances)
        for start in quiet_starts
        if start + CUT_DELAY_S < seconds
    ]
    steps += [
        _generate_series(rng, start + delay_s, kinds, instances)
        for start in quiet_starts
        for delay_s, kinds in (
            (DISTURBED_SERIES_DELAY_S, sorted(series.DISTURBED_SERIES)),
            (CALM_SERIES_DELAY_S, sorted(series.CALM_SERIES)),
        )
        if start + delay_s < seconds
    ]
    return sorted(steps, key=lambda step: step.at)


def _generate_cut(rng, at, instances) -> steps_module.Step:
    kind = rng.choice(sorted(faults.CUTS))
    return steps_module.Step(
        at, kind, rng.randint(1, instances), CUT_DURATION_S, rng.random()
    )


def _generate_series(rng, at, kinds, instances) -> steps_module.Step:
    return steps_module.Step(
        at, rng.choice(kinds), rng.randint(1, instances), 0.0, rng.random()
    )


def _generate_phase(
    rng, since, until, kinds, intervals_s, instances
) -> list[steps_module.Step]:
    steps = []
    at = since + rng.uniform(*intervals_s)
    while at < until:
        steps.append(
            steps_module.Step(
                round(at, 3),
                rng.choice(kinds),
                rng.randint(1, instances),
                round(rng.uniform(MIN_DURATION_S, MAX_DURATION_S), 3),
                round(rng.random(), 3),
            )
        )
        at += rng.uniform(*intervals_s)
    return steps
