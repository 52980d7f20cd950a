import collections
import random

import hypothesis
import pytest
from hypothesis import strategies

from savoryhollow.membership import table
from savoryhollow.routing import evidence, placement
from savoryhollow.wire import messages

LOCATION = placement.Location("e0", "east", "east-a")
INSTANTS = strategies.floats(0, 100)
POLICIES = ("evidence", "random", "round-robin", "least-in-flight", "two-choices")


def candidate(number=0, region="east", zone="east-a"):
    endpoint = table.Endpoint(
        f"e{number}", "s", region, zone, "127.0.0.1", 1, table.EndpointState.LIVE
    )
    return placement.Candidate(endpoint, evidence.EndpointEvidence())


def loaded(found, busy, queued=0, now=0.0):
    report = messages.LoadReport(busy, queued, 9, 40_000, False)
    found.evidence.record_report(report, now)
    found.evidence.record_success(0.04, now)
    return found


def counts(candidates, now=0.0, calls=400, expendable=False):
    choose = placement.make_policy("evidence", LOCATION, random.Random(7))
    request = placement.PlacementRequest(now, expendable)
    chosen = [choose(candidates, request) for _ in range(calls)]
    return collections.Counter(c.endpoint.endpoint_id for c in chosen)


@strategies.composite
def any_candidates(draw):
    found = []
    for number in range(draw(strategies.integers(1, 12))):
        region = draw(strategies.sampled_from(("east", "west")))
        one = candidate(number, region, region + "-a")
        for _ in range(draw(strategies.integers(0, 3))):
            one.evidence.record_start()
        if draw(strategies.booleans()):
            busy = draw(strategies.integers(0, 9))
            loaded(one, busy, draw(strategies.integers(0, 64)))
        for _ in range(draw(strategies.integers(0, 4))):
            one.evidence.record_failure(0.0, reached=draw(strategies.booleans()))
        found.append(one)
    return found


@hypothesis.given(
    any_candidates(),
    strategies.sampled_from(POLICIES),
    INSTANTS,
    strategies.booleans(),
)
def test_any_policy_chooses_one_of_the_candidates(found, name, now, expendable):
    choose = placement.make_policy(name, LOCATION, random.Random(1))
    assert choose(found, placement.PlacementRequest(now, expendable)) in found


@hypothesis.given(any_candidates(), INSTANTS)
def test_a_distrusted_endpoint_gets_no_work_beyond_trials(found, now):
    hypothesis.assume(any(c.evidence.trusted for c in found))
    chosen = placement.make_policy("evidence", LOCATION, random.Random(1))(
        found, placement.PlacementRequest(now)
    )
    extra_backoffs = placement.EXTRA_TRIAL_BACKOFFS
    assert chosen.evidence.trusted or chosen.evidence.is_trial_due(now, extra_backoffs)


@hypothesis.given(any_candidates(), INSTANTS, strategies.integers(0, 30))
def test_more_of_its_own_requests_never_make_an_endpoint_cheaper(found, now, more):
    averages = placement.average_candidates(found, placement.PlacementRequest(now))
    one = found[0]
    before = placement.expected_cost(
        one, LOCATION, averages, placement.PlacementRequest(now)
    )
    for _ in range(more):
        one.evidence.record_start()
    assert (
        placement.expected_cost(
            one, LOCATION, averages, placement.PlacementRequest(now)
        )
        >= before
        >= 0
    )


def test_an_idle_local_endpoint_is_preferred():
    found = [loaded(candidate(n), 2) for n in range(5)]
    assert counts(found)["e0"] == 400


def test_a_full_local_endpoint_is_passed_over():
    found = [loaded(candidate(0), 9, 4)] + [loaded(candidate(n), 2) for n in (1, 2, 3)]
    assert counts(found)["e0"] == 0


def test_the_link_is_crossed_only_where_that_gains_time():
    near = loaded(candidate(1), 9, 5)
    far = loaded(candidate(2, "west", "west-a"), 0)
    assert counts([near, far])["e2"] == 0
    near = loaded(candidate(1), 9, 40)
    assert counts([near, far])["e2"] == 400


def test_routers_that_hold_the_same_stale_report_do_not_all_choose_one():
    found = [loaded(candidate(n), 6) for n in range(1, 9)]
    loaded(found[0], 0)
    chosen = collections.Counter()
    for seed in range(300):
        choose = placement.make_policy("evidence", LOCATION, random.Random(seed))
        chosen[
            choose(found, placement.PlacementRequest(0.01)).endpoint.endpoint_id
        ] += 1
    assert chosen["e1"] < 120


def test_requests_sent_since_a_report_count():
    found = [loaded(candidate(n), 3) for n in (1, 2)]
    for _ in range(8):
        found[0].evidence.record_start()
    assert counts(found)["e1"] == 0


