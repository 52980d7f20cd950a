"""Table of the endpoints known to this process.

The whole list is stored as short JSON texts, one per endpoint. Only the entries of
requested services are decoded and kept as objects.
"""

import collections.abc
import dataclasses
import enum
import threading
from typing import Annotated

import msgspec

from savoryhollow import decoding, errors

__all__ = [
    "Endpoint",
    "EndpointState",
    "InstanceList",
    "InstanceModel",
    "MemberTable",
    "encode_entries",
]


class EndpointState(enum.StrEnum):
    """Whether an endpoint accepts new requests or is leaving."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceModel(msgspec.Struct, frozen=True):
    """One entry of the platform's list of instances."""

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
    """The content of an endpoint's text; its name holds the service and the id."""

    region: str
    zone: str
    host: str
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    state: EndpointState


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One endpoint: a backend server with the daemon beside it.

    :param host: the IP address of the daemon's inner port, as seen from here.
    :param port: the daemon's inner port.
    """

    endpoint_id: str
    service: str
    region: str
    zone: str
    host: str
    port: int
    state: EndpointState


# ---------------------------------------------------------------------------
#   Encoding of entries
# ---------------------------------------------------------------------------


def encode_entries(instance_list: InstanceList) -> dict[str, str]:
    """Encode a list as one short text per endpoint.

    :param instance_list: the platform's list.
    :returns: the texts by ``SERVICE/ENDPOINT_ID``.
    """
    return {
        f"{i.service}/{i.endpoint_id}": _encode_entry(i)
        for i in instance_list.instances
    }


def _encode_entry(model: InstanceModel) -> str:
    entry = _Entry(model.region, model.zone, model.host, model.port, model.state)
    return msgspec.json.encode(entry).decode()


def _decode_entry(name: str, text: str) -> Endpoint:
    service, _, endpoint_id = name.partition("/")
    try:
        entry = msgspec.json.decode(text, type=_Entry)
    except decoding.FAILURES as error:
        remedy = f"run matching versions of all processes: {error}"
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
    """Endpoints by service; each newer list replaces the whole table."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._revision = -1
        self._texts_by_name: dict[str, str] = {}
        self._endpoints_by_service: dict[str, tuple[Endpoint, ...]] = {}

    @property
    def revision(self) -> int:
        """The revision of the list in use; -1 before the first list."""
        return self._revision

    @property
    def services(self) -> tuple[str, ...]:
        """The services that have endpoints."""
        return tuple(sorted({name.partition("/")[0] for name in self._texts_by_name}))

    @property
    def size(self) -> int:
        """The number of known endpoints."""
        return len(self._texts_by_name)

    def endpoints(self, service: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a service, including leaving ones."""
        known = self._endpoints_by_service.get(service)
        return self._load_service(service) if known is None else known

    def all_endpoints(self) -> collections.abc.Iterator[Endpoint]:
        """Return an iterator over all endpoints; the table doesn't keep them."""
        texts = self._texts_by_name
        return (_decode_entry(name, text) for name, text in texts.items())

    def update(self, instance_list: InstanceList) -> bool:
        """Replace the list in use if the given one is newer.

        :param instance_list: the platform's list.
        :returns: whether it was newer.
        """
        if instance_list.revision <= self._revision:
            return False
        self.replace(instance_list.revision, encode_entries(instance_list))
        return True

    def replace(self, revision: int, texts: dict[str, str]) -> None:
        """Replace the list in use.

        :param revision: the revision of the new list.
        :param texts: the texts by ``SERVICE/ENDPOINT_ID``. The table keeps the
            dictionary, so the caller must not change it afterwards.
        :raises errors.ConfigurationError: if a text is not a valid entry; the list
            in use stays.
        """
        with self._lock:
            for name in texts:
                if self._texts_by_name.get(name) != texts[name]:
                    _decode_entry(name, texts[name])
            requested = tuple(self._endpoints_by_service)
            decoded_by_service = {
                service: _decode_service(texts, service) for service in requested
            }
            self._revision = revision
            self._texts_by_name = texts
            self._endpoints_by_service = decoded_by_service

    def _load_service(self, service: str) -> tuple[Endpoint, ...]:
        with self._lock:
            decoded = _decode_service(self._texts_by_name, service)
            if decoded:
                decoded_by_service = self._endpoints_by_service | {service: decoded}
                self._endpoints_by_service = decoded_by_service
            return decoded


def _decode_service(texts: dict[str, str], service: str) -> tuple[Endpoint, ...]:
    prefix = service + "/"
    return tuple(
        _decode_entry(name, text)
        for name, text in texts.items()
        if name.startswith(prefix)
    )
