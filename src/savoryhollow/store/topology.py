"""Choose the daemons that read the store and the neighbours of each daemon.

Both are computed from the list of instances by rendezvous hashing, so that no
coordination is needed. Daemons with different lists may choose different numbers
of readers and other neighbours, but this doesn't affect which documents are
applied.
"""

import collections.abc
import dataclasses

import xxhash

from savoryhollow.membership import table

__all__ = ["Location", "is_reader", "neighbours"]

# Number of daemons of each availability zone that read the store.
READERS_PER_ZONE = 3
# Number of neighbours in the own zone, besides the next daemon on the ring.
ZONE_NEIGHBOURS = 2
# Number of neighbours in other availability zones of the region.
REGION_NEIGHBOURS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """The endpoint id, region and zone of a daemon."""

    endpoint_id: str
    region: str
    zone: str


def is_reader(
    location: Location, endpoints: collections.abc.Iterable[table.Endpoint]
) -> bool:
    """Return True if a daemon is one of the readers of its availability zone.

    :param location: the location of the daemon.
    :param endpoints: the endpoints known to the daemon.
    """
    ids = [e.endpoint_id for e in endpoints if e.zone == location.zone and _is_live(e)]
    return location.endpoint_id in _choose_names(
        ids, f"reader {location.zone}", READERS_PER_ZONE
    )


def neighbours(
    location: Location, endpoints: collections.abc.Iterable[table.Endpoint]
) -> tuple[table.Endpoint, ...]:
    """Return the endpoints whose daemons a daemon compares documents with.

    These are the next daemon on a ring of the availability zone, which connects all
    daemons of the zone; a few other daemons of the zone, which shorten the paths;
    one daemon in another zone of the region; and, if the daemon is a reader, one
    reader in each other region.

    :param location: the location of the daemon.
    :param endpoints: the endpoints known to the daemon.
    :returns: the neighbours, those in the own zone first.
    """
    others = [
        e for e in endpoints if e.endpoint_id != location.endpoint_id and _is_live(e)
    ]
    in_zone = [e for e in others if e.zone == location.zone]
    in_region = [
        e for e in others if e.region == location.region and e.zone != location.zone
    ]
    chosen = _next_on_ring(location, in_zone)
    key = f"neighbour {location.endpoint_id}"
    rest = [e for e in in_zone if e not in chosen]
    chosen += _choose_endpoints(rest, key, ZONE_NEIGHBOURS)
    chosen += _choose_endpoints(in_region, key, REGION_NEIGHBOURS)
    if is_reader(location, endpoints):
        chosen += _readers_in_other_regions(location, others)
    return tuple(chosen)


def _readers_in_other_regions(
    location: Location, others: list[table.Endpoint]
) -> list[table.Endpoint]:
    chosen = []
    for region in sorted({e.region for e in others} - {location.region}):
        in_region = [e for e in others if e.region == region]
        zones = sorted({e.zone for e in in_region})
        zone = _choose_names(zones, f"neighbour {location.endpoint_id}", 1)[0]
        in_zone = [e for e in in_region if e.zone == zone]
        readers = _choose_endpoints(in_zone, f"reader {zone}", READERS_PER_ZONE)
        chosen += _choose_endpoints(readers, f"neighbour {location.endpoint_id}", 1)
    return chosen


# ---------------------------------------------------------------------------
#   Rendezvous hashing
# ---------------------------------------------------------------------------


def _weight(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key} {name}".encode())


def _choose_names(names: list[str], key: str, count: int) -> list[str]:
    return sorted(names, key=lambda name: _weight(key, name))[:count]


def _choose_endpoints(
    endpoints: list[table.Endpoint], key: str, count: int
) -> list[table.Endpoint]:
    return sorted(endpoints, key=lambda e: _weight(key, e.endpoint_id))[:count]


def _next_on_ring(
    location: Location, in_zone: list[table.Endpoint]
) -> list[table.Endpoint]:
    own_weight = _weight("ring", location.endpoint_id)
    ring = sorted(in_zone, key=lambda e: _weight("ring", e.endpoint_id))
    after = [e for e in ring if _weight("ring", e.endpoint_id) > own_weight]
    return (after or ring)[:1]


def _is_live(endpoint: table.Endpoint) -> bool:
    return endpoint.state is table.EndpointState.LIVE
