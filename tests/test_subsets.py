"""The number of links per router and endpoint stays bounded in a large fleet."""

import collections

from savoryhollow.membership import table
from savoryhollow.routing import placement, subsets

ZONES = ("east-a", "east-b", "west-a", "west-b")


def make_endpoints(size):
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


def subset_of(endpoints, router):
    location = placement.Location("", router.region, router.zone)
    return subsets.select(endpoints, location, router.host)


def test_a_subset_includes_all_endpoints_of_a_small_region():
    endpoints = make_endpoints(12)
    subset = subset_of(endpoints, endpoints[0])
    near = [endpoint for endpoint in endpoints if endpoint.region == "east"]
    assert set(near) <= set(subset)


def test_the_number_of_links_per_router_is_bounded():
    limit = (
        subsets.OWN_ZONE_SIZE + subsets.OTHER_ZONES_SIZE + subsets.OTHER_REGIONS_SIZE
    )
    for size in (50, 500, 2000):
        endpoints = make_endpoints(size)
        assert len(subset_of(endpoints, endpoints[0])) == limit


def test_links_are_spread_over_all_endpoints():
    endpoints = make_endpoints(400)
    counts = collections.Counter(
        endpoint.endpoint_id
        for router in endpoints
        for endpoint in subset_of(endpoints, router)
    )
    assert len(counts) == 400
    mean = sum(counts.values()) / 400
    assert max(counts.values()) < 2.5 * mean


def test_most_of_a_subset_stays_when_endpoints_are_removed():
    endpoints = make_endpoints(400)
    before = set(subset_of(endpoints, endpoints[0]))
    after = set(subset_of(endpoints[:20] + endpoints[30:], endpoints[0]))
    assert len(before & after) >= len(before) - 3
