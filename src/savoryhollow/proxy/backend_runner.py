"""Run requests on the backend server of this instance and track its load."""

import asyncio
import collections.abc
import dataclasses
import math

from savoryhollow import calls, errors
from savoryhollow.http1 import backends, messages
from savoryhollow.observe import events
from savoryhollow.proxy import backend_responses
from savoryhollow.proxy import dialect as dialect_module
from savoryhollow.wire import messages as wire

__all__ = ["BackendLoad", "BackendRunner", "parse_load"]

# Time past the deadline in which the backend server may still report the timeout
# itself, in s.
RESPONSE_GRACE_S = 0.1
# Maximum time that a request waits for a probe to return the current pace, in s.
MAX_PROBE_WAIT_S = 0.02
# Timeout of a probe, and the time without probes after a failed one, in s.
PROBE_TIMEOUT_S = 0.5
# Time reserved for sending the response back to the caller, in s.
RESPONSE_MARGIN_S = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class BackendLoad:
    """The load that a backend server reports in its response headers.

    :param running: requests that it is running.
    :param waiting: requests that wait for one of its slots.
    :param slots: requests that it can run concurrently.
    :param pace_percent: how long work currently takes, in percent of the usual time.
    """

    running: int
    waiting: int
    slots: int
    pace_percent: int


def parse_load(value: str | None) -> BackendLoad | None:
    """Parse the value of a load header; return None if it is missing or invalid."""
    parts = (value or "").split(",")
    try:
        values = [int(float(part)) for part in parts]
    except (ValueError, OverflowError):
        return None
    if len(values) < 3 or min(values) < 0:
        return None
    pace = values[3] if len(values) > 3 else 100
    return BackendLoad(values[0], values[1], values[2], pace)


