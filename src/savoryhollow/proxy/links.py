"""Connections to the daemons of other instances.

A link carries many requests concurrently. It is opened once and kept open, and each
answer includes a load report of the gate at the other end.

A peer that is silent for long may have stopped for good, or only be paused or cut off
for a while. Idempotent requests are then given up, so that they can be sent elsewhere,
and a new connection is opened. Other requests stay on the former connection until their
deadline: they can't be sent again, and their answers may still come.
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

# Timeout for opening or closing a connection, in s.
OPEN_TIMEOUT_S = 1.0
# Shortest and longest backoff before a reconnect, in s.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
# Silence after which a peer with open requests is pinged, in s.
PING_AFTER_SILENCE_S = 0.5
# Timeout for the answer to a ping, in s.
PING_TIMEOUT_S = 0.5
# Time after a request's deadline in which its answer is still accepted, in s.
ANSWER_GRACE_S = 0.15
# Time that a request waits for a link that is being opened, in s.
CONNECT_WAIT_S = 0.25


class _Connection(websockets.asyncio.client.ClientConnection):
    """A connection that records when it last received data.

    A large message takes time on a slow link, and the peer is alive all the while.
    """

    last_data_at = float("-inf")

    def data_received(self, data: bytes) -> None:
        """Record the time and pass the data on."""
        self.last_data_at = self.loop.time()
        super().data_received(data)


@dataclasses.dataclass(frozen=True, slots=True)
class LinkSettings:
    """Settings shared by all links of a process.

    :param hello: the first message on each connection.
    :param max_message_bytes: the size of the largest message accepted, in bytes.
    :param on_report: called with an endpoint id and the load report that its gate
        broadcast.
    :param on_items: called with an update of the items published by the platform;
        returns False if earlier items are missing.
    :param known_revision: returns the revision up to which the replica is complete.
    :param dictionary: the dictionary for packed messages.
    :param packs_requests: whether requests are packed; their answers are then, too.
    """

    hello: messages.HelloMessage
    max_message_bytes: int
    on_report: collections.abc.Callable[[str, messages.LoadReport], None]
    on_items: collections.abc.Callable[[messages.ItemsMessage], bool]
    known_revision: collections.abc.Callable[[], int]
    dictionary: bytes = b""
    packs_requests: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _OpenRequest:
    """A request that waits for its answer.

    :param connection: the connection on which it was sent.
    """

    message: messages.CallMessage
    connection: _Connection
    answer: asyncio.Future[gate.Answer]


class Link:
    """The connection to the daemon of one endpoint, reopened whenever it is lost.

    A link is ``connected``, or ``failing`` if the connection was lost or couldn't be
    opened, or neither while it is opened for the first time.

    :param endpoint_id: the id of the endpoint; empty for a seed.
    :param host: the IP address of its instance.
    :param port: the inner port of its daemon.
    :param settings: the settings shared by all links.
    """

    def __init__(self, endpoint_id: str, host: str, port: int, settings: LinkSettings):
        self.endpoint_id = endpoint_id
        self.host = host
        self.port = port
        self.connected = False
        self.failing = False
        self.subscribed = False
        self._settings = settings
        self._open_by_id: dict[str, _OpenRequest] = {}
        self._connection: _Connection | None = None
        # Former connections to a silent peer, each with the task that reads from it.
        self._tasks_by_former: dict[_Connection, asyncio.Task[None]] = {}
        self._ping_task: asyncio.Task[None] | None = None
        self._opened = asyncio.Event()
        self._task = asyncio.create_task(self._run())

    @property
    def has_open_requests(self) -> bool:
        """Whether any request is still waiting for its answer."""
        return bool(self._open_by_id)

    async def call(self, message: messages.CallMessage) -> gate.Answer:
        """Send a request and wait for its answer.

        If the task is cancelled, the request is cancelled at the peer as well.

        :raises errors.ChannelClosedError: if the link was lost before the answer.
        :raises errors.PeerUnreachableError: if the request was never sent.
        """
        connection = self._connection or await self._wait_for_connection()
        if connection is None:
            text = f"no link to {self.host}; check the daemon there"
            raise errors.PeerUnreachableError(text)
        answer: asyncio.Future[gate.Answer] = asyncio.get_running_loop().create_future()
        request = _OpenRequest(message, connection, answer)
        self._open_by_id[message.request_id] = request
        try:
            await self._send(connection, message)
            return await answer
        except asyncio.CancelledError:
            cancel = messages.CancelMessage(message.request_id)
            tasks.spawn(self._send_best_effort(connection, cancel))
            raise
        finally:
            self._open_by_id.pop(message.request_id, None)
            self._close_former_if_unused(connection)

    def subscribe(self) -> None:
        """Subscribe to the items that the platform publishes."""
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
        """Ping a peer that has been silent, and replace the connection if it fails.

        Call this often while requests are open.

        :param now: the current time.
        """
        connection = self._connection
        if connection is None or now - connection.last_data_at < PING_AFTER_SILENCE_S:
            return
        if self._ping_task is None or self._ping_task.done():
            self._ping_task = asyncio.create_task(self._ping_or_replace(connection))

    async def _ping_or_replace(self, connection) -> None:
        last_data_at = connection.last_data_at
        try:
            async with asyncio.timeout(PING_TIMEOUT_S):
                await (await connection.ping())
        except TimeoutError:
            if connection.last_data_at == last_data_at:
                self._replace(connection)
        except websockets.ConnectionClosed:
            connection.transport.abort()

    def _replace(self, connection: _Connection) -> None:
        """Open a new connection in place of one whose peer is silent."""
        if connection is not self._connection:
            return
        text = f"{self.host} is silent; check the daemon there"
        for request in self._open_requests(connection):
            if request.message.idempotent:
                cancel = messages.CancelMessage(request.message.request_id)
                tasks.spawn(self._send_best_effort(connection, cancel))
                _fail(request, errors.ChannelSilentError(text))
        self._tasks_by_former[connection] = self._task
        self._lose_connection("the peer is silent")
        self._task = asyncio.create_task(self._run())
        self._close_former_if_unused(connection)

    def _close_former_if_unused(self, connection) -> None:
        is_former = connection in self._tasks_by_former
        waiting = [r for r in self._open_requests(connection) if not r.answer.done()]
        if is_former and not waiting:
            connection.transport.abort()

    def _open_requests(self, connection) -> list[_OpenRequest]:
        requests = self._open_by_id.values()
        return [one for one in requests if one.connection is connection]

    async def _send(self, connection, message: messages.Message) -> None:
        try:
            await connection.send(self._encode(message))
        except websockets.ConnectionClosed as error:
            text = f"the link to {self.host} was lost; check the daemon there"
            raise errors.ChannelClosedError(text) from error

    def _encode(self, message: messages.Message) -> bytes:
        if self._settings.packs_requests and isinstance(message, messages.CallMessage):
            return codec.encode_packed(message, self._settings.dictionary)
        return codec.encode(message)

    async def _send_best_effort(self, connection, message: messages.Message) -> None:
        """Send a message that needn't be repeated if the link is lost.

        A cancellation is obsolete then, and a subscription is sent again on the
        next connection.
        """
        try:
            await self._send(connection, message)
        except errors.ChannelClosedError:
            return

    def close(self) -> None:
        """Close the link permanently."""
        self._task.cancel()
        for task in self._tasks_by_former.values():
            task.cancel()
        for request in self._open_by_id.values():
            _fail(request, self._closed_error("the endpoint was removed"))

    # -----------------------------------------------------------------------
    #   Connection
    # -----------------------------------------------------------------------

    async def _run(self) -> None:
        backoff_s = MIN_BACKOFF_S
        while True:
            detail = "the connection was closed"
            try:
                await self._connect()
                backoff_s = MIN_BACKOFF_S
            except (OSError, TimeoutError, websockets.WebSocketException) as error:
                detail = repr(error)
            except errors.WireError as error:
                detail = str(error)
            except Exception as error:
                # Nothing else would connect again.
                tasks.log_failure("link", error)
                detail = f"internal error: {type(error).__name__}"
            if self._task is not asyncio.current_task():
                # Another task has opened a new connection in place of this one.
                return
            self._mark_lost(detail)
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
            create_connection=_Connection,
        )
        assert isinstance(connection, _Connection)
        try:
            await connection.send(codec.encode(settings.hello))
            if self.subscribed:
                await self._send_subscription(connection)
            self._connection = connection
            self._opened.set()
            self._mark_connected()
            async for data in connection:
                self._handle_message(data)
        finally:
            connection.transport.abort()
            self._tasks_by_former.pop(connection, None)
            if connection is self._connection:
                self._lose_connection("the connection was closed")
            for request in self._open_requests(connection):
                _fail(request, self._closed_error("the connection was closed"))

    def _lose_connection(self, detail: str) -> None:
        self._connection = None
        self._opened.clear()
        self._mark_lost(detail)

    def _handle_message(self, data) -> None:
        message = codec.decode(data, self._settings.dictionary)
        if isinstance(message, messages.ReportMessage):
            self._settings.on_report(self.endpoint_id, message.load)
        elif isinstance(message, messages.ItemsMessage):
            if not self._settings.on_items(message) and self._connection is not None:
                tasks.spawn(self._send_subscription(self._connection))
        elif isinstance(message, gate.Answer):
            request = self._open_by_id.get(message.request_id)
            if request is not None and not request.answer.done():
                request.answer.set_result(message)

    # -----------------------------------------------------------------------
    #   Connection state
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
                open_requests=len(self._open_by_id),
            )
        self.connected = False
        self.failing = True

    def _closed_error(self, detail: str) -> errors.ChannelClosedError:
        text = f"link to {self.host} lost: {detail}; check the daemon there"
        return errors.ChannelClosedError(text)


def _fail(request: _OpenRequest, error: errors.WireError) -> None:
    if not request.answer.done():
        request.answer.set_exception(error)
