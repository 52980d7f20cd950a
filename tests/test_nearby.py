"""Choice of an endpoint by load, slow spells, lasting slowdowns and distance."""

import collections
import random

from savoryhollow.membership import directory, table
from savoryhollow.routing import evidence, nearby, placement
from savoryhollow.wire import messages

LOCATION = placement.Location("", "east", "east-a")
NOW = 100.0


def make_candidate(name, zone="east-a", cold_until=float("-inf"), **load):
    endpoint = directory.KnownEndpoint(
        name,
        "dispatch",
        zone.partition("-")[0],
        zone,
        f"10.0.0.{name}",
        7,
        table.EndpointState.LIVE,
        9,
        1,
        cold_until,
    )
    endpoint_evidence = evidence.EndpointEvidence()
    if load:
        load_values = {"busy": 0, "queued": 0, "slots": 7, "service_us": 200_000} | load
        report = messages.LoadReport(**{"leaving": False} | load_values)
        endpoint_evidence.record_report(report, NOW)
    return placement.Candidate(endpoint, endpoint_evidence)


def choose(*candidates, order=1, left_s=0.6, now=NOW, rng=None):
    policy = nearby.LocalityPolicy(LOCATION, rng or random.Random(3))
    requirements = nearby.Requirements(now, now + left_s, order)
    decision = policy.choose(list(candidates), requirements)
    return decision and decision.candidate.endpoint.endpoint_id


def test_no_candidates_give_no_decision():
    assert choose() is None


def test_the_own_zone_is_preferred_while_it_has_free_slots():
    assert (
        choose(make_candidate("1", "east-b", busy=2), make_candidate("2", busy=2))
        == "2"
    )


def test_another_zone_is_chosen_if_the_own_zone_is_full():
    assert (
        choose(make_candidate("1", "east-b", busy=2), make_candidate("2", busy=9))
        == "1"
    )


def test_only_requests_with_time_to_spare_stay_in_a_full_zone():
    near, next_zone = make_candidate("1", busy=7), make_candidate("2", "east-b", busy=0)
    assert choose(near, next_zone, left_s=0.4) == "2"
    assert choose(near, next_zone, left_s=5.0, order=2) == "1"


def test_an_instance_in_a_slow_spell_is_not_chosen():
    slow = make_candidate("1", busy=0, spell_us=150_000)
    assert choose(slow, make_candidate("2", "east-b", busy=3)) == "2"


def test_slow_spells_alone_do_not_lead_to_another_region():
    spells = [make_candidate(str(i), busy=0, spell_us=150_000) for i in range(2)]
    assert choose(*spells, make_candidate("9", "west-a", busy=0)) in ("0", "1")


def test_only_urgent_requests_leave_a_region_that_is_slow_for_long():
    slow = [make_candidate(str(i), busy=0, pace_percent=1200) for i in range(2)]
    far = make_candidate("9", "west-a", busy=0)
    assert choose(*slow, far) == "9"
    assert choose(*slow, far, order=2) in ("0", "1")


def test_requests_close_to_their_objective_stay_in_the_region():
    """Don't send a call with little time left to another region.

    Calls with 150 ms left were refused by six gates of the other region, 62 ms each.
    """
    slow = make_candidate("1", busy=0, pace_percent=1200)
    far = make_candidate("9", "west-a", busy=0)
    assert choose(slow, far, left_s=0.15) == "1"


def test_a_report_of_half_a_second_ago_has_full_weight():
    """Endpoints report changes, so no newer report means no change."""
    slow = make_candidate("1", busy=0, pace_percent=1200)
    other = make_candidate("2", "east-b", busy=0)
    assert choose(slow, other, now=NOW + 0.5) == "2"


def test_a_leaving_gate_is_chosen_only_if_there_is_no_other():
    leaving = make_candidate("1", busy=0, leaving=True)
    assert choose(leaving, make_candidate("2", "east-b", busy=6)) == "2"
    assert choose(leaving) == "1"


def test_a_gate_that_has_just_started_does_not_look_faster_than_others():
    """Its first report can't tell a service time, so it would draw all the work."""
    started = make_candidate("1", busy=5, service_us=0)
    assert choose(started, make_candidate("2", busy=4)) == "2"


def test_a_warm_endpoint_is_preferred_to_a_cold_one():
    cold = make_candidate("1", busy=0, cold_until=NOW + 2)
    assert choose(cold, make_candidate("2", busy=1)) == "2"


def test_a_burst_is_spread_over_endpoints_between_reports():
    """Reports arrive every 100 ms; twelve requests in between must be spread."""
    candidates = [make_candidate(str(i), busy=0) for i in range(4)]
    policy = nearby.LocalityPolicy(LOCATION, random.Random(5))
    counts = collections.Counter()
    for i in range(12):
        now = NOW + 0.008 * i
        decision = policy.choose(candidates, nearby.Requirements(now, now + 0.6, 1))
        decision.candidate.evidence.record_start()
        counts[decision.candidate.endpoint.endpoint_id] += 1
    assert max(counts.values()) <= 5
    assert len(counts) == 4


def test_requests_stay_in_the_zone_while_a_third_of_it_is_slow():
    """Traffic between zones costs money, and other zones have slow spells too."""
    own = [make_candidate(str(i), busy=0) for i in range(4)]
    own += [make_candidate(str(i), busy=0, spell_us=150_000) for i in range(4, 6)]
    others = [make_candidate(str(i), "east-b", busy=0) for i in range(6, 11)]
    rng = random.Random(3)
    chosen = [choose(*own, *others, rng=rng) for _ in range(300)]
    crossing = sum(int(endpoint_id) >= 6 for endpoint_id in chosen)
    assert crossing <= 3
    assert len(set(chosen)) >= 4
