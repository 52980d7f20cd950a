"""Connections to the daemons of other instances.

A link carries many requests at one time. It is opened once and kept, and each
answer brings the load of the gate behind it.
"""

import asyncio
import collections.abc
import dataclasses

import websockets
import websockets.asyncio.client

from savoryhollow import errors
from savoryhollow.observe import events
from savoryhollow.proxy import gate, tasks
from savoryhollow.wire import codec, messages

__all__ = ["Link", "LinkSettings"]

# Time that a peer may take to accept a link, in s.
OPEN_TIMEOUT_S = 1.0
# Shortest and longest pause before a link is opened again, in s.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
# Silence after which a peer that owes an answer is asked for a sign of life, in s.
PING_AFTER_SILENCE_S = 0.5
# Time that it has for one, in s.
PING_TIMEOUT_S = 0.5
# Time past its deadline in which a request's answer may still arrive, in s.
ANSWER_GRACE_S = 0.15
# Time for which a request waits for a link that is being opened, in s.
CONNECT_WAIT_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class LinkSettings:
    """What every link of a process shares.

    :param on_report: takes in a load that came unasked.
    :param on_items: takes in what the platform has published; returns whether
        nothing is missing before it.
    :param known_revision: returns the revision up to which that is known here.
    """

    hello: messages.HelloMessage
    max_message_bytes: int
    on_report: collections.abc.Callable[[str, messages.LoadReport], None]
    on_items: collections.abc.Callable[[messages.ItemsMessage], bool]
    known_revision: collections.abc.Callable[[], int]


