"""Convert callers' requests to calls, and the outcomes of calls to responses."""

import asyncio
import collections.abc
import dataclasses

from savoryhollow import calls
from savoryhollow.configuration import routes
from savoryhollow.http1 import losses, messages
from savoryhollow.observe import events
from savoryhollow.proxy import dialect as dialect_module
from savoryhollow.proxy import request_metrics, tasks

__all__ = ["Front"]

# Time reserved for sending the response back to the caller, in s.
RESPONSE_MARGIN_S = 0.02
# Time after start during which requests wait for the first configuration, in s.
CONFIGURATION_WAIT_S = 0.8
# Retry-After value of responses sent while no configuration is known, in s.
UNCONFIGURED_RETRY_AFTER_S = 0.3

RouteCall = collections.abc.Callable[
    [calls.Call, int], collections.abc.Awaitable[calls.Outcome]
]


@dataclasses.dataclass(frozen=True, slots=True)
class _RoutedCall:
    """A call and the route that it matched."""

    call: calls.Call
    route: routes.Route


class Front:
    """Handles the requests of callers.

    :param dialect: the HTTP header names that the platform uses.
    :param service: the service of this instance, sent to backend servers.
    :param route_call: sends a call to an endpoint, with a maximum number of attempts.
    :param metrics: counts requests and measures their latency.
    :param clock: returns the current time, in s.

    The attribute ``latest_deadline`` limits the deadlines of further requests. It is
    set when the process is about to stop.
    """

    def __init__(
        self,
        dialect: dialect_module.Dialect,
        service: str,
        route_call: RouteCall,
        metrics: request_metrics.RequestMetrics,
        clock: collections.abc.Callable[[], float],
    ):
        self._dialect = dialect
        self.service = service
        self._route_call = route_call
        self._metrics = metrics
        self._clock = clock
        self.table: routes.RouteTable | None = None
        self.latest_deadline = float("inf")
        self._configured = asyncio.Event()
        self._configuration_deadline = clock() + CONFIGURATION_WAIT_S
        self._service_rotation = routes.WeightedRoundRobin()

    def configure(self, table: routes.RouteTable) -> None:
        """Use a new route table."""
        self.table = table
        self._configured.set()
        self._service_rotation.keep_only(table)

    async def handle(self, request: messages.Request) -> messages.Response:
        """Return the response to one request; cancelled if its caller disconnects."""
        routed: _RoutedCall | messages.Response | None = None
        try:
            if self.table is None:
                await self._await_configuration()
            routed = self._build_call(request)
            if isinstance(routed, messages.Response):
                return routed
            outcome = await self._route_call(routed.call, routed.route.max_attempts)
        except asyncio.CancelledError as error:
            route = routed.route.name if isinstance(routed, _RoutedCall) else ""
            self._record_abandoned(request, route, str(error))
            raise
        except Exception as error:
            tasks.log_failure("handle", error)
            raise
        return self._build_response(routed, outcome, request.received_at)

    async def _await_configuration(self) -> None:
        try:
            async with asyncio.timeout_at(self._configuration_deadline):
                await self._configured.wait()
        except TimeoutError:
            # The platform couldn't be read in time; callers are told to retry.
            return

    # -----------------------------------------------------------------------
    #   Requests
    # -----------------------------------------------------------------------

    def _build_call(self, request: messages.Request) -> _RoutedCall | messages.Response:
        names = self._dialect
        request_id = messages.find_header(request.headers, names.request_id) or ""
        table = self.table
        if table is None:
            return self._refuse(request_id, 503, "no-configuration")
        host = messages.find_header(request.headers, "host") or ""
        route = table.find(host, request.target.partition("?")[0])
        if route is None:
            return self._refuse(request_id, 404, "no-route")
        caller_timeout_s = _parse_timeout_s(
            messages.find_header(request.headers, names.deadline_ms)
        )
        timeout_s = min(caller_timeout_s - RESPONSE_MARGIN_S, route.timeout_s)
        call = calls.Call(
            request_id=request_id[: losses.MAX_REQUEST_ID_LENGTH],
            service=self._service_rotation.next_service(route),
            rank=route.name,
            caller="",
            deadline=min(request.received_at + timeout_s, self.latest_deadline),
            idempotent=route.idempotent,
            depth=0,
            attempts_left=route.max_attempts,
            method=request.method,
            path=request.target,
            headers=self._forwarded_headers(request),
            body=request.body,
            order=route.order,
            objective=request.received_at + route.objective_s - RESPONSE_MARGIN_S,
        )
        return _RoutedCall(call, route)

    def _forwarded_headers(self, request: messages.Request) -> tuple[calls.Header, ...]:
        names = self._dialect
        # The gate sends the time that is left then.
        replaced = {names.caller_service.lower(), names.deadline_ms.lower()}
        kept = tuple(
            header
            for header in messages.end_to_end_headers(request.headers)
            if header.name.lower() not in replaced
        )
        return (*kept, calls.Header(names.caller_service, self.service))

    def _refuse(self, request_id: str, status: int, reason: str):
        version = self.table.version if self.table is not None else None
        events.emit(
            events.Event.REQUEST_REFUSED,
            request_id=request_id[: losses.MAX_REQUEST_ID_LENGTH],
            status=status,
            reason=reason,
            version=version,
        )
        self._metrics.record_refusal("", reason)
        headers: tuple[calls.Header, ...] = ()
        if status == 503:
            headers = (
                calls.Header("Retry-After", f"{UNCONFIGURED_RETRY_AFTER_S:.2f}"),
            )
        return messages.Response(status, headers)

    def _record_abandoned(
        self, request: messages.Request, route: str, reason: str
    ) -> None:
        request_id = messages.find_header(request.headers, self._dialect.request_id)
        self._metrics.record_abandonment(route)
        events.emit(
            events.Event.REQUEST_ABANDONED,
            request_id=(request_id or "")[: losses.MAX_REQUEST_ID_LENGTH],
            route=route,
            reason=reason,
            after_ms=self._age_ms(request.received_at),
        )

    def _age_ms(self, received_at: float) -> int:
        return round(1000 * (self._clock() - received_at))

    def record_lost(self, loss: losses.Loss) -> None:
        """Log and count a request that was read and gets no response."""
        self._metrics.record_loss(loss.stage.value, loss.reason.value)
        event = events.Event.REQUEST_DROPPED
        if loss.stage is losses.Stage.RESPONSE:
            event = events.Event.RESPONSE_CUT
        events.emit(
            event,
            request_id=loss.request_id,
            stage=loss.stage.value,
            reason=loss.reason.value,
            after_ms=self._age_ms(loss.received_at),
        )

    def record_rejected(self, status: int, headers: tuple[calls.Header, ...]) -> None:
        """Log and count a request that was rejected while it was being read."""
        request_id = messages.find_header(headers, self._dialect.request_id) or ""
        events.emit(
            events.Event.REQUEST_REJECTED,
            request_id=request_id[: losses.MAX_REQUEST_ID_LENGTH],
            status=status,
        )
        self._metrics.record_refusal("", str(status))

    # -----------------------------------------------------------------------
    #   Responses
    # -----------------------------------------------------------------------

    def _build_response(
        self, routed: _RoutedCall, outcome: calls.Outcome, received_at: float
    ) -> messages.Response:
        took_s = self._clock() - received_at
        route = routed.route
        if isinstance(outcome, calls.NotRun):
            self._metrics.record_refusal(route.name, outcome.reason.value)
            self._log_outcome(
                events.Event.REQUEST_REFUSED, routed, 503, took_s, outcome
            )
            retry_after = f"{outcome.retry_after_ms / 1000:.2f}"
            return messages.Response(503, (calls.Header("Retry-After", retry_after),))
        if isinstance(outcome, calls.Served):
            response = messages.Response(outcome.status, outcome.headers, outcome.body)
        elif isinstance(outcome, calls.TimedOut):
            response = messages.Response(504)
        else:
            response = messages.Response(502)
        self._metrics.record_response(route.name, response.status, took_s)
        status = response.status
        self._log_outcome(events.Event.REQUEST_ENDED, routed, status, took_s, outcome)
        return response

    def _log_outcome(
        self, event, routed: _RoutedCall, status: int, took_s: float, outcome
    ):
        call = routed.call
        events.emit(
            event,
            request_id=call.request_id,
            route=routed.route.name,
            service=call.service,
            status=status,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", None),
            detail=getattr(outcome, "detail", None),
            took_ms=round(1000 * took_s),
            version=self.table.version if self.table is not None else None,
        )


def _parse_timeout_s(value: str | None) -> float:
    try:
        return max(0.0, float(value)) / 1000 if value else float("inf")
    except ValueError:
        return float("inf")
