"""Many requests in flight on one connection, answered in any order.

The threads that wait share the reading: one of them reads the connection and
hands each answer to its owner; once its own answer is there, another waiting
thread takes over. A request that is alone is read by its own thread.
"""

import threading
import time
import typing

from savoryhollow import calls, errors
from savoryhollow.wire import channel as channel_module
from savoryhollow.wire import messages

__all__ = ["Answer", "MultiplexedConnection", "PendingRequest"]

Answer: typing.TypeAlias = (
    messages.ServedMessage
    | messages.NotRunMessage
    | messages.UnknownMessage
    | messages.ResolutionMessage
)


class PendingRequest:
    """One request that is open, and the thread that waits for its answer.

    :param request_id: the id of the request.
    :param origin: where the request entered the inner protocol.
    """

    __slots__ = ("answer", "event", "failure", "origin", "request_id")

    def __init__(self, request_id: str, origin: calls.Origin):
        self.request_id = request_id
        self.origin = origin
        self.answer: Answer | None = None
        self.failure: errors.WireError | None = None
        self.event = threading.Event()


class MultiplexedConnection:
    """The requests that this process has open on one connection.

    :param channel: an open channel that nothing else reads.
    :param hello: the greeting of this process on it.
    :param peer: the greeting of the peer.
    """

    def __init__(
        self,
        channel: channel_module.Channel,
        hello: messages.HelloMessage,
        peer: messages.HelloMessage,
    ):
        self._channel = channel
        self._hello = hello
        self._lock = threading.Lock()
        self._send_lock = threading.Lock()
        self._calls_sent = 0
        self._waiters_by_id: dict[str, PendingRequest] = {}
        self._reading = False
        self._failure: errors.WireError | None = None
        self._last_number: int | None = None
        self.peer = peer

    @property
    def closed(self) -> bool:
        """Whether no further request can be made."""
        return self._channel.closed or self._failure is not None

    @property
    def leaving(self) -> bool:
        """Whether the peer accepts no further call on this connection."""
        return self._last_number is not None

    @property
    def bytes_total(self) -> int:
        """Bytes sent and received on the connection."""
        return self._channel.bytes_sent + self._channel.bytes_received

    def start(
        self, message: messages.CallMessage | messages.ResolveMessage
    ) -> PendingRequest:
        """Send a request.

        :param message: the request; its id must not be open here already.
        :returns: what :meth:`finish` waits for; a send that failed halfway is
            told there, as the peer may have got the request.
        :raises errors.WireError: where nothing at all was sent.
        """
        with self._send_lock:
            # Numbers follow the order of sending, which the peer counts by.
            counted = isinstance(message, messages.CallMessage)
            number = self._calls_sent + 1 if counted else 0
            pending = self._enter(message.request_id, number)
            self._calls_sent += counted
            try:
                self._channel.send(message)
            except errors.WireError as error:
                pending.failure = error
        return pending

    def finish(self, pending: PendingRequest, deadline: float) -> Answer | None:
        """Wait for the answer of a request.

        :param pending: the request as :meth:`start` returned it.
        :param deadline: the monotonic instant to stop waiting at.
        :returns: the answer, or None once the deadline has passed.
        :raises errors.ChannelClosedError: where the connection ended first.
        """
        try:
            if pending.failure is not None:
                raise pending.failure
            return self._wait(pending, deadline)
        finally:
            self._leave(pending.request_id)

    def request(
        self,
        message: messages.CallMessage | messages.ResolveMessage,
        deadline: float,
    ) -> Answer | None:
        """Send a request and wait for its answer.

        :param message: the request; its id must not be open here already.
        :param deadline: the monotonic instant to stop waiting at.
        :returns: the answer, or None once the deadline has passed.
        :raises errors.WireError: where the connection ended first.
        """
        return self.finish(self.start(message), deadline)

    def send_best_effort(self, message: messages.CancelMessage) -> None:
        """Send a message that has no answer; a lost connection is ignored."""
        try:
            self._channel.send(message)
        except errors.WireError:
            pass

    def close(self) -> None:
        """Close the connection; every waiting thread is woken."""
        self._fail(errors.ChannelClosedError("closed here; open a new connection"))

    # -----------------------------------------------------------------------
    #   Waiting and reading
    # -----------------------------------------------------------------------

    def _enter(self, request_id: str, number: int) -> PendingRequest:
        hello = self._hello
        origin = calls.Origin(hello.incarnation, hello.connection, number)
        waiter = PendingRequest(request_id, origin)
        with self._lock:
            if self._failure is not None:
                raise self._failure
            if request_id in self._waiters_by_id:
                text = f"request {request_id} is open already; use a new id"
                raise errors.WireError(text)
            self._waiters_by_id[request_id] = waiter
        return waiter

    def _leave(self, request_id: str) -> None:
        with self._lock:
            self._waiters_by_id.pop(request_id, None)
            self._wake_next_reader()

    def _wait(self, waiter: PendingRequest, deadline: float) -> Answer | None:
        while True:
            with self._lock:
                if waiter.answer is not None:
                    return waiter.answer
                if self._failure is not None:
                    raise self._failure
                leads = not self._reading
                self._reading = self._reading or leads
                waiter.event.clear()
            if time.monotonic() >= deadline:
                if leads:
                    self._stop_reading()
                return None
            if leads:
                self._read_one(deadline)
            else:
                waiter.event.wait(deadline - time.monotonic())

    def _read_one(self, deadline: float) -> None:
        try:
            answer = self._channel.receive(deadline)
            if isinstance(answer, messages.GoAwayMessage):
                self._heed(answer)
                return
            if answer is not None and not isinstance(answer, Answer):
                text = f"{type(answer).__name__} is no answer; run matching versions"
                raise errors.MalformedMessageError(text)
        except errors.WireError as error:
            self._fail(error)
            return
        with self._lock:
            self._reading = False
            waiter = self._waiters_by_id.get(getattr(answer, "request_id", ""))
            if waiter is not None:
                waiter.answer = answer
                waiter.event.set()

    def _heed(self, message: messages.GoAwayMessage) -> None:
        with self._lock:
            self._reading = False
            self._last_number = message.last_number
            for waiter in self._waiters_by_id.values():
                if waiter.origin.number > message.last_number:
                    waiter.answer = _refused(waiter.request_id)
                    waiter.event.set()

    def _stop_reading(self) -> None:
        with self._lock:
            self._reading = False

    def _wake_next_reader(self) -> None:
        if self._reading:
            return
        for waiter in self._waiters_by_id.values():
            if waiter.answer is None:
                waiter.event.set()
                return

    def _fail(self, error: errors.WireError) -> None:
        self._channel.close()
        with self._lock:
            if self._failure is None:
                self._failure = error
            self._reading = False
            for waiter in self._waiters_by_id.values():
                waiter.event.set()


def _refused(request_id: str) -> messages.NotRunMessage:
    load = messages.LoadReport(0, 0, 1, 0, leaving=True)
    reason = calls.NotRunReason.LEAVING
    return messages.NotRunMessage(request_id, reason, 0, load)
