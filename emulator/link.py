"""A stand-in for the narrow link between two regions.

It forwards TCP connections with a delay and a rate, counts what crosses, and
can cut either way or let established connections go silent.
"""

import asyncio
import json
import signal

import msgspec

from emulator import server_process

# Bytes read at one time.
MAX_READ_BYTES = 1 << 16
# Time between two looks at whether a held connection is released, in s.
HOLD_POLL_INTERVAL_S = 0.005


class Forward(msgspec.Struct):
    """One listening address and where it leads."""

    host: str
    port: int
    to_host: str
    to_port: int


class LinkSettings(msgspec.Struct):
    """What the stand-in is told when it starts."""

    control_host: str
    control_port: int
    delay_ms: float
    bits_per_s: float
    forwards: list[Forward]


class LinkState(msgspec.Struct):
    """What a test may change.

    :param cut: nothing crosses, and new connections are refused.
    :param cut_back: answers don't cross; requests do.
    :param silent_before: connections numbered below it carry nothing more.
    :param held_before: what is sent on connections numbered below it is kept,
        and arrives once they are released.
    """

    cut: bool = False
    cut_back: bool = False
    silent_before: int = 0
    held_before: int = 0


class Link:
    """Forwards connections under a delay and a shared rate."""

    def __init__(self, settings: LinkSettings):
        self._settings = settings
        self.state = LinkState()
        self.connections = 0
        self.bytes_out = 0
        self.bytes_back = 0
        self.waiting = 0
        self._free_at = [0.0, 0.0]

    async def serve(self) -> None:
        """Listen on every forward and on the control port."""
        for forward in self._settings.forwards:
            await asyncio.start_server(
                lambda r, w, f=forward: self._forward(f, r, w),
                forward.host,
                forward.port,
            )
        await asyncio.start_server(
            self._control, self._settings.control_host, self._settings.control_port
        )

    async def _forward(self, forward, reader, writer) -> None:
        connection_number = self.connections
        self.connections += 1
        if self.state.cut:
            writer.close()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                forward.to_host, forward.to_port
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._forward_data(connection_number, 0, reader, target_writer),
            self._forward_data(connection_number, 1, target_reader, writer),
        )

    async def _forward_data(self, connection_number, direction, reader, writer) -> None:
        loop = asyncio.get_running_loop()
        queue: asyncio.Queue = asyncio.Queue()
        sender = asyncio.create_task(
            self._send_delayed(connection_number, queue, writer)
        )
        try:
            while data := await reader.read(MAX_READ_BYTES):
                if self._is_blocked(connection_number, direction):
                    continue
                self._count_bytes(direction, len(data))
                queue.put_nowait(
                    (self._arrival_time(direction, len(data), loop.time()), data)
                )
        except OSError:
            pass
        queue.put_nowait((loop.time(), b""))
        await sender

    async def _send_delayed(self, connection_number, queue, writer) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_at, data = await queue.get()
            self.waiting += 1
            try:
                await asyncio.sleep(due_at - loop.time())
                while connection_number < self.state.held_before:
                    await asyncio.sleep(HOLD_POLL_INTERVAL_S)
                if not data:
                    writer.close()
                    return
                writer.write(data)
                await writer.drain()
            except OSError:
                return
            finally:
                self.waiting -= 1

    def _is_blocked(self, connection_number: int, direction: int) -> bool:
        state = self.state
        silent = connection_number < state.silent_before
        return state.cut or silent or (state.cut_back and direction == 1)

    def _arrival_time(self, direction: int, size: int, now: float) -> float:
        sent_at = (
            max(now, self._free_at[direction]) + 8 * size / self._settings.bits_per_s
        )
        self._free_at[direction] = sent_at
        return sent_at + self._settings.delay_ms / 1000

    def _count_bytes(self, direction: int, size: int) -> None:
        if direction == 0:
            self.bytes_out += size
        else:
            self.bytes_back += size

    async def _control(self, reader, writer) -> None:
        line = await reader.readline()
        fields = msgspec.structs.asdict(self.state) | json.loads(line)
        self.state = msgspec.convert(fields, LinkState)
        counts = {
            "connections": self.connections,
            "bytes_out": self.bytes_out,
            "bytes_back": self.bytes_back,
            "waiting": self.waiting,
        }
        writer.write(json.dumps(counts).encode() + b"\n")
        await writer.drain()
        writer.close()


async def run(settings: LinkSettings) -> None:
    """Run the stand-in until SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await Link(settings).serve()
    await stop_requested.wait()


if __name__ == "__main__":
    asyncio.run(run(server_process.read_settings(LinkSettings)))
