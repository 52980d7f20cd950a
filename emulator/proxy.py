"""A proxy on loopback that delays, cuts, silences and resets connections."""

import asyncio
import collections.abc

__all__ = ["OUT", "BACK", "Proxy"]

READ_BYTES = 1 << 16
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
        self._open = (asyncio.Event(), asyncio.Event())
        self._tasks: set[asyncio.Task] = set()
        self._silent: set[asyncio.Task] = set()
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
        for way in self._open:
            way.set()

    def cut(self, ways: collections.abc.Iterable[int] = (OUT, BACK)) -> None:
        """Hold what is sent, and new connections, until it is healed."""
        for way in ways:
            self._open[way].clear()

    def reset(self) -> None:
        """Reset every open connection."""
        for task in tuple(self._tasks):
            task.cancel()

    def silence(self) -> None:
        """Let nothing through on the connections open now, for good."""
        self._silent |= self._tasks

    # -----------------------------------------------------------------------
    #   Connections
    # -----------------------------------------------------------------------

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        far_writer = None
        try:
            if self.refusing:
                return
            if not self._open[OUT].is_set():
                # What was never opened is lost; whoever connects tries again.
                await self._open[OUT].wait()
                return
            far_reader, far_writer = await asyncio.open_connection(
                self.to_host, self.port
            )
            pumps = {
                asyncio.create_task(self._pump(task, OUT, reader, far_writer)),
                asyncio.create_task(self._pump(task, BACK, far_reader, writer)),
            }
            try:
                await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for pump in pumps:
                    pump.cancel()
        except (OSError, asyncio.CancelledError):
            # Nothing listens there, or the connection is reset on purpose.
            pass
        finally:
            self._tasks.discard(task)
            self._silent.discard(task)
            for end in (writer, far_writer):
                if end is not None:
                    _close(end, task)

    async def _pump(self, task, way: int, reader, writer) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                await self._pass(task, way)
                writer.write(data)
                await writer.drain()
            await self._pass(task, way)
        except OSError:
            # Either end is gone; the other one is told by closing it.
            return

    async def _pass(self, task, way: int) -> None:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        while task in self._silent:
            await asyncio.sleep(3600)
        await self._open[way].wait()


def _close(writer: asyncio.StreamWriter, task: asyncio.Task) -> None:
    if task.cancelling():
        writer.transport.abort()
    else:
        writer.close()
