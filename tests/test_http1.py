"""Connections of callers and to backend servers, on loopback sockets."""

import asyncio
import contextlib

import pytest

from savoryhollow import errors
from savoryhollow.http1 import backends, callers, messages

ID = "X-Id"


def play(main):
    """Run a test's coroutine; nothing in it may wait for long."""

    async def limited():
        async with asyncio.timeout(20):
            return await main()

    return asyncio.run(limited())


# ---------------------------------------------------------------------------
#   Callers
# ---------------------------------------------------------------------------


class Served:
    """Answers requests when the test says so."""

    def __init__(self):
        self.started = []
        self.cancelled = []
        self.events_by_target = {}

    async def handle(self, request):
        self.started.append(request.target)
        event = self.events_by_target.setdefault(request.target, asyncio.Event())
        try:
            await event.wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            raise
        return messages.Response(200, (), request.target.encode() + request.body)

    def finish(self, *targets):
        for target in targets:
            self.events_by_target.setdefault(target, asyncio.Event()).set()


@contextlib.asynccontextmanager
async def serving(served, **limits):
    server = callers.Server(served.handle)
    if limits:
        server.limits = callers.Limits(**limits)
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        yield server, reader, writer
    finally:
        writer.close()
        server.close()


async def until(condition):
    while not condition():
        await asyncio.sleep(0.001)


