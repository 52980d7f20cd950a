"""Where everything stands: instances, their IP numbers and ports.

Each instance has two IP numbers on loopback. The published one belongs to the proxy
that stands in front of every port; behind it, the processes listen on the real one.
"""

import contextlib
import dataclasses
import socket

from savoryhollow import errors

__all__ = ["BOUNDS", "Bounds", "InstanceSpec", "make_instance_specs", "reserve_subnet"]

FRONT_PORT = 7501
INNER_PORT = 7502
READINESS_PORT = 7503
BACKEND_PORT = 7504
STORE_PORT = 7505
METRICS_PORT = 9464
LOCK_PORT = 7599
# Third octet of IP numbers: published, real, and the store's.
PUBLISHED_OCTET = 0
LISTEN_OCTET = 1
STORE_OCTET = 2
# Subnets that are tried, so that soaks side by side never meet.
MIN_SUBNET = 60
SUBNET_LIMIT = 120
REGIONS_BY_ZONE = {"east-a": "east", "east-b": "east", "west-a": "west"}
SERVICES = ("dispatch", "stock")


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The figures of the promises, in s where they are times.

    :param drain_s: until when an endpoint that leaves still gets requests.
    :param grace_s: from SIGTERM to SIGKILL.
    :param config_apply_s: until a published configuration is in force.
    :param rollback_slack_s: time for which requests may still cross a change.
    :param stability_window_s: time without faults before a timed promise counts.
    :param lost_after_s: age at which a request that is cut off counts as read.
    :param gone_after_s: until work for a caller that left is stopped.
    :param deadline_slack_s: by how much an endpoint may be given too much time.
    :param retry_ratio: repeats allowed for each request.
    :param retry_slack: repeats allowed besides, in one window.
    :param retry_window_s: the length of the window.
    :param recovery_s: until requests are served again after the last fault.
    """

    drain_s: float = 2.5
    grace_s: float = 6.0
    config_apply_s: float = 2.5
    rollback_slack_s: float = 0.25
    stability_window_s: float = 4.0
    assumed_read_after_s: float = 0.2
    cancel_after_s: float = 0.5
    deadline_slack_s: float = 0.5
    retry_ratio: float = 0.2
    retry_slack: float = 10.0
    retry_window_s: float = 10.0
    recovery_s: float = 15.0


BOUNDS = Bounds()


@dataclasses.dataclass(slots=True)
class InstanceSpec:
    """One instance: a backend server and the daemon beside it.

    :param service: changes where its address goes to another service.
    """

    number: int
    subnet: int
    zone: str
    service: str

    @property
    def name(self) -> str:
        """What logs call it."""
        return f"{self.zone}-{self.number}"

    @property
    def region(self) -> str:
        """The region of its availability zone."""
        return REGIONS_BY_ZONE[self.zone]

    @property
    def published_ip(self) -> str:
        """The IP number by which others know it."""
        return f"127.{self.subnet}.{PUBLISHED_OCTET}.{self.number}"

    @property
    def listen_ip(self) -> str:
        """The IP number on which its processes listen."""
        return f"127.{self.subnet}.{LISTEN_OCTET}.{self.number}"

    @property
    def store_ip(self) -> str:
        """The IP number by which it reaches the store."""
        return f"127.{self.subnet}.{STORE_OCTET}.{self.number}"


def make_instance_specs(instances: int, subnet: int) -> list[InstanceSpec]:
    """Spread instances over availability zones and services, evenly."""
    zones = list(REGIONS_BY_ZONE)
    return [
        InstanceSpec(
            number=index + 1,
            subnet=subnet,
            zone=zones[index % len(zones)],
            service=SERVICES[(index // len(zones)) % len(SERVICES)],
        )
        for index in range(instances)
    ]


def store_host(subnet: int) -> str:
    """Return the IP number of the store itself."""
    return f"127.{subnet}.{STORE_OCTET}.250"


def reserve_subnet() -> tuple[socket.socket, int]:
    """Take a subnet that no other soak uses; closing the socket frees it.

    :raises errors.SavoryhollowError: where none is free.
    """
    for subnet in range(MIN_SUBNET, SUBNET_LIMIT):
        lock = socket.socket()
        with contextlib.suppress(OSError):
            lock.bind((f"127.{subnet}.200.1", LOCK_PORT))
            return lock, subnet
        lock.close()
    raise errors.SavoryhollowError("no subnet is free; stop other soaks")
