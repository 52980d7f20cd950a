"""Choose an endpoint near the caller by the wait that is expected there.

Bytes between regions are dear and the link is slow, so another region is only
taken where the own one has no endpoint left to ask. Two endpoints drawn at random
are compared: with all of them compared, every router would run to the same one
whenever its last report was good.

Pure computation: the caller passes the instant and the source of randomness.
"""

import dataclasses
import random

from savoryhollow.membership import directory
from savoryhollow.routing import placement

__all__ = ["NearbyPolicy", "Placed", "expected_cost_s"]

# Endpoints that are compared for one request.
SAMPLE_SIZE = 3
# Time that another zone of the region is held to cost, for its delay and price, in s.
ZONE_COST_S = 0.06
# Work time assumed where no report has come, in s.
FIRST_SERVICE_S = 0.2
# Slots assumed where none are known.
FIRST_SLOTS = 7
# Part of a work time that a full endpoint is held to cost before one waits.
CROWDING = 0.5
# Part of a work time that a cold endpoint is held to cost.
COLDNESS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """A choice and the figures that decided it.

    :param cost_s: the wait expected there, in s.
    :param report_age_s: the age of the load report that it rests on, in s.
    :param candidates: how many endpoints could have been chosen.
    """

    candidate: placement.Candidate
    cost_s: float
    report_age_s: float
    candidates: int


def expected_cost_s(
    candidate: placement.Candidate, vantage: placement.Vantage, now: float
) -> float:
    """Return the time that a request would lose at an endpoint, in s.

    :param candidate: the endpoint and its evidence.
    :param vantage: where this process stands.
    :param now: the present instant.
    """
    evidence = candidate.evidence
    endpoint = candidate.endpoint
    report = evidence.fresh_report(now)
    weight = evidence.report_weight(now)
    service_s = FIRST_SERVICE_S
    slots = FIRST_SLOTS
    pace = 1.0
    if report is not None:
        slots = report.slots
        service_s = max(report.service_us / 1e6, 0.05)
        pace = 1 + weight * (report.pace_percent / 100 - 1)
    ahead = evidence.in_flight + weight * evidence.load_of_others()
    waiting = max(0.0, ahead + 1 - slots) / slots
    crowding = CROWDING * min(1.0, ahead / slots)
    cold = isinstance(endpoint, directory.KnownEndpoint) and endpoint.cold_until > now
    coldness = COLDNESS if cold else 0.0
    distance_s = 0.0 if endpoint.zone == vantage.zone else ZONE_COST_S
    return service_s * (pace * (1 + waiting) - 1 + crowding + coldness) + distance_s


class NearbyPolicy:
    """Chooses among the candidates of a request.

    :param vantage: where this process stands.
    :param rng: the source of randomness.
    """

    def __init__(self, vantage: placement.Vantage, rng: random.Random):
        self._vantage = vantage
        self._rng = rng

    def is_near(self, candidate: placement.Candidate) -> bool:
        """Say whether an endpoint stands in the region of this process."""
        return candidate.endpoint.region == self._vantage.region

    def choose(
        self, candidates: list[placement.Candidate], now: float
    ) -> Placed | None:
        """Return the endpoint for a request, or None where there is none.

        :param candidates: the endpoints that it may be sent to.
        :param now: the present instant.
        """
        near = [c for c in candidates if self.is_near(c)]
        pool = [c for c in near if _is_open(c, now)]
        pool = pool or [c for c in candidates if _is_open(c, now)] or near or candidates
        if not pool:
            return None
        sample = self._rng.sample(pool, min(SAMPLE_SIZE, len(pool)))
        costs = [expected_cost_s(c, self._vantage, now) for c in sample]
        cost_s = min(costs)
        best = sample[costs.index(cost_s)]
        age_s = now - best.evidence.reported_at
        return Placed(best, cost_s, age_s, len(pool))


def _is_open(candidate: placement.Candidate, now: float) -> bool:
    evidence = candidate.evidence
    report = evidence.fresh_report(now)
    if report is not None and report.leaving:
        return False
    return evidence.trusted or evidence.trial_due(now, 0.0)
