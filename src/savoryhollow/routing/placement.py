"""Policies that choose an endpoint for a request.

A policy is a plain function of the candidates with their evidence and the request.
"""

import collections.abc
import dataclasses
import itertools
import random
import statistics

from savoryhollow.membership import table
from savoryhollow.recovery import retrying
from savoryhollow.routing import evidence as evidence_module

__all__ = ["Candidate", "Location", "PlacementRequest", "Policy", "make_policy"]

# Assumed network delay to an endpoint in the same zone, in another zone of the
# region, and in another region, in s.
SAME_ZONE_DELAY_S = 0.0002
OTHER_ZONE_DELAY_S = 0.001
OTHER_REGION_DELAY_S = 0.06
# Number of candidates to compare from this region and from other regions.
SAMPLE_SIZE = 2
OTHER_REGION_SAMPLE_SIZE = 1
# Response time assumed if no candidate has a known one, in s.
DEFAULT_RESPONSE_S = 0.02
# An endpoint is slow if its response time is more than this multiple of the median.
SLOW_RATIO = 1.5
# Number of slots assumed before the first load report.
DEFAULT_SLOTS = 4
# Cost of an endpoint with all slots in use and an empty queue, as a share of its
# service time, and the exponent by which the cost grows with utilization.
UTILIZATION_COST = 0.1
UTILIZATION_EXPONENT = 4
# Share of requests that may be used to try endpoints.
TRIAL_SHARE = 0.01
# Additional backoff periods before a distrusted endpoint is tried with a request
# that isn't expendable, or if it is in another region.
EXTRA_TRIAL_BACKOFFS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """The endpoint id, region and zone of this process."""

    endpoint_id: str
    region: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint and the evidence about it."""

    endpoint: table.Endpoint
    evidence: evidence_module.EndpointEvidence


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request to be placed, as far as the choice of an endpoint depends on it.

    :param now: the current time.
    :param expendable: True if a failure of the request costs little, so that it can
        be used to try an endpoint again.
    :param position: position of the request's rank in the order of urgency, 0 for
        the most urgent.
    """

    now: float
    expendable: bool = False
    position: int = evidence_module.LAST_POSITION


Policy = collections.abc.Callable[[list[Candidate], PlacementRequest], Candidate]


def make_policy(name: str, location: Location, rng: random.Random) -> Policy:
    """Return the policy with the given name.

    :param name: name of a policy as in the settings.
    :param location: the location of this process.
    :param rng: the random number generator to use.
    :returns: a function that chooses one of the candidates.
    """
    if name == "random":
        return lambda candidates, request: rng.choice(candidates)
    if name == "round-robin":
        return _round_robin_policy()
    if name == "least-in-flight":
        return lambda candidates, request: min(
            rng.sample(candidates, len(candidates)), key=_in_flight
        )
    if name == "two-choices":
        return _two_choices_policy(rng)
    return _evidence_policy(location, rng)


# ---------------------------------------------------------------------------
#   Evidence
# ---------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class CandidateAverages:
    """Averages over the candidates, used for those without evidence of their own.

    :param response_s: the median response time, in s.
    :param load_from_others: the mean number of requests from other processes per
        candidate.
    """

    response_s: float
    load_from_others: float


def average_candidates(
    candidates: list[Candidate], request: PlacementRequest
) -> CandidateAverages:
    """Return the averages over the candidates."""
    responses = [
        c.evidence.response_s for c in candidates if c.evidence.response_s is not None
    ]
    loads = [
        c.evidence.load_from_others(request.position)
        for c in candidates
        if c.evidence.fresh_report(request.now) is not None
    ]
    return CandidateAverages(
        statistics.median_low(responses) if responses else DEFAULT_RESPONSE_S,
        statistics.fmean(loads) if loads else 0.0,
    )


def expected_cost(
    candidate: Candidate,
    location: Location,
    averages: CandidateAverages,
    request: PlacementRequest,
) -> float:
    """Return the expected cost of sending a request to an endpoint, in s.

    The cost is the sum of the network delay, the wait for a slot, and the excess
    response time of a slow endpoint. Failures don't add to it; they make an endpoint
    distrusted instead, because distrusted endpoints are tried again, while one with
    a high cost would never be chosen again.

    :param candidate: the endpoint and its evidence.
    :param location: the location of this process.
    :param averages: the averages over the candidates.
    :param request: the request.
    """
    evidence = candidate.evidence
    response_s = evidence.response_s or averages.response_s
    return (
        _delay(candidate.endpoint, location)
        + _wait(evidence, averages, request)
        + max(0.0, response_s - SLOW_RATIO * averages.response_s)
    )


