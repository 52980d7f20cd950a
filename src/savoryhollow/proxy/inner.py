"""The server for connections from the daemons of other instances."""

import asyncio
import collections.abc
import enum

import websockets
import websockets.asyncio.server

from savoryhollow import errors
from savoryhollow.observe import events
from savoryhollow.proxy import gate as gate_module
from savoryhollow.proxy import relay, tasks
from savoryhollow.wire import codec, messages, packing

__all__ = ["InnerPort", "Listener"]

# Time for the peers to close their connections after this daemon has, in s.
CLOSE_TIMEOUT_S = 0.2


class CancelReason(enum.Enum):
    """Why the gate's work on a request of another daemon is cancelled."""

    # Its router needs no answer any more.
    BY_ROUTER = "by-router"
    LINK_CLOSED = "link-closed"
    PROCESS_ENDED = "process-ended"


# The connection of a daemon that asked for load reports.
Listener = websockets.asyncio.server.ServerConnection


class InnerPort:
    """Passes requests of other daemons to the gate and sends them updates.

    :param gate: the gate of this instance.
    :param max_message_bytes: the size of the largest message accepted, in bytes.
    :param replica: the published items that followers of this daemon receive.
    :param clock: returns the current time, in s.
    :param dictionary: the dictionary for packed messages.
    """

    def __init__(
        self,
        gate: gate_module.Gate,
        max_message_bytes: int,
        replica: relay.Replica,
        clock: collections.abc.Callable[[], float],
        dictionary: bytes = b"",
    ):
        self._gate = gate
        self._max_message_bytes = max_message_bytes
        self._replica = replica
        self._clock = clock
        self._dictionary = dictionary
        self._closing = False
        self._servers: list[websockets.asyncio.server.Server] = []
        self._report_intervals_by_listener: dict[Listener, float] = {}
        self._followers: set[websockets.asyncio.server.ServerConnection] = set()
        self._connections: set[websockets.asyncio.server.ServerConnection] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen on an additional address."""
        self._servers.append(
            await websockets.asyncio.server.serve(
                self._serve_peer,
                host,
                port,
                compression=None,
                ping_interval=None,
                max_size=self._max_message_bytes,
                server_header=None,
            )
        )

    @property
    def report_intervals_by_listener(
        self,
    ) -> collections.abc.Mapping[Listener, float]:
        """The shortest interval between load reports that each daemon asked for, in s.

        Daemons that didn't ask for reports are left out.
        """
        return self._report_intervals_by_listener

    def send_load(
        self,
        report: messages.LoadReport,
        listeners: collections.abc.Iterable[Listener],
    ) -> None:
        """Send a load report.

        The reports are only buffered, so a slow connection doesn't delay the others.
        """
        websockets.broadcast(listeners, codec.encode(messages.ReportMessage(report)))

    def broadcast_items(self, message: messages.ItemsMessage) -> None:
        """Send published items to every follower of this daemon."""
        if self._followers:
            websockets.broadcast(self._followers, codec.encode(message))

    @property
    def is_sending(self) -> bool:
        """Whether answers or updates wait to be sent."""
        return any(one.transport.get_write_buffer_size() for one in self._connections)

    async def close(self) -> None:
        """Stop listening and close every connection, with a bound in time."""
        self._closing = True
        for server in self._servers:
            server.close()
        closing = [asyncio.create_task(one.wait_closed()) for one in self._servers]
        if closing:
            await asyncio.wait(closing, timeout=CLOSE_TIMEOUT_S)

    # -----------------------------------------------------------------------
    #   Connections
    # -----------------------------------------------------------------------

    async def _serve_peer(self, connection) -> None:
        tasks_by_id: dict[str, asyncio.Task[None]] = {}
        self._connections.add(connection)
        try:
            async for data in connection:
                message = codec.decode(data, self._dictionary)
                if isinstance(message, messages.CallMessage):
                    is_packed = packing.is_packed(data)
                    self._start_call(connection, message, tasks_by_id, is_packed)
                else:
                    self._handle_message(connection, message, tasks_by_id)
        except errors.WireError as error:
            events.emit(events.Event.PEER_LOST, detail=str(error))
        except websockets.ConnectionClosed:
            # The open requests of the peer are cancelled below.
            pass
        finally:
            self._report_intervals_by_listener.pop(connection, None)
            self._followers.discard(connection)
            self._connections.discard(connection)
            reason = CancelReason.LINK_CLOSED
            if self._closing:
                reason = CancelReason.PROCESS_ENDED
            for task in tuple(tasks_by_id.values()):
                task.cancel(reason.value)

    def _start_call(self, connection, call, tasks_by_id, is_packed: bool) -> None:
        serving = self._serve_call(connection, call, is_packed)
        task = asyncio.create_task(serving)
        tasks_by_id[call.request_id] = task
        task.add_done_callback(lambda _: tasks_by_id.pop(call.request_id, None))

    def _handle_message(self, connection, message, tasks_by_id) -> None:
        if isinstance(message, messages.CancelMessage):
            task = tasks_by_id.get(message.request_id)
            if task is not None:
                task.cancel(CancelReason.BY_ROUTER.value)
        elif isinstance(message, messages.HelloMessage):
            if message.version != messages.PROTOCOL_VERSION:
                text = (
                    f"peer speaks version {message.version}; upgrade the older daemon"
                )
                raise errors.VersionMismatchError(text)
            if message.report_interval_ms:
                interval_s = message.report_interval_ms / 1000
                self._report_intervals_by_listener[connection] = interval_s
        elif isinstance(message, messages.SubscribeMessage):
            self._followers.add(connection)
            update = self._replica.message_since(message.known_revision, self._clock())
            tasks.spawn(self._send_update(connection, codec.encode(update)))

    async def _serve_call(
        self, connection, call: messages.CallMessage, is_packed: bool
    ) -> None:
        answer = await self._answer(call)
        if is_packed:
            data = codec.encode_packed(answer, self._dictionary)
        else:
            data = codec.encode(answer)
        if not await self._send(connection, data):
            events.emit(events.Event.ANSWER_UNSENT, request_id=call.request_id)

    async def _answer(self, call: messages.CallMessage) -> gate_module.Answer:
        try:
            return await self._gate.serve(call)
        except Exception as error:
            # Without an answer, the peer would wait until the deadline.
            tasks.log_failure("serve_call", error)
            detail = "internal error of the gate; check its log"
            return messages.UnknownMessage(call.request_id, detail, self._gate.report())

    async def _send_update(self, connection, data: bytes) -> None:
        await self._send(connection, data)

    async def _send(self, connection, data: bytes) -> bool:
        """Send a message; return False if the connection is closed."""
        try:
            await connection.send(data)
        except websockets.ConnectionClosed:
            # The peer detects the loss itself and decides what may have run.
            return False
        return True
