"""Admission control for one backend server.

Every request to the backend server passes its gate, which therefore knows exactly
which requests run there, which wait, and the outcome of those that ended. The gate
alone decides on admission; load reports held by other processes are only hints.
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

# Upper limit of waiting requests, whatever is configured: each holds a thread.
MAX_WAITING = 256

RunBackend = collections.abc.Callable[
    [messages.CallMessage, float], backend_client.BackendAnswer
]
GateAnswer: typing.TypeAlias = (
    messages.ServedMessage | messages.NotRunMessage | messages.UnknownMessage
)


class _Waiter:
    """A queued request, and the event that wakes the thread waiting for its slot."""

    __slots__ = ("entry", "decided")

    def __init__(self, entry: rank_queues.Entry):
        self.entry = entry
        self.decided = threading.Event()


class Gate:
    """Admits calls to one backend server.

    :param queue: assigns the slots to waiting requests.
    :param outcomes: records the outcome of each request.
    :param run_backend: sends a call to the backend server and returns its complete
        answer by a deadline; raises :exc:`errors.BackendError` if there is none.
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
        self._stopping = False
        self.leaving = False
        self.has_backend_left = False

    # -----------------------------------------------------------------------
    #   Calls
    # -----------------------------------------------------------------------

    def serve(self, call: messages.CallMessage) -> GateAnswer:
        """Run a call made by this process.

        :param call: the call, with its remaining time.
        :returns: the backend server's answer, the reason why the call did not run,
            or an unknown outcome. It is kept beyond the deadline if memory allows.
        """
        return self.begin(call, None)()

    def begin(
        self, call: messages.CallMessage, connection: register.Connection | None
    ) -> collections.abc.Callable[[], GateAnswer]:
        """Register a call on arrival.

        :param call: the call, with its remaining time.
        :param connection: the connection that carried the call; None for a call made
            by this process.
        :returns: a function that runs the call, or refuses it, and returns the
            answer.
        """
        deadline = time.monotonic() + call.remaining_us / 1e6
        begin_result = self._outcomes.begin(call.request_id, connection, deadline)
        if begin_result is register.BeginResult.ACCEPTED:
            with self._lock:
                self._in_progress += 1
            return lambda: self._serve(call, deadline)
        if begin_result is register.BeginResult.DUPLICATE:
            text = "the request id is already in use at this endpoint; use a new one"
            return lambda: messages.UnknownMessage(call.request_id, text, self.report())
        if begin_result is register.BeginResult.FULL:
            return lambda: self._refuse(call, calls.NotRunReason.OVERLOADED)
        return lambda: self._refuse(call, calls.NotRunReason.BARRED)

    def _serve(self, call, deadline) -> GateAnswer:
        try:
            answer = self._admit_and_run(call, deadline)
        except Exception as error:
            # The backend server may have received the request before the error.
            text = f"internal error in the daemon: {error!r}; please report it"
            answer = messages.UnknownMessage(call.request_id, text, self.report())
        # Record the outcome before the call counts as ended, so that whoever sees
        # that it has ended also finds its outcome.
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
                # The process was paused between the grant of the slot and now.
                return self._refuse(call, calls.NotRunReason.DEADLINE)
            if self.has_backend_left:
                return self._refuse(call, calls.NotRunReason.LEAVING)
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
        """Wait until the request holds a slot or its ``refusal`` is set."""
        waiter = _Waiter(entry)
        with self._lock:
            if not self._offer(waiter):
                return
        # After its latest start a request is not expected to end in time. It is refused
        # then, while its caller still has time left.
        remaining_s = entry.latest_start - time.monotonic()
        if not waiter.decided.wait(max(0.0, remaining_s)):
            self._withdraw(entry.request_id, calls.NotRunReason.DEADLINE)

    def _offer(self, waiter: _Waiter) -> bool:
        """Add a request to the queue; return True if it has to wait."""
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
        """Remove a request from the queue; return None if it was not waiting."""
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
        """Apply new rules; requests in the queue keep their place.

        :param limit: the maximum number of waiting requests, capped at
            ``MAX_WAITING``.
        :param rules_by_rank: the rule of each rank.
        """
        with self._lock:
            self._queue.configure(min(limit, MAX_WAITING), rules_by_rank)

    def resize(self, slots: int) -> None:
        """Change the number of slots; requests that hold a slot keep it.

        :param slots: the number of requests that may run at the same time.
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
        """Handle a message that needs no slot.

        :param message: a cancel or resolve message; any other is ignored.
        :param connection: the connection that carried the message.
        :returns: the answer, or None if the message has none.
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
        """Return the outcome of a request.

        If the request has provably not arrived, it is refused should it arrive later.

        :param message: identifies the request and where it entered the inner
            protocol.
        :param connection: the connection that carried the message; None for a
            message of this process.
        :returns: the state and, for a finished request, its answer.
        """
        return self._outcomes.resolve(message, connection, time.monotonic())

    def open_connection(
        self, session: str, number: int, close: collections.abc.Callable[[], None]
    ) -> register.Connection:
        """Register a connection from another daemon.

        See :meth:`savoryhollow.recovery.register.OutcomeRegister.open`.
        """
        return self._outcomes.open(session, number, close)

    def close_connection(self, connection: register.Connection) -> None:
        """Record that a connection from another daemon has ended."""
        self._outcomes.close(connection)

    def stop_accepting(self, connection: register.Connection) -> int | None:
        """Accept no more calls on a connection.

        :param connection: the connection.
        :returns: the number of the last call accepted on it, or None if it carries
            no calls.
        """
        return self._outcomes.stop_accepting(connection)

    def cancel(self, request_id: str) -> None:
        """Cancel a request that is still waiting; a running request is not stopped."""
        entry = self._withdraw(request_id, calls.NotRunReason.CANCELLED)
        if entry is not None:
            # Record the outcome now: a resolve message for this request may arrive
            # before its waiting thread has woken.
            refused = self._refuse(entry, calls.NotRunReason.CANCELLED)
            self._outcomes.finish(request_id, refused, time.monotonic())

    def report(self) -> messages.LoadReport:
        """Return the current load of the backend server."""
        queue = self._queue
        service_us = int(queue.service_s * 1e6)
        return messages.LoadReport(
            queue.busy,
            queue.waiting_count,
            # Routers divide by the slots, so report at least 1; without slots the
            # gate refuses every request anyway.
            max(1, queue.slots),
            service_us,
            self.leaving,
            queue.queued_by_order,
        )

    def leave(self) -> None:
        """Refuse all new calls from now on, as the process stops."""
        with self._lock:
            self._stopping = True
            self.leaving = True

    def follow_list(self, has_left: bool) -> None:
        """Refuse waiting and new calls while the backend server has left.

        Calls that run are finished. A process that stops goes on refusing new calls.

        :param has_left: whether the list says that the backend server leaves, or no
            longer names it.
        """
        with self._lock:
            self.has_backend_left = has_left
            self.leaving = has_left or self._stopping
            waiting = list(self._waiters_by_id) if has_left else []
        for request_id in waiting:
            self._withdraw(request_id, calls.NotRunReason.LEAVING)

    def drain(self, deadline: float) -> bool:
        """Refuse new calls and wait until those in progress have ended.

        :param deadline: the monotonic time at which to stop waiting, in s.
        :returns: True if all calls have ended.
        """
        with self._lock:
            self._stopping = True
            self.leaving = True
            while self._in_progress:
                if not self._idle.wait(deadline - time.monotonic()):
                    return self._in_progress == 0
        return True
