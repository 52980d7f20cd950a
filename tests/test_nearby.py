"""Where work goes: slow spells, lasting slowness, distance, floods of one region."""

import collections
import random

from savoryhollow.membership import directory, table
from savoryhollow.routing import evidence, nearby, placement
from savoryhollow.wire import messages

LOCATION = placement.Location("", "east", "east-a")
NOW = 100.0


def candidate(name, zone="east-a", cold_until=float("-inf"), **load):
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
    known = evidence.EndpointEvidence()
    if load:
        figures = {"busy": 0, "queued": 0, "slots": 7, "service_us": 200_000} | load
        report = messages.LoadReport(**{"leaving": False} | figures)
        known.record_report(report, NOW)
    return placement.Candidate(endpoint, known)


def choose(*candidates, order=1, left_s=0.6, now=NOW, rng=None):
    policy = nearby.LocalityPolicy(LOCATION, rng or random.Random(3))
    requirements = nearby.Requirements(now, now + left_s, order)
    decision = policy.choose(list(candidates), requirements)
    return decision and decision.candidate.endpoint.endpoint_id


def test_nothing_to_choose_from_is_no_choice():
    assert choose() is None


def test_the_own_zone_goes_first_while_it_has_room():
    assert choose(candidate("1", "east-b", busy=2), candidate("2", busy=2)) == "2"


def test_a_full_endpoint_is_passed_over_for_the_next_zone():
    assert choose(candidate("1", "east-b", busy=2), candidate("2", busy=9)) == "1"


def test_work_with_time_to_spare_stays_in_its_zone_where_other_work_leaves():
    near, next_zone = candidate("1", busy=7), candidate("2", "east-b", busy=0)
    assert choose(near, next_zone, left_s=0.4) == "2"
    assert choose(near, next_zone, left_s=5.0, order=2) == "1"


def test_an_instance_in_a_slow_spell_is_left_for_one_that_is_not():
    slow = candidate("1", busy=0, spell_us=150_000)
    assert choose(slow, candidate("2", "east-b", busy=3)) == "2"


def test_slow_spells_alone_send_nothing_to_another_region():
    spells = [candidate(str(i), busy=0, spell_us=150_000) for i in range(2)]
    assert choose(*spells, candidate("9", "west-a", busy=0)) in ("0", "1")


def test_urgent_work_crosses_where_all_near_are_slow_for_long():
    slow = [candidate(str(i), busy=0, pace_percent=1200) for i in range(2)]
    far = candidate("9", "west-a", busy=0)
    assert choose(*slow, far) == "9"
    assert choose(*slow, far, order=2) in ("0", "1")


def test_what_is_nearly_due_does_not_cross():
    """Calls of 150 ms were refused by six gates of the other region, 62 ms each."""
    slow = candidate("1", busy=0, pace_percent=1200)
    far = candidate("9", "west-a", busy=0)
    assert choose(slow, far, left_s=0.15) == "1"


def test_a_report_is_believed_while_no_change_was_told():
    slow = candidate("1", busy=0, pace_percent=1200)
    other = candidate("2", "east-b", busy=0)
    assert choose(slow, other, now=NOW + 0.5) == "2"


def test_a_gate_that_leaves_gets_nothing_while_there_is_another():
    leaving = candidate("1", busy=0, leaving=True)
    assert choose(leaving, candidate("2", "east-b", busy=6)) == "2"
    assert choose(leaving) == "1"


def test_a_cold_endpoint_gets_less_than_a_warm_one():
    cold = candidate("1", busy=0, cold_until=NOW + 2)
    assert choose(cold, candidate("2", busy=1)) == "2"


def test_a_flood_spreads_over_endpoints_whose_reports_lag():
    """Reports come each 100 ms; twelve requests in between don't all go to one."""
    candidates = [candidate(str(i), busy=0) for i in range(4)]
    policy = nearby.LocalityPolicy(LOCATION, random.Random(5))
    counts = collections.Counter()
    for i in range(12):
        now = NOW + 0.008 * i
        decision = policy.choose(candidates, nearby.Requirements(now, now + 0.6, 1))
        decision.candidate.evidence.record_start()
        counts[decision.candidate.endpoint.endpoint_id] += 1
    assert max(counts.values()) <= 5
    assert len(counts) == 4


def test_work_stays_in_its_zone_while_a_third_of_the_zone_is_slow():
    """Bytes between zones are paid for, and the next zone has slow spells too."""
    own = [candidate(str(i), busy=0) for i in range(4)]
    own += [candidate(str(i), busy=0, spell_us=150_000) for i in range(4, 6)]
    others = [candidate(str(i), "east-b", busy=0) for i in range(6, 11)]
    rng = random.Random(3)
    chosen = [choose(*own, *others, rng=rng) for _ in range(300)]
    crossing = sum(int(endpoint_id) >= 6 for endpoint_id in chosen)
    assert crossing <= 3
    assert len(set(chosen)) >= 4
