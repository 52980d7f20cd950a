"""Links at scale: no router and no endpoint gets more of them as a fleet grows."""

import collections

from savoryhollow.membership import table
from savoryhollow.routing import placement, subsets

ZONES = ("east-a", "east-b", "west-a", "west-b")


def fleet(size):
    return [
        table.Endpoint(
            f"e{i}",
            "dispatch",
            ZONES[i % 4].partition("-")[0],
            ZONES[i % 4],
            f"10.0.{i // 250}.{i % 250}",
            7,
            table.EndpointState.LIVE,
        )
        for i in range(size)
    ]


def of_router(endpoints, router):
    location = placement.Location("", router.region, router.zone)
    return subsets.select(endpoints, location, router.host)


def test_a_small_service_is_taken_whole_nearby():
    endpoints = fleet(12)
    found = of_router(endpoints, endpoints[0])
    near = [one for one in endpoints if one.region == "east"]
    assert set(near) <= set(found)


def test_the_links_of_a_router_do_not_grow_with_the_fleet():
    limit = (
        subsets.OWN_ZONE_SIZE + subsets.OTHER_ZONES_SIZE + subsets.OTHER_REGIONS_SIZE
    )
    for size in (50, 500, 2000):
        endpoints = fleet(size)
        assert len(of_router(endpoints, endpoints[0])) == limit


def test_the_links_to_endpoints_are_spread_and_none_is_left_out():
    endpoints = fleet(400)
    counts = collections.Counter(
        one.endpoint_id for router in endpoints for one in of_router(endpoints, router)
    )
    assert len(counts) == 400
    mean = sum(counts.values()) / 400
    assert max(counts.values()) < 2.5 * mean


def test_most_of_a_subset_stays_when_endpoints_come_and_go():
    endpoints = fleet(400)
    before = set(of_router(endpoints, endpoints[0]))
    after = set(of_router(endpoints[:20] + endpoints[30:], endpoints[0]))
    assert len(before & after) >= len(before) - 3
