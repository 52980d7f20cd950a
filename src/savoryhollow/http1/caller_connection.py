"""A connection from a caller, with pipelining.

Pipelined requests with safe methods are served concurrently; their responses are sent
in the order of the requests. Any other request starts only after all earlier responses
were sent: if the connection were closed before that, the caller would send the request
again although it may have run.
"""

import asyncio
import collections
import dataclasses
import typing

import httptools

from savoryhollow import calls
from savoryhollow.http1 import body_budget, closing, losses, messages, pipeline

if typing.TYPE_CHECKING:
    from savoryhollow.http1 import callers

__all__ = ["CallerConnection"]

# Maximum number of unanswered requests read from one connection.
MAX_PIPELINED = 64
# The response to a request whose body can't be held in memory.
NO_MEMORY_RESPONSE = messages.Response(
    503, (calls.Header("Retry-After", "0.50"),), close=True
)
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerConnection(asyncio.Protocol):
    """A connection from a caller.

    :param server: the server that accepted it.
    """

    def __init__(self, server: "callers.Server"):
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._pipeline = collections.deque[pipeline.PipelinedRequest]()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        # Arrival of the data that waits to be read, until it is read.
        self._waiting_since: float | None = None
        self._data_arrived_at = 0.0
        self._message_began_at = 0.0
        self._closed = False
        self._timed_out = False
        self._skips_data = False
        self._refusal_bytes = 0
        self._graceful_close: closing.GracefulClose | None = None
        self._losses = losses.LossReporter(server)
        self._memory = body_budget.Reservation(
            server.body_budget, self._on_memory_granted
        )
        self._reset_message()

    @property
    def pending_count(self) -> int:
        """The number of requests that are not answered yet."""
        return len(self._pipeline)

    @property
    def is_sending(self) -> bool:
        """Whether the caller hasn't received the responses to served requests."""
        if self._transport is None:
            return False
        return closing.unsent_bytes(self._transport) > self._refusal_bytes

    # -----------------------------------------------------------------------
    #   Callbacks of the transport
    # -----------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection with the server."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)
        self._waiting_since = self._server.waiting_since(transport)
        self._restart_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests in progress, as the caller is gone."""
        reason = losses.Reason.CONNECTION_LOST if exc else losses.Reason.CALLER_CLOSED
        if self._graceful_close is not None and self._graceful_close.gave_up:
            reason = losses.Reason.STALLED
        elif self._timed_out:
            reason = losses.Reason.IDLE_TIMEOUT
        self._closed = True
        self.report_losses(reason)
        self._server.connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        if self._graceful_close is not None:
            self._graceful_close.cancel()
        self._cancel_requests(reason)

    def resume_writing(self) -> None:
        """Go on to close the connection."""
        if self._graceful_close is not None:
            self._graceful_close.handle_written()

    def data_received(self, data: bytes) -> None:
        """Parse data from the caller; requests that come too late are only reported."""
        if self._skips_data:
            return
        self._data_arrived_at = self._waiting_since or self._loop.time()
        self._waiting_since = None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._skips_data = True
            self._reject(400)
        self._restart_timer()

    # -----------------------------------------------------------------------
    #   Callbacks of the parser
    # -----------------------------------------------------------------------

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: list[calls.Header] = []
        self._body = bytearray()
        self._header_bytes = 0
        self._reading_message = False
        self._reading_body = False
        # Whether the message was refused, and is reported as that.
        self._message_refused = False

    def on_message_begin(self) -> None:
        """Start a new request; its caller waits from now on."""
        self._message_began_at = self._data_arrived_at
        self._reset_message()
        self._reading_message = True

    def on_url(self, url: bytes) -> None:
        """Store a part of the request target."""
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        header = calls.Header(name.decode("latin-1"), value.decode("latin-1"))
        self._headers.append(header)
        self._count_header_bytes(len(name) + len(value) + 4)

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits.header_bytes:
            self._skips_data = self._closed
            self._reject(431)

    def on_headers_complete(self) -> None:
        """Reserve memory for the body; send ``100 Continue`` if it is waited for."""
        self._reading_body = True
        length = messages.find_header(tuple(self._headers), "content-length") or ""
        if length.isdecimal():
            self._reserve_length(int(length))
        expected = messages.find_header(tuple(self._headers), "expect")
        if expected and expected.lower() == "100-continue" and not self._closed:
            assert self._transport is not None
            if not self._pipeline:
                self._transport.write(CONTINUE_RESPONSE)
                self._losses.record_sent(self._transport, len(CONTINUE_RESPONSE), None)

    def on_body(self, body: bytes) -> None:
        """Store a part of the body, unless its request is refused."""
        if self._closed or pipeline.ends_with_refusal(self._pipeline):
            return
        self._body += body
        limit, budget = self._server.limits.body_bytes, self._server.body_budget
        if len(self._body) > limit:
            self._reject(413)
        elif not budget.fits(len(self._body)):
            self._refuse(NO_MEMORY_RESPONSE)
        elif budget.cost_bytes(len(self._body)) > self._memory.held_bytes:
            # A chunked body, whose length isn't known before its end.
            is_long = len(self._body) > body_budget.LONG_BODY_BYTES
            self._reserve_memory(limit if is_long else body_budget.LONG_BODY_BYTES)

    def _reserve_length(self, body_bytes: int) -> None:
        """Reserve memory for a body whose length is known, unless it is too long."""
        if body_bytes > self._server.limits.body_bytes:
            # It is rejected once that much of it was received.
            return
        if not self._server.body_budget.fits(body_bytes):
            self._refuse(NO_MEMORY_RESPONSE)
            return
        self._reserve_memory(body_bytes)

    def _reserve_memory(self, body_bytes: int) -> None:
        """Reserve memory for a body, and read nothing until it is granted."""
        assert self._transport is not None
        if self._closed:
            return
        self._memory.reserve(body_bytes)
        if self._memory.is_waiting:
            self._transport.pause_reading()

    def _on_memory_granted(self) -> None:
        assert self._transport is not None
        self._transport.resume_reading()
        self._restart_timer()

    def on_message_complete(self) -> None:
        """Add the complete request to the pipeline."""
        self._reading_message = False
        refusal = self._server.refusal
        is_late = refusal is not None and bool(self._pipeline)
        if self._closed or is_late or pipeline.ends_with_refusal(self._pipeline):
            # The response before it closes the connection, so the caller knows that
            # the request has not run.
            self._report_message(losses.Reason.BEHIND_CLOSE, losses.Stage.QUEUED)
            self._memory.release()
            return
        if refusal is not None:
            self._refuse_late(refusal)
            return
        request = messages.Request(
            method=self._parser.get_method().decode("latin-1"),
            target=self._target.decode("latin-1"),
            headers=tuple(self._headers),
            body=bytes(self._body),
            received_at=self._message_began_at,
            keep_alive=self._parser.should_keep_alive(),
        )
        # What comes next isn't part of this request.
        self._reset_message()
        # The end of the body may have come before the memory for it was granted.
        entry = pipeline.PipelinedRequest(request, reserved_bytes=self._memory.take())
        self._pipeline.append(entry)
        if len(self._pipeline) >= MAX_PIPELINED:
            assert self._transport is not None
            self._transport.pause_reading()
        self._start_ready()

    # -----------------------------------------------------------------------
    #   Pipeline
    # -----------------------------------------------------------------------

    def _start_ready(self) -> None:
        """Start each request that need not wait for earlier responses."""
        for entry, request in pipeline.startable(self._pipeline):
            entry.task = self._loop.create_task(self._serve(entry, request))

    async def _serve(
        self, entry: pipeline.PipelinedRequest, request: messages.Request
    ) -> None:
        entry.is_handled = True
        try:
            entry.response = await self._server.handle(request)
        finally:
            if entry.response is None and not self._closed:
                # The handler failed, so it isn't known whether the request has run.
                # Respond without saying anything about that.
                entry.response = messages.Response(500, close=True)
                reason = losses.Reason.HANDLER_FAILED
                self._losses.report_request(request, losses.Stage.SERVED, reason)
            self._flush()

    def _flush(self) -> None:
        while (
            self._pipeline
            and self._pipeline[0].response is not None
            and not self._closed
        ):
            entry = self._pipeline.popleft()
            self._write(entry)
            self._server.body_budget.release(entry.reserved_bytes)
        if not self._closed:
            self._start_ready()
            has_room = len(self._pipeline) < MAX_PIPELINED
            may_read = has_room and not self._memory.is_waiting
            if may_read and self._transport is not None:
                self._transport.resume_reading()
            self._restart_timer()

    def _write(self, entry: pipeline.PipelinedRequest) -> None:
        assert entry.response is not None and self._transport is not None
        request = entry.request
        is_kept_alive = request is not None and request.keep_alive
        # While the server is closing, a connection with unanswered requests is closed
        # only after the last response.
        must_close = not is_kept_alive or entry.response.close
        must_close = must_close or (self._server.closing and not self._pipeline)
        response = dataclasses.replace(entry.response, close=must_close)
        data = messages.render_response(response)
        self._transport.write(data)
        self._losses.record_sent(self._transport, len(data), request)
        if must_close:
            self.close()

    def close(self) -> None:
        """Close the connection once the caller has received all responses."""
        self._closed = True
        self._cancel_requests(losses.Reason.BEHIND_CLOSE)
        if self._transport is not None and not self._transport.is_closing():
            self._graceful_close = closing.GracefulClose(self._transport)

    def refuse_waiting(self, refusal: messages.Response) -> None:
        """Refuse a request whose body waits for memory, as nothing of it will be read.

        :param refusal: the response; it closes the connection.
        """
        if self._memory.is_waiting and not self._pipeline:
            self._refuse_late(refusal)

    def _refuse_late(self, refusal: messages.Response) -> None:
        """Refuse a request that came too late in a stop, which doesn't wait for it."""
        self._refusal_bytes = len(messages.render_response(refusal))
        self._refuse(refusal)

    def end_requests(self, response: messages.Response) -> None:
        """Cancel the requests in progress.

        :param response: the response to each of them.
        """
        for entry in self._pipeline:
            if entry.response is None:
                entry.cancel(losses.Reason.STOP_ENDED, self._losses)
                entry.response = response
        self._flush()

    def _cancel_requests(self, reason: losses.Reason) -> None:
        # The connection is part of a reference cycle, so it may outlive its use.
        self._body = bytearray()
        self._memory.release()
        for entry in self._pipeline:
            self._server.body_budget.release(entry.reserved_bytes)
            entry.cancel(reason, self._losses)
        self._pipeline.clear()

    def _reject(self, status: int) -> None:
        """Reject an invalid request, after the responses to all earlier ones."""
        self._refuse(messages.Response(status, close=True))

    def _refuse(self, response: messages.Response) -> None:
        """End the requests of this connection with a response that closes it."""
        if self._closed or pipeline.ends_with_refusal(self._pipeline):
            return
        self._message_refused = True
        self._body = bytearray()
        self._server.on_rejected(response.status, tuple(self._headers))
        self._pipeline.append(pipeline.PipelinedRequest(None, response))
        if self._transport is not None:
            self._transport.pause_reading()
        self._flush()

    # -----------------------------------------------------------------------
    #   Timeouts
    # -----------------------------------------------------------------------

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._closed or self._pipeline:
            return
        limits = self._server.limits
        timeout_s = limits.idle_timeout_s
        if self._reading_message:
            timeout_s = limits.header_timeout_s
        self._timer = self._loop.call_later(timeout_s, self._on_timeout)

    def _on_timeout(self) -> None:
        if self._pipeline or self._closed:
            return
        if self._memory.is_waiting:
            self._refuse(NO_MEMORY_RESPONSE)
        elif self._reading_message:
            self._reject(408)
        elif self._transport is not None:
            # A request that is on its way stays unread, so the caller sends it again.
            self._closed = True
            self._timed_out = True
            self._transport.close()

    # -----------------------------------------------------------------------
    #   Lost requests
    # -----------------------------------------------------------------------

    def report_losses(self, reason: losses.Reason) -> None:
        """Report the request that is being read, and responses not yet received.

        :param reason: why the connection ends.
        """
        if self._reading_message:
            stage = losses.Stage.BODY if self._reading_body else losses.Stage.HEAD
            own_reason = losses.Reason.BEHIND_CLOSE if self._graceful_close else reason
            self._report_message(own_reason, stage)
        if self._transport is not None:
            self._losses.report_unreceived(self._transport, reason)

    def _report_message(self, reason: losses.Reason, stage: losses.Stage) -> None:
        """Report the request that is being read, unless it was refused."""
        if not self._message_refused:
            headers = tuple(self._headers)
            self._losses.report(headers, self._message_began_at, stage, reason)
