import collections
import random

import hypothesis
import pytest
from hypothesis import strategies

from savoryhollow.configuration import routes

# By how much the share of a service may differ from its weight.
MAX_SHARE_DEVIATION = 0.1
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
    strategies.lists(strategies.integers(0, 20), min_size=1, max_size=4).filter(any),
    strategies.randoms(use_true_random=False),
)
def test_any_hundred_requests_are_distributed_by_weight(weights, rng):
    shares = [(f"s{i}", weight) for i, weight in enumerate(weights)]
    split_route = route("/a/", shares=shares)
    round_robin = routes.WeightedRoundRobin(rng.randrange)
    counts = collections.Counter(
        round_robin.next_service(split_route) for _ in range(100)
    )
    for service, weight in shares:
        assert abs(counts[service] - 100 * weight / sum(weights)) <= len(weights)


@pytest.mark.parametrize("requests_per_daemon", [1, 2, 3])
@pytest.mark.parametrize("weights", [(50, 50), (70, 30), (90, 10), (40, 35, 25)])
def test_many_daemons_with_few_requests_each_keep_to_the_weights(
    weights, requests_per_daemon
):
    """If all daemons began with the same service, it would get too large a share."""
    shares = tuple((f"s{number}", weight) for number, weight in enumerate(weights))
    split_route = route("/a/", shares=shares)
    rng = random.Random(7)
    counts = collections.Counter()
    daemons = 300
    for _ in range(daemons):
        round_robin = routes.WeightedRoundRobin(rng.randrange)
        counts.update(
            round_robin.next_service(split_route) for _ in range(requests_per_daemon)
        )
    for service, weight in shares:
        share = counts[service] / (daemons * requests_per_daemon)
        assert abs(share - weight / sum(weights)) <= MAX_SHARE_DEVIATION


def test_the_state_of_removed_routes_is_dropped():
    split_route = route("/a/", shares=(("x", 1), ("y", 1)))
    round_robin = routes.WeightedRoundRobin(lambda cycle: 0)
    assert round_robin.next_service(split_route) == "x"
    round_robin.keep_only(routes.RouteTable(2, LIMITS, ()))
    assert round_robin.next_service(split_route) == "x"
