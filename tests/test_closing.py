"""Connections that are closed while their caller still reads a response, or sends.

A connection was aborted a second after its last response had been written, however much
the caller had yet to read, and reset if the caller had sent more in the meantime. A
request that came on a new connection just when a stop began to refuse requests was read
and dropped, and its connection stayed open without a response until the process ended.
"""

import asyncio
import contextlib
import socket

import pytest
import test_http1

from savoryhollow.http1 import callers, closing, messages

# More than the socket buffers of both ends hold.
LONG_BODY = 8_000_000 * b"r"
SMALL_BUFFER_BYTES = 16_384
# The time in which a caller reads nothing; connections were aborted after 1 s.
PAUSE_S = 1.3
REFUSAL = messages.Response(503, close=True)


class LongHandler:
    """Answers every request with a long body at once."""

    def __init__(self):
        self.requests = []

    async def handle(self, request):
        self.requests.append(request.target)
        return messages.Response(200, (), LONG_BODY)


@contextlib.asynccontextmanager
async def slow_caller(handler):
    """Yield a server and the streams of a caller with small buffers."""
    server = callers.Server(handler.handle)
    await server.start("127.0.0.1", 0)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.setblocking(False)
    address = server._server.sockets[0].getsockname()
    await asyncio.get_running_loop().sock_connect(sock, address)
    reader, writer = await asyncio.open_connection(sock=sock, limit=SMALL_BUFFER_BYTES)
    try:
        yield server, reader, writer
    finally:
        writer.transport.abort()
        server.close()


def request(target="/a", *lines):
    return "\r\n".join([f"GET {target} HTTP/1.1", "Host: x", *lines, "", ""]).encode()


@pytest.mark.parametrize("sends_more", [False, True], ids=["reads", "sends on"])
@pytest.mark.parametrize("stops", [False, True], ids=["asks to close", "planned stop"])
def test_a_slow_caller_gets_the_whole_response_before_its_connection_closes(
    stops, sends_more
):
    async def main():
        handler = LongHandler()
        async with slow_caller(handler) as (server, reader, writer):
            if stops:
                server.disable_keep_alive()
            writer.write(request("/a", *([] if stops else ["Connection: close"])))
            await test_http1.wait_until(lambda: handler.requests)
            for _ in range(13):
                if sends_more:
                    writer.write(request("/more"))
                await asyncio.sleep(PAUSE_S / 13)
            _, body = await test_http1.read_body(reader)
            assert len(body) == len(LONG_BODY)
            assert await reader.read() == b""
            assert handler.requests == ["/a"]

    test_http1.run_with_timeout(main)


def test_a_response_that_is_not_received_yet_counts_as_in_progress():
    """Else a process that stops ends before its last responses are sent."""

    async def main():
        handler = LongHandler()
        async with slow_caller(handler) as (server, reader, writer):
            server.disable_keep_alive()
            writer.write(request())
            await test_http1.wait_until(lambda: handler.requests)
            await asyncio.sleep(0.05)
            assert server.in_progress == 1
            await test_http1.read_body(reader)
            await test_http1.wait_until(lambda: server.in_progress == 0)

    test_http1.run_with_timeout(main)


def test_a_long_response_is_followed_by_the_end_of_the_connection_at_once(monkeypatch):
    """The end came with the next check, up to 0.25 s after the last byte.

    A caller that sent its next request right behind a long response waited so long,
    while the request was read and dropped.
    """
    monkeypatch.setattr(closing, "CHECK_INTERVAL_S", 60.0)

    async def main():
        handler = LongHandler()
        async with slow_caller(handler) as (server, reader, writer):
            server.disable_keep_alive()
            writer.write(request())
            await test_http1.read_body(reader)
            writer.write(request("/next"))
            # Without the end, this lasts until the timeout of the test.
            assert await reader.read() == b""
            assert handler.requests == ["/a"]

    test_http1.run_with_timeout(main)


def test_a_caller_that_reads_nothing_at_all_is_given_up(monkeypatch):
    monkeypatch.setattr(closing, "STALL_TIMEOUT_S", 0.1)
    monkeypatch.setattr(closing, "CHECK_INTERVAL_S", 0.02)

    async def main():
        async with slow_caller(LongHandler()) as (server, _, writer):
            writer.write(request("/a", "Connection: close"))
            await test_http1.wait_until(lambda: server.connections)
            await test_http1.wait_until(lambda: not server.connections)

    test_http1.run_with_timeout(main)


def test_a_caller_that_keeps_its_side_open_is_given_up(monkeypatch):
    monkeypatch.setattr(closing, "PEER_CLOSE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(closing, "CHECK_INTERVAL_S", 0.02)

    async def main():
        async with slow_caller(LongHandler()) as (server, reader, writer):
            writer.write(request("/a", "Connection: close"))
            await test_http1.read_body(reader)
            await test_http1.wait_until(lambda: not server.connections)

    test_http1.run_with_timeout(main)


@pytest.mark.parametrize("opened_first", [True, False], ids=["kept", "new"])
def test_a_request_that_comes_while_requests_are_refused_gets_a_response(opened_first):
    async def main():
        handler = test_http1.ManualHandler()
        async with test_http1.serving(handler) as (server, reader, writer):
            if opened_first:
                await test_http1.wait_until(lambda: server.connections)
            server.refuse_requests(REFUSAL)
            writer.write(request())
            head, _ = await test_http1.read_body(reader)
            assert head.startswith("http/1.1 503 ")
            assert "connection: close" in head
            assert await reader.read() == b""
            assert handler.started == []

    test_http1.run_with_timeout(main)


def test_refused_requests_are_reported_with_their_headers():
    """A request that leaves no trace in the log can't be explained afterwards."""

    async def main():
        handler = test_http1.ManualHandler()
        rejected = []
        async with test_http1.serving(handler) as (server, reader, writer):
            server.on_rejected = lambda status, headers: rejected.append(
                (status, messages.find_header(headers, "X-Id"))
            )
            server.refuse_requests(REFUSAL)
            writer.write(request("/a", "X-Id: r1"))
            await test_http1.read_body(reader)
            assert rejected == [(503, "r1")]

    test_http1.run_with_timeout(main)


def test_refusals_do_not_count_as_in_progress():
    """Callers that return at once must not keep a process from ending."""

    async def main():
        handler = test_http1.ManualHandler()
        async with test_http1.serving(handler) as (server, reader, writer):
            server.refuse_requests(REFUSAL)
            writer.write(request())
            while not reader._buffer:
                assert server.in_progress == 0
                await asyncio.sleep(0)

    test_http1.run_with_timeout(main)


def test_requests_that_outlast_a_stop_get_a_response_each():
    async def main():
        handler = test_http1.ManualHandler()
        async with test_http1.serving(handler) as (server, reader, writer):
            writer.write(request("/a") + request("/b"))
            await test_http1.wait_until(lambda: handler.started == ["/a", "/b"])
            server.disable_keep_alive()
            server.end_requests(messages.Response(504))
            heads = [(await test_http1.read_body(reader))[0] for _ in range(2)]
            assert all(head.startswith("http/1.1 504 ") for head in heads)
            assert await reader.read() == b""
            assert sorted(handler.cancelled) == ["/a", "/b"]

    test_http1.run_with_timeout(main)
