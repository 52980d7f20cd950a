"""What this process knows of the load of each endpoint.

Pure computation: no threads, sockets or clocks. The caller passes the instant.
"""

import dataclasses
import math

from savoryhollow.wire import messages

__all__ = ["LAST_POSITION", "MAX_EVIDENCE_AGE_S", "EndpointEvidence"]

# The place in the order of a rank before which everything is served.
LAST_POSITION = 1 << 30

# Least weight of the newest sample in smoothed figures.
SAMPLE_WEIGHT = 0.2
# Share of failures from which an endpoint is distrusted, and below which it is
# trusted again.
DISTRUST_SHARE = 0.5
TRUST_SHARE = 0.25
# Weight of the newest answer in the share of failures.
FAILURE_WEIGHT = 0.3
# Shortest and longest time before a distrusted endpoint is tried again, in s.
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
# Evidence older than this counts as unknown, in s.
MAX_EVIDENCE_AGE_S = 2.0
# Time over which a report loses half of its weight, in s.
REPORT_HALF_LIFE_S = 0.2
# Time over which an endpoint that is new or trusted again gets its full part, in s.
SLOW_START_S = 2.0


@dataclasses.dataclass(slots=True)
class EndpointEvidence:
    """Evidence about one endpoint.

    :param in_flight: requests that this process has open there.
    :param report: the load carried by the last answer.
    :param reported_at: the instant at which it came.
    :param in_flight_at_report: requests open there at that instant.
    :param response_s: smoothed response time in s; None before the first sample.
    :param sampled_at: the instant of the newest sample.
    :param failure_share: smoothed share of answers that were failures.
    :param backoff_s: how long the endpoint is left alone, in s; 0 if trusted.
    :param failing_until: until then a distrusted endpoint isn't tried.
    :param warm_at: the instant from which it gets its full part.
    :param incarnation: the incarnation that the evidence is about.
    """

    in_flight: int = 0
    report: messages.LoadReport | None = None
    reported_at: float = float("-inf")
    in_flight_at_report: int = 0
    response_s: float | None = None
    sampled_at: float = float("-inf")
    failure_share: float = 0.0
    backoff_s: float = 0.0
    failing_until: float = float("-inf")
    warm_at: float = float("-inf")
    incarnation: str = ""

    @property
    def trusted(self) -> bool:
        """Whether it may be chosen for ordinary work."""
        return self.backoff_s == 0.0

    # -----------------------------------------------------------------------
    #   Learning
    # -----------------------------------------------------------------------

    def record_start(self) -> None:
        """Note that a request is sent there."""
        self.in_flight += 1

    def record_end(self) -> None:
        """Note that a request there has ended."""
        self.in_flight -= 1

    def record_report(self, report: messages.LoadReport, now: float) -> None:
        """Take in a load report; call it after :meth:`record_end`."""
        self.report = report
        self.reported_at = now
        self.in_flight_at_report = self.in_flight

    def record_success(self, response_s: float, now: float) -> None:
        """Note an answer of use.

        :param response_s: its response time, in s.
        :param now: the present instant.
        """
        self.failure_share *= 1 - FAILURE_WEIGHT
        if not self.trusted:
            self._regain_trust(now)
        if self.response_s is None:
            self.response_s = response_s
        weight = self._weight_of_sample(now)
        self.response_s += weight * (response_s - self.response_s)
        self.sampled_at = now

    def record_failure(self, now: float, *, reached: bool) -> None:
        """Note that the endpoint failed.

        A failure of a request that was sent before distrust began doesn't
        lengthen it: only a failed trial does.

        :param now: the present instant.
        :param reached: whether it answered, though with a failure.
        """
        self.failure_share += FAILURE_WEIGHT * (1 - self.failure_share)
        if reached and self.trusted and self.failure_share < DISTRUST_SHARE:
            return
        if self.trusted:
            self.backoff_s = MIN_BACKOFF_S
            self.failing_until = now + self.backoff_s
        elif now >= self.failing_until:
            self.backoff_s = min(MAX_BACKOFF_S, 2 * self.backoff_s)
            self.failing_until = now + self.backoff_s

    def record_incarnation(self, incarnation: str, now: float) -> None:
        """Note which incarnation answers; of a new one nothing is known yet."""
        if not incarnation or incarnation == self.incarnation:
            return
        if self.incarnation:
            self.clear_measurements()
            self.failure_share = 0.0
            self.backoff_s = 0.0
            self.warm_at = now + SLOW_START_S
        self.incarnation = incarnation

    def clear_measurements(self) -> None:
        """Drop what was measured; requests in flight and distrust remain."""
        self.report = None
        self.reported_at = float("-inf")
        self.response_s = None
        self.sampled_at = float("-inf")

    # -----------------------------------------------------------------------
    #   Judging
    # -----------------------------------------------------------------------

    def fresh_report(self, now: float) -> messages.LoadReport | None:
        """Return the last report, or None where it is too old to be used."""
        if now - self.reported_at > MAX_EVIDENCE_AGE_S:
            return None
        return self.report

    def report_weight(self, now: float) -> float:
        """Return how far the last report may be believed, from 0 to 1."""
        age = now - self.reported_at
        if age > MAX_EVIDENCE_AGE_S:
            return 0.0
        return math.exp2(-max(0.0, age) / REPORT_HALF_LIFE_S)

    def load_from_others(self, position: int = LAST_POSITION) -> int:
        """Return the requests that others had there at the last report.

        Requests that wait behind a rank don't stand in its way and are taken
        off. They may be this process's own, so the figure may be negative; it
        is one to be added to those in flight.

        :param position: the place of the rank in the order, 0 the most urgent.
        """
        if self.report is None:
            return 0
        there = self.report.busy + self.report.queued
        behind = self.report.queued - self.report.queued_before(position)
        return max(0, there - self.in_flight_at_report) - behind

    def slow_start_share(self, now: float) -> float:
        """Return the part of its slots that may be counted on, from 0 to 1."""
        return min(1.0, max(0.0, 1 - (self.warm_at - now) / SLOW_START_S))

    def is_trial_due(self, now: float, patience: float) -> bool:
        """Say whether a distrusted endpoint should be tried.

        :param now: the present instant.
        :param patience: how many further backoffs to wait.
        """
        waits_until = self.failing_until + patience * self.backoff_s
        return not self.trusted and self.in_flight == 0 and now >= waits_until

    def _regain_trust(self, now: float) -> None:
        if self.failure_share < TRUST_SHARE:
            self.backoff_s = 0.0
            self.warm_at = now + SLOW_START_S
        else:
            self.backoff_s = MIN_BACKOFF_S
            self.failing_until = now

    def _weight_of_sample(self, now: float) -> float:
        # An old figure says little: the first sample after a gap replaces it.
        age = now - self.sampled_at
        return max(SAMPLE_WEIGHT, 1 - math.exp(-age / MAX_EVIDENCE_AGE_S))