class Link:
    """The connection to the daemon beside one endpoint.

    :param endpoint_id: the endpoint.
    :param host: the IP number of its instance.
    :param port: the inner port of its daemon.

    It is ``connected``, or ``failing`` since it couldn't be opened or ended, or
    neither while it is opened for the first time.
    """

    def __init__(self, endpoint_id: str, host: str, port: int, settings: LinkSettings):
        self.endpoint_id = endpoint_id
        self.host = host
        self.port = port
        self.connected = False
        self.failing = False
        self.subscribed = False
        self._settings = settings
        self._answers_by_id: dict[str, asyncio.Future[gate.Answer]] = {}
        self._connection: websockets.asyncio.client.ClientConnection | None = None
        self._last_received_at = 0.0
        self._ping_task: asyncio.Task[None] | None = None
        self._opened = asyncio.Event()
        self._task = asyncio.create_task(self._run())

    @property
    def has_open_requests(self) -> bool:
        """Whether an answer is still owed."""
        return bool(self._answers_by_id)

    async def call(self, message: messages.CallMessage) -> gate.Answer:
        """Send a request and wait for its answer; cancelling it cancels it there.

        :raises errors.ChannelClosedError: where the link ended first.
        :raises errors.PeerUnreachableError: where the request was never sent.
        """
        connection = self._connection or await self._wait_for_connection()
        if connection is None:
            text = f"no link to {self.host}; see to its daemon"
            raise errors.PeerUnreachableError(text)
        answer: asyncio.Future[gate.Answer] = asyncio.get_running_loop().create_future()
        self._answers_by_id[message.request_id] = answer
        try:
            await self._send(connection, message)
            return await answer
        except asyncio.CancelledError:
            cancel = messages.CancelMessage(message.request_id)
            tasks.spawn(self._send_best_effort(connection, cancel))
            raise
        finally:
            self._answers_by_id.pop(message.request_id, None)

    def subscribe(self) -> None:
        """Ask the daemon to tell what the platform publishes, from now on."""
        if self.subscribed:
            return
        self.subscribed = True
        connection = self._connection
        if connection is not None:
            tasks.spawn(self._send_subscription(connection))

    async def _send_subscription(self, connection) -> None:
        known = self._settings.known_revision()
        await self._send_best_effort(connection, messages.SubscribeMessage(known))

    async def _wait_for_connection(self):
        try:
            async with asyncio.timeout(CONNECT_WAIT_S):
                await self._opened.wait()
        except TimeoutError:
            return None
        return self._connection

    def check_liveness(self, now: float) -> None:
        """Look for silence; call it often while an answer is owed.

        :param now: the present instant.
        """
        connection = self._connection
        if connection is None or now - self._last_received_at < PING_AFTER_SILENCE_S:
            return
        if self._ping_task is None or self._ping_task.done():
            self._ping_task = asyncio.create_task(self._ping_or_abort(connection))

    async def _ping_or_abort(self, connection) -> None:
        try:
            async with asyncio.timeout(PING_TIMEOUT_S):
                await (await connection.ping())
            self._last_received_at = asyncio.get_running_loop().time()
        except (TimeoutError, websockets.ConnectionClosed):
            connection.transport.abort()

    async def _send(self, connection, message: messages.Message) -> None:
        try:
            await connection.send(codec.encode(message))
        except websockets.ConnectionClosed as error:
            text = f"the link to {self.host} ended; see to its daemon"
            raise errors.ChannelClosedError(text) from error

    async def _send_best_effort(self, connection, message: messages.Message) -> None:
        """Send what a link that ends makes needless, or is sent again with the next."""
        try:
            await self._send(connection, message)
        except errors.ChannelClosedError:
            return

    def close(self) -> None:
        """End the link for good."""
        self._task.cancel()
        self._fail_open_requests("the endpoint is gone")

    # -----------------------------------------------------------------------
    #   The connection
    # -----------------------------------------------------------------------

    async def _run(self) -> None:
        backoff_s = MIN_BACKOFF_S
        while True:
            try:
                await self._connect()
                backoff_s = MIN_BACKOFF_S
            except (OSError, TimeoutError, websockets.WebSocketException) as error:
                self._mark_lost(repr(error))
            except errors.WireError as error:
                self._mark_lost(str(error))
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    async def _connect(self) -> None:
        settings = self._settings
        connection = await websockets.asyncio.client.connect(
            f"ws://{self.host}:{self.port}/",
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=OPEN_TIMEOUT_S,
            ping_interval=None,
            compression=None,
            max_size=settings.max_message_bytes,
            proxy=None,
            user_agent_header=None,
        )
        try:
            await connection.send(codec.encode(settings.hello))
            if self.subscribed:
                await self._send_subscription(connection)
            self._last_received_at = asyncio.get_running_loop().time()
            self._connection = connection
            self._opened.set()
            self._mark_connected()
            async for data in connection:
                self._handle_message(data)
        finally:
            self._connection = None
            self._opened.clear()
            connection.transport.abort()
            self._mark_lost("the connection ended")

    def _handle_message(self, data) -> None:
        self._last_received_at = asyncio.get_running_loop().time()
        message = codec.decode(data)
        if isinstance(message, messages.ReportMessage):
            self._settings.on_report(self.endpoint_id, message.load)
        elif isinstance(message, messages.ItemsMessage):
            if not self._settings.on_items(message) and self._connection is not None:
                tasks.spawn(self._send_subscription(self._connection))
        elif isinstance(message, gate.Answer):
            answer = self._answers_by_id.get(message.request_id)
            if answer is not None and not answer.done():
                answer.set_result(message)

    # -----------------------------------------------------------------------
    #   Losses
    # -----------------------------------------------------------------------

    def _mark_connected(self) -> None:
        self.connected = True
        self.failing = False
        events.emit(
            events.Event.PEER_REGAINED, endpoint_id=self.endpoint_id, host=self.host
        )

    def _mark_lost(self, detail: str) -> None:
        if self.connected:
            events.emit(
                events.Event.PEER_LOST,
                endpoint_id=self.endpoint_id,
                host=self.host,
                detail=detail,
                open_requests=len(self._answers_by_id),
            )
        self.connected = False
        self.failing = True
        self._fail_open_requests(detail)

    def _fail_open_requests(self, detail: str) -> None:
        for answer in self._answers_by_id.values():
            if not answer.done():
                text = f"the link to {self.host} ended: {detail}; see to its daemon"
                answer.set_exception(errors.ChannelClosedError(text))
