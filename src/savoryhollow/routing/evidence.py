"""What this process knows of the load of each endpoint."""

import dataclasses

from savoryhollow.wire import messages

__all__ = ["EndpointEvidence"]

# Weight of the newest sample in smoothed times.
SAMPLE_WEIGHT = 0.2
# Response time assumed before the first sample, in s.
FIRST_RESPONSE_S = 0.02
# Time over which a failure is forgotten, in s.
FAILURE_MEMORY_S = 5.0
# Evidence older than this counts as unknown, in s.
EVIDENCE_LIMIT_S = 2.0


@dataclasses.dataclass(slots=True)
class EndpointEvidence:
    """Evidence about one endpoint.

    :param in_flight: requests that this process has open there.
    :param report: the load carried by the last answer.
    :param reported_at: the instant at which it came.
    :param response_s: smoothed response time, in s.
    :param failing_until: until then it is chosen only where nothing else is.
    :param incarnation: the incarnation that the evidence is about.
    """

    in_flight: int = 0
    report: messages.LoadReport | None = None
    reported_at: float = float("-inf")
    response_s: float = FIRST_RESPONSE_S
    failing_until: float = float("-inf")
    failures: int = 0
    incarnation: str = ""

    def begin(self) -> None:
        """Note that a request is sent there."""
        self.in_flight += 1

    def end(
        self, report: messages.LoadReport | None, response_s: float | None, now: float
    ) -> None:
        """Note that a request there has ended.

        :param report: the load carried by its answer, if one came.
        :param response_s: its response time in s, if it was served.
        :param now: the present instant.
        """
        self.in_flight -= 1
        if report is not None:
            self.report = report
            self.reported_at = now
        if response_s is not None:
            self.response_s += SAMPLE_WEIGHT * (response_s - self.response_s)
            self.failures = 0

    def fail(self, now: float) -> None:
        """Note that the endpoint failed."""
        self.failures += 1
        self.failing_until = now + min(FAILURE_MEMORY_S, 0.1 * 2**self.failures)

    def fresh_report(self, now: float) -> messages.LoadReport | None:
        """Return the last report, or None where it is too old to be used."""
        if now - self.reported_at > EVIDENCE_LIMIT_S:
            return None
        return self.report
