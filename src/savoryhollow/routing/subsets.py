"""The few endpoints of a large service that one router works with.

With thousands of endpoints and routers, a link from each router to each endpoint
would grow with the square of the fleet. Each router takes those that rank highest
in a hash of its own name and theirs, so that endpoints are shared evenly, and most
of a subset stays when endpoints come and go.

Pure computation.
"""

import collections.abc
import typing

import xxhash

from savoryhollow.membership import table
from savoryhollow.routing import placement

__all__ = ["select"]

# Endpoints of the own zone, of other zones of the region and of other regions.
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
    :param location: where the router stands.
    :param name: what tells the router from others.
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
    # A zone with few endpoints makes room for the others of its region.
    other_zones_size = OTHER_ZONES_SIZE + max(0, OWN_ZONE_SIZE - len(own_zone))
    return (
        own_zone[:OWN_ZONE_SIZE]
        + other_zones[:other_zones_size]
        + other_regions[:OTHER_REGIONS_SIZE]
    )


def _hash(name: str, host: str) -> int:
    return xxhash.xxh64_intdigest(f"{name} {host}".encode())
