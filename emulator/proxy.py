"""A TCP proxy on loopback that delays, blocks, silences and resets connections."""

import asyncio
import collections.abc

__all__ = ["OUT", "BACK", "Proxy"]

MAX_READ_BYTES = 1 << 16
# The directions of data: from the connecting side, and back to it.
OUT = 0
BACK = 1


class Proxy:
    """Forwards connections to the same port of another host, with faults.

    A test can delay data (``delay_s``) or close new connections (``refusing``).

    :param host: the IP address to listen on.
    :param to_host: the IP address to forward to.
    :param port: the port to listen on and to forward to.
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
        """Start listening."""
        self._server = await asyncio.start_server(self._accept, self.host, self.port)

    def close(self) -> None:
        """Stop listening and reset all open connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    # -----------------------------------------------------------------------
    #   Faults
    # -----------------------------------------------------------------------

    def restore(self) -> None:
        """End all faults; silenced connections stay silent."""
        self.delay_s = 0.0
        self.refusing = False
        for event in self._unblocked:
            event.set()

    def cut(self, directions: collections.abc.Iterable[int] = (OUT, BACK)) -> None:
        """Hold back data until the proxy is restored.

        A connection that is opened while OUT is cut is closed at the restoration.

        :param directions: the directions to block, OUT or BACK.
        """
        for direction in directions:
            self._unblocked[direction].clear()

    def reset(self) -> None:
        """Reset all open connections."""
        for task in tuple(self._tasks):
            task.cancel()

    def silence(self) -> None:
        """Stop forwarding on the connections that are open now, permanently."""
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
                # No connection was opened to the target; the client has to retry.
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
            # Nothing listens at the target, or reset() cancelled this task.
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
            # One side closed the connection; _accept closes the other side.
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
