"""An emulated link of limited bandwidth between two regions.

It forwards TCP connections with a delay and a bandwidth limit and counts the
bytes in each direction. Tests can block the link, block only the responses,
silence established connections, or hold their data back for a while.
"""

import asyncio
import json
import signal

import msgspec

from emulator import server_process

# Maximum size of one read, in bytes.
MAX_READ_BYTES = 1 << 16
# Interval of the checks for the release of a held connection, in s.
HOLD_POLL_INTERVAL_S = 0.005


class Forward(msgspec.Struct):
    """A listening address and the address that its connections are forwarded to."""

    host: str
    port: int
    to_host: str
    to_port: int


class LinkSettings(msgspec.Struct):
    """The settings of the process.

    :param delay_ms: the one-way delay, in ms.
    :param bits_per_s: the bandwidth of each direction, in bits per second.
    """

    control_host: str
    control_port: int
    delay_ms: float
    bits_per_s: float
    forwards: list[Forward]


class LinkState(msgspec.Struct):
    """The state that a test can change.

    Connections are numbered from 0 in the order in which they are accepted.

    :param cut: discard all data and close new connections.
    :param cut_back: discard responses but forward requests.
    :param silent_before: discard all data on connections with lower numbers.
    :param held_before: hold back the data on connections with lower numbers
        until this number is lowered.
    """

    cut: bool = False
    cut_back: bool = False
    silent_before: int = 0
    held_before: int = 0


class Link:
    """Forwards connections, which share the bandwidth of each direction."""

    def __init__(self, settings: LinkSettings):
        self._settings = settings
        self.state = LinkState()
        self.connections = 0
        self.bytes_out = 0
        self.bytes_back = 0
        self.waiting = 0
        # The time at which each direction has sent all accepted data.
        self._free_at = [0.0, 0.0]

    async def serve(self) -> None:
        """Start listening on all forwarded addresses and on the control port."""
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
    """Run the link until the process receives SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await Link(settings).serve()
    await stop_requested.wait()


if __name__ == "__main__":
    asyncio.run(run(server_process.read_settings(LinkSettings)))
