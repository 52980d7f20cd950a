"""The port on which the daemons of other instances are accepted."""

import asyncio

import websockets
import websockets.asyncio.server

from savoryhollow import errors
from savoryhollow.observe import events
from savoryhollow.proxy import gate as gate_module
from savoryhollow.proxy import replication, tasks
from savoryhollow.wire import codec, messages

__all__ = ["InnerPort"]


class InnerPort:
    """Takes requests from other daemons to the gate.

    :param gate: the gate of this instance.
    :param max_message_bytes: the largest message accepted.
    :param replica: what daemons that follow this one are told.
    """

    def __init__(
        self,
        gate: gate_module.Gate,
        max_message_bytes: int,
        replica: replication.Replica,
    ):
        self._gate = gate
        self._max_message_bytes = max_message_bytes
        self._replica = replica
        self._servers: list[websockets.asyncio.server.Server] = []
        self._listeners: set[websockets.asyncio.server.ServerConnection] = set()
        self._followers: set[websockets.asyncio.server.ServerConnection] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen on one more address."""
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
        """How many daemons asked to be told the load."""
        return len(self._listeners)

    def broadcast_load(self, report: messages.LoadReport) -> None:
        """Send a load to every daemon that asked for it; skip those that lag."""
        if self._listeners:
            data = codec.encode(messages.ReportMessage(report))
            websockets.broadcast(self._listeners, data)

    def broadcast_items(self, message: messages.ItemsMessage) -> None:
        """Tell every daemon that follows this one what was published."""
        if self._followers:
            websockets.broadcast(self._followers, codec.encode(message))

    def close(self) -> None:
        """Accept no more daemons and end every link."""
        for server in self._servers:
            server.close()

    # -----------------------------------------------------------------------
    #   One peer
    # -----------------------------------------------------------------------

    async def _serve_peer(self, connection) -> None:
        tasks_by_id: dict[str, asyncio.Task[None]] = {}
        try:
            async for data in connection:
                self._handle_message(connection, codec.decode(data), tasks_by_id)
        except errors.WireError as error:
            events.emit(events.Event.PEER_LOST, detail=str(error))
        except websockets.ConnectionClosed:
            # What the peer still waited for is cancelled below.
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
                text = f"the peer speaks version {message.version}; run matching ones"
                raise errors.VersionMismatchError(text)
            if message.wants_reports:
                self._listeners.add(connection)
        elif isinstance(message, messages.SubscribeMessage):
            self._followers.add(connection)
            known = self._replica.message_since(message.known_revision)
            tasks.spawn(self._send(connection, known))

    async def _serve_call(self, connection, call: messages.CallMessage) -> None:
        await self._send(connection, await self._gate.serve(call))

    async def _send(self, connection, message: messages.Message) -> None:
        try:
            await connection.send(codec.encode(message))
        except websockets.ConnectionClosed:
            # The peer has noticed by itself and judges what may have run.
            return
