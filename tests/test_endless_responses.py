"""Tests of a backend server in trouble that sends bytes without end.

Without a limit, the daemon would keep them until it runs out of memory, or parse them
until the deadline of the request, while other requests wait.
"""

import asyncio
import contextlib
import gc
import tracemalloc

import pytest

from savoryhollow import errors
from savoryhollow.http1 import backends, callers

ID = "X-Id"
# Time that a test may take also on a busy machine.
AMPLE_S = 100.0
REQUEST = f"GET / HTTP/1.1\r\nHost: x\r\n{ID}: r1\r\n\r\n".encode()
OK = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
# A server that isn't stopped sends this much in the tests.
SENT_BYTES = 64 << 20
# What the sockets on both sides may hold beyond what the client has read.
SOCKET_BYTES = 8 << 20
PIECE_BYTES = 1 << 16


def repeated(piece):
    return piece * (PIECE_BYTES // len(piece))


def other_response(body):
    head = f"HTTP/1.1 200 OK\r\n{ID}: other\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


# What the server sends first, and what it repeats after that.
HEADS = {
    "bytes that are no answer": (b"", repeated(b"x")),
    "status line": (b"HTTP/1.1 200 ", repeated(b"O")),
    "header name": (OK, repeated(b"x")),
    "header value": (OK + b"X-Long: ", repeated(b"x")),
    "headers": (OK, repeated(b"X-More: again\r\n")),
    "interim responses": (b"", repeated(b"HTTP/1.1 100 Continue\r\n\r\n")),
    "chunk extension": (CHUNKED + b"5;", repeated(b"x")),
    "trailers": (CHUNKED + b"5\r\nwhole\r\n0\r\n", repeated(b"X-More: again\r\n")),
}
BODIES = {
    "length": (OK + b"Content-Length: 99999999999\r\n\r\n", repeated(b"x")),
    "chunks": (CHUNKED, repeated(b"8\r\nabcdefgh\r\n")),
    "until the connection closes": (OK + b"\r\n", repeated(b"x")),
    "responses to other requests": (b"", repeated(other_response(b"x" * 100))),
}


class EndlessServer:
    """Sends one piece again and again until the connection is closed."""

    def __init__(self, first, piece):
        self._first = first
        self._piece = piece
        self.sent_bytes = 0

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self._first)
        try:
            while self.sent_bytes < SENT_BYTES:
                writer.write(self._piece)
                await writer.drain()
                self.sent_bytes += len(self._piece)
        except ConnectionError:
            return
        finally:
            writer.close()


async def exchange_with(endless):
    server = await asyncio.start_server(endless.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connection = await backends.open_connection("127.0.0.1", port)
    try:
        with pytest.raises(errors.BackendError) as caught:
            await connection.exchange(REQUEST, ID, "r1")
    finally:
        server.close()
    return connection, caught.value


def test_responses_without_end_leave_no_memory_behind():
    """What was received stayed until the next run of the garbage collector."""

    async def main():
        for body in (BODIES["length"], BODIES["chunks"]):
            await exchange_with(EndlessServer(*body))
            await asyncio.sleep(0.05)

    assert bytes_left_behind(main) < 1 << 20


def test_bodies_of_callers_that_left_leave_no_memory_behind():
    async def main():
        server = callers.Server(None)
        await server.start("127.0.0.1", 0)
        address = server._server.sockets[0].getsockname()
        for _ in range(3):
            _, writer = await asyncio.open_connection(*address)
            writer.write(
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9000000\r\n\r\n"
            )
            writer.write(8_000_000 * b"x")
            await writer.drain()
            writer.close()
            await writer.wait_closed()
        while server.connections:
            await asyncio.sleep(0.01)
        server.close()

    assert bytes_left_behind(main) < 1 << 20


def bytes_left_behind(main):
    """Return what a coroutine function leaves in use, without garbage collection."""

    async def measure():
        async with asyncio.timeout(AMPLE_S):
            before, _ = tracemalloc.get_traced_memory()
            await main()
            return tracemalloc.get_traced_memory()[0] - before

    gc.disable()
    tracemalloc.start()
    try:
        return asyncio.run(measure())
    finally:
        tracemalloc.stop()
        gc.enable()


@pytest.mark.parametrize("first, piece", HEADS.values(), ids=HEADS)
def test_a_head_without_end_is_cut_off_after_few_bytes(first, piece):
    endless = EndlessServer(first, piece)
    connection, error = asyncio.run(exchange_with(endless))
    assert error.started
    assert not connection.usable
    assert endless.sent_bytes <= SOCKET_BYTES


@pytest.mark.parametrize("first, piece", BODIES.values(), ids=BODIES)
def test_a_body_without_end_is_cut_off_at_the_limit(first, piece):
    endless = EndlessServer(first, piece)
    connection, error = asyncio.run(exchange_with(endless))
    assert error.started
    assert not connection.usable
    assert endless.sent_bytes <= backends.MAX_RESPONSE_BYTES + SOCKET_BYTES


def test_a_large_response_below_the_limit_is_complete():
    """The limit is for endless responses; what callers may get is not cut off."""

    async def main():
        body = b"x" * (backends.MAX_RESPONSE_BYTES // 2)

        async def serve_once(reader, writer):
            with contextlib.closing(writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(
                    OK + f"Content-Length: {len(body)}\r\n\r\n".encode() + body
                )
                await writer.drain()

        server = await asyncio.start_server(serve_once, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await backends.open_connection("127.0.0.1", port)
        response = await connection.exchange(REQUEST, ID, "r1")
        assert response.body == body
        server.close()

    asyncio.run(main())
