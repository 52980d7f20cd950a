"""Convert the content of the platform's store to the types of the product."""

import base64
import binascii
import ipaddress
import re
import zlib

import msgspec

from savoryhollow import decoding, errors
from savoryhollow.configuration import routes
from savoryhollow.membership import directory, table
from savoryhollow.proxy import relay
from savoryhollow.wire import messages

__all__ = [
    "CONFIGURATION_KEY",
    "ENDPOINT_PREFIX",
    "Change",
    "Changes",
    "Page",
    "decode_changes",
    "decode_endpoint",
    "decode_page",
    "decode_route_table",
    "to_published_item",
]

CONFIGURATION_KEY = "op/config"
ENDPOINT_PREFIX = "servers/"
STATES_BY_NAME = {
    "ready": table.EndpointState.LIVE,
    "draining": table.EndpointState.LEAVING,
}
IDEMPOTENT_BY_KIND = {"safe": True, "unsafe": False}
# The id is sent in a header, so it may only contain characters that are valid there.
ENDPOINT_ID_PATTERN = re.compile(r"[!-~]+")
MAX_PORT = 65_535
# More slots than any backend server has.
MAX_SLOTS = 65_536


# ---------------------------------------------------------------------------
#   The store
# ---------------------------------------------------------------------------


class Change(msgspec.Struct, frozen=True):
    """The current state of an item, or its removal.

    :param value: the content in base64; None for a removal.
    :param tombstone: True for a removal.
    """

    key: str
    revision: int
    value: str | None = None
    tombstone: bool = False

    @property
    def content(self) -> bytes:
        """The decoded content.

        :raises errors.StoreError: if the value isn't valid base64.
        """
        try:
            return base64.b64decode(self.value or "", validate=True)
        except (binascii.Error, ValueError) as error:
            message = (
                f"{self.key} isn't valid base64: {error}; correct the item in the store"
            )
            raise errors.StoreError(message) from error


class Page(msgspec.Struct, frozen=True):
    """Items with a common prefix; the next page starts after the last item."""

    items: list[Change]
    has_more: bool
    as_of: int


class Changes(msgspec.Struct, frozen=True):
    """The changes since a revision."""

    events: list[Change]
    as_of: int


def to_published_item(change: Change) -> messages.PublishedItem:
    """Return a change in the form that daemons send to each other."""
    if change.value is None or change.tombstone:
        return messages.PublishedItem(change.key, change.revision, None)
    try:
        content = change.content
    except errors.StoreError:
        # Empty content is rejected when it is decoded, on all daemons alike.
        content = b""
    return messages.PublishedItem(change.key, change.revision, relay.compress(content))


def decode_page(body: bytes) -> Page:
    """Decode a page of items.

    :raises errors.StoreError: if the body is invalid.
    """
    return _decode(body, Page)


def decode_changes(body: bytes) -> Changes:
    """Decode the response to a watch.

    :raises errors.StoreError: if the body is invalid.
    """
    return _decode(body, Changes)


def _decompress_content(item: messages.PublishedItem) -> bytes:
    try:
        return relay.decompress(item.content or b"")
    except zlib.error as error:
        message = (
            f"{item.key} has no valid content: {error}; correct the item in the store"
        )
        raise errors.StoreError(message) from error


def _decode(body, cls):
    try:
        return msgspec.json.decode(body, type=cls)
    except decoding.FAILURES as error:
        message = f"invalid data from the store: {error}; correct it in the store"
        raise errors.StoreError(message) from error


# ---------------------------------------------------------------------------
#   Endpoints
# ---------------------------------------------------------------------------


class _Entry(msgspec.Struct, frozen=True):
    """The entry that a backend server publishes about itself.

    :param address: the address of the backend server; its daemon has the same IP
        address.
    :param cold_s: time for which the backend server is slow after its start, in s.
    """

    service: str
    address: str
    zone: str
    state: str
    slots: int = 0
    cold_s: float = 0.0


