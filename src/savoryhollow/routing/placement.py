"""Choose an endpoint for a request.

A policy is a plain function of the candidates, their evidence and the instant.
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

# Delay assumed for an endpoint in the same zone, another zone or region, in s.
SAME_ZONE_DELAY_S = 0.0002
OTHER_ZONE_DELAY_S = 0.001
OTHER_REGION_DELAY_S = 0.06
# Candidates of the own region, and of others, whose scores are compared.
SAMPLE_SIZE = 2
OTHER_REGION_SAMPLE_SIZE = 1
# Response time assumed where none is known, in s.
DEFAULT_RESPONSE_S = 0.02
# An endpoint is slow where its response time exceeds the usual one by this ratio.
SLOW_RATIO = 1.5
# Slots assumed where no report has come.
DEFAULT_SLOTS = 4
# Part of a response time that a full endpoint is held to cost before one waits.
UTILIZATION_COST = 0.1
UTILIZATION_EXPONENT = 4
# Requests that may be spent on trying endpoints, per request.
TRIAL_SHARE = 0.01
# Backoffs that a request waits which had better not fail.
EXTRA_TRIAL_BACKOFFS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """Where this process stands."""

    endpoint_id: str
    region: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint and what is known of it."""

    endpoint: table.Endpoint
    evidence: evidence_module.EndpointEvidence


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """One request that needs an endpoint.

    :param now: the present instant.
    :param expendable: whether its failure would cost little, so that it may
        readily be used to try an endpoint again.
    :param position: the place of its rank in the order, 0 the most urgent.
    """

    now: float
    expendable: bool = False
    position: int = evidence_module.LAST_POSITION


Policy = collections.abc.Callable[[list[Candidate], PlacementRequest], Candidate]


def make_policy(name: str, location: Location, rng: random.Random) -> Policy:
    """Return the policy of a name.

    :param name: one of the names that the settings allow.
    :param location: where this process stands.
    :param rng: the source of randomness.
    :returns: a function that chooses one of several candidates.
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
    """What is usual among the candidates; stands in where nothing is known.

    :param response_s: the median response time, in s.
    :param load_from_others: the mean load that other processes put on one.
    """

    response_s: float
    load_from_others: float


def average_candidates(
    candidates: list[Candidate], request: PlacementRequest
) -> CandidateAverages:
    """Return what is usual among candidates."""
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
    """Return the time that a request would lose at an endpoint, in s.

    It adds up the delay to get there, the wait for a slot, and what a slow endpoint
    takes beyond the usual. Failures are no part of it: an endpoint is trusted or
    not, as one that is merely shunned would never be tried again.

    :param candidate: the endpoint and its evidence.
    :param location: where this process stands.
    :param averages: what is usual among the candidates.
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
    # Work that waits behind this rank is taken off, and may be this process's own.
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
    # Slow endpoints get no work, so none of it shows when they are well again.
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
#   Baselines
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