def _wait(evidence, averages: CandidateAverages, request: PlacementRequest) -> float:
    weight = evidence.report_weight(request.now)
    others = weight * evidence.load_from_others(request.position)
    # Requests queued behind this rank are subtracted in load_from_others(); some of
    # them may be counted in in_flight.
    reported = max(0.0, evidence.in_flight + others)
    ahead = max(0.0, reported + (1 - weight) * averages.load_from_others)
    report = evidence.report
    slots = DEFAULT_SLOTS if report is None else report.slots
    service_s = averages.response_s if report is None else report.service_us / 1e6
    waiting = max(0.0, ahead + 1 - slots) / slots
    utilization_cost = (
        UTILIZATION_COST * min(1.0, ahead / slots) ** UTILIZATION_EXPONENT
    )
    slow_start_cost = (1 - evidence.slow_start_share(request.now)) * reported / slots
    return service_s * (waiting + utilization_cost + slow_start_cost)


def _evidence_policy(location: Location, rng: random.Random) -> Policy:
    trials = retrying.RetryBudget(TRIAL_SHARE)

    def choose(candidates: list[Candidate], request: PlacementRequest) -> Candidate:
        trials.deposit()
        averages = average_candidates(candidates, request)
        trial = _find_trial(candidates, location, averages, request)
        if trial is not None and trials.withdraw():
            return trial
        pool = [c for c in candidates if c.evidence.trusted] or candidates
        sample = _sample(pool, location, rng)
        return min(sample, key=lambda c: expected_cost(c, location, averages, request))

    return choose


def _sample(pool: list[Candidate], location: Location, rng) -> list[Candidate]:
    local = [c for c in pool if c.endpoint.endpoint_id == location.endpoint_id]
    own_region = [c for c in pool if c.endpoint.region == location.region]
    other_regions = [c for c in pool if c.endpoint.region != location.region]
    return (
        local
        + rng.sample(own_region, min(SAMPLE_SIZE, len(own_region)))
        + rng.sample(other_regions, min(OTHER_REGION_SAMPLE_SIZE, len(other_regions)))
    )


def _find_trial(candidates, location, averages, request) -> Candidate | None:
    for candidate in candidates:
        evidence = candidate.evidence
        own_region = candidate.endpoint.region == location.region
        try_readily = request.expendable and own_region
        extra_backoffs = 0.0 if try_readily else EXTRA_TRIAL_BACKOFFS
        if evidence.is_trial_due(request.now, extra_backoffs):
            return candidate
        if try_readily and _is_slow_recheck_due(evidence, averages, request.now):
            return candidate
    return None


def _is_slow_recheck_due(evidence, averages: CandidateAverages, now: float) -> bool:
    # A slow endpoint gets no requests, so its response time is never updated unless
    # it is tried again.
    if not evidence.trusted or evidence.in_flight or evidence.response_s is None:
        return False
    age_s = now - evidence.sampled_at
    slow = evidence.response_s > SLOW_RATIO * averages.response_s
    return slow and age_s > evidence_module.MAX_EVIDENCE_AGE_S


def _delay(endpoint: table.Endpoint, location: Location) -> float:
    if endpoint.endpoint_id == location.endpoint_id:
        return 0.0
    if endpoint.region != location.region:
        return OTHER_REGION_DELAY_S
    return SAME_ZONE_DELAY_S if endpoint.zone == location.zone else OTHER_ZONE_DELAY_S


# ---------------------------------------------------------------------------
#   Baseline policies
# ---------------------------------------------------------------------------


def _two_choices_policy(rng: random.Random) -> Policy:
    def load(candidate: Candidate) -> int:
        report = candidate.evidence.report
        return 0 if report is None else report.busy + report.queued

    return lambda candidates, request: min(
        rng.sample(candidates, min(SAMPLE_SIZE, len(candidates))), key=load
    )


def _round_robin_policy() -> Policy:
    turns = itertools.count()
    return lambda candidates, request: candidates[next(turns) % len(candidates)]


def _in_flight(candidate: Candidate) -> int:
    return candidate.evidence.in_flight
