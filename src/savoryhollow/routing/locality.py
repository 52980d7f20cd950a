"""Choose an endpoint by the time that a request would lose there.

Bytes between zones cost a little and between regions a lot, and the link between
regions is slow. So distance weighs the more the less a request has to hurry, and
another region is only taken by urgent work that would be late in its own, or where
the own region has no endpoint left to ask.

A few endpoints drawn at random are compared: with all of a large fleet compared,
every router would run to the same one whenever its last report was good.

Pure computation: the caller passes the instant and the source of randomness.
"""

import dataclasses
import math
import random

from savoryhollow.membership import directory
from savoryhollow.routing import placement

__all__ = ["Decision", "LocalityPolicy", "Requirements", "expected_cost_s"]

# Endpoints that are compared for one request, of the own zone and of others each.
SAMPLE_SIZE = 3
# Part of the time to spare that another zone is held to cost, and its limits in s.
ZONE_COST_SHARE = 0.2
MIN_ZONE_COST_S = 0.02
MAX_ZONE_COST_S = 0.3
# Time that another region costs, there and back, in s.
REGION_COST_S = 0.065
# Least time that another region has to save, in s.
MIN_REGION_GAIN_S = 0.15
# Time that a request must have left to be sent to another region, in s.
MIN_CROSS_REGION_TIME_S = 0.2
# The last rank whose work may cross to another region to be in time.
MAX_CROSS_REGION_ORDER = 1
# Work time assumed where no report has come, in s.
DEFAULT_SERVICE_S = 0.2
# Slots assumed where none are known.
DEFAULT_SLOTS = 7
# Part of a work time that a full endpoint is held to cost before one waits.
UTILIZATION_COST = 0.5
# Part of a work time that a cold endpoint is held to cost.
COLD_COST = 1.0
# Age until which a report is believed, as a change would have been told, in s.
REPORT_FULL_WEIGHT_S = 0.6
# Time over which an older one loses half of its weight, in s.
REPORT_HALF_LIFE_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Requirements:
    """What one request needs of an endpoint.

    :param now: the present instant.
    :param objective: the instant until which its answer is of full use.
    :param order: the place of its rank, 0 the most urgent.
    """

    now: float
    objective: float
    order: int

    @property
    def time_left_s(self) -> float:
        """The time until the objective, in s."""
        return self.objective - self.now


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """A choice and the figures that decided it.

    :param cost_s: the time expected to be lost there, in s.
    :param report_age_s: the age of the load report that it rests on, in s.
    :param candidates: how many endpoints could have been chosen.
    """

    candidate: placement.Candidate
    cost_s: float
    report_age_s: float
    candidates: int


def expected_cost_s(candidate: placement.Candidate, now: float) -> float:
    """Return the time that a request would lose at an endpoint, in s.

    :param candidate: the endpoint and its evidence.
    :param now: the present instant.
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
    """Return the time that work takes at an endpoint at its usual pace, in s."""
    report = candidate.evidence.fresh_report(now)
    if report is None:
        return DEFAULT_SERVICE_S
    return max(report.service_us / 1e6, 0.05)


def _report_weight(age_s: float) -> float:
    if age_s <= REPORT_FULL_WEIGHT_S:
        return 1.0
    return math.exp2(-(age_s - REPORT_FULL_WEIGHT_S) / REPORT_HALF_LIFE_S)


class LocalityPolicy:
    """Chooses among the candidates of a request.

    :param location: where this process stands.
    :param rng: the source of randomness.
    """

    def __init__(self, location: placement.Location, rng: random.Random):
        self._location = location
        self._rng = rng

    def is_in_own_region(self, candidate: placement.Candidate) -> bool:
        """Say whether an endpoint stands in the region of this process."""
        return candidate.endpoint.region == self._location.region

    def choose(
        self, candidates: list[placement.Candidate], requirements: Requirements
    ) -> Decision | None:
        """Return the endpoint for a request, or None where there is none.

        :param candidates: the endpoints that it may be sent to.
        :param requirements: the request.
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
