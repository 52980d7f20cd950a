"""Admission control for the backend server of this instance.

Every request to the backend server passes through the gate.
"""

import asyncio
import collections.abc
import dataclasses
import math

from savoryhollow import calls
from savoryhollow.admission import objectives
from savoryhollow.observe import events
from savoryhollow.proxy import backend_responses, backend_runner
from savoryhollow.wire import messages

__all__ = ["Answer", "Gate", "usable_slots"]

# The messages with which a gate answers a call.
Answer = messages.ServedMessage | messages.NotRunMessage | messages.UnknownMessage

# Utilization of its slots up to which a backend server keeps its usual pace.
KNEE_UTILIZATION = 0.8
# Bounds of the time after which a caller may retry a refused request, in ms.
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 1_000
# Slots assumed until the backend server's own number is known.
DEFAULT_SLOTS = 8
# Average remaining time of a slow spell when a request encounters it, in us.
SPELL_REMAINING_US = 150_000
# Maximum age of a reported pace that needs no new probe, in s.
FRESH_PACE_AGE_S = 0.015
# Interval between probes while requests wait for a slow spell to end, in s.
PACE_POLL_INTERVAL_S = 0.04
# Age beyond which a reported pace is ignored, in s.
MAX_PACE_AGE_S = 0.5

REASONS_BY_REFUSAL = {
    objectives.Refusal.TOO_LATE: calls.NotRunReason.DEADLINE,
    objectives.Refusal.FULL: calls.NotRunReason.QUEUE_FULL,
    objectives.Refusal.LEAVING: calls.NotRunReason.LEAVING,
}


def usable_slots(slots: int) -> int:
    """Return how many of the backend server's slots are given to new work."""
    return max(1, math.floor(KNEE_UTILIZATION * slots))


