"""A stand-in for a backend server, which keeps account of every run."""

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
# Time until which an answer that the backend server holds back is held, in s.
HOLD_S = 30.0
NAMES = headers.DIALECT


@dataclasses.dataclass(slots=True)
class Behaviour:
    """How it serves at the moment.

    :param pace: how long work takes; 1 is usual.
    :param spoilt_share: share of its answers that are spoilt.
    :param spoil: how: ``cut``, ``lose``, ``garble`` or ``extra``.
    :param fail_share: share of requests that fail after they ran.
    :param shed_share: share of requests that are turned away.
    """

    pace: float = 1.0
    spoilt_share: float = 0.0
    spoil: str = "cut"
    fail_share: float = 0.0
    shed_share: float = 0.0


class BackendServer:
    """Runs requests in a few slots.

    :param place: the instance.
    :param endpoint_id: its id until it is started anew.
    """

    def __init__(
        self,
        place: layout.Place,
        endpoint_id: str,
        slots: int,
        history: records.History,
        rng: random.Random,
    ):
        self.place = place
        self.endpoint_id = endpoint_id
        self.service = place.service
        self.behaviour = Behaviour()
        self.slots = slots
        self._history = history
        self._rng = rng
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._free = asyncio.Semaphore(slots)
        self._running = 0

    @property
    def is_up(self) -> bool:
        """Whether it accepts connections."""
        return self._server is not None

    async def start(self, endpoint_id: str | None = None) -> None:
        """Accept connections, under a new id if one is given."""
        self.endpoint_id = endpoint_id or self.endpoint_id
        self.service = self.place.service
        services = self._history.services_by_place.setdefault(self.place.number, set())
        services.add(self.service)
        self.behaviour = Behaviour()
        self._free = asyncio.Semaphore(self.slots)
        self._running = 0
        self._server = await asyncio.start_server(
            self._serve, self.place.real, layout.BACKEND_PORT
        )

    def end(self) -> None:
        """Close everything at once, as a process that ends."""
        self._history.ended_at_by_endpoint[self.endpoint_id] = self._history.now
        if self._server is not None:
            self._server.close()
            self._server = None
        self.forget()

    def forget(self) -> None:
        """Reset every connection."""
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
                # A caller that closes ends the run.
                next_message = asyncio.create_task(messages.read())
                run = asyncio.create_task(self._answer(message, writer))
                await asyncio.wait(
                    {run, next_message}, return_when=asyncio.FIRST_COMPLETED
                )
                if not run.done():
                    run.cancel()
                    return
                await run
        except (OSError, httptools.HttpParserError, asyncio.CancelledError):
            # The peer is gone or was cut off in a message, or the run is over.
            pass
        finally:
            next_message.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await next_message
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, message: http.Message, writer) -> None:
        if message.target == HEALTH_PATH:
            writer.write(self._render(200, {NAMES.endpoint_id: self.endpoint_id}))
            return
        request_id = message.headers.get(NAMES.request_id.lower(), "")
        reason = self._turned_away(message, request_id)
        self._history.arrivals.append(
            records.Arrival(
                request_id,
                self.endpoint_id,
                self.service,
                self._history.now,
                reason is None,
            )
        )
        if reason is not None:
            extra = {NAMES.endpoint_id: self.endpoint_id, NAMES.not_executed: "1"}
            writer.write(self._render(reason, extra))
            return
        await self._run(message, request_id, writer)

    def _turned_away(self, message: http.Message, request_id: str) -> int | None:
        expected = message.headers.get(NAMES.expected_endpoint.lower())
        if not request_id:
            return 400
        if expected and expected != self.endpoint_id:
            return 421
        full = self._running >= 3 * self.slots
        if full or self._rng.random() < self.behaviour.shed_share:
            return 503
        return None

    # -----------------------------------------------------------------------
    #   Runs
    # -----------------------------------------------------------------------

    async def _run(self, message: http.Message, request_id: str, writer) -> None:
        now = self._history.now
        given = float(message.headers.get(NAMES.deadline_ms.lower(), "inf"))
        run = records.Run(
            request_id=request_id,
            endpoint_id=self.endpoint_id,
            service=self.service,
            place=self.place.number,
            path=message.target,
            method=message.method,
            body=message.body,
            caller_service=message.headers.get(NAMES.caller_service.lower(), ""),
            started_at=now,
            given_until=now + given / 1000,
        )
        self._history.runs.append(run)
        self._running += 1
        try:
            async with asyncio.timeout_at(run.given_until), self._free:
                status = await self._work(message)
        except TimeoutError:
            status = 504
        finally:
            self._running -= 1
            run.ended_at = self._history.now
        run.status = status
        await self._send(run, status, writer)

    async def _work(self, message: http.Message) -> int:
        prefix = records.prefix_of(message.target)
        work_s = callers.WORK_S_BY_PREFIX.get(prefix, callers.WORK_S)
        await asyncio.sleep(self.behaviour.pace * work_s * self._rng.uniform(0.7, 1.3))
        if self._rng.random() < callers.CALLING_SHARE_BY_PREFIX.get(prefix, 0.0):
            answered = await callers.call_once(self.place, self._history, self._rng)
            if not answered:
                return 500
        return 500 if self._rng.random() < self.behaviour.fail_share else 200

    async def _send(self, run: records.Run, status: int, writer) -> None:
        body = f"{run.request_id} at {self.endpoint_id} ".encode()
        body = body.ljust(self._rng.choice((200, 1500, 9000)), b".")
        proof = {
            NAMES.request_id: run.request_id,
            NAMES.signature: records.sign(run.request_id, status, body),
        }
        whole = self._render(status, proof, body)
        if self._rng.random() >= self.behaviour.spoilt_share:
            writer.write(whole)
            return
        spoil = self.behaviour.spoil
        if spoil == "extra":
            writer.write(whole + whole)
            return
        if spoil == "garble":
            writer.write(b"\x00\x01 no answer \r\n\r\n" + whole)
        elif spoil == "cut":
            writer.write(whole[: len(whole) * 2 // 3])
            await writer.drain()
        writer.transport.abort() if spoil == "lose" else writer.close()

    def _render(self, status: int, extra: dict[str, str], body: bytes = b"") -> bytes:
        waiting = max(0, self._running - self.slots)
        load = (
            min(self._running, self.slots),
            waiting,
            self.slots,
            round(100 * self.behaviour.pace),
        )
        fields = {NAMES.load: ",".join(map(str, load)), **extra}
        return http.render(f"HTTP/1.1 {status} Status", fields, body)
