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
ZONE_SHARE = 0.2
MIN_ZONE_COST_S = 0.02
MAX_ZONE_COST_S = 0.3
# Time that another region costs, there and back, in s.
REGION_COST_S = 0.065
# Least time that another region has to save, in s.
REGION_GAIN_S = 0.15
# Time that a request must have left to be sent to another region, in s.
MIN_CROSSING_S = 0.2
# The last rank whose work may cross to another region to be in time.
LAST_CROSSING_ORDER = 1
# Work time assumed where no report has come, in s.
FIRST_SERVICE_S = 0.2
# Slots assumed where none are known.
FIRST_SLOTS = 7
# Part of a work time that a full endpoint is held to cost before one waits.
CROWDING = 0.5
# Part of a work time that a cold endpoint is held to cost.
COLDNESS = 1.0
# Age until which a report is believed, as a change would have been told, in s.
REPORT_LIFE_S = 0.6
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
    def left_s(self) -> float:
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
    weight = _weight(now - evidence.reported_at)
    service_s = service_time_s(candidate, now)
    slots = FIRST_SLOTS
    pace = 1.0
    spell_s = 0.0
    if report is not None:
        slots = report.slots
        pace = 1 + weight * max(0.0, report.pace_percent / 100 - 1)
        spell_s = weight * report.spell_us / 1e6
    ahead = evidence.in_flight + weight * evidence.load_from_others()
    waiting = max(0.0, ahead + 1 - slots) / slots
    crowding = CROWDING * min(1.0, ahead / slots)
    cold = isinstance(endpoint, directory.KnownEndpoint) and endpoint.cold_until > now
    coldness = COLDNESS if cold and pace < 1 + COLDNESS else 0.0
    return spell_s + service_s * (pace * (1 + waiting) - 1 + crowding + coldness)


def service_time_s(candidate: placement.Candidate, now: float) -> float:
    """Return the time that work takes at an endpoint at its usual pace, in s."""
    report = candidate.evidence.fresh_report(now)
    if report is None:
        return FIRST_SERVICE_S
    return max(report.service_us / 1e6, 0.05)


def _weight(age_s: float) -> float:
    if age_s <= REPORT_LIFE_S:
        return 1.0
    return math.exp2(-(age_s - REPORT_LIFE_S) / REPORT_HALF_LIFE_S)


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
        usable = [c for c in candidates if _is_open(c, requirements.now)] or candidates
        near = self._best([c for c in usable if self.is_in_own_region(c)], requirements)
        if near is not None and not self._may_cross(near, requirements):
            return near
        far = self._best(
            [c for c in usable if not self.is_in_own_region(c)], requirements
        )
        if far is None or near is None:
            return near or far
        return far if far.cost_s + REGION_GAIN_S < near.cost_s else near

    def _best(
        self, pool: list[placement.Candidate], requirements: Requirements
    ) -> Decision | None:
        if not pool:
            return None
        own = [c for c in pool if c.endpoint.zone == self._location.zone]
        others = [c for c in pool if c.endpoint.zone != self._location.zone]
        sample = self._draw(own) + self._draw(others)
        costs = [
            expected_cost_s(c, requirements.now) + self._distance_s(c, requirements)
            for c in sample
        ]
        cost_s = min(costs)
        best = sample[costs.index(cost_s)]
        return Decision(
            best, cost_s, requirements.now - best.evidence.reported_at, len(pool)
        )

    def _draw(self, pool: list[placement.Candidate]) -> list[placement.Candidate]:
        return self._rng.sample(pool, min(SAMPLE_SIZE, len(pool)))

    def _distance_s(
        self, candidate: placement.Candidate, requirements: Requirements
    ) -> float:
        if not self.is_in_own_region(candidate):
            return REGION_COST_S
        if candidate.endpoint.zone == self._location.zone:
            return 0.0
        spare_s = requirements.left_s - service_time_s(candidate, requirements.now)
        return min(MAX_ZONE_COST_S, max(MIN_ZONE_COST_S, ZONE_SHARE * spare_s))

    @staticmethod
    def _may_cross(near: Decision, requirements: Requirements) -> bool:
        if (
            requirements.order > LAST_CROSSING_ORDER
            or requirements.left_s < MIN_CROSSING_S
        ):
            return False
        return near.cost_s > requirements.left_s - service_time_s(
            near.candidate, requirements.now
        )


def _is_open(candidate: placement.Candidate, now: float) -> bool:
    evidence = candidate.evidence
    report = evidence.fresh_report(now)
    if report is not None and report.leaving:
        return False
    return evidence.trusted or evidence.is_trial_due(now, 0.0)
