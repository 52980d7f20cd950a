import collections
import random

import hypothesis
import pytest
from hypothesis import strategies

from savoryhollow.membership import table
from savoryhollow.routing import evidence, placement
from savoryhollow.wire import messages

LOCATION = placement.Location("e0", "east", "east-a")
TIMES = strategies.floats(0, 100)
POLICIES = ("evidence", "random", "round-robin", "least-in-flight", "two-choices")


def make_candidate(number=0, region="east", zone="east-a"):
    endpoint = table.Endpoint(
        f"e{number}", "s", region, zone, "127.0.0.1", 1, table.EndpointState.LIVE
    )
    return placement.Candidate(endpoint, evidence.EndpointEvidence())


def with_load(candidate, busy, queued=0, now=0.0):
    report = messages.LoadReport(busy, queued, 9, 40_000, False)
    candidate.evidence.record_report(report, now)
    candidate.evidence.record_success(0.04, now)
    return candidate


def count_choices(candidates, now=0.0, calls=400, expendable=False):
    choose = placement.make_policy("evidence", LOCATION, random.Random(7))
    request = placement.PlacementRequest(now, expendable)
    chosen = [choose(candidates, request) for _ in range(calls)]
    return collections.Counter(c.endpoint.endpoint_id for c in chosen)


@strategies.composite
def any_candidates(draw):
    candidates = []
    for number in range(draw(strategies.integers(1, 12))):
        region = draw(strategies.sampled_from(("east", "west")))
        candidate = make_candidate(number, region, region + "-a")
        for _ in range(draw(strategies.integers(0, 3))):
            candidate.evidence.record_start()
        if draw(strategies.booleans()):
            busy = draw(strategies.integers(0, 9))
            with_load(candidate, busy, draw(strategies.integers(0, 64)))
        for _ in range(draw(strategies.integers(0, 4))):
            candidate.evidence.record_failure(0.0, reached=draw(strategies.booleans()))
        candidates.append(candidate)
    return candidates


@hypothesis.given(
    any_candidates(),
    strategies.sampled_from(POLICIES),
    TIMES,
    strategies.booleans(),
)
def test_any_policy_chooses_one_of_the_candidates(candidates, name, now, expendable):
    choose = placement.make_policy(name, LOCATION, random.Random(1))
    assert choose(candidates, placement.PlacementRequest(now, expendable)) in candidates


@hypothesis.given(any_candidates(), TIMES)
def test_a_distrusted_endpoint_gets_only_trial_requests(candidates, now):
    hypothesis.assume(any(c.evidence.trusted for c in candidates))
    chosen = placement.make_policy("evidence", LOCATION, random.Random(1))(
        candidates, placement.PlacementRequest(now)
    )
    extra_backoffs = placement.EXTRA_TRIAL_BACKOFFS
    assert chosen.evidence.trusted or chosen.evidence.is_trial_due(now, extra_backoffs)


@hypothesis.given(any_candidates(), TIMES, strategies.integers(0, 30))
def test_requests_in_flight_never_lower_the_cost_of_an_endpoint(candidates, now, more):
    averages = placement.average_candidates(candidates, placement.PlacementRequest(now))
    candidate = candidates[0]
    before = placement.expected_cost(
        candidate, LOCATION, averages, placement.PlacementRequest(now)
    )
    for _ in range(more):
        candidate.evidence.record_start()
    assert (
        placement.expected_cost(
            candidate, LOCATION, averages, placement.PlacementRequest(now)
        )
        >= before
        >= 0
    )


def test_an_idle_local_endpoint_is_preferred():
    candidates = [with_load(make_candidate(n), 2) for n in range(5)]
    assert count_choices(candidates)["e0"] == 400


def test_a_full_local_endpoint_is_not_chosen():
    candidates = [with_load(make_candidate(0), 9, 4)] + [
        with_load(make_candidate(n), 2) for n in (1, 2, 3)
    ]
    assert count_choices(candidates)["e0"] == 0


def test_another_region_is_chosen_only_if_that_saves_time():
    near = with_load(make_candidate(1), 9, 5)
    far = with_load(make_candidate(2, "west", "west-a"), 0)
    assert count_choices([near, far])["e2"] == 0
    near = with_load(make_candidate(1), 9, 40)
    assert count_choices([near, far])["e2"] == 400


def test_routers_with_the_same_stale_report_choose_different_endpoints():
    candidates = [with_load(make_candidate(n), 6) for n in range(1, 9)]
    with_load(candidates[0], 0)
    chosen = collections.Counter()
    for seed in range(300):
        choose = placement.make_policy("evidence", LOCATION, random.Random(seed))
        chosen[
            choose(candidates, placement.PlacementRequest(0.01)).endpoint.endpoint_id
        ] += 1
    assert chosen["e1"] < 120


