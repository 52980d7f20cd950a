"""Emulated backend server that records every run."""

import asyncio
import contextlib
import dataclasses
import random

import httptools

from emulator import http
from savoryhollow.platform import headers
from soak import callers, layout, records

__all__ = ["BackendServer"]

HEALTH_PATH = "/health"
# Lengths of most responses, and of the few that socket buffers can't hold, in bytes.
RESPONSE_BYTES = (200, 1500, 9000)
LONG_RESPONSE_BYTES = 6_000_000
LONG_RESPONSE_SHARE = 0.01
DIALECT = headers.DIALECT


@dataclasses.dataclass(slots=True)
class Behavior:
    """The current behavior of a backend server.

    :param pace: the factor by which work takes longer than usual.
    :param corrupt_share: the share of responses that are corrupted.
    :param corruption: ``truncate``, ``drop``, ``garble`` or ``duplicate``.
    :param fail_share: the share of requests that fail after they ran.
    :param shed_share: the share of requests that are refused with status 503.
    """

    pace: float = 1.0
    corrupt_share: float = 0.0
    corruption: str = "truncate"
    fail_share: float = 0.0
    shed_share: float = 0.0


class BackendServer:
    """Serves requests in a limited number of slots.

    :param spec: the instance of the backend server.
    :param endpoint_id: its endpoint id until it is started under another one.
    :param slots: how many requests run at the same time.
    :param history: the records of the run.
    :param rng: the source of randomness.
    """

    def __init__(
        self,
        spec: layout.InstanceSpec,
        endpoint_id: str,
        slots: int,
        history: records.History,
        rng: random.Random,
    ):
        self.spec = spec
        self.endpoint_id = endpoint_id
        self.service = spec.service
        self.behavior = Behavior()
        self.slots = slots
        self._history = history
        self._rng = rng
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._free_slots = asyncio.Semaphore(slots)
        self._in_progress = 0

    @property
    def is_up(self) -> bool:
        """Whether it accepts connections."""
        return self._server is not None

    async def start(self, endpoint_id: str | None = None) -> None:
        """Start accepting connections.

        :param endpoint_id: the new endpoint id; None keeps the current one.
        """
        self.endpoint_id = endpoint_id or self.endpoint_id
        self.service = self.spec.service
        services = self._history.services_by_instance.setdefault(
            self.spec.number, set()
        )
        services.add(self.service)
        self.behavior = Behavior()
        self._free_slots = asyncio.Semaphore(self.slots)
        self._in_progress = 0
        self._server = await asyncio.start_server(
            self._serve, self.spec.listen_ip, layout.BACKEND_PORT
        )

    def stop(self) -> None:
        """Stop abruptly, like a process that is killed."""
        self._history.stopped_at_by_endpoint[self.endpoint_id] = self._history.now
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    # -----------------------------------------------------------------------
    #   Connections
    # -----------------------------------------------------------------------

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        messages = http.MessageReader(reader, httptools.HttpRequestParser)
        next_message = asyncio.create_task(messages.read())
        try:
            while (message := await next_message) is not None:
                # Reading ahead notices a closed connection, which cancels the run.
                next_message = asyncio.create_task(messages.read())
                run = asyncio.create_task(self._handle_request(message, writer))
                await asyncio.wait(
                    {run, next_message}, return_when=asyncio.FIRST_COMPLETED
                )
                if not run.done():
                    run.cancel()
                    return
                await run
        except (OSError, httptools.HttpParserError, asyncio.CancelledError):
            # The connection was lost, its data is invalid, or the soak test has ended.
            pass
        finally:
            next_message.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await next_message
            self._writers.discard(writer)
            writer.transport.abort()

    async def _handle_request(self, message: http.Message, writer) -> None:
        if message.target == HEALTH_PATH:
            writer.write(self._render(200, {DIALECT.endpoint_id: self.endpoint_id}))
            return
        request_id = message.headers.get(DIALECT.request_id.lower(), "")
        refusal_status = self._refusal_status(message, request_id)
        self._history.arrivals.append(
            records.Arrival(
                request_id,
                self.endpoint_id,
                self.service,
                self._history.now,
                refusal_status is None,
            )
        )
        if refusal_status is not None:
            extra_headers = {
                DIALECT.request_id: request_id,
                DIALECT.endpoint_id: self.endpoint_id,
                DIALECT.not_executed: "1",
            }
            writer.write(self._render(refusal_status, extra_headers))
            return
        if self.behavior.corruption == "duplicate" and self._corrupts():
            # A second copy of a refused probe, while the request runs.
            writer.write(self._render(503, {DIALECT.not_executed: "1"}))
        await self._execute(message, request_id, writer)

    def _refusal_status(self, message: http.Message, request_id: str) -> int | None:
        expected_endpoint_id = message.headers.get(DIALECT.expected_endpoint.lower())
        if not request_id:
            return 400
        if expected_endpoint_id and expected_endpoint_id != self.endpoint_id:
            return 421
        is_full = self._in_progress >= 3 * self.slots
        if is_full or self._rng.random() < self.behavior.shed_share:
            return 503
        return None

    # -----------------------------------------------------------------------
    #   Runs
    # -----------------------------------------------------------------------

    async def _execute(self, message: http.Message, request_id: str, writer) -> None:
        now = self._history.now
        timeout_ms = float(message.headers.get(DIALECT.deadline_ms.lower(), "inf"))
        run = records.Run(
            request_id=request_id,
            endpoint_id=self.endpoint_id,
            service=self.service,
            place=self.spec.number,
            path=message.target,
            method=message.method,
            body=message.body,
            caller_service=message.headers.get(DIALECT.caller_service.lower(), ""),
            started_at=now,
            given_until=now + timeout_ms / 1000,
        )
        self._history.runs.append(run)
        self._in_progress += 1
        try:
            async with asyncio.timeout_at(run.given_until), self._free_slots:
                status = await self._perform_work(message)
        except TimeoutError:
            status = 504
        finally:
            self._in_progress -= 1
            run.ended_at = self._history.now
        run.status = status
        await self._send_response(run, status, writer)

    async def _perform_work(self, message: http.Message) -> int:
        prefix = records.route_prefix(message.target)
        service_s = callers.SERVICE_S_BY_PREFIX.get(prefix, callers.SERVICE_S)
        await asyncio.sleep(
            self.behavior.pace * service_s * self._rng.uniform(0.7, 1.3)
        )
        if self._rng.random() < callers.NESTED_CALL_SHARE_BY_PREFIX.get(prefix, 0.0):
            call_succeeded = await callers.make_nested_call(
                self.spec, self._history, self._rng
            )
            if not call_succeeded:
                return 500
        return 500 if self._rng.random() < self.behavior.fail_share else 200

    async def _send_response(self, run: records.Run, status: int, writer) -> None:
        body = f"{run.request_id} at {self.endpoint_id} ".encode()
        is_long = self._rng.random() < LONG_RESPONSE_SHARE
        length = LONG_RESPONSE_BYTES if is_long else self._rng.choice(RESPONSE_BYTES)
        body = body.ljust(length, b".")
        response_headers = {
            DIALECT.request_id: run.request_id,
            DIALECT.signature: records.sign(run.request_id, status, body),
        }
        response = self._render(status, response_headers, body)
        if not self._corrupts():
            writer.write(response)
            return
        corruption = self.behavior.corruption
        if corruption == "duplicate":
            writer.write(response + response)
            return
        if corruption == "garble":
            writer.write(b"\x00\x01 no answer \r\n\r\n" + response)
        elif corruption == "truncate":
            # Half of them break off within the head.
            head_length = response.index(b"\r\n\r\n") + 4
            limit = self._rng.choice((head_length, len(response)))
            writer.write(response[: self._rng.randrange(1, limit)])
            await writer.drain()
        writer.transport.abort() if corruption == "drop" else writer.close()

    def _corrupts(self) -> bool:
        return self._rng.random() < self.behavior.corrupt_share

    def _render(
        self, status: int, extra_headers: dict[str, str], body: bytes = b""
    ) -> bytes:
        waiting = max(0, self._in_progress - self.slots)
        load = (
            min(self._in_progress, self.slots),
            waiting,
            self.slots,
            round(100 * self.behavior.pace),
        )
        header_fields = {DIALECT.load: ",".join(map(str, load)), **extra_headers}
        return http.render(f"HTTP/1.1 {status} Status", header_fields, body)
