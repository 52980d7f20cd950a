"""Concurrent requests on one connection, answered in any order.

There is no reader thread. One of the waiting threads reads from the connection and
passes each answer to the thread that waits for it. When its own answer has arrived,
another waiting thread continues to read. With a single request in flight, the thread
that sent it reads the answer itself, without a switch between threads.
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
    """A request that was sent and is not answered yet.

    :param request_id: the id of the request.
    :param origin: the connection and position at which it was sent.

    ``event`` wakes the thread that waits for the answer.
    """

    __slots__ = ("answer", "event", "failure", "origin", "request_id")

    def __init__(self, request_id: str, origin: calls.Origin):
        self.request_id = request_id
        self.origin = origin
        self.answer: Answer | None = None
        self.failure: errors.WireError | None = None
        self.event = threading.Event()


class MultiplexedConnection:
    """A connection to a peer that carries any number of requests at a time.

    :param channel: an open channel; nothing else may read from it.
    :param hello: the hello message of this process on that channel.
    :param peer: the hello message of the peer.
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
        self._pending_by_id: dict[str, PendingRequest] = {}
        self._reading = False
        self._failure: errors.WireError | None = None
        self._last_number: int | None = None
        self.peer = peer

    @property
    def closed(self) -> bool:
        """Whether no further request can be sent."""
        return self._channel.closed or self._failure is not None

    @property
    def leaving(self) -> bool:
        """Whether the peer accepts no further calls on this connection."""
        return self._last_number is not None

    @property
    def bytes_total(self) -> int:
        """The number of bytes sent and received on the connection."""
        return self._channel.bytes_sent + self._channel.bytes_received

    def start(
        self, message: messages.CallMessage | messages.ResolveMessage
    ) -> PendingRequest:
        """Send a request.

        If sending fails halfway, the peer may have received the request, so the
        error is raised by :meth:`finish`.

        :param message: the request; no request with its id may be pending here.
        :returns: the pending request, to be passed to :meth:`finish`.
        :raises errors.WireError: if nothing was sent.
        """
        with self._send_lock:
            # The peer counts calls in the order of arrival, so numbers are assigned
            # in the order of sending.
            is_call = isinstance(message, messages.CallMessage)
            number = self._calls_sent + 1 if is_call else 0
            pending = self._add_pending(message.request_id, number)
            self._calls_sent += is_call
            try:
                self._channel.send(message)
            except errors.WireError as error:
                pending.failure = error
        return pending

    def finish(self, pending: PendingRequest, deadline: float) -> Answer | None:
        """Wait for the answer to a request.

        :param pending: the request as returned by :meth:`start`.
        :param deadline: the monotonic time at which to stop waiting.
        :returns: the answer, or None if the deadline has passed.
        :raises errors.WireError: if the connection failed before the answer arrived.
        """
        try:
            if pending.failure is not None:
                raise pending.failure
            return self._wait_for_answer(pending, deadline)
        finally:
            self._remove_pending(pending.request_id)

    def request(
        self,
        message: messages.CallMessage | messages.ResolveMessage,
        deadline: float,
    ) -> Answer | None:
        """Send a request and wait for its answer.

        :param message: the request; no request with its id may be pending here.
        :param deadline: the monotonic time at which to stop waiting.
        :returns: the answer, or None if the deadline has passed.
        :raises errors.WireError: if the connection failed before the answer arrived.
        """
        return self.finish(self.start(message), deadline)

    def send_best_effort(self, message: messages.CancelMessage) -> None:
        """Send a message that has no answer; connection errors are ignored."""
        try:
            self._channel.send(message)
        except errors.WireError:
            pass

    def close(self) -> None:
        """Close the connection and wake all waiting threads."""
        self._close_with(
            errors.ChannelClosedError("closed by this end; open a new connection")
        )

    # -----------------------------------------------------------------------
    #   Waiting and reading
    # -----------------------------------------------------------------------

    def _add_pending(self, request_id: str, number: int) -> PendingRequest:
        hello = self._hello
        origin = calls.Origin(hello.incarnation, hello.connection, number)
        pending = PendingRequest(request_id, origin)
        with self._lock:
            if self._failure is not None:
                raise self._failure
            if request_id in self._pending_by_id:
                text = f"request {request_id} is already pending; use a new id"
                raise errors.WireError(text)
            self._pending_by_id[request_id] = pending
        return pending

    def _remove_pending(self, request_id: str) -> None:
        with self._lock:
            self._pending_by_id.pop(request_id, None)
            self._wake_next_reader()

    def _wait_for_answer(
        self, pending: PendingRequest, deadline: float
    ) -> Answer | None:
        while True:
            with self._lock:
                if pending.answer is not None:
                    return pending.answer
                if self._failure is not None:
                    raise self._failure
                is_reader = not self._reading
                self._reading = self._reading or is_reader
                pending.event.clear()
            if time.monotonic() >= deadline:
                if is_reader:
                    self._stop_reading()
                return None
            if is_reader:
                self._read_one(deadline)
            else:
                pending.event.wait(deadline - time.monotonic())

    def _read_one(self, deadline: float) -> None:
        try:
            answer = self._channel.receive(deadline)
            if isinstance(answer, messages.GoAwayMessage):
                self._handle_go_away(answer)
                return
            if answer is not None and not isinstance(answer, Answer):
                text = f"{type(answer).__name__} isn't an answer; run matching versions"
                raise errors.MalformedMessageError(text)
        except errors.WireError as error:
            self._close_with(error)
            return
        with self._lock:
            self._reading = False
            pending = self._pending_by_id.get(getattr(answer, "request_id", ""))
            if pending is not None:
                pending.answer = answer
                pending.event.set()

    def _handle_go_away(self, message: messages.GoAwayMessage) -> None:
        with self._lock:
            self._reading = False
            self._last_number = message.last_number
            for pending in self._pending_by_id.values():
                if pending.origin.number > message.last_number:
                    pending.answer = _make_refusal(pending.request_id)
                    pending.event.set()

    def _stop_reading(self) -> None:
        with self._lock:
            self._reading = False

    def _wake_next_reader(self) -> None:
        if self._reading:
            return
        for pending in self._pending_by_id.values():
            if pending.answer is None:
                pending.event.set()
                return

    def _close_with(self, error: errors.WireError) -> None:
        self._channel.close()
        with self._lock:
            if self._failure is None:
                self._failure = error
            self._reading = False
            for pending in self._pending_by_id.values():
                pending.event.set()


def _make_refusal(request_id: str) -> messages.NotRunMessage:
    load = messages.LoadReport(0, 0, 1, 0, leaving=True)
    reason = calls.NotRunReason.LEAVING
    return messages.NotRunMessage(request_id, reason, 0, load)
