"""Locality-aware choice of an endpoint by the expected cost in time.

Traffic between zones is cheap, traffic between regions is expensive, and the link
between regions is slow. The cost of another zone therefore grows with the time that
a request has to spare. Another region is chosen only for an urgent request that
would miss its objective in this region, or if this region has no candidate left.

Only a few random candidates are compared. If every router compared the whole of a
large fleet, all of them would choose the endpoint with the best last report.

This module does no I/O; callers pass the current time and the random number
generator.
"""

import dataclasses
import math
import random

from savoryhollow.membership import directory
from savoryhollow.routing import placement

__all__ = [
    "Decision",
    "LocalityPolicy",
    "Requirements",
    "can_start_at_once",
    "can_start_in_time",
    "expected_cost_s",
]

# Number of endpoints to compare from this zone and from other zones each.
SAMPLE_SIZE = 3
# Cost of another zone as a share of the time to spare, and its limits in s.
ZONE_COST_SHARE = 0.2
MIN_ZONE_COST_S = 0.02
MAX_ZONE_COST_S = 0.3
# Cost of another region: the network round-trip time, in s.
REGION_COST_S = 0.065
# Minimum advantage of another region for it to be chosen, in s.
MIN_REGION_GAIN_S = 0.15
# Minimum time until the objective for a request to be sent to another region, in s.
MIN_CROSS_REGION_TIME_S = 0.2
# Order of the least urgent rank that may go to another region to meet its objective.
MAX_CROSS_REGION_ORDER = 1
# Service time assumed if no load report tells it, in s.
DEFAULT_SERVICE_S = 0.2
# Minimum service time that is assumed, in s.
MIN_SERVICE_S = 0.05
# Number of slots assumed without a load report.
DEFAULT_SLOTS = 7
# Cost of an endpoint with all slots in use and an empty queue, as a share of its
# service time.
UTILIZATION_COST = 0.5
# Cost of a cold endpoint, as a share of its service time.
COLD_COST = 1.0
# Age up to which a report has full weight, in s. Endpoints report changes, so no
# newer report means no change.
REPORT_FULL_WEIGHT_S = 0.6
# Half-life of the weight of an older report, in s.
REPORT_HALF_LIFE_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Requirements:
    """Time and rank by which an endpoint is chosen for a request.

    :param now: the current time.
    :param objective: time until which the answer has its full value.
    :param order: order of the request's rank, 0 for the most urgent.
    :param deadline: time after which the answer is of no use.
    """

    now: float
    objective: float
    order: int
    deadline: float = float("inf")

    @property
    def time_left_s(self) -> float:
        """Time until the objective, in s."""
        return self.objective - self.now


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The chosen candidate and the values that the choice is based on.

    :param cost_s: expected cost of the candidate, in s.
    :param report_age_s: age of its load report, in s.
    :param candidates: number of endpoints that could have been chosen.
    """

    candidate: placement.Candidate
    cost_s: float
    report_age_s: float
    candidates: int


def expected_cost_s(candidate: placement.Candidate, now: float) -> float:
    """Return the expected cost of an endpoint without its distance, in s.

    :param candidate: the endpoint and its evidence.
    :param now: the current time.
    """
    evidence = candidate.evidence
    endpoint = candidate.endpoint
    report = evidence.fresh_report(now)
    weight = _report_weight(now - evidence.reported_at)
    service_s = service_time_s(candidate, now)
    slots = DEFAULT_SLOTS
    pace = 1.0
    spell_s = 0.0
    if report is not None:
        slots = report.slots
        pace = 1 + weight * max(0.0, report.pace_percent / 100 - 1)
        spell_s = weight * report.spell_us / 1e6
    ahead = evidence.in_flight + weight * evidence.load_from_others()
    waiting = max(0.0, ahead + 1 - slots) / slots
    utilization_cost = UTILIZATION_COST * min(1.0, ahead / slots)
    cold = isinstance(endpoint, directory.KnownEndpoint) and endpoint.cold_until > now
    cold_cost = COLD_COST if cold and pace < 1 + COLD_COST else 0.0
    return spell_s + service_s * (
        pace * (1 + waiting) - 1 + utilization_cost + cold_cost
    )


def service_time_s(candidate: placement.Candidate, now: float) -> float:
    """Return the service time of an endpoint at its usual pace, in s."""
    report = candidate.evidence.fresh_report(now)
    if report is None or not report.service_us:
        return DEFAULT_SERVICE_S
    return max(report.service_us / 1e6, MIN_SERVICE_S)


def can_start_at_once(candidate: placement.Candidate, now: float) -> bool:
    """Return False if a recent report shows that no slot is free.

    A slow spell may have ended since, so it doesn't count.

    :param candidate: the endpoint and its evidence.
    :param now: the current time.
    """
    evidence = candidate.evidence
    report = evidence.report
    if report is None or now - evidence.reported_at > REPORT_FULL_WEIGHT_S:
        return True
    return report.busy < report.slots and not report.queued


def can_start_in_time(
    candidate: placement.Candidate, requirements: Requirements
) -> bool:
    """Return False if the last report shows that a request would expire in the queue.

    :param candidate: the endpoint and its evidence.
    :param requirements: the requirements of the request.
    """
    report = candidate.evidence.fresh_report(requirements.now)
    if report is None:
        return True
    ahead = report.queued_before(requirements.order)
    ends_needed = max(0, report.busy + 1 - report.slots)
    wait_s = (ahead + ends_needed) * report.service_us / 1e6 / report.slots
    return requirements.now + wait_s < requirements.deadline


def _report_weight(age_s: float) -> float:
    if age_s <= REPORT_FULL_WEIGHT_S:
        return 1.0
    return math.exp2(-(age_s - REPORT_FULL_WEIGHT_S) / REPORT_HALF_LIFE_S)


class LocalityPolicy:
    """Chooses an endpoint for a request among the candidates.

    :param location: the location of this process.
    :param rng: the random number generator to use.
    """

    def __init__(self, location: placement.Location, rng: random.Random):
        self._location = location
        self._rng = rng

    def is_in_own_region(self, candidate: placement.Candidate) -> bool:
        """Return True if the endpoint is in the region of this process."""
        return candidate.endpoint.region == self._location.region

    def choose(
        self, candidates: list[placement.Candidate], requirements: Requirements
    ) -> Decision | None:
        """Return the chosen endpoint, or None if there are no candidates.

        :param candidates: the endpoints that the request may be sent to.
        :param requirements: the requirements of the request.
        """
        usable = [
            c for c in candidates if _is_usable(c, requirements.now)
        ] or candidates
        own = self._best([c for c in usable if self.is_in_own_region(c)], requirements)
        if own is not None and not self._may_cross_region(own, requirements):
            return own
        other = self._best(
            [c for c in usable if not self.is_in_own_region(c)], requirements
        )
        if other is None or own is None:
            return own or other
        return other if other.cost_s + MIN_REGION_GAIN_S < own.cost_s else own

    def _best(
        self, pool: list[placement.Candidate], requirements: Requirements
    ) -> Decision | None:
        if not pool:
            return None
        own_zone = [c for c in pool if c.endpoint.zone == self._location.zone]
        other_zones = [c for c in pool if c.endpoint.zone != self._location.zone]
        sample = self._sample(own_zone) + self._sample(other_zones)
        costs = [
            expected_cost_s(c, requirements.now)
            + self._distance_cost_s(c, requirements)
            for c in sample
        ]
        cost_s = min(costs)
        best = sample[costs.index(cost_s)]
        return Decision(
            best, cost_s, requirements.now - best.evidence.reported_at, len(pool)
        )

    def _sample(self, pool: list[placement.Candidate]) -> list[placement.Candidate]:
        return self._rng.sample(pool, min(SAMPLE_SIZE, len(pool)))

    def _distance_cost_s(
        self, candidate: placement.Candidate, requirements: Requirements
    ) -> float:
        if not self.is_in_own_region(candidate):
            return REGION_COST_S
        if candidate.endpoint.zone == self._location.zone:
            return 0.0
        spare_s = requirements.time_left_s - service_time_s(candidate, requirements.now)
        return min(MAX_ZONE_COST_S, max(MIN_ZONE_COST_S, ZONE_COST_SHARE * spare_s))

    @staticmethod
    def _may_cross_region(own: Decision, requirements: Requirements) -> bool:
        if (
            requirements.order > MAX_CROSS_REGION_ORDER
            or requirements.time_left_s < MIN_CROSS_REGION_TIME_S
        ):
            return False
        return own.cost_s > requirements.time_left_s - service_time_s(
            own.candidate, requirements.now
        )


def _is_usable(candidate: placement.Candidate, now: float) -> bool:
    evidence = candidate.evidence
    report = evidence.fresh_report(now)
    if report is not None and report.leaving:
        return False
    return evidence.trusted or evidence.is_trial_due(now, 0.0)
