"""Track the load, response times and failures of an endpoint.

This module does no I/O and starts no threads; callers pass the current time.
"""

import dataclasses
import math

from savoryhollow.wire import messages

__all__ = ["LAST_POSITION", "MAX_EVIDENCE_AGE_S", "EndpointEvidence"]

# Position of a rank that is served after all others.
LAST_POSITION = 1 << 30

# Minimum weight of the newest sample in the smoothed response time.
SAMPLE_WEIGHT = 0.2
# Failure share at which an endpoint becomes distrusted, and below which it is
# trusted again.
DISTRUST_SHARE = 0.5
TRUST_SHARE = 0.25
# Weight of the newest answer in the failure share.
FAILURE_WEIGHT = 0.3
# Minimum and maximum time before a distrusted endpoint is tried again, in s.
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
# Evidence older than this is ignored, in s.
MAX_EVIDENCE_AGE_S = 2.0
# Half-life of the weight of a load report, in s.
REPORT_HALF_LIFE_S = 0.2
# Duration of the slow start of an endpoint that is new or trusted again, in s.
SLOW_START_S = 2.0


@dataclasses.dataclass(slots=True)
class EndpointEvidence:
    """What this process knows about one endpoint.

    All times are readings of the same monotonic clock, in s.

    :param in_flight: number of requests that this process has in flight there.
    :param report: the most recent load report.
    :param reported_at: time at which the report was received.
    :param in_flight_at_report: value of ``in_flight`` at that time.
    :param response_s: smoothed response time in s; None before the first sample.
    :param sampled_at: time of the newest response time sample.
    :param failure_share: smoothed share of answers that were failures.
    :param backoff_s: current backoff of a distrusted endpoint in s; 0 if trusted.
    :param failing_until: time before which a distrusted endpoint isn't tried.
    :param warm_at: time at which the slow start ends.
    :param incarnation: the endpoint's incarnation that the evidence describes.
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
        """Whether the endpoint may be chosen for ordinary requests."""
        return self.backoff_s == 0.0

    # -----------------------------------------------------------------------
    #   Recording
    # -----------------------------------------------------------------------

    def record_start(self) -> None:
        """Record that a request is sent to the endpoint."""
        self.in_flight += 1

    def record_end(self) -> None:
        """Record that a request to the endpoint has ended."""
        self.in_flight -= 1

    def record_report(self, report: messages.LoadReport, now: float) -> None:
        """Record a load report.

        If the report came with the answer to a request, call :meth:`record_end`
        for that request first.
        """
        self.report = report
        self.reported_at = now
        self.in_flight_at_report = self.in_flight

    def record_success(self, response_s: float, now: float) -> None:
        """Record a successful answer.

        :param response_s: the response time, in s.
        :param now: the current time.
        """
        self.failure_share *= 1 - FAILURE_WEIGHT
        if not self.trusted:
            self._regain_trust(now)
        if self.response_s is None:
            self.response_s = response_s
        weight = self._sample_weight(now)
        self.response_s += weight * (response_s - self.response_s)
        self.sampled_at = now

    def record_failure(self, now: float, *, reached: bool) -> None:
        """Record a failure of the endpoint.

        If the endpoint is already distrusted, only a failed trial extends the
        backoff; failures of requests that were sent earlier don't.

        :param now: the current time.
        :param reached: True if the endpoint was reached but the request failed; False
            makes a trusted endpoint distrusted at once.
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
        """Record which incarnation answered.

        If another incarnation was recorded before, discard its measurements and
        failures and begin a slow start.
        """
        if not incarnation or incarnation == self.incarnation:
            return
        if self.incarnation:
            self.clear_measurements()
            self.failure_share = 0.0
            self.backoff_s = 0.0
            self.warm_at = now + SLOW_START_S
        self.incarnation = incarnation

    def clear_measurements(self) -> None:
        """Clear the report and the response time.

        Requests in flight, the failure share and the backoff are kept.
        """
        self.report = None
        self.reported_at = float("-inf")
        self.response_s = None
        self.sampled_at = float("-inf")

    # -----------------------------------------------------------------------
    #   Evaluation
    # -----------------------------------------------------------------------

    def fresh_report(self, now: float) -> messages.LoadReport | None:
        """Return the last report, or None if it is too old."""
        if now - self.reported_at > MAX_EVIDENCE_AGE_S:
            return None
        return self.report

    def report_weight(self, now: float) -> float:
        """Return the weight of the last report by its age, from 0 to 1."""
        age_s = now - self.reported_at
        if age_s > MAX_EVIDENCE_AGE_S:
            return 0.0
        return math.exp2(-max(0.0, age_s) / REPORT_HALF_LIFE_S)

    def load_from_others(self, position: int = LAST_POSITION) -> int:
        """Return the number of requests from other processes at the last report.

        Requests queued behind the given rank don't delay it and are subtracted.
        Some of them may belong to this process, so the result can be negative;
        it is meant to be added to ``in_flight``.

        :param position: position of the rank in the order of urgency, 0 for the
            most urgent.
        """
        if self.report is None:
            return 0
        total = self.report.busy + self.report.queued
        behind = self.report.queued - self.report.queued_before(position)
        return max(0, total - self.in_flight_at_report) - behind

    def slow_start_share(self, now: float) -> float:
        """Return the usable share of the slots during a slow start, from 0 to 1."""
        return min(1.0, max(0.0, 1 - (self.warm_at - now) / SLOW_START_S))

    def is_trial_due(self, now: float, extra_backoffs: float) -> bool:
        """Return True if the endpoint is distrusted and should be tried now.

        :param now: the current time.
        :param extra_backoffs: how many more backoff periods to wait.
        """
        due_at = self.failing_until + extra_backoffs * self.backoff_s
        return not self.trusted and self.in_flight == 0 and now >= due_at

    def _regain_trust(self, now: float) -> None:
        if self.failure_share < TRUST_SHARE:
            self.backoff_s = 0.0
            self.warm_at = now + SLOW_START_S
        else:
            self.backoff_s = MIN_BACKOFF_S
            self.failing_until = now

    def _sample_weight(self, now: float) -> float:
        # The older the last sample is, the more the new one replaces its value.
        age_s = now - self.sampled_at
        return max(SAMPLE_WEIGHT, 1 - math.exp(-age_s / MAX_EVIDENCE_AGE_S))
