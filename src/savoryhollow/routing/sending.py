"""Send a request to one endpoint, and find out what became of it."""

import dataclasses
import random
import time
import typing

from savoryhollow import calls, errors
from savoryhollow.membership import table
from savoryhollow.recovery import register
from savoryhollow.routing import cross_region, peers
from savoryhollow.wire import exchange, messages

__all__ = ["LocalGate", "Result", "Sender"]

# Least time spent on asking what became of a request, in s.
RESOLVE_TIMEOUT_S = 0.5
# Pause before a question is asked again: the first and the longest one, in s.
MIN_BACKOFF_S = 0.005
MAX_BACKOFF_S = 0.1


class LocalGate(typing.Protocol):
    """The gate of this process, as far as the router uses it."""

    def serve(self, call: messages.CallMessage) -> exchange.Answer:
        """Run a call, or say truthfully what happened."""

    def resolve(
        self, message: messages.ResolveMessage, connection: register.Connection | None
    ) -> messages.ResolutionMessage:
        """Say what became of a request; a call of this process has no connection."""

    def report(self) -> messages.LoadReport:
        """Return the load as it is now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What one attempt came to.

    :param origin: where it entered the inner protocol.
    :param lost: whether its answer had to be asked for.
    """

    incarnation: str
    origin: calls.Origin
    answer: exchange.Answer | None
    lost: bool = False
    reason: calls.NotRunReason = calls.NotRunReason.UNREACHABLE


# Stands for an attempt that was never sent.
_UNSENT = Result("", calls.Origin("", 0, 0), None)
# Stands for one that the link budget kept from being sent.
_NO_LINK_BUDGET = dataclasses.replace(_UNSENT, reason=calls.NotRunReason.LINK_BUDGET)


class Sender:
    """Sends requests to endpoints, the one of this process included.

    :param endpoint_id: the endpoint of this process.
    :param incarnation: the incarnation of this process.
    :param connections: the connections to other daemons.
    :param local_gate: the gate of this process.
    :param link_guard: allows requests to other regions.
    """

    def __init__(
        self,
        endpoint_id: str,
        incarnation: str,
        connections: peers.PeerConnections,
        local_gate: LocalGate,
        link_guard: cross_region.LinkGuard,
    ):
        self._endpoint_id = endpoint_id
        self._incarnation = incarnation
        self._connections = connections
        self._local_gate = local_gate
        self._link_guard = link_guard

    def is_local(self, endpoint: table.Endpoint) -> bool:
        """Say whether an endpoint is the one of this process."""
        return endpoint.endpoint_id == self._endpoint_id

    def send(
        self, endpoint: table.Endpoint, message: messages.CallMessage, deadline: float
    ) -> Result:
        """Send a request, and ask for its answer where that is lost.

        :param endpoint: the endpoint.
        :param message: the request.
        :param deadline: the monotonic instant to stop waiting at.
        :returns: what the attempt came to.
        """
        if self.is_local(endpoint):
            origin = calls.Origin(self._incarnation, 0, 0)
            answer = self._local_gate.serve(message)
            return Result(self._incarnation, origin, answer)
        return self._send_guarded(endpoint, message, deadline)

    def redeem(
        self, endpoint: table.Endpoint, ticket: calls.Ticket, deadline: float
    ) -> Result:
        """Ask what became of the request that a ticket names.

        :param endpoint: the endpoint that the ticket names.
        :param ticket: the ticket.
        :param deadline: the monotonic instant to stop asking at.
        :returns: what the attempt came to.
        """
        unresolved = Result(ticket.incarnation, ticket.origin, None, lost=True)
        return self._resolve(endpoint, ticket.request_id, unresolved, deadline)

    def _send_guarded(self, endpoint, message, deadline) -> Result:
        reserved = self._link_guard.reserve(endpoint, message)
        if reserved is None:
            return _NO_LINK_BUDGET
        result = self._send(endpoint, message, deadline)
        sent = result.incarnation != ""
        self._link_guard.settle(reserved, message, result.answer, sent)
        return result

    def _send(self, endpoint, message, deadline) -> Result:
        try:
            connection = self._connections.open(endpoint)
            pending = connection.start(message)
        except errors.WireError:
            return _UNSENT
        sent = Result(connection.peer.incarnation, pending.origin, None, lost=True)
        try:
            answer = connection.finish(pending, deadline)
        except errors.WireError:
            return self._resolve(endpoint, message.request_id, sent, deadline)
        if answer is None:
            connection.post(messages.CancelMessage(message.request_id))
            return self._resolve(endpoint, message.request_id, sent, deadline)
        return dataclasses.replace(sent, answer=answer, lost=False)

    # -----------------------------------------------------------------------
    #   Lost answers
    # -----------------------------------------------------------------------

    def _resolve(self, endpoint, attempt_id, unresolved, deadline) -> Result:
        """Ask until the outcome is settled or time is up."""
        query = messages.ResolveMessage(attempt_id, unresolved.origin)
        resolve_deadline = max(deadline, time.monotonic() + RESOLVE_TIMEOUT_S)
        backoff_s = MIN_BACKOFF_S
        answer = None
        while True:
            try:
                answer = self._resolve_once(
                    endpoint, query, unresolved.incarnation, resolve_deadline
                )
                if answer is None or _is_settled(answer):
                    return dataclasses.replace(unresolved, answer=answer)
            except errors.WireError:
                # Nothing is known yet; a later question may get through.
                pass
            now = time.monotonic()
            limit = resolve_deadline if answer is None else deadline
            if now + backoff_s >= limit:
                return dataclasses.replace(unresolved, answer=answer)
            time.sleep(backoff_s * random.uniform(0.5, 1.0))
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    def _resolve_once(
        self, endpoint, query, incarnation, resolve_deadline
    ) -> exchange.Answer | None:
        """Ask once; None where the incarnation is gone for good."""
        if self.is_local(endpoint):
            if incarnation != self._incarnation:
                return None
            return self._local_gate.resolve(query, None)
        connection = self._connections.open(endpoint)
        if connection.peer.incarnation != incarnation:
            return None
        answer = connection.request(
            query, min(resolve_deadline, time.monotonic() + RESOLVE_TIMEOUT_S)
        )
        if answer is None:
            text = "no answer to a question; ask again on a new connection"
            raise errors.ChannelClosedError(text)
        return answer


def _is_settled(answer: exchange.Answer) -> bool:
    if not isinstance(answer, messages.ResolutionMessage):
        return True
    return answer.state is not messages.ResolutionState.RUNNING
