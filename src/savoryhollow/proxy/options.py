"""Settings of the daemon process on one instance."""

import dataclasses

from savoryhollow.settings import models

__all__ = ["AgentSettings", "RetryRules"]


@dataclasses.dataclass(frozen=True, slots=True)
class RetryRules:
    """The retry budget of a service.

    :param ratio: retries allowed per first attempt.
    :param slack: additional retries allowed per window, shared by all daemons.
    :param window_s: length of the window, in s.
    """

    ratio: float
    slack: float
    window_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AgentSettings:
    """The addresses and limits of a daemon.

    :param instance: the name of the instance, used in logs.
    :param service: the service that the local backend server belongs to.
    :param front: the address that callers connect to.
    :param inner: the addresses that other daemons connect to, all with the same
        port.
    :param readiness: the address of the readiness check, by which the platform
        decides whether to send callers.
    :param metrics: the address that serves the metrics and the state dump.
    :param backend: the address of the local backend server.
    :param retry_rules: the retry budget of each service.
    :param body_memory_bytes: the memory for the bodies of callers' requests.
    :param stop_limit_s: time between the signal to stop and the kill of the
        process, in s.
    :param seeds: inner addresses of some other daemons; they may be out of date.
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
    body_memory_bytes: int
    stop_limit_s: float
    seeds: tuple[models.Target, ...] = ()
