"""What a process is told by the instance that it runs on."""

import dataclasses

from savoryhollow.settings import models

__all__ = ["AgentSettings", "RetryRules"]


@dataclasses.dataclass(frozen=True, slots=True)
class RetryRules:
    """The budget of repeats.

    :param ratio: repeats allowed for each first attempt.
    :param slack: repeats allowed besides, over all daemons in one window.
    :param window_s: the length of the window, in s.
    """

    ratio: float
    slack: float
    window_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AgentSettings:
    """The addresses and limits of a daemon.

    :param instance: names the instance in logs.
    :param service: the service of the backend server beside it.
    :param front: where callers are accepted.
    :param inner: where other daemons are accepted; all listen on one port.
    :param readiness: where the platform asks whether to send callers.
    :param backend: the backend server beside it.
    :param retry_rules: the budget of repeats.
    :param stop_limit_s: time from the order to stop until the process is killed.
    :param seeds: inner addresses of some other daemons; they may be out of date.
    :param address_kept_s: time for which the address of a backend server that has
        ended goes to no other.
    """

    instance: str
    service: str
    region: str
    zone: str
    front: models.Address
    inner: tuple[models.Address, ...]
    readiness: models.Address
    metrics: models.Address
    backend: models.Target
    retry_rules: RetryRules
    stop_limit_s: float
    address_kept_s: float
    seeds: tuple[models.Target, ...] = ()