def test_requests_sent_since_the_last_report_are_counted():
    candidates = [with_load(make_candidate(n), 3) for n in (1, 2)]
    for _ in range(8):
        candidates[0].evidence.record_start()
    assert count_choices(candidates)["e1"] == 0


def test_a_slow_endpoint_without_failures_is_not_chosen():
    candidates = [with_load(make_candidate(n), 1) for n in range(4)]
    for _ in range(30):
        candidates[0].evidence.record_success(0.2, 0.0)
    assert count_choices(candidates)["e0"] == 0


@pytest.mark.parametrize("expendable", [True, False])
def test_a_slow_endpoint_is_tried_again_only_with_expendable_requests(expendable):
    candidates = [with_load(make_candidate(n), 1) for n in range(4)]
    for _ in range(30):
        candidates[0].evidence.record_success(0.2, 0.0)
    for n in (1, 2, 3):
        with_load(candidates[n], 1, now=10.0)
    assert (
        count_choices(candidates, 10.0, expendable=expendable)["e0"] > 0
    ) is expendable


def test_trials_stay_within_their_budget():
    candidates = [with_load(make_candidate(n), 1) for n in range(4)]
    while candidates[0].evidence.trusted:
        candidates[0].evidence.record_failure(0.0, reached=True)
    assert 0 < count_choices(candidates, 10.0, 2000, expendable=True)["e0"] <= 10 + 20


def test_a_single_failure_does_not_exclude_an_endpoint():
    candidates = [with_load(make_candidate(n), 2) for n in (1, 2)]
    candidates[0].evidence.record_failure(0.0, reached=True)
    assert candidates[0].evidence.trusted
    assert count_choices(candidates)["e1"] > 100


class Simulation:
    """A router that sends requests to five endpoints, the first of them faulty."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.candidates = [with_load(make_candidate(n), 2) for n in range(1, 6)]
        self.choose = placement.make_policy("evidence", LOCATION, self.rng)
        self.now = 0.0
        self.open = []

    def run(self, seconds, response_s, fails):
        """Return the faulty endpoint's share of requests and its failures.

        :param seconds: simulated time to run for.
        :param response_s: response time of the faulty endpoint.
        :param fails: True if the faulty endpoint fails all requests.
        """
        until = self.now + seconds
        chosen = failed = total = 0
        while self.now < until:
            self.now += self.rng.expovariate(100)
            self.end_finished()
            expendable = self.rng.random() < 0.5
            candidate = self.choose(
                self.candidates, placement.PlacementRequest(self.now, expendable)
            )
            candidate.evidence.record_start()
            faulty = candidate is self.candidates[0]
            total += 1
            chosen += faulty
            failed += faulty and fails
            duration_s = response_s if faulty else 0.04
            self.open.append(
                (self.now + duration_s, candidate, faulty and fails, duration_s)
            )
        return chosen / total, failed

    def end_finished(self):
        for request in [request for request in self.open if request[0] <= self.now]:
            self.open.remove(request)
            at, candidate, failed, duration_s = request
            candidate.evidence.record_end()
            candidate.evidence.record_report(
                messages.LoadReport(3, 0, 9, 40_000, False), at
            )
            if failed:
                candidate.evidence.record_failure(at, reached=True)
            else:
                candidate.evidence.record_success(duration_s, at)


@pytest.mark.parametrize("seed", range(3))
def test_a_failing_endpoint_is_avoided_until_it_recovers(seed):
    simulation = Simulation(seed)
    assert simulation.run(3, 0.04, fails=False)[0] > 0.1
    assert simulation.run(10, 0.001, fails=True)[1] < 20
    simulation.run(10, 0.04, fails=False)
    assert simulation.run(3, 0.04, fails=False)[0] > 0.1


@pytest.mark.parametrize("seed", range(3))
def test_a_slow_endpoint_is_avoided_until_it_recovers(seed):
    simulation = Simulation(seed)
    simulation.run(3, 0.04, fails=False)
    assert simulation.run(10, 0.4, fails=False)[0] < 0.05
    simulation.run(5, 0.04, fails=False)
    assert simulation.run(3, 0.04, fails=False)[0] > 0.1


def test_requests_queued_behind_a_rank_do_not_count_for_it():
    crowded, shorter = make_candidate(1), make_candidate(2)
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
def test_the_cost_is_never_negative(candidates, one, other):
    first, last = sorted((one, other))
    costs = []
    for position in (first, last):
        request = placement.PlacementRequest(0.0, position=position)
        averages = placement.average_candidates(candidates, request)
        costs.append(
            placement.expected_cost(candidates[0], LOCATION, averages, request)
        )
    assert min(costs) >= 0
