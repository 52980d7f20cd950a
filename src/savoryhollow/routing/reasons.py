"""Say why an endpoint was chosen, for the placement record."""

import math

from savoryhollow.observe import placements
from savoryhollow.routing import placement

__all__ = ["explain"]


def explain(
    candidate: placement.Candidate, vantage: placement.Vantage, now: float
) -> placements.Choice:
    """Return what was known of an endpoint when it was chosen.

    :param candidate: the endpoint, its evidence with this request noted.
    :param vantage: where this process stands.
    :param now: the instant of the choice.
    :returns: the evidence, and the response time that followed from it.
    """
    evidence = candidate.evidence
    report = evidence.fresh_report(now)
    age_s = now - evidence.reported_at
    return placements.Choice(
        expected_ms=placement.expected_response(candidate, vantage, now) * 1e3,
        in_flight=evidence.in_flight,
        busy=None if report is None else report.busy,
        queued=None if report is None else report.queued,
        evidence_age_ms=age_s * 1e3 if math.isfinite(age_s) else None,
        failing=not evidence.trusted,
    )
