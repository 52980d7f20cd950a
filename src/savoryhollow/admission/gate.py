"""The only way into a backend server.

The gate knows exactly which requests run there, which wait, and what became of
those that ended. It alone decides; every report held elsewhere is a hint.
"""

import collections.abc
import threading
import time
import typing

from savoryhollow import calls, errors
from savoryhollow.admission import queueing, rank_queues
from savoryhollow.backend import client as backend_client
from savoryhollow.recovery import register
from savoryhollow.wire import messages

__all__ = ["Gate", "GateAnswer"]

# Requests that may wait, whatever is configured; each of them holds a thread.
MAX_WAITING = 256

RunBackend = collections.abc.Callable[
    [messages.CallMessage, float], backend_client.BackendAnswer
]
GateAnswer: typing.TypeAlias = (
    messages.ServedMessage | messages.NotRunMessage | messages.UnknownMessage
)


class _Waiter:
    """One request in the queue and the thread that waits for its slot."""

    __slots__ = ("entry", "decided")

    def __init__(self, entry: rank_queues.Entry):
        self.entry = entry
        self.decided = threading.Event()


class Gate:
    """Admits calls to one backend server.

    :param queue: the slots and the queue in front of them.
    :param outcomes: remembers what became of each request.
    :param run_backend: sends a call to the backend server by a deadline and
        returns its whole answer.
    """

    def __init__(
        self,
        queue: queueing.AdmissionQueue,
        outcomes: register.OutcomeRegister,
        run_backend: RunBackend,
    ):
        self._queue = queue
        self._outcomes = outcomes
        self._run_backend = run_backend
        self._lock = threading.Lock()
        self._waiters_by_id: dict[str, _Waiter] = {}
        self._idle = threading.Condition(self._lock)
        self._in_progress = 0
        self.leaving = False

    # -----------------------------------------------------------------------
    #   Calls
    # -----------------------------------------------------------------------

    def serve(self, call: messages.CallMessage) -> GateAnswer:
        """Run a call of this process, or say truthfully what happened.

        :param call: the call, with the time that remains for it.
        :returns: the answer; it is remembered until its deadline.
        """
        return self.begin(call, None)()

    def begin(
        self, call: messages.CallMessage, connection: register.Connection | None
    ) -> collections.abc.Callable[[], GateAnswer]:
        """Note that a call has arrived.

        :param call: the call, with the time that remains for it.
        :param connection: carried the call; None for a call of this process.
        :returns: a function that runs the call, or says truthfully what
            happened to it.
        """
        deadline = time.monotonic() + call.remaining_us / 1e6
        begin_result = self._outcomes.begin(call.request_id, connection, deadline)
        if begin_result is register.BeginResult.ACCEPTED:
            with self._lock:
                self._in_progress += 1
            return lambda: self._serve(call, deadline)
        if begin_result is register.BeginResult.DUPLICATE:
            text = "the id is in use here"
            return lambda: messages.UnknownMessage(call.request_id, text, self.report())
        if begin_result is register.BeginResult.FULL:
            return lambda: self._refuse(call, calls.NotRunReason.OVERLOADED)
        return lambda: self._refuse(call, calls.NotRunReason.BARRED)

    def _serve(self, call, deadline) -> GateAnswer:
        try:
            answer = self._admit_and_run(call, deadline)
        except Exception as error:
            # The backend server may have been reached before the fault.
            text = f"the daemon failed: {error!r}; report it"
            answer = messages.UnknownMessage(call.request_id, text, self.report())
        # Known first: who finds the call gone finds its outcome too.
        self._outcomes.finish(call.request_id, answer, time.monotonic())
        with self._lock:
            self._in_progress -= 1
            self._idle.notify_all()
        return answer

    def _admit_and_run(self, call, deadline) -> GateAnswer:
        entry = rank_queues.Entry(call.request_id, call.rank, call.caller, deadline)
        self._acquire(entry)
        if entry.refusal is not None:
            return self._refuse(call, entry.refusal)
        started = time.monotonic()
        try:
            if started >= deadline:
                # This process was paused after the slot was granted.
                return self._refuse(call, calls.NotRunReason.DEADLINE)
            answer = self._run_backend(call, deadline)
        except errors.BackendError as error:
            if not error.started:
                return self._refuse(call, calls.NotRunReason.UNREACHABLE)
            return messages.UnknownMessage(call.request_id, str(error), self.report())
        finally:
            self._release(entry, started)
        return messages.ServedMessage(
            call.request_id, answer.status, answer.headers, answer.body, self.report()
        )

    def _refuse(self, call, reason) -> messages.NotRunMessage:
        with self._lock:
            retry_after_ms = self._queue.retry_after_ms(call.rank, time.monotonic())
        return messages.NotRunMessage(
            call.request_id, reason, retry_after_ms, self.report()
        )

    # -----------------------------------------------------------------------
    #   Slots
    # -----------------------------------------------------------------------

    def _acquire(self, entry: rank_queues.Entry) -> None:
        """Wait until the request holds a slot or has a refusal set."""
        waiter = _Waiter(entry)
        with self._lock:
            if not self._offer(waiter):
                return
        # Past its latest start a request is refused while its caller has time left.
        remaining_s = entry.latest_start - time.monotonic()
        if not waiter.decided.wait(max(0.0, remaining_s)):
            self._withdraw(entry.request_id, calls.NotRunReason.DEADLINE)

    def _offer(self, waiter: _Waiter) -> bool:
        """Put a request into the queue; return whether it has to wait."""
        entry = waiter.entry
        if self.leaving:
            entry.refusal = calls.NotRunReason.LEAVING
            return False
        refused = self._queue.offer(entry, time.monotonic())
        if refused is entry:
            return False
        self._waiters_by_id[entry.request_id] = waiter
        if refused is not None:
            self._notify(refused.request_id)
        self._grant()
        return entry.request_id in self._waiters_by_id

    def _grant(self) -> None:
        while (entry := self._queue.take(time.monotonic())) is not None:
            self._notify(entry.request_id)

    def _notify(self, request_id: str) -> None:
        self._waiters_by_id.pop(request_id).decided.set()

    def _withdraw(self, request_id, reason) -> rank_queues.Entry | None:
        """Take a request out of the queue; return it if it waited."""
        with self._lock:
            waiter = self._waiters_by_id.get(request_id)
            if waiter is None:
                return None
            if not self._queue.withdraw(waiter.entry, reason):
                return None
            self._notify(request_id)
            return waiter.entry

    def _release(self, entry: rank_queues.Entry, started: float) -> None:
        now = time.monotonic()
        with self._lock:
            self._queue.release(entry, now - started, now)
            self._grant()

    def configure(
        self, limit: int, rules_by_rank: dict[str, rank_queues.RankRule]
    ) -> None:
        """Put new rules in force; requests inside keep their place.

        :param limit: requests that may wait; each holds a thread, so it is
            kept below ``MAX_WAITING``.
        :param rules_by_rank: the rule of each rank.
        """
        with self._lock:
            self._queue.configure(min(limit, MAX_WAITING), rules_by_rank)

    def resize(self, slots: int) -> None:
        """Change the number of slots; requests that hold one keep it.

        :param slots: requests that the backend server runs from now on.
        """
        with self._lock:
            self._queue.resize(slots)
            self._grant()

    # -----------------------------------------------------------------------
    #   Other messages
    # -----------------------------------------------------------------------

    def answer_control_message(
        self, message: messages.Message, connection: register.Connection
    ) -> messages.Message | None:
        """Answer a message that asks for no slot.

        :param message: a cancellation or a resolve request.
        :param connection: carried the message.
        :returns: the answer, or None where there is none.
        """
        if isinstance(message, messages.CancelMessage):
            self.cancel(message.request_id)
        elif isinstance(message, messages.ResolveMessage):
            return self.resolve(message, connection)
        return None

    def resolve(
        self,
        message: messages.ResolveMessage,
        connection: register.Connection | None,
    ) -> messages.ResolutionMessage:
        """Say what became of a request; one that never arrived never will.

        :param message: names the request and where it entered.
        :param connection: carried the message; None for one of this process.
        :returns: the state and, for a finished request, its answer.
        """
        return self._outcomes.resolve(message, connection, time.monotonic())

    def open_connection(
        self, session: str, number: int, close: collections.abc.Callable[[], None]
    ) -> register.Connection:
        """Note a connection of another daemon; see :class:`OutcomeRegister`."""
        return self._outcomes.open(session, number, close)

    def close_connection(self, connection: register.Connection) -> None:
        """Note that a connection of another daemon has ended."""
        self._outcomes.close(connection)

    def stop_accepting(self, connection: register.Connection) -> int | None:
        """Accept no further call; return the number of the last accepted."""
        return self._outcomes.stop_accepting(connection)

    def cancel(self, request_id: str) -> None:
        """Withdraw a request that still waits; one that runs is left to end."""
        entry = self._withdraw(request_id, calls.NotRunReason.CANCELLED)
        if entry is not None:
            # Told at once, for the question that follows a cancellation.
            refused = self._refuse(entry, calls.NotRunReason.CANCELLED)
            self._outcomes.finish(request_id, refused, time.monotonic())

    def report(self) -> messages.LoadReport:
        """Return the load of the backend server as it is now."""
        queue = self._queue
        service_us = int(queue.service_s * 1e6)
        return messages.LoadReport(
            queue.busy,
            queue.waiting_count,
            # Routers divide by it; a gate without slots refuses by itself.
            max(1, queue.slots),
            service_us,
            self.leaving,
            queue.queued_by_order,
        )

    def leave(self) -> None:
        """Refuse every new call from now on."""
        with self._lock:
            self.leaving = True

    def drain(self, deadline: float) -> bool:
        """Refuse new calls and wait until those in progress have ended.

        :param deadline: the monotonic instant to stop waiting at.
        :returns: whether every call has ended.
        """
        with self._lock:
            self.leaving = True
            while self._in_progress:
                if not self._idle.wait(deadline - time.monotonic()):
                    return self._in_progress == 0
        return True
