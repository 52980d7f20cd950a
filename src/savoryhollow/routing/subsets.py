"""Select the subset of a service's endpoints that one router connects to.

If each of thousands of routers connected to every endpoint, the number of links
would grow with the square of the fleet. The subset is chosen by rendezvous hashing of
the router's name and the endpoints' hosts: endpoints are spread evenly over routers,
and most of a subset stays the same when endpoints are added or removed.

This module does no I/O.
"""

import collections.abc
import typing

import xxhash

from savoryhollow.membership import table
from savoryhollow.routing import placement

__all__ = ["select"]

# Number of endpoints from this zone, from other zones of the region and from other
# regions.
OWN_ZONE_SIZE = 6
OTHER_ZONES_SIZE = 5
OTHER_REGIONS_SIZE = 4

Endpoint = typing.TypeVar("Endpoint", bound=table.Endpoint)


def select(
    endpoints: collections.abc.Iterable[Endpoint],
    location: placement.Location,
    name: str,
) -> list[Endpoint]:
    """Return the subset of a service's endpoints for one router.

    :param endpoints: the endpoints of the service.
    :param location: the location of the router.
    :param name: a name that is unique to the router.
    """
    ranked = sorted(endpoints, key=lambda endpoint: _hash(name, endpoint.host))
    own_zone = [endpoint for endpoint in ranked if endpoint.zone == location.zone]
    other_zones = [
        endpoint
        for endpoint in ranked
        if endpoint.region == location.region and endpoint.zone != location.zone
    ]
    other_regions = [
        endpoint for endpoint in ranked if endpoint.region != location.region
    ]
    # Places that this zone can't fill go to the other zones of the region.
    other_zones_size = OTHER_ZONES_SIZE + max(0, OWN_ZONE_SIZE - len(own_zone))
    return (
        own_zone[:OWN_ZONE_SIZE]
        + other_zones[:other_zones_size]
        + other_regions[:OTHER_REGIONS_SIZE]
    )


def _hash(name: str, host: str) -> int:
    return xxhash.xxh64_intdigest(f"{name} {host}".encode())
