"""What a step of a run is."""

import collections.abc
import dataclasses
import typing

if typing.TYPE_CHECKING:
    from soak import deployments

__all__ = ["RECOVERY_MARGIN_S", "Action", "Step"]

# Time that still counts as disturbed after a fault.
RECOVERY_MARGIN_S = 0.5

Action = collections.abc.Callable[
    ["deployments.Deployment", "deployments.Instance", "Step"],
    collections.abc.Awaitable[None],
]


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A fault or a planned maintenance step.

    :param at: when it starts, in s since the start of the run.
    :param kind: the kind, which is a key of ``faults.ACTIONS``.
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
