"""The server for connections from the daemons of other instances."""

import asyncio
import collections.abc

import websockets
import websockets.asyncio.server

from savoryhollow import errors
from savoryhollow.observe import events
from savoryhollow.proxy import gate as gate_module
from savoryhollow.proxy import relay, tasks
from savoryhollow.wire import codec, messages

__all__ = ["InnerPort"]


class InnerPort:
    """Passes requests of other daemons to the gate and sends them updates.

    :param gate: the gate of this instance.
    :param max_message_bytes: the size of the largest message accepted, in bytes.
    :param replica: the published items that followers of this daemon receive.
    :param clock: returns the current time, in s.
    """

    def __init__(
        self,
        gate: gate_module.Gate,
        max_message_bytes: int,
        replica: relay.Replica,
        clock: collections.abc.Callable[[], float],
    ):
        self._gate = gate
        self._max_message_bytes = max_message_bytes
        self._replica = replica
        self._clock = clock
        self._servers: list[websockets.asyncio.server.Server] = []
        self._listeners: set[websockets.asyncio.server.ServerConnection] = set()
        self._followers: set[websockets.asyncio.server.ServerConnection] = set()

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
    def listeners(self) -> int:
        """The number of daemons that asked for load reports."""
        return len(self._listeners)

    def broadcast_load(self, report: messages.LoadReport) -> None:
        """Send a load report to every daemon that asked for reports.

        The reports are only buffered, so a slow connection doesn't delay the others.
        """
        if self._listeners:
            data = codec.encode(messages.ReportMessage(report))
            websockets.broadcast(self._listeners, data)

    def broadcast_items(self, message: messages.ItemsMessage) -> None:
        """Send published items to every follower of this daemon."""
        if self._followers:
            websockets.broadcast(self._followers, codec.encode(message))

    def close(self) -> None:
        """Stop listening and close every connection."""
        for server in self._servers:
            server.close()

    # -----------------------------------------------------------------------
    #   Connections
    # -----------------------------------------------------------------------

    async def _serve_peer(self, connection) -> None:
        tasks_by_id: dict[str, asyncio.Task[None]] = {}
        try:
            async for data in connection:
                self._handle_message(connection, codec.decode(data), tasks_by_id)
        except errors.WireError as error:
            events.emit(events.Event.PEER_LOST, detail=str(error))
        except websockets.ConnectionClosed:
            # The open requests of the peer are cancelled below.
            pass
        finally:
            self._listeners.discard(connection)
            self._followers.discard(connection)
            for task in tuple(tasks_by_id.values()):
                task.cancel()

    def _handle_message(self, connection, message, tasks_by_id) -> None:
        if isinstance(message, messages.CallMessage):
            request_id = message.request_id
            task = asyncio.create_task(self._serve_call(connection, message))
            tasks_by_id[request_id] = task
            task.add_done_callback(lambda _: tasks_by_id.pop(request_id, None))
        elif isinstance(message, messages.CancelMessage):
            task = tasks_by_id.get(message.request_id)
            if task is not None:
                task.cancel()
        elif isinstance(message, messages.HelloMessage):
            if message.version != messages.PROTOCOL_VERSION:
                text = (
                    f"peer speaks version {message.version}; upgrade the older daemon"
                )
                raise errors.VersionMismatchError(text)
            if message.wants_reports:
                self._listeners.add(connection)
        elif isinstance(message, messages.SubscribeMessage):
            self._followers.add(connection)
            update = self._replica.message_since(message.known_revision, self._clock())
            tasks.spawn(self._send(connection, update))

    async def _serve_call(self, connection, call: messages.CallMessage) -> None:
        await self._send(connection, await self._gate.serve(call))

    async def _send(self, connection, message: messages.Message) -> None:
        try:
            await connection.send(codec.encode(message))
        except websockets.ConnectionClosed:
            # The peer detects the loss itself and decides what may have run.
            return
