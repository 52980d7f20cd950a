"""Route calls to endpoints and record the placements."""

import dataclasses
import threading
import time
import typing

from savoryhollow import calls
from savoryhollow.configuration import models
from savoryhollow.membership import table
from savoryhollow.observe import placements
from savoryhollow.recovery import retrying
from savoryhollow.routing import (
    cross_region,
    evidence,
    pauses,
    peers,
    placement,
    reasons,
    sending,
)
from savoryhollow.wire import messages

__all__ = ["Router"]

# Refusals that don't count as failures of the endpoint. If it is overloaded, its load
# report shows that.
_HEALTHY_REFUSALS = frozenset(calls.NotRunReason) - {
    calls.NotRunReason.UNREACHABLE,
    calls.NotRunReason.LEAVING,
}


@dataclasses.dataclass(frozen=True, slots=True)
class _Selection:
    """The candidate chosen for one attempt and the reason for the choice."""

    candidate: placement.Candidate
    choice: placements.Choice


class Router:
    """Routes calls to endpoints.

    :param location: the location of this process.
    :param incarnation: the incarnation of this process.
    :param members: the known endpoints.
    :param connections: the connections to other daemons.
    :param local_gate: the gate of this process.
    :param policy: the policy that chooses among candidates.
    :param record: function that stores the record of a placement.
    :param link_guard: limits requests to other regions; None for no limit.
    """

    def __init__(
        self,
        location: placement.Location,
        incarnation: str,
        members: table.MemberTable,
        connections: peers.PeerConnections,
        local_gate: sending.LocalGate,
        policy: placement.Policy,
        record: typing.Callable[[placements.PlacementRecord], None],
        link_guard: cross_region.LinkGuard | None = None,
    ):
        self._location = location
        self._members = members
        self._local_gate = local_gate
        self._policy = policy
        self._record = record
        self._link_guard = link_guard or cross_region.unlimited(location.region)
        self._sender = sending.Sender(
            location.endpoint_id, incarnation, connections, local_gate, self._link_guard
        )
        self._lock = threading.Lock()
        self._evidence_by_id: dict[str, evidence.EndpointEvidence] = {}
        self.pauses = pauses.PauseDetector(time.monotonic())
        self._budgets_by_service: dict[str, retrying.RetryBudget] = {}
        self._configuration = models.Configuration({})

    def configure(self, configuration: models.Configuration) -> None:
        """Apply a configuration."""
        budgets = {
            name: retrying.RetryBudget(service.budgets.retry_ratio)
            for name, service in configuration.services.items()
        }
        with self._lock:
            self._configuration = configuration
            self._budgets_by_service = budgets | {
                name: budget
                for name, budget in self._budgets_by_service.items()
                if name in budgets and budget.ratio == budgets[name].ratio
            }

    @property
    def configuration(self) -> models.Configuration:
        """The configuration in force."""
        return self._configuration

    # -----------------------------------------------------------------------
    #   Routing
    # -----------------------------------------------------------------------

    def route(self, call: calls.Call) -> calls.Outcome:
        """Route a call, retrying on other endpoints as far as that is allowed.

        :param call: the call.
        :returns: the outcome of the call.
        """
        service = self._configuration.services.get(call.service)
        if service is None:
            return _not_run(call, calls.NotRunReason.UNKNOWN_SERVICE)
        if call.rank not in service.ranks:
            return _not_run(call, calls.NotRunReason.UNKNOWN_RANK)
        budget = self._budgets_by_service[call.service]
        budget.deposit()
        allowance = retrying.initial_allowance(call)
        tried: set[str] = set()
        outcome: calls.Outcome = _not_run(call, calls.NotRunReason.NO_ENDPOINT)
        for attempt in range(service.attempts):
            selection = self._choose(call, tried)
            if selection is None:
                return outcome if tried else _not_run(call, self._refusal_reason(call))
            is_trial = not selection.candidate.evidence.trusted
            tried.add(selection.candidate.endpoint.endpoint_id)
            latest = self._attempt(call, selection, attempt, allowance)
            outcome = retrying.combine_outcomes(outcome if attempt else None, latest)
            now = time.monotonic()
            if not retrying.may_retry(call, latest, now, trial=is_trial):
                return outcome
            if not (allowance.take_retry(latest) and budget.withdraw()):
                return outcome
        return outcome

    def redeem(self, call: calls.Call, ticket: calls.Ticket) -> calls.Outcome:
        """Query the outcome of an earlier request by its ticket.

        Only the endpoint named in the ticket is asked.

        :param call: the call; its deadline limits the time spent.
        :param ticket: the ticket that the caller received.
        :returns: the answer if it is known; NotRun if the gate will never run the
            request; otherwise Unknown, or TimedOut for an idempotent call whose
            deadline has passed.
        """
        endpoint = self._find_endpoint(call.service, ticket.endpoint_id)
        if endpoint is None:
            return calls.Unknown(call.request_id, ticket, "its endpoint is gone")
        result = self._sender.redeem(endpoint, ticket, call.deadline)
        request_id = ticket.request_id.rpartition(".")[0]
        redeemed_call = dataclasses.replace(call, request_id=request_id)
        return self._outcome(redeemed_call, endpoint, ticket.request_id, result)

    def evidence_by_id(self) -> dict[str, evidence.EndpointEvidence]:
        """Return the evidence about each endpoint."""
        with self._lock:
            return dict(self._evidence_by_id)

    def retries_left_by_service(self) -> dict[str, float]:
        """Return the number of retries that each service may make now."""
        with self._lock:
            budgets = dict(self._budgets_by_service)
        return {service: budget.saved_retries for service, budget in budgets.items()}

    def _find_endpoint(self, service: str, endpoint_id: str) -> table.Endpoint | None:
        for endpoint in self._members.endpoints(service):
            if endpoint.endpoint_id == endpoint_id:
                return endpoint
        return None

    def _choose(self, call, tried) -> _Selection | None:
        now = time.monotonic()
        can_cross_region = self._link_guard.can_reserve(call, now)
        with self._lock:
            candidates = [
                placement.Candidate(endpoint, self._evidence(endpoint.endpoint_id))
                for endpoint in self._members.endpoints(call.service)
                if endpoint.state is table.EndpointState.LIVE
                and endpoint.endpoint_id not in tried
                and (
                    can_cross_region
                    or not self._link_guard.is_in_other_region(endpoint)
                )
            ]
            if not candidates:
                return None
            self._refresh(candidates, now)
            request = self._placement_request(call, now)
            candidate = self._policy(candidates, request)
            candidate.evidence.record_start()
            choice = reasons.explain(candidate, candidates, self._location, request)
            return _Selection(candidate, choice)

    def _refresh(self, candidates, now: float) -> None:
        for candidate in candidates:
            if self._sender.is_local(candidate.endpoint):
                candidate.evidence.record_report(self._local_gate.report(), now)
            elif self.pauses.paused_since(candidate.evidence.reported_at, now):
                candidate.evidence.clear_measurements()

    def _placement_request(
        self, call: calls.Call, now: float
    ) -> placement.PlacementRequest:
        ranks = self._configuration.services[call.service].ranks
        order = ranks[call.rank].order
        position = sum(rank.order < order for rank in ranks.values())
        urgent = len(ranks) > 1 and position == 0
        return placement.PlacementRequest(now, call.idempotent and not urgent, position)

    def _refusal_reason(self, call: calls.Call) -> calls.NotRunReason:
        for endpoint in self._members.endpoints(call.service):
            if endpoint.state is table.EndpointState.LIVE:
                return calls.NotRunReason.LINK_BUDGET
        return calls.NotRunReason.NO_ENDPOINT

    def _evidence(self, endpoint_id: str) -> evidence.EndpointEvidence:
        return self._evidence_by_id.setdefault(endpoint_id, evidence.EndpointEvidence())

    # -----------------------------------------------------------------------
    #   One attempt
    # -----------------------------------------------------------------------

    def _attempt(self, call, selection, attempt, allowance) -> calls.Outcome:
        candidate = selection.candidate
        endpoint = candidate.endpoint
        started = time.monotonic()
        # Each attempt has its own id, so that barring it at one gate doesn't bar the
        # attempts at other gates.
        attempt_id = f"{call.request_id}.{attempt}"
        message = _message(call, attempt_id, allowance.attempts_left, started)
        result = self._sender.send(endpoint, message, call.deadline)
        outcome = self._outcome(call, endpoint, attempt_id, result)
        self._record_result(candidate, result, started)
        self._record(
            placements.PlacementRecord(
                request_id=call.request_id,
                service=call.service,
                rank=call.rank,
                attempt=attempt,
                endpoint_id=endpoint.endpoint_id,
                region=endpoint.region,
                outcome=placements.outcome_name(outcome),
                duration_ms=(time.monotonic() - started) * 1e3,
                ended_unix_s=time.time(),
                attempt_id=attempt_id,
                detail=placements.outcome_detail(outcome),
                crossed_region=endpoint.region != self._location.region,
                request_bytes=len(call.body),
                answer_bytes=len(getattr(outcome, "body", b"")),
                choice=selection.choice,
            )
        )
        return outcome

    def _outcome(self, call, endpoint, attempt_id, result) -> calls.Outcome:
        answer = result.answer
        if isinstance(answer, messages.ResolutionMessage):
            if answer.state is messages.ResolutionState.BARRED:
                return _not_run(call, calls.NotRunReason.UNREACHABLE)
            answer = answer.answer
        if isinstance(answer, messages.ServedMessage):
            return calls.Served(
                call.request_id,
                endpoint.endpoint_id,
                answer.status,
                answer.headers,
                answer.body,
            )
        if isinstance(answer, messages.NotRunMessage):
            return calls.NotRun(call.request_id, answer.reason, answer.retry_after_ms)
        if answer is None and not result.lost:
            return _not_run(call, result.reason)
        if call.idempotent and time.monotonic() >= call.deadline:
            return calls.TimedOut(call.request_id, endpoint.endpoint_id)
        ticket = calls.Ticket(
            attempt_id, endpoint.endpoint_id, result.incarnation, result.origin
        )
        return calls.Unknown(call.request_id, ticket, "the answer was lost")

    def _record_result(self, candidate, result, started) -> None:
        now = time.monotonic()
        answer = result.answer
        served = isinstance(answer, messages.ServedMessage)
        failed = served and answer.status >= retrying.MIN_FAILURE_STATUS
        report = getattr(answer, "load", None)
        endpoint_evidence = candidate.evidence
        with self._lock:
            endpoint_evidence.record_end()
            endpoint_evidence.record_incarnation(result.incarnation, now)
            if self.pauses.paused_since(started, now):
                return
            if report is not None:
                endpoint_evidence.record_report(report, now)
            if served and not failed:
                endpoint_evidence.record_success(now - started, now)
            elif (
                getattr(answer, "reason", None) or result.reason
            ) not in _HEALTHY_REFUSALS:
                endpoint_evidence.record_failure(now, reached=served)


def _not_run(call: calls.Call, reason: calls.NotRunReason) -> calls.NotRun:
    return calls.NotRun(call.request_id, reason, retrying.DEFAULT_RETRY_AFTER_MS)


def _message(
    call: calls.Call, attempt_id: str, attempts_left: int, now: float
) -> messages.CallMessage:
    return messages.CallMessage(
        request_id=attempt_id,
        service=call.service,
        rank=call.rank,
        caller=call.caller,
        remaining_us=max(0, int((call.deadline - now) * 1e6)),
        idempotent=call.idempotent,
        depth=call.depth,
        attempts_left=attempts_left,
        method=call.method,
        path=call.path,
        headers=call.headers,
        body=call.body,
    )
