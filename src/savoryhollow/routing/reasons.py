"""Explain the choice of an endpoint for the placement record."""

import math

from savoryhollow.observe import placements
from savoryhollow.routing import placement

__all__ = ["explain"]


def explain(
    candidate: placement.Candidate,
    candidates: list[placement.Candidate],
    location: placement.Location,
    request: placement.PlacementRequest,
) -> placements.Choice:
    """Return the evidence and the expected cost of the chosen endpoint.

    :param candidate: the chosen endpoint; its evidence already counts this request
        as in flight.
    :param candidates: the candidates that it was chosen from.
    :param location: the location of this process.
    :param request: the request, with the time of the choice.
    :returns: the evidence and the expected cost at that time.
    """
    evidence = candidate.evidence
    report = evidence.fresh_report(request.now)
    age_s = request.now - evidence.reported_at
    averages = placement.average_candidates(candidates, request)
    cost_s = placement.expected_cost(candidate, location, averages, request)
    return placements.Choice(
        expected_ms=cost_s * 1e3,
        in_flight=evidence.in_flight,
        busy=None if report is None else report.busy,
        queued=None if report is None else report.queued,
        evidence_age_ms=age_s * 1e3 if math.isfinite(age_s) else None,
        failing=not evidence.trusted,
    )