class BackendRunner:
    """Sends requests to the backend server of this instance.

    :param dialect: the HTTP header names that the platform uses.
    :param pool: the connections to the backend server.

    ``on_load`` is called whenever the backend server has reported its load, and
    ``may_send`` right before a request is sent: it isn't if the result is False.
    """

    def __init__(self, dialect: dialect_module.Dialect, pool: backends.Pool):
        self._dialect = dialect
        self.pool = pool
        self.load: BackendLoad | None = None
        self.load_received_at = float("-inf")
        self.endpoint_id: str | None = None
        self.probe_path = "/"
        self._probe_task: asyncio.Task[BackendLoad | None] | None = None
        self._probe_backoff_until = float("-inf")
        self._reachable: bool | None = None
        self.on_load: collections.abc.Callable[[], None] = lambda: None
        self.may_send: collections.abc.Callable[[], bool] = lambda: True

    async def run(
        self, call: wire.CallMessage, deadline: float
    ) -> backend_responses.BackendResult:
        """Send a request to the backend server, at most once.

        :param call: the request.
        :param deadline: the time after which its response is no longer useful.
        """
        pool = self.pool
        request_id = (
            messages.find_header(call.headers, self._dialect.request_id) or None
        )
        try:
            # Without an id, only the first response on a new connection certainly
            # belongs to the request.
            connection, reused = await self._acquire(pool, reuse=bool(request_id))
        except errors.BackendError as error:
            return backend_responses.BackendResult(
                reason=calls.NotRunReason.UNREACHABLE, detail=str(error)
            )
        now = pool.clock()
        if now >= deadline - RESPONSE_MARGIN_S:
            pool.release(connection)
            return backend_responses.BackendResult(reason=calls.NotRunReason.DEADLINE)
        if pool is not self.pool or not self.may_send():
            pool.release(connection)
            return backend_responses.BackendResult(reason=calls.NotRunReason.LEAVING)
        request = self._build_request(call, deadline - now)
        if len(request.body) > backends.BODY_PART_BYTES:
            data, body = messages.render_request_head(request), request.body
        else:
            data, body = messages.render_request(request), b""
        try:
            async with asyncio.timeout_at(deadline + RESPONSE_GRACE_S):
                response = await connection.exchange(
                    data, self._dialect.request_id, request_id, body=body
                )
        except TimeoutError:
            return backend_responses.BackendResult(detail="no answer by the deadline")
        except errors.BackendError as error:
            if not error.started:
                reason = calls.NotRunReason.UNREACHABLE
                return backend_responses.BackendResult(reason=reason, detail=str(error))
            if reused and not error.response_started:
                pool.record_stale_connection()
            return backend_responses.BackendResult(detail=str(error))
        pool.release(connection)
        return self._classify_response(response, is_current=pool is self.pool)

    def change_address(self, host: str, port: int) -> None:
        """Send later requests to another address; running ones are finished."""
        self.pool.close()
        self.pool = backends.Pool(host, port, clock=self.pool.clock)
        self.endpoint_id = None

    async def refresh_load(self, max_age_s: float) -> None:
        """Probe the load if it is outdated; wait at most MAX_PROBE_WAIT_S for it.

        :param max_age_s: the age up to which the known load needs no probe, in s.
        """
        now = self.pool.clock()
        if now - self.load_received_at <= max_age_s or now < self._probe_backoff_until:
            return
        if self._probe_task is None or self._probe_task.done():
            self._probe_task = asyncio.create_task(self.probe())
        await asyncio.wait({self._probe_task}, timeout=MAX_PROBE_WAIT_S)

    async def probe(self) -> BackendLoad | None:
        """Request the backend server's load.

        :returns: the load last reported, or None if the probe failed or no load is
            known.
        """
        headers = (calls.Header("Host", f"{self.pool.host}:{self.pool.port}"),)
        request = messages.Request("GET", self.probe_path, headers, b"")
        pool = self.pool
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                connection, _ = await self._acquire(pool)
                # A response that carries an id belongs to an earlier request.
                response = await connection.exchange(
                    messages.render_request(request), self._dialect.request_id
                )
        except (errors.BackendError, TimeoutError) as error:
            self._probe_backoff_until = self.pool.clock() + PROBE_TIMEOUT_S
            events.emit(events.Event.PROBE_FAILED, detail=repr(error))
            return None
        pool.release(connection)
        if pool is not self.pool:
            # The address changed meanwhile, so the load is that of another server.
            return None
        endpoint_id = messages.find_header(response.headers, self._dialect.endpoint_id)
        self.endpoint_id = endpoint_id or self.endpoint_id
        self._record_load(response)
        return self.load

    async def _acquire(
        self, pool: backends.Pool, *, reuse: bool = True
    ) -> tuple[backends.Connection, bool]:
        """Return a connection and whether it is reused; log changes in reachability.

        :param reuse: whether an idle connection may be used.
        :raises errors.BackendError: if no connection can be opened.
        """
        try:
            acquired = await pool.acquire(reuse=reuse)
        except errors.BackendError as error:
            if self._reachable is not False:
                events.emit(events.Event.BACKEND_LOST, detail=str(error))
            self._reachable = False
            raise
        if not self._reachable:
            events.emit(events.Event.BACKEND_REGAINED, host=pool.host)
        self._reachable = True
        return acquired

    def _build_request(
        self, call: wire.CallMessage, remaining_s: float
    ) -> messages.Request:
        names = self._dialect
        replaced = {names.deadline_ms.lower(), names.expected_endpoint.lower()}
        headers = [h for h in call.headers if h.name.lower() not in replaced]
        remaining_ms = max(1, math.floor((remaining_s - RESPONSE_MARGIN_S) * 1000))
        headers.append(calls.Header(names.deadline_ms, str(remaining_ms)))
        if call.expected_endpoint:
            expected = calls.Header(names.expected_endpoint, call.expected_endpoint)
            headers.append(expected)
        return messages.Request(call.method, call.path, tuple(headers), call.body)

    def _record_load(self, response: messages.Response) -> None:
        load = parse_load(messages.find_header(response.headers, self._dialect.load))
        if load is not None:
            self.load = load
            self.load_received_at = self.pool.clock()
            self.on_load()

    def _classify_response(
        self, response: messages.Response, is_current: bool
    ) -> backend_responses.BackendResult:
        """Return the result that a response stands for.

        :param is_current: whether it came from the current address, so that it tells
            about the backend server there.
        """
        if is_current:
            self._record_load(response)
            if response.status == backend_responses.MISDIRECTED_STATUS:
                self.endpoint_id = messages.find_header(
                    response.headers, self._dialect.endpoint_id
                )
        return backend_responses.interpret(response, self._dialect)