async def read_body(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    length = int(head.partition("content-length: ")[2].partition("\r\n")[0])
    return head, await reader.readexactly(length)


def test_requests_of_one_connection_run_side_by_side_and_answer_in_order():
    async def main():
        served = Served()
        async with serving(served) as (_, reader, writer):
            writer.write(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
            writer.write(b"GET /b HTTP/1.1\r\nHost: x\r\n\r\n")
            await until(lambda: served.started == ["/a", "/b"])
            served.finish("/b")
            await asyncio.sleep(0.01)
            served.finish("/a")
            assert (await read_body(reader))[1] == b"/a"
            assert (await read_body(reader))[1] == b"/b"

    play(main)


def test_a_request_that_may_not_repeat_waits_for_the_answers_before_it():
    async def main():
        served = Served()
        async with serving(served) as (_, reader, writer):
            writer.write(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
            writer.write(b"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi")
            await until(lambda: served.started)
            await asyncio.sleep(0.01)
            assert served.started == ["/a"]
            served.finish("/a", "/b")
            await read_body(reader)
            assert (await read_body(reader))[1] == b"/bhi"

    play(main)


def test_a_body_in_chunks_is_read_whole():
    async def main():
        served = Served()
        served.finish("/a")
        async with serving(served) as (_, reader, writer):
            writer.write(b"POST /a HTTP/1.1\r\nHost: x\r\n")
            writer.write(b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
            writer.write(b"2\r\nde\r\n0\r\n\r\n")
            assert (await read_body(reader))[1] == b"/aabcde"

    play(main)


def test_a_caller_that_leaves_cancels_its_work():
    async def main():
        served = Served()
        async with serving(served) as (_, _reader, writer):
            writer.write(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
            await until(lambda: served.started)
            writer.close()
            await until(lambda: served.cancelled == ["/a"])

    play(main)


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET /a HTTP/1.1\r\nHost: x\r\nLong: " + b"x" * 300 + b"\r\n\r\n", b"431"),
        (
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n" + b"x" * 99,
            b"413",
        ),
        (
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
    ],
)
def test_what_breaks_a_limit_or_is_no_request_never_runs(sent, status):
    async def main():
        served = Served()
        limits = {"header_bytes": 200, "body_bytes": 50}
        async with serving(served, **limits) as (_, reader, writer):
            writer.write(sent)
            answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 " + status)
            assert served.started == []

    play(main)


def test_a_head_that_takes_too_long_is_answered_and_an_idle_connection_ends():
    async def main():
        served = Served()
        limits = {"header_timeout_s": 0.02, "idle_timeout_s": 0.02}
        async with serving(served, **limits) as (_, reader, writer):
            writer.write(b"GET /a HTTP/1.1\r\nHo")
            assert (await reader.read()).startswith(b"HTTP/1.1 408")
        async with serving(served, **limits) as (_, reader, _writer):
            assert await reader.read() == b""

    play(main)


def test_answers_owed_leave_after_a_close_and_each_ends_its_connection():
    async def main():
        served = Served()
        async with serving(served) as (server, reader, writer):
            writer.write(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
            await until(lambda: served.started)
            server.close()
            writer.write(b"GET /late HTTP/1.1\r\nHost: x\r\n\r\n")
            await asyncio.sleep(0.01)
            served.finish("/a")
            head, body = await read_body(reader)
            assert body == b"/a"
            assert "connection: close" in head
            assert await reader.read() == b""
            assert served.started == ["/a"]

    play(main)


# ---------------------------------------------------------------------------
#   Backend servers
# ---------------------------------------------------------------------------


@contextlib.asynccontextmanager
async def backend(*scripts):
    """A backend server that plays one script a connection: bytes, or None to reset."""
    scripts = iter(scripts)

    async def serve(reader, writer):
        for step in next(scripts):
            if step is None:
                writer.transport.abort()
                return
            if step != b"unasked":
                await reader.readuntil(b"\r\n\r\n")
            writer.write(step)
        await asyncio.sleep(0.01)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


def answer(request_id, body=b"ok", more=b""):
    length = len(body)
    head = f"HTTP/1.1 200 OK\r\n{ID}: {request_id}\r\nContent-Length: {length}\r\n\r\n"
    return head.encode() + body + more


async def ask(connection, request_id):
    data = f"GET / HTTP/1.1\r\nHost: x\r\n{ID}: {request_id}\r\n\r\n".encode()
    return await connection.exchange(data, ID, request_id)


def test_an_answer_to_another_request_is_passed_over():
    async def main():
        extra = answer("r1", b"again") + answer("r2", b"mine")
        async with backend([answer("r1"), extra]) as port:
            connection = await backends.open_connection("127.0.0.1", port)
            assert (await ask(connection, "r1")).body == b"ok"
            assert (await ask(connection, "r2")).body == b"mine"

    play(main)


def test_a_connection_with_bytes_after_an_answer_is_not_used_again():
    async def main():
        async with backend([answer("r1", more=answer("r1"))]) as port:
            connection = await backends.open_connection("127.0.0.1", port)
            assert (await ask(connection, "r1")).body == b"ok"
            assert not connection.usable

    play(main)


def test_bytes_that_come_unasked_end_an_idle_connection():
    async def main():
        async with backend([answer("r1"), b"unasked"]) as port:
            pool = backends.Pool("127.0.0.1", port)
            connection, _ = await pool.acquire()
            await ask(connection, "r1")
            pool.release(connection)
            await until(lambda: not connection.usable)

    play(main)


@pytest.mark.parametrize(
    "script",
    [
        [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"],
        [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal"],
        [b"garbage that is no answer\r\n\r\n"],
        [None],
    ],
)
def test_what_is_no_whole_answer_is_an_error(script):
    async def main():
        async with backend(script) as port:
            connection = await backends.open_connection("127.0.0.1", port)
            with pytest.raises(errors.BackendError) as caught:
                await ask(connection, "r1")
            assert caught.value.started

    play(main)


def test_a_body_without_length_ends_with_its_connection():
    async def main():
        async with backend([b"HTTP/1.1 200 OK\r\n\r\nwhole"]) as port:
            connection = await backends.open_connection("127.0.0.1", port)
            assert (await ask(connection, "r1")).body == b"whole"
            assert not connection.usable

    play(main)


def test_a_server_that_forgot_an_idle_connection_gets_fresh_ones():
    async def main():
        async with backend([answer("r1")], [answer("r2")]) as port:
            pool = backends.Pool("127.0.0.1", port)
            pool.record_stale_connection()
            connection, _ = await pool.acquire()
            await ask(connection, "r1")
            connection.idle_since -= 2 * backends.CAUTIOUS_MAX_IDLE_S
            pool.release(connection)
            _, reused = await pool.acquire()
            assert not reused

    play(main)


def test_no_connection_means_that_nothing_was_started():
    async def main():
        with pytest.raises(errors.BackendError) as caught:
            await backends.open_connection("127.0.0.1", 1)
        assert not caught.value.started

    play(main)
