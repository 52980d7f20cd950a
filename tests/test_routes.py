import collections

import hypothesis
from hypothesis import strategies

from savoryhollow.configuration import routes

LIMITS = routes.CallerLimits(16384, 1 << 20, 3.0, 15.0)


def route(prefix, host="a.example", shares=(("dispatch", 1),), name=""):
    service_shares = tuple(routes.ServiceShare(*share) for share in shares)
    return routes.Route(
        name or prefix, host, prefix, True, 1, 0.6, 1.2, 2, service_shares
    )


def test_the_longest_matching_prefix_wins():
    table = routes.RouteTable(1, LIMITS, (route("/a/"), route("/a/b/"), route("/")))
    assert table.find("a.example", "/a/b/c").prefix == "/a/b/"
    assert table.find("a.example", "/a/b").prefix == "/a/"
    assert table.find("a.example", "/ab/c").prefix == "/"


def test_hosts_match_without_port_and_in_any_case():
    table = routes.RouteTable(1, LIMITS, (route("/a/"),))
    assert table.find("A.Example:8080", "/a/x") is not None
    assert table.find("b.example", "/a/x") is None
    assert table.find("", "/a/x") is None


@hypothesis.given(
    strategies.lists(strategies.integers(0, 20), min_size=1, max_size=4).filter(any)
)
def test_any_hundred_requests_are_distributed_by_weight(weights):
    shares = [(f"s{i}", weight) for i, weight in enumerate(weights)]
    split_route = route("/a/", shares=shares)
    round_robin = routes.WeightedRoundRobin()
    counts = collections.Counter(
        round_robin.next_service(split_route) for _ in range(100)
    )
    for service, weight in shares:
        assert abs(counts[service] - 100 * weight / sum(weights)) <= len(weights)


def test_the_state_of_removed_routes_is_dropped():
    split_route = route("/a/", shares=(("x", 1), ("y", 1)))
    round_robin = routes.WeightedRoundRobin()
    assert round_robin.next_service(split_route) == "x"
    round_robin.keep_only(routes.RouteTable(2, LIMITS, ()))
    assert round_robin.next_service(split_route) == "x"
