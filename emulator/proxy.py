"""A proxy on loopback that delays, cuts, silences and resets connections."""

import asyncio
import collections.abc

__all__ = ["OUT", "BACK", "Proxy"]

MAX_READ_BYTES = 1 << 16
# The two ways: from the side that connects, and to it.
OUT = 0
BACK = 1


class Proxy:
    """Stands in front of one port.

    :param host: the IP number on which it listens.
    :param to_host: where it leads; the port is the same.
    """

    def __init__(self, host: str, to_host: str, port: int):
        self.host = host
        self.to_host = to_host
        self.port = port
        self.delay_s = 0.0
        self.refusing = False
        self._unblocked = (asyncio.Event(), asyncio.Event())
        self._tasks: set[asyncio.Task] = set()
        self._silenced: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self.restore()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, self.host, self.port)

    def close(self) -> None:
        """Listen no more, and reset what is open."""
        if self._server is not None:
            self._server.close()
        self.reset()

    # -----------------------------------------------------------------------
    #   Faults
    # -----------------------------------------------------------------------

    def restore(self) -> None:
        """Let everything through again; what is silent stays so."""
        self.delay_s = 0.0
        self.refusing = False
        for event in self._unblocked:
            event.set()

    def cut(self, directions: collections.abc.Iterable[int] = (OUT, BACK)) -> None:
        """Hold what is sent, and new connections, until it is healed."""
        for direction in directions:
            self._unblocked[direction].clear()

    def reset(self) -> None:
        """Reset every open connection."""
        for task in tuple(self._tasks):
            task.cancel()

    def silence(self) -> None:
        """Let nothing through on the connections open now, for good."""
        self._silenced |= self._tasks

    # -----------------------------------------------------------------------
    #   Connections
    # -----------------------------------------------------------------------

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        target_writer = None
        try:
            if self.refusing:
                return
            if not self._unblocked[OUT].is_set():
                # What was never opened is lost; whoever connects tries again.
                await self._unblocked[OUT].wait()
                return
            target_reader, target_writer = await asyncio.open_connection(
                self.to_host, self.port
            )
            forwarders = {
                asyncio.create_task(
                    self._forward_data(task, OUT, reader, target_writer)
                ),
                asyncio.create_task(
                    self._forward_data(task, BACK, target_reader, writer)
                ),
            }
            try:
                await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for forwarder in forwarders:
                    forwarder.cancel()
        except (OSError, asyncio.CancelledError):
            # Nothing listens there, or the connection is reset on purpose.
            pass
        finally:
            self._tasks.discard(task)
            self._silenced.discard(task)
            for stream in (writer, target_writer):
                if stream is not None:
                    _close(stream, task)

    async def _forward_data(self, task, direction: int, reader, writer) -> None:
        try:
            while data := await reader.read(MAX_READ_BYTES):
                await self._wait_to_forward(task, direction)
                writer.write(data)
                await writer.drain()
            await self._wait_to_forward(task, direction)
        except OSError:
            # Either end is gone; the other one is told by closing it.
            return

    async def _wait_to_forward(self, task, direction: int) -> None:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        while task in self._silenced:
            await asyncio.sleep(3600)
        await self._unblocked[direction].wait()


def _close(writer: asyncio.StreamWriter, task: asyncio.Task) -> None:
    if task.cancelling():
        writer.transport.abort()
    else:
        writer.close()
