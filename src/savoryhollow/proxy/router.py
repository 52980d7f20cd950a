"""Route calls to endpoints, with retries limited by a budget."""

import asyncio
import collections.abc
import enum
import itertools

from savoryhollow import calls, errors
from savoryhollow.budgets import retries
from savoryhollow.membership import directory
from savoryhollow.observe import events
from savoryhollow.proxy import attempts, gate_choice, links, options, outcomes
from savoryhollow.proxy import gate as gate_module
from savoryhollow.recovery import retrying
from savoryhollow.routing import evidence as evidence_module
from savoryhollow.routing import nearby, placement, subsets
from savoryhollow.wire import messages

__all__ = ["MAX_FORWARDED_BODY_BYTES", "Router"]

# A longer body doesn't fit into a message between daemons, in bytes.
MAX_FORWARDED_BODY_BYTES = 16 << 20
# Attempts after which a call is given up, not counting bounces.
MAX_GATES_ASKED = 4


class GiveUpReason(enum.Enum):
    """Why no further attempt is made for a call."""

    DEADLINE = "deadline"
    GATES_ASKED = "gates-asked"
    ATTEMPTS = "attempts"
    BUDGET = "budget"
    NO_ENDPOINT = "no-endpoint"


class Router:
    """Sends calls to endpoints.

    :param location: the region and zone of this process.
    :param host: the IP address of this instance, which identifies its endpoint.
    :param members: the known endpoints.
    :param local_gate: the gate of this process.
    :param policy: chooses one of several candidates.
    :param retry_rules: the retry budget of each service.
    :param open_link: opens a link to a daemon, given its endpoint id, host and port.
    :param clock: returns the current time.
    """

    def __init__(
        self,
        location: placement.Location,
        host: str,
        members: directory.Directory,
        local_gate: gate_module.Gate,
        policy: nearby.LocalityPolicy,
        retry_rules: options.RetryRules,
        open_link: collections.abc.Callable[[str, str, int], links.Link],
        clock: collections.abc.Callable[[], float],
    ):
        self._location = location
        self._host = host
        self._members = members
        self._gate = local_gate
        self._policy = policy
        self._retry_rules = retry_rules
        self.open_link = open_link
        self._clock = clock
        self._attempt_numbers = itertools.count(1)
        self._started_at = clock()
        self.links_by_host: dict[str, links.Link] = {}
        self.evidence_by_id: dict[str, evidence_module.EndpointEvidence] = {}
        self.budgets_by_service: dict[str, retries.SharedRetryBudget] = {}
        self._subsets_by_service: dict[str, list[directory.KnownEndpoint]] = {}

    # -----------------------------------------------------------------------
    #   Endpoints
    # -----------------------------------------------------------------------

    def update_endpoints(self) -> None:
        """Open links to the subset of endpoints in use, and drop removed endpoints."""
        self._subsets_by_service.clear()
        by_host = self._members.endpoints_by_host
        for service in self.budgets_by_service:
            for endpoint in self._subset(service):
                self.link(endpoint)
        for host in tuple(self.links_by_host):
            if host in by_host:
                self.links_by_host[host].endpoint_id = by_host[host].endpoint_id
            elif not self.links_by_host[host].has_open_requests:
                self.links_by_host.pop(host).close()
        for endpoint_id in self.evidence_by_id.keys() - self._members.endpoints_by_id:
            if not self.evidence_by_id[endpoint_id].in_flight:
                del self.evidence_by_id[endpoint_id]

    def add_services(self, services: collections.abc.Iterable[str]) -> None:
        """Create the retry budgets of services and open links to their endpoints."""
        for service in services:
            self._budget(service)
        self.update_endpoints()

    def set_retry_rules(self, rules: options.RetryRules) -> None:
        """Change the retry budgets; retries already made still count."""
        self._retry_rules = rules
        for budget in self.budgets_by_service.values():
            budget.ratio = rules.ratio
            budget.slack = rules.slack
            budget.window_s = rules.window_s

    def check_links(self) -> None:
        """Check the links with open requests for silent peers."""
        now = self._clock()
        for link in self.links_by_host.values():
            if link.has_open_requests:
                link.check_liveness(now)

    def _subset(self, service: str) -> list[directory.KnownEndpoint]:
        subset = self._subsets_by_service.get(service)
        if subset is None:
            live = self._members.live_endpoints(service)
            subset = subsets.select(live, self._location, self._host)
            self._subsets_by_service[service] = subset
        return subset

    def link(self, endpoint: directory.KnownEndpoint) -> links.Link | None:
        """Return the link to an endpoint, or None if it is the local one."""
        if endpoint.host == self._host:
            return None
        link = self.links_by_host.get(endpoint.host)
        if link is None:
            link = self.open_link(endpoint.endpoint_id, endpoint.host, endpoint.port)
            self.links_by_host[endpoint.host] = link
        return link

    def record_report(self, endpoint_id: str, report: messages.LoadReport) -> None:
        """Record a load report that a gate broadcast."""
        self._evidence(endpoint_id).record_report(report, self._clock())

    def _evidence(self, endpoint_id: str) -> evidence_module.EndpointEvidence:
        return self.evidence_by_id.setdefault(
            endpoint_id, evidence_module.EndpointEvidence()
        )

    def _candidates(self, call: calls.Call, tried: set[str]):
        if len(call.body) > MAX_FORWARDED_BODY_BYTES:
            return self._local_candidates(call, tried)
        subset = self._subset(call.service)
        candidates = [
            c for c in map(self._candidate, subset) if c and _untried(c, tried)
        ]
        if any(self._policy.is_in_own_region(c) for c in candidates):
            return candidates
        # The subset has none left in the own region, so consider every endpoint.
        live = self._members.live_endpoints(call.service)
        return [c for c in map(self._candidate, live) if c and _untried(c, tried)]

    def _local_candidates(self, call: calls.Call, tried: set[str]):
        """Return the endpoint of this instance, if it can run the call."""
        live = self._members.live_endpoints(call.service)
        local = [self._candidate(e) for e in live if e.host == self._host]
        return [c for c in local if c and _untried(c, tried)]

    def _candidate(self, endpoint) -> placement.Candidate | None:
        evidence = self._evidence(endpoint.endpoint_id)
        if endpoint.host == self._host:
            evidence.record_report(self._gate.report(), self._clock())
        else:
            link = self.link(endpoint)
            if link is None or link.failing:
                return None
        return placement.Candidate(endpoint, evidence)

    # -----------------------------------------------------------------------
    #   Routing
    # -----------------------------------------------------------------------

    async def route(self, call: calls.Call, max_attempts: int) -> calls.Outcome:
        """Send a call to endpoints until one serves it or no further one may be tried.

        :param call: the call.
        :param max_attempts: the number of attempts that may reach a backend server.
        """
        budget = self._budget(call.service)
        budget.record_first_attempt(self._clock())
        progress = attempts.Progress()
        while True:
            now = self._clock()
            reason = self._give_up_reason(call, progress, max_attempts, now)
            decision = None if reason else self._choose(call, progress, now)
            if decision is None:
                return self._give_up(call, progress, reason or GiveUpReason.NO_ENDPOINT)
            if progress.sent:
                budget.take_retry(now, self._daemon_count)
            outcome = await self._attempt(call, decision, progress)
            if self._is_final(call, outcome):
                return outcome
            progress.last = outcome

    def _choose(
        self, call, progress: attempts.Progress, now: float
    ) -> nearby.Decision | None:
        """Return the endpoint of the next attempt, or None if there is none."""
        requirements = nearby.Requirements(
            now, call.objective, call.order, call.deadline
        )
        candidates = self._candidates(call, progress.tried)
        return gate_choice.choose(self._policy, candidates, requirements, progress)

    @property
    def _daemon_count(self) -> int:
        return max(1, len(self._members.endpoints_by_id))

    def _budget(self, service: str) -> retries.SharedRetryBudget:
        budget = self.budgets_by_service.get(service)
        if budget is None:
            rules = self._retry_rules
            budget = retries.SharedRetryBudget(
                rules.ratio, rules.slack, rules.window_s, self._started_at
            )
            self.budgets_by_service[service] = budget
        return budget

    def _give_up_reason(
        self, call: calls.Call, progress, max_attempts: int, now: float
    ) -> GiveUpReason | None:
        if now >= call.deadline:
            return GiveUpReason.DEADLINE
        if progress.asked >= MAX_GATES_ASKED:
            return GiveUpReason.GATES_ASKED
        if not progress.sent:
            return None
        if progress.sent >= max_attempts:
            return GiveUpReason.ATTEMPTS
        if self._budget(call.service).remaining(now, self._daemon_count) < 1.0:
            return GiveUpReason.BUDGET
        return None

    @staticmethod
    def _is_final(call: calls.Call, outcome: calls.Outcome) -> bool:
        if isinstance(outcome, calls.Served):
            failed = outcome.status >= retrying.MIN_FAILURE_STATUS
            return not (failed and call.idempotent)
        if isinstance(outcome, calls.NotRun):
            return False
        return not call.idempotent

    def _give_up(
        self, call: calls.Call, progress: attempts.Progress, reason: GiveUpReason
    ) -> calls.Outcome:
        """Return the outcome for the caller if no further attempt is made."""
        now = self._clock()
        events.emit(
            events.Event.REQUEST_GIVEN_UP,
            request_id=call.request_id,
            reason=reason.value,
            sent=progress.sent,
            asked=progress.asked,
            bounced=len(progress.bounced),
            remaining_ms=round(1000 * (call.deadline - now)),
            repeats_left=round(
                self._budget(call.service).remaining(now, self._daemon_count), 1
            ),
            membership=self._members.generation,
        )
        if progress.failure is not None:
            return progress.failure
        if progress.unknown_outcome is not None:
            return progress.unknown_outcome
        refusal_reason = calls.NotRunReason.NO_ENDPOINT
        if isinstance(progress.last, calls.NotRun):
            refusal_reason = progress.last.reason
        return calls.NotRun(call.request_id, refusal_reason, progress.retry_after_ms)

    # -----------------------------------------------------------------------
    #   Attempts
    # -----------------------------------------------------------------------

    async def _attempt(
        self, call: calls.Call, decision: nearby.Decision, progress: attempts.Progress
    ) -> calls.Outcome:
        endpoint = decision.candidate.endpoint
        evidence = decision.candidate.evidence
        started = self._clock()
        # Trying several gates in another region takes longer than a wait at the first.
        patient = progress.patient or not self._policy.is_in_own_region(
            decision.candidate
        )
        message = attempts.call_message(
            call, endpoint, next(self._attempt_numbers), started, patient
        )
        evidence.record_start()
        try:
            answer = await self._send(endpoint, message, call.deadline)
        finally:
            evidence.record_end()
        ended = self._clock()
        outcome = outcomes.interpret_answer(call, endpoint, answer, progress, ended)
        if getattr(outcome, "reason", None) is calls.NotRunReason.NOT_NOW:
            progress.bounced.add(endpoint.endpoint_id)
            progress.full += not answer.load.spell_us
        else:
            progress.tried.add(endpoint.endpoint_id)
            progress.asked += 1
        outcomes.update_evidence(decision.candidate, answer, outcome, started, ended)
        events.emit(
            events.Event.ATTEMPT_ENDED,
            request_id=call.request_id,
            attempt_id=message.request_id,
            endpoint_id=endpoint.endpoint_id,
            zone=endpoint.zone,
            cost_ms=round(1000 * decision.cost_s),
            report_age_ms=attempts.report_age_ms(decision),
            candidates=decision.candidates,
            membership=self._members.generation,
            took_ms=round(1000 * (ended - started)),
            outcome=type(outcome).__name__,
            detail=attempts.outcome_detail(outcome),
        )
        return outcome

    async def _send(self, endpoint, message, deadline: float):
        """Return the gate's answer, or the error raised in place of one."""
        try:
            async with asyncio.timeout_at(deadline + links.ANSWER_GRACE_S):
                if endpoint.host == self._host:
                    return await self._gate.serve(message)
                return await self.links_by_host[endpoint.host].call(message)
        except TimeoutError:
            text = "no answer by the deadline; check the daemon of the endpoint"
            return errors.ChannelSilentError(text)
        except errors.WireError as error:
            return error


def _untried(candidate: placement.Candidate, tried: set[str]) -> bool:
    return candidate.endpoint.endpoint_id not in tried
