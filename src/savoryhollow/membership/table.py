"""The endpoints that this process knows."""

import dataclasses
import enum
import threading
from typing import Annotated

import msgspec

__all__ = ["Endpoint", "EndpointState", "InstanceList", "InstanceModel", "MemberTable"]


class EndpointState(enum.StrEnum):
    """What is known of an endpoint's life."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceModel(msgspec.Struct, frozen=True):
    """One entry of the platform's list."""

    endpoint_id: Annotated[str, msgspec.Meta(min_length=1)]
    service: Annotated[str, msgspec.Meta(min_length=1)]
    region: str
    zone: str
    host: str
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    state: EndpointState


class InstanceList(msgspec.Struct, frozen=True):
    """The platform's list of live and leaving instances."""

    revision: int
    instances: list[InstanceModel]


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One endpoint: a backend server with the daemon beside it.

    :param host: the IP number of the daemon's inner port, as seen from here.
    """

    endpoint_id: str
    service: str
    region: str
    zone: str
    host: str
    port: int
    state: EndpointState


class MemberTable:
    """The endpoints by service, replaced as a whole by each newer list."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._revision = -1
        self._endpoints_by_service: dict[str, tuple[Endpoint, ...]] = {}

    @property
    def revision(self) -> int:
        """The revision of the list in use; -1 before the first."""
        return self._revision

    def endpoints(self, service: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a service, leaving ones included."""
        return self._endpoints_by_service.get(service, ())

    @property
    def services(self) -> tuple[str, ...]:
        """The services that have endpoints."""
        return tuple(sorted(self._endpoints_by_service))

    def update(self, listing: InstanceList) -> bool:
        """Take in a list of the platform.

        :param listing: the list.
        :returns: whether it was newer than the one in use.
        """
        grouped: dict[str, list[Endpoint]] = {}
        for model in listing.instances:
            endpoint = Endpoint(**msgspec.structs.asdict(model))
            grouped.setdefault(endpoint.service, []).append(endpoint)
        with self._lock:
            if listing.revision <= self._revision:
                return False
            self._revision = listing.revision
            self._endpoints_by_service = {
                service: tuple(endpoints) for service, endpoints in grouped.items()
            }
            return True
