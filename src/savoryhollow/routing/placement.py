"""Choose an endpoint for a request.

A policy is a plain function of the candidates, their evidence and the instant.
"""

import collections.abc
import dataclasses
import itertools
import random

from savoryhollow.membership import table
from savoryhollow.routing import evidence as evidence_module

__all__ = ["Candidate", "Policy", "Vantage", "make_policy"]

# Delay assumed for an endpoint in the same zone, another zone or region, in s.
ZONE_DELAY_S = 0.0002
REGION_DELAY_S = 0.001
REMOTE_DELAY_S = 0.06
# Candidates whose scores are compared.
SAMPLE_SIZE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Vantage:
    """Where this process stands."""

    endpoint_id: str
    region: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint and what is known of it."""

    endpoint: table.Endpoint
    evidence: evidence_module.EndpointEvidence


Policy = collections.abc.Callable[[list[Candidate], float], Candidate]


def make_policy(name: str, vantage: Vantage, rng: random.Random) -> Policy:
    """Return the policy of a name.

    :param name: one of the names that the settings allow.
    :param vantage: where this process stands.
    :param rng: the source of randomness.
    :returns: a function that chooses one of several candidates.
    """
    if name == "random":
        return lambda candidates, now: rng.choice(candidates)
    if name == "round-robin":
        return _round_robin()
    if name == "least-in-flight":
        return lambda candidates, now: min(
            rng.sample(candidates, len(candidates)), key=_in_flight
        )
    if name == "two-choices":
        return _two_choices(rng)
    return _by_evidence(vantage, rng)


def expected_response(candidate: Candidate, vantage: Vantage, now: float) -> float:
    """Return the response time to expect of an endpoint, in s."""
    evidence = candidate.evidence
    report = evidence.fresh_report(now)
    delay = _delay(candidate.endpoint, vantage)
    if report is None:
        return delay + evidence.response_s * (1 + evidence.in_flight)
    service_s = report.service_us / 1e6
    ahead = max(report.busy + report.queued, evidence.in_flight)
    waiting = max(0, ahead + 1 - report.slots)
    return delay + service_s * (1 + waiting / report.slots) + 1e-6 * ahead


def _by_evidence(vantage: Vantage, rng: random.Random) -> Policy:
    def choose(candidates: list[Candidate], now: float) -> Candidate:
        sound = [c for c in candidates if c.evidence.failing_until <= now]
        pool = sound or candidates
        local = [c for c in pool if c.endpoint.endpoint_id == vantage.endpoint_id]
        sample = rng.sample(pool, min(SAMPLE_SIZE, len(pool)))
        return min(local + sample, key=lambda c: expected_response(c, vantage, now))

    return choose


def _two_choices(rng: random.Random) -> Policy:
    def load(candidate: Candidate) -> int:
        report = candidate.evidence.report
        return 0 if report is None else report.busy + report.queued

    return lambda candidates, now: min(
        rng.sample(candidates, min(SAMPLE_SIZE, len(candidates))), key=load
    )


def _round_robin() -> Policy:
    turns = itertools.count()
    return lambda candidates, now: candidates[next(turns) % len(candidates)]


def _in_flight(candidate: Candidate) -> int:
    return candidate.evidence.in_flight


def _delay(endpoint: table.Endpoint, vantage: Vantage) -> float:
    if endpoint.endpoint_id == vantage.endpoint_id:
        return 0.0
    if endpoint.region != vantage.region:
        return REMOTE_DELAY_S
    return ZONE_DELAY_S if endpoint.zone == vantage.zone else REGION_DELAY_S