def decode_endpoint(
    item: messages.PublishedItem,
    regions_by_zone: dict[str, str],
    inner_port: int,
    now: float,
) -> directory.KnownEndpoint:
    """Decode the entry of a backend server.

    :param item: the item with the entry.
    :param regions_by_zone: the region of each availability zone.
    :param inner_port: the port of the inner protocol, the same on all daemons.
    :param now: the current time.
    :raises errors.StoreError: if the entry doesn't describe a usable endpoint.
    """
    entry = _decode(_decompress_content(item), _Entry)
    endpoint_id = item.key.removeprefix(ENDPOINT_PREFIX)
    host = _parse_host(entry.address)
    is_usable = (
        host is not None
        and entry.service
        and entry.zone in regions_by_zone
        and entry.state in STATES_BY_NAME
        and entry.slots <= MAX_SLOTS
        and ENDPOINT_ID_PATTERN.fullmatch(endpoint_id)
    )
    if host is None or not is_usable:
        message = f"{item.key} is no usable endpoint; correct the entry in the store"
        raise errors.StoreError(message)
    return directory.KnownEndpoint(
        endpoint_id=endpoint_id,
        service=entry.service,
        region=regions_by_zone[entry.zone],
        zone=entry.zone,
        host=host,
        port=inner_port,
        state=STATES_BY_NAME[entry.state],
        slots=max(0, entry.slots),
        cold_until=now + entry.cold_s if entry.cold_s > 0 else float("-inf"),
        revision=item.revision,
    )


def _parse_host(address: str) -> str | None:
    """Return the IP address of a backend server; None unless the address is valid."""
    host, _, port = address.rpartition(":")
    try:
        is_valid = 0 < int(port) <= MAX_PORT and ipaddress.IPv4Address(host)
    except ValueError:
        return None
    return host if is_valid else None


# ---------------------------------------------------------------------------
#   The configuration
# ---------------------------------------------------------------------------


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class _Share(msgspec.Struct, frozen=True):
    service: str
    weight: int


class _Match(msgspec.Struct, frozen=True):
    prefix: str


class _Action(msgspec.Struct, frozen=True):
    """The destination of requests: one service, or several by weight."""

    timeout_s: float
    max_attempts: int
    service: str | None = None
    traffic_split: list[_Share] | None = None


class _Rule(msgspec.Struct, frozen=True):
    """One route.

    :param kind: whether requests may run more than once; a key of
        :data:`IDEMPOTENT_BY_KIND`.
    :param target_latency_s: time within which a response gets full credit, in s.
    :param priority: the order of the route's requests; 0 is the most urgent.
    """

    name: str
    kind: str
    match: _Match
    action: _Action
    target_latency_s: float = 1.0
    priority: int = 0


class _Listener(msgspec.Struct, frozen=True):
    """The routes of one host."""

    host: str
    rules: list[_Rule]


class _Cluster(msgspec.Struct, frozen=True):
    """One service."""

    name: str
    health_path: str = "/health"


class _Document(msgspec.Struct, frozen=True):
    version: int
    limits: _Limits
    listeners: list[_Listener]
    clusters: list[_Cluster] = []


def decode_route_table(item: messages.PublishedItem) -> routes.RouteTable:
    """Decode the operator's configuration.

    :raises errors.StoreError: if the configuration is malformed or incomplete.
    """
    document = _decode(_decompress_content(item), _Document)
    table_routes = tuple(
        _route(listener.host, rule)
        for listener in document.listeners
        for rule in listener.rules
    )
    limits = document.limits
    return routes.RouteTable(
        document.version,
        routes.CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        ),
        table_routes,
        {cluster.name: cluster.health_path for cluster in document.clusters},
    )


def _route(host: str, rule: _Rule) -> routes.Route:
    action = rule.action
    if action.traffic_split:
        shares = tuple(
            routes.ServiceShare(share.service, share.weight)
            for share in action.traffic_split
        )
    else:
        shares = (routes.ServiceShare(action.service or "", 1),)
    has_weight = sum(share.weight for share in shares) > 0
    if rule.kind not in IDEMPOTENT_BY_KIND or not has_weight or not shares[0].service:
        message = f"route {rule.name} is incomplete; correct the configuration"
        raise errors.StoreError(message)
    return routes.Route(
        name=rule.name,
        host=host.lower(),
        prefix=rule.match.prefix,
        idempotent=IDEMPOTENT_BY_KIND[rule.kind],
        order=rule.priority,
        objective_s=rule.target_latency_s,
        timeout_s=action.timeout_s,
        max_attempts=max(1, action.max_attempts),
        shares=shares,
    )
