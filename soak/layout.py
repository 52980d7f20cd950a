"""Instances of the soak test, their IP addresses and ports, and the time limits.

Each instance has three IP addresses on loopback. Its processes listen on one of them.
Proxies on the published address forward the front, inner and backend ports to it, and a
proxy on the third address forwards to the store.
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
# Memory that a daemon may use, in MB.
MEMORY_MB = 100
# Third octet of the IP addresses.
PUBLISHED_OCTET = 0
LISTEN_OCTET = 1
STORE_OCTET = 2
# Range of the second octet; each run reserves its own, so that runs can be concurrent.
MIN_SUBNET = 60
SUBNET_LIMIT = 120
REGIONS_BY_ZONE = {"east-a": "east", "east-b": "east", "west-a": "west"}
SERVICES = ("dispatch", "stock")


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The limits that the guarantees state; times are in s.

    :param drain_s: how long a draining endpoint may still get requests.
    :param grace_s: the time between SIGTERM and SIGKILL.
    :param config_apply_s: how long a published configuration may take to be in force.
    :param rollback_slack_s: how long requests may still overlap with a change of the
        configuration.
    :param stability_window_s: the time without faults that has to precede an event
        before guarantees about time apply to it.
    :param assumed_read_after_s: the age from which an interrupted request counts as
        read by the daemon.
    :param cancel_after_s: how long a run may continue after its caller has left.
    :param deadline_slack_s: by how much the deadline given to an endpoint may exceed
        that of the caller.
    :param retry_ratio: the number of retries allowed per request.
    :param retry_slack: the number of retries allowed per window in addition.
    :param retry_window_s: the length of the window.
    :param address_reuse_s: the time after which the address of an endpoint that has
        ended may belong to another one.
    :param recovery_s: how long daemons may take to serve requests again after the
        last fault.
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
    address_reuse_s: float = 2.0
    recovery_s: float = 15.0


BOUNDS = Bounds()


@dataclasses.dataclass(slots=True)
class InstanceSpec:
    """The location and service of an instance: a backend server with its daemon.

    :param number: the number of the instance, counted from 1.
    :param subnet: the second octet of its IP addresses.
    :param zone: its availability zone.
    :param service: the service of its backend server; it changes if the address is
        reassigned to another service.
    """

    number: int
    subnet: int
    zone: str
    service: str

    @property
    def name(self) -> str:
        """The name of the instance in logs."""
        return f"{self.zone}-{self.number}"

    @property
    def region(self) -> str:
        """The region of the availability zone."""
        return REGIONS_BY_ZONE[self.zone]

    @property
    def published_ip(self) -> str:
        """The IP address of its proxies, which other processes connect to."""
        return f"127.{self.subnet}.{PUBLISHED_OCTET}.{self.number}"

    @property
    def listen_ip(self) -> str:
        """The IP address that its processes listen on."""
        return f"127.{self.subnet}.{LISTEN_OCTET}.{self.number}"

    @property
    def store_ip(self) -> str:
        """The IP address of its proxy to the store."""
        return f"127.{self.subnet}.{STORE_OCTET}.{self.number}"


def make_instance_specs(instances: int, subnet: int) -> list[InstanceSpec]:
    """Distribute instances evenly over availability zones and services.

    :param instances: the number of instances.
    :param subnet: the second octet of their IP addresses.
    :returns: the specifications, ordered by number.
    """
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
    """Return the IP address that the store listens on."""
    return f"127.{subnet}.{STORE_OCTET}.250"


def reserve_subnet() -> tuple[socket.socket, int]:
    """Reserve a subnet that no other run of the soak test uses.

    :returns: a socket that holds the subnet until it is closed, and the subnet, which
        is the second octet of IP addresses.
    :raises errors.SavoryhollowError: if no subnet is free.
    """
    for subnet in range(MIN_SUBNET, SUBNET_LIMIT):
        lock = socket.socket()
        with contextlib.suppress(OSError):
            lock.bind((f"127.{subnet}.200.1", LOCK_PORT))
            return lock, subnet
        lock.close()
    raise errors.SavoryhollowError(
        "no subnet is free; stop other runs of the soak test"
    )