def test_a_slow_endpoint_that_answers_every_request_is_passed_over():
    found = [loaded(candidate(n), 1) for n in range(4)]
    for _ in range(30):
        found[0].evidence.record_success(0.2, 0.0)
    assert counts(found)["e0"] == 0


@pytest.mark.parametrize("expendable", [True, False])
def test_a_slow_endpoint_is_tried_again_by_expendable_requests_alone(expendable):
    found = [loaded(candidate(n), 1) for n in range(4)]
    for _ in range(30):
        found[0].evidence.record_success(0.2, 0.0)
    for n in (1, 2, 3):
        loaded(found[n], 1, now=10.0)
    assert (counts(found, 10.0, expendable=expendable)["e0"] > 0) is expendable


def test_trials_stay_within_their_share():
    found = [loaded(candidate(n), 1) for n in range(4)]
    while found[0].evidence.trusted:
        found[0].evidence.record_failure(0.0, reached=True)
    assert 0 < counts(found, 10.0, 2000, expendable=True)["e0"] <= 10 + 20


def test_a_single_failure_does_not_keep_work_away():
    found = [loaded(candidate(n), 2) for n in (1, 2)]
    found[0].evidence.record_failure(0.0, reached=True)
    assert found[0].evidence.trusted
    assert counts(found)["e1"] > 100


class Replay:
    """One router that places requests on endpoints of which one misbehaves."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.found = [loaded(candidate(n), 2) for n in range(1, 6)]
        self.choose = placement.make_policy("evidence", LOCATION, self.rng)
        self.now = 0.0
        self.open = []

    def run(self, seconds, response_s, fails):
        """Return the share of the misbehaving endpoint and its failures."""
        until = self.now + seconds
        chosen = failed = total = 0
        while self.now < until:
            self.now += self.rng.expovariate(100)
            self.close_ended()
            expendable = self.rng.random() < 0.5
            one = self.choose(
                self.found, placement.PlacementRequest(self.now, expendable)
            )
            one.evidence.record_start()
            faulty = one is self.found[0]
            total += 1
            chosen += faulty
            failed += faulty and fails
            took = response_s if faulty else 0.04
            self.open.append((self.now + took, one, faulty and fails, took))
        return chosen / total, failed

    def close_ended(self):
        for item in [item for item in self.open if item[0] <= self.now]:
            self.open.remove(item)
            at, one, failed, took = item
            one.evidence.record_end()
            one.evidence.record_report(messages.LoadReport(3, 0, 9, 40_000, False), at)
            if failed:
                one.evidence.record_failure(at, reached=True)
            else:
                one.evidence.record_success(took, at)


@pytest.mark.parametrize("seed", range(3))
def test_a_failing_endpoint_is_left_and_comes_back(seed):
    replay = Replay(seed)
    assert replay.run(3, 0.04, fails=False)[0] > 0.1
    assert replay.run(10, 0.001, fails=True)[1] < 20
    replay.run(10, 0.04, fails=False)
    assert replay.run(3, 0.04, fails=False)[0] > 0.1


@pytest.mark.parametrize("seed", range(3))
def test_a_slow_endpoint_is_left_and_comes_back(seed):
    replay = Replay(seed)
    replay.run(3, 0.04, fails=False)
    assert replay.run(10, 0.4, fails=False)[0] < 0.05
    replay.run(5, 0.04, fails=False)
    assert replay.run(3, 0.04, fails=False)[0] > 0.1


def test_a_rank_is_not_kept_away_by_work_that_waits_behind_it():
    crowded, shorter = candidate(1), candidate(2)
    for found, queued_by_order in ((crowded, (0, 0, 40)), (shorter, (12, 12, 12))):
        queued = queued_by_order[-1]
        report = messages.LoadReport(9, queued, 9, 40_000, False, queued_by_order)
        found.evidence.record_report(report, 0.0)
        found.evidence.record_success(0.04, 0.0)
    choose = placement.make_policy("evidence", LOCATION, random.Random(7))
    found = [crowded, shorter]
    assert choose(found, placement.PlacementRequest(0.0, position=0)) is crowded
    assert choose(found, placement.PlacementRequest(0.0, position=2)) is shorter


@hypothesis.given(
    any_candidates(), strategies.integers(0, 3), strategies.integers(0, 3)
)
def test_a_cost_is_never_negative_whatever_waits_behind(found, one, other):
    first, last = sorted((one, other))
    costs = []
    for position in (first, last):
        request = placement.PlacementRequest(0.0, position=position)
        averages = placement.average_candidates(found, request)
        costs.append(placement.expected_cost(found[0], LOCATION, averages, request))
    assert min(costs) >= 0
