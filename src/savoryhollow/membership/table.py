"""The endpoints that this process knows.

The whole list is held as short texts, one for each endpoint; only the services
that are asked for are held in detail.
"""

import collections.abc
import dataclasses
import enum
import threading
from typing import Annotated

import msgspec

from savoryhollow import errors

__all__ = [
    "Endpoint",
    "EndpointState",
    "InstanceList",
    "InstanceModel",
    "MemberTable",
    "encode_entries",
]


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


class _Entry(msgspec.Struct, frozen=True, array_like=True):
    """What the text of an endpoint holds; service and id are in its name."""

    region: str
    zone: str
    host: str
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    state: EndpointState


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


# ---------------------------------------------------------------------------
#   Texts
# ---------------------------------------------------------------------------


def encode_entries(listing: InstanceList) -> dict[str, str]:
    """Return a list as one short text for each endpoint.

    :param listing: the list of the platform.
    :returns: the texts by ``SERVICE/ENDPOINT``.
    """
    return {f"{i.service}/{i.endpoint_id}": _encode_entry(i) for i in listing.instances}


def _encode_entry(model: InstanceModel) -> str:
    entry = _Entry(model.region, model.zone, model.host, model.port, model.state)
    return msgspec.json.encode(entry).decode()


def _decode_entry(name: str, text: str) -> Endpoint:
    service, _, endpoint_id = name.partition("/")
    try:
        entry = msgspec.json.decode(text, type=_Entry)
    except msgspec.MsgspecError as error:
        remedy = f"run matching versions: {error}"
        problem = errors.Problem("the list", name, text[:80], remedy)
        raise errors.ConfigurationError([problem]) from error
    return Endpoint(
        endpoint_id=endpoint_id,
        service=service,
        region=entry.region,
        zone=entry.zone,
        host=entry.host,
        port=entry.port,
        state=entry.state,
    )


# ---------------------------------------------------------------------------
#   The table
# ---------------------------------------------------------------------------


class MemberTable:
    """The endpoints by service, replaced as a whole by each newer list."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._revision = -1
        self._texts_by_name: dict[str, str] = {}
        self._endpoints_by_service: dict[str, tuple[Endpoint, ...]] = {}

    @property
    def revision(self) -> int:
        """The revision of the list in use; -1 before the first."""
        return self._revision

    @property
    def services(self) -> tuple[str, ...]:
        """The services that have endpoints."""
        return tuple(sorted({name.partition("/")[0] for name in self._texts_by_name}))

    @property
    def size(self) -> int:
        """How many endpoints are known."""
        return len(self._texts_by_name)

    def endpoints(self, service: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a service, leaving ones included."""
        known = self._endpoints_by_service.get(service)
        return self._load_service(service) if known is None else known

    def all_endpoints(self) -> collections.abc.Iterator[Endpoint]:
        """Yield every endpoint; none of them is held on to."""
        texts = self._texts_by_name
        return (_decode_entry(name, text) for name, text in texts.items())

    def update(self, listing: InstanceList) -> bool:
        """Take in a list of the platform.

        :param listing: the list.
        :returns: whether it was newer than the one in use.
        """
        if listing.revision <= self._revision:
            return False
        self.replace(listing.revision, encode_entries(listing))
        return True

    def replace(self, revision: int, texts: dict[str, str]) -> None:
        """Put a list in use.

        :param revision: its revision.
        :param texts: the texts by ``SERVICE/ENDPOINT``; held on to, so they must
            not be changed any more.
        :raises errors.ConfigurationError: on a text that is no valid entry.
        """
        with self._lock:
            for name in texts:
                if self._texts_by_name.get(name) != texts[name]:
                    _decode_entry(name, texts[name])
            wanted = tuple(self._endpoints_by_service)
            detailed = {service: _decode_service(texts, service) for service in wanted}
            self._revision = revision
            self._texts_by_name = texts
            self._endpoints_by_service = detailed

    def _load_service(self, service: str) -> tuple[Endpoint, ...]:
        with self._lock:
            found = _decode_service(self._texts_by_name, service)
            if found:
                detailed = self._endpoints_by_service | {service: found}
                self._endpoints_by_service = detailed
            return found


def _decode_service(texts: dict[str, str], service: str) -> tuple[Endpoint, ...]:
    prefix = service + "/"
    return tuple(
        _decode_entry(name, text)
        for name, text in texts.items()
        if name.startswith(prefix)
    )
