"""Send a request to one endpoint and determine its outcome."""

import dataclasses
import random
import time
import typing

from savoryhollow import calls, errors
from savoryhollow.membership import table
from savoryhollow.recovery import register
from savoryhollow.routing import cross_region, peers
from savoryhollow.wire import messages, multiplexing

__all__ = ["LocalGate", "Result", "Sender"]

# Minimum time spent on resolving an outcome, and timeout of one resolve query, in s.
RESOLVE_TIMEOUT_S = 0.5
# First and maximum delay before a resolve query is repeated, in s.
MIN_BACKOFF_S = 0.005
MAX_BACKOFF_S = 0.1


class LocalGate(typing.Protocol):
    """The part of this process's gate that the router uses."""

    def serve(self, call: messages.CallMessage) -> multiplexing.Answer:
        """Run a call and return its answer, or the reason why there is none."""

    def resolve(
        self, message: messages.ResolveMessage, connection: register.Connection | None
    ) -> messages.ResolutionMessage:
        """Return the outcome of a request; the connection is None for a local call."""

    def report(self) -> messages.LoadReport:
        """Return the current load."""


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The result of one attempt.

    :param incarnation: the incarnation that the request was sent to; empty if it was
        not sent.
    :param origin: the point at which the attempt entered the inner protocol.
    :param answer: the answer or the resolved outcome; None if neither is known.
    :param lost: True if the request was sent but its answer didn't arrive.
    :param reason: the reason if the request was not sent.
    """

    incarnation: str
    origin: calls.Origin
    answer: multiplexing.Answer | None
    lost: bool = False
    reason: calls.NotRunReason = calls.NotRunReason.UNREACHABLE


# Result of an attempt that was not sent.
_UNSENT = Result("", calls.Origin("", 0, 0), None)
# Result of an attempt that was not sent because the link budget was used up.
_NO_LINK_BUDGET = dataclasses.replace(_UNSENT, reason=calls.NotRunReason.LINK_BUDGET)


class Sender:
    """Sends requests to endpoints, including the endpoint of this process.

    :param endpoint_id: the id of this process's endpoint.
    :param incarnation: the incarnation of this process.
    :param connections: the connections to other daemons.
    :param local_gate: the gate of this process.
    :param link_guard: limits requests to other regions.
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
        """Return True if the endpoint belongs to this process."""
        return endpoint.endpoint_id == self._endpoint_id

    def send(
        self, endpoint: table.Endpoint, message: messages.CallMessage, deadline: float
    ) -> Result:
        """Send a request; if its answer is lost, query the outcome.

        :param endpoint: the endpoint.
        :param message: the request.
        :param deadline: the monotonic time at which to stop waiting.
        :returns: the result of the attempt.
        """
        if self.is_local(endpoint):
            origin = calls.Origin(self._incarnation, 0, 0)
            answer = self._local_gate.serve(message)
            return Result(self._incarnation, origin, answer)
        return self._send_within_budget(endpoint, message, deadline)

    def redeem(
        self, endpoint: table.Endpoint, ticket: calls.Ticket, deadline: float
    ) -> Result:
        """Query the outcome of the request that a ticket was issued for.

        :param endpoint: the endpoint named in the ticket.
        :param ticket: the ticket.
        :param deadline: the monotonic time at which to stop.
        :returns: the result of the attempt.
        """
        unresolved = Result(ticket.incarnation, ticket.origin, None, lost=True)
        return self._resolve(endpoint, ticket.request_id, unresolved, deadline)

    def _send_within_budget(self, endpoint, message, deadline) -> Result:
        reservation = self._link_guard.reserve(endpoint, message)
        if reservation is None:
            return _NO_LINK_BUDGET
        result = self._send(endpoint, message, deadline)
        sent = result.incarnation != ""
        self._link_guard.settle(reservation, message, result.answer, sent)
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
            connection.send_best_effort(messages.CancelMessage(message.request_id))
            return self._resolve(endpoint, message.request_id, sent, deadline)
        return dataclasses.replace(sent, answer=answer, lost=False)

    # -----------------------------------------------------------------------
    #   Lost answers
    # -----------------------------------------------------------------------

    def _resolve(self, endpoint, attempt_id, unresolved, deadline) -> Result:
        """Query the outcome until it is final or the time is up."""
        query = messages.ResolveMessage(attempt_id, unresolved.origin)
        resolve_deadline = max(deadline, time.monotonic() + RESOLVE_TIMEOUT_S)
        backoff_s = MIN_BACKOFF_S
        answer = None
        while True:
            try:
                answer = self._resolve_once(
                    endpoint, query, unresolved.incarnation, resolve_deadline
                )
                if answer is None or _is_final(answer):
                    return dataclasses.replace(unresolved, answer=answer)
            except errors.WireError:
                # The query failed; retry after the backoff.
                pass
            now = time.monotonic()
            limit = resolve_deadline if answer is None else deadline
            if now + backoff_s >= limit:
                return dataclasses.replace(unresolved, answer=answer)
            time.sleep(backoff_s * random.uniform(0.5, 1.0))
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    def _resolve_once(
        self, endpoint, query, incarnation, resolve_deadline
    ) -> multiplexing.Answer | None:
        """Query the outcome once; return None if the incarnation no longer exists."""
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
            text = "no answer to a resolve query; retry on a new connection"
            raise errors.ChannelClosedError(text)
        return answer


def _is_final(answer: multiplexing.Answer) -> bool:
    if not isinstance(answer, messages.ResolutionMessage):
        return True
    return answer.state is not messages.ResolutionState.RUNNING