class Gate:
    """Admits requests to the backend server and returns their results.

    :param runner: sends requests to the backend server.
    :param clock: returns the current time, in s.
    :param resolve_endpoint_id: returns the id of the endpoint that runs the requests
        of a service on this instance, or None if that isn't certain.
    """

    def __init__(
        self,
        runner: backend_runner.BackendRunner,
        clock: collections.abc.Callable[[], float],
        resolve_endpoint_id: collections.abc.Callable[[str], str | None],
    ):
        self._runner = runner
        self._clock = clock
        self._resolve_endpoint_id = resolve_endpoint_id
        slots = usable_slots(DEFAULT_SLOTS)
        self.queue = objectives.ObjectiveQueue(slots, DEFAULT_SLOTS - slots)
        self.leaving = False
        self.in_progress = 0
        self.requests_deferred = asyncio.Event()
        self._futures_by_entry: dict[objectives.QueueEntry, asyncio.Future[None]] = {}

    # -----------------------------------------------------------------------
    #   Requests
    # -----------------------------------------------------------------------

    async def serve(self, call: messages.CallMessage) -> Answer:
        """Run a request and return its result, or the reason why it wasn't run.

        Cancelling this coroutine removes a waiting request from the queue, or
        closes the connection on which a running one was sent.

        :param call: the request.
        """
        self.in_progress += 1
        started = self._clock()
        try:
            return await self._serve(call)
        except asyncio.CancelledError as error:
            events.emit(
                events.Event.RUN_CANCELLED,
                request_id=call.request_id,
                endpoint_id=call.expected_endpoint,
                reason=str(error),
                after_ms=round(1000 * (self._clock() - started)),
            )
            raise
        finally:
            self.in_progress -= 1

    async def _serve(self, call: messages.CallMessage) -> Answer:
        now = self._clock()
        deadline = now + call.remaining_us / 1e6
        await self._runner.refresh_load(FRESH_PACE_AGE_S)
        entry = objectives.QueueEntry(
            rank=call.rank,
            order=call.order,
            is_nested=call.depth > 0,
            objective=now + call.objective_us / 1e6,
            deadline=deadline,
        )
        if self.leaving:
            return self._refuse(call, entry, calls.NotRunReason.LEAVING)
        if not call.patient and not self._can_start_at_once(entry, now):
            return self._refuse(call, entry, calls.NotRunReason.NOT_NOW)
        await self._acquire(entry, now)
        if entry.refusal is not None:
            return self._refuse(call, entry, REASONS_BY_REFUSAL[entry.refusal])
        started = self._clock()
        held_s: float | None = None
        pace_percent = self.pace_percent
        try:
            if self.leaving:
                return self._refuse(call, entry, calls.NotRunReason.LEAVING)
            # The endpoint list lags, so the router may have used an outdated id.
            endpoint_id = (
                self._resolve_endpoint_id(call.service) or call.expected_endpoint
            )
            call = dataclasses.replace(call, expected_endpoint=endpoint_id)
            result = await self._runner.run(call, deadline)
            if result.response is not None:
                held_s = self._clock() - started
                self._log_run(call, result, started - now, held_s, pace_percent)
        finally:
            # The queue's estimates are times at the usual pace.
            usual_service_s = held_s and held_s / max(1.0, pace_percent / 100)
            self.queue.release(entry.rank, usual_service_s)
            self._grant_slots()
        return self._build_answer(call, entry, result)

    def _build_answer(
        self, call, entry, result: backend_responses.BackendResult
    ) -> Answer:
        if result.reason is not None:
            return self._refuse(call, entry, result.reason)
        if result.response is None:
            events.emit(
                events.Event.RUN_UNKNOWN,
                request_id=call.request_id,
                endpoint_id=call.expected_endpoint,
                detail=result.detail,
            )
            return messages.UnknownMessage(
                call.request_id, result.detail, self.report()
            )
        response = result.response
        return messages.ServedMessage(
            call.request_id,
            response.status,
            response.headers,
            response.body,
            self.report(),
        )

    def _log_run(self, call, result, waited_s, held_s, pace_percent) -> None:
        events.emit(
            events.Event.RUN_ENDED,
            request_id=call.request_id,
            endpoint_id=call.expected_endpoint,
            status=result.response.status,
            waited_ms=round(1000 * waited_s),
            ran_ms=round(1000 * held_s),
            pace_percent=pace_percent,
            busy=self.queue.busy,
            slots=self.queue.slots,
            waiting=len(self.queue.waiting),
        )

    def _refuse(self, call, entry, reason: calls.NotRunReason) -> Answer:
        retry_after_ms = self.retry_after_ms(entry)
        events.emit(
            events.Event.RUN_REFUSED,
            request_id=call.request_id,
            endpoint_id=call.expected_endpoint,
            reason=reason.value,
            remaining_ms=call.remaining_us // 1000,
            expected_ms=round(1000 * entry.expected_service_s),
            pace_percent=self.pace_percent,
            pace_age_ms=self._pace_age_ms(),
            in_spell=self.queue.is_in_spell(self._clock()),
            busy=self.queue.busy,
            slots=self.queue.slots,
            waiting=len(self.queue.waiting),
        )
        return messages.NotRunMessage(
            call.request_id, reason, retry_after_ms, self.report()
        )

    def _pace_age_ms(self) -> int | None:
        age_s = self._clock() - self._runner.load_received_at
        return round(1000 * age_s) if math.isfinite(age_s) else None

    # -----------------------------------------------------------------------
    #   Slots
    # -----------------------------------------------------------------------

    async def _acquire(self, entry: objectives.QueueEntry, now: float) -> None:
        refused = self.queue.offer(entry, now)
        if entry in refused:
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._futures_by_entry[entry] = future
        self._wake(refused)
        self._grant_slots()
        if not future.done() and self.queue.is_in_spell(now):
            self.requests_deferred.set()
        try:
            async with asyncio.timeout_at(entry.latest_start):
                await future
        except TimeoutError:
            if not self.queue.withdraw(entry):
                # It was granted a slot in the same iteration of the event loop.
                return
            entry.refusal = objectives.Refusal.TOO_LATE
        except asyncio.CancelledError:
            if not self.queue.withdraw(entry) and entry.refusal is None:
                self.queue.release(entry.rank, None)
                self._grant_slots()
            raise
        finally:
            self._futures_by_entry.pop(entry, None)

    def _wake(self, entries: list[objectives.QueueEntry]) -> None:
        for entry in entries:
            future = self._futures_by_entry.get(entry)
            if future is not None and not future.done():
                future.set_result(None)

    def _grant_slots(self) -> None:
        now = self._clock()
        self._wake(self.queue.expire(now))
        while (entry := self.queue.take(now)) is not None:
            self._wake([entry])

    def _can_start_at_once(self, entry: objectives.QueueEntry, now: float) -> bool:
        entry.expected_service_s = self.queue.estimate_service_s(entry, now)
        free = self.queue.busy < self.queue.slots and not self.queue.waiting
        slow = self.queue.should_defer(entry, now) or self.queue.would_miss_objective(
            entry, now
        )
        return free and not slow

    async def poll_pace_in_spells(self) -> None:
        """Probe the backend server while requests wait for a slow spell to end.

        Runs until it is cancelled.
        """
        while True:
            await self.requests_deferred.wait()
            while self.queue.waiting and self.queue.is_in_spell(self._clock()):
                await asyncio.sleep(PACE_POLL_INTERVAL_S)
                await self._runner.refresh_load(PACE_POLL_INTERVAL_S / 2)
            self.requests_deferred.clear()
            # A lasting spell or a silent backend server must not hold requests back.
            self._grant_slots()

    def update_pace(self) -> None:
        """Apply the pace that the backend server last reported."""
        self.queue.record_pace(self.pace_percent / 100, self._clock())
        self._grant_slots()

    def resize(self, slots: int) -> None:
        """Set the number of requests that the backend server can run concurrently."""
        usable = usable_slots(slots)
        self.queue.resize(usable, slots - usable)
        self._grant_slots()

    def leave(self) -> None:
        """Refuse waiting and new requests; running ones are finished."""
        self.leaving = True
        for entry in tuple(self._futures_by_entry):
            if self.queue.withdraw(entry):
                entry.refusal = objectives.Refusal.LEAVING
                self._wake([entry])

    def resume(self) -> None:
        """Admit requests again."""
        self.leaving = False

    # -----------------------------------------------------------------------
    #   Reports
    # -----------------------------------------------------------------------

    @property
    def pace_percent(self) -> int:
        """How long work currently takes, in percent of the usual time."""
        load = self._runner.load
        if (
            load is None
            or self._clock() - self._runner.load_received_at > MAX_PACE_AGE_S
        ):
            return 100
        return load.pace_percent

    def retry_after_ms(self, entry: objectives.QueueEntry) -> int:
        """Return the time after which a refused request may be retried, in ms."""
        wait_ms = 1000 * self.queue.expected_wait_s(entry, self._clock())
        return int(max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, wait_ms)))

    def report(self) -> messages.LoadReport:
        """Return the current load."""
        in_spell = self.queue.is_in_spell(self._clock())
        pace_percent = self.pace_percent
        if in_spell:
            pace_percent = round(100 * self.queue.baseline_pace)
        return messages.LoadReport(
            busy=self.queue.busy,
            queued=len(self.queue.waiting),
            slots=max(1, self.queue.slots),
            service_us=int(self.queue.service_s * 1e6),
            leaving=self.leaving,
            queued_by_order=self.queue.queued_by_order(),
            pace_percent=pace_percent,
            spell_us=SPELL_REMAINING_US if in_spell else 0,
        )
