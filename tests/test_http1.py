"""Tests of the HTTP/1.1 server and client over loopback sockets."""

import asyncio
import contextlib
import socket

import pytest

from savoryhollow import errors
from savoryhollow.http1 import backends, callers, messages

ID = "X-Id"


def run_with_timeout(main):
    """Run the coroutine function of a test with a timeout."""

    async def main_with_timeout():
        async with asyncio.timeout(20):
            return await main()

    return asyncio.run(main_with_timeout())


# ---------------------------------------------------------------------------
#   Callers
# ---------------------------------------------------------------------------


class ManualHandler:
    """Answers a request once the test has finished its target."""

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
async def serving(handler, **limits):
    server = callers.Server(handler.handle)
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


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.001)


async def read_body(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    length = int(head.partition("content-length: ")[2].partition("\r\n")[0])
    return head, await reader.readexactly(length)


def test_pipelined_requests_run_concurrently_and_are_answered_in_order():
    async def main():
        handler = ManualHandler()
        async with serving(handler) as (_, reader, writer):
            writer.write(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
            writer.write(b"GET /b HTTP/1.1\r\nHost: x\r\n\r\n")
            await wait_until(lambda: handler.started == ["/a", "/b"])
            handler.finish("/b")
            await asyncio.sleep(0.01)
            handler.finish("/a")
            assert (await read_body(reader))[1] == b"/a"
            assert (await read_body(reader))[1] == b"/b"

    run_with_timeout(main)


def test_a_request_with_an_unsafe_method_waits_for_earlier_responses():
    async def main():
        handler = ManualHandler()
        async with serving(handler) as (_, reader, writer):
            writer.write(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
            writer.write(b"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi")
            await wait_until(lambda: handler.started)
            await asyncio.sleep(0.01)
            assert handler.started == ["/a"]
            handler.finish("/a", "/b")
            await read_body(reader)
            assert (await read_body(reader))[1] == b"/bhi"

    run_with_timeout(main)


def test_a_chunked_body_is_read_completely():
    async def main():
        handler = ManualHandler()
        handler.finish("/a")
        async with serving(handler) as (_, reader, writer):
            writer.write(b"POST /a HTTP/1.1\r\nHost: x\r\n")
            writer.write(b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
            writer.write(b"2\r\nde\r\n0\r\n\r\n")
            assert (await read_body(reader))[1] == b"/aabcde"

    run_with_timeout(main)


@pytest.mark.parametrize("waits_for_start", [False, True], ids=["running", "starting"])
def test_the_time_that_a_body_takes_to_arrive_counts(waits_for_start):
    """Else the endpoint gets a deadline that is later than the caller's.

    A long body can't arrive before the daemon reads, so its last byte says nothing
    about how long its caller has been waiting.
    """

    async def main():
        loop = asyncio.get_running_loop()
        received_at = loop.create_future()

        async def handle(request):
            received_at.set_result(request.received_at)
            return messages.Response(200)

        server = callers.Server(handle)
        listener = socket.create_server(("127.0.0.1", 0))
        listening_since = loop.time()
        if not waits_for_start:
            await server.start("", 0, listener)
        _, writer = await asyncio.open_connection(*listener.getsockname())
        writer.write(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 8000000\r\n\r\n")
        writer.write(7_999_999 * b"x")
        await asyncio.sleep(0.3)
        ends_at = loop.time()
        if waits_for_start:
            await server.start("", 0, listener, listening_since)
        writer.write(b"x")
        arrived_at = await received_at
        writer.close()
        server.close()
        assert listening_since <= arrived_at < ends_at

    run_with_timeout(main)


def test_a_caller_that_disconnects_cancels_its_request():
    async def main():
        handler = ManualHandler()
        async with serving(handler) as (_, _reader, writer):
            writer.write(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
            await wait_until(lambda: handler.started)
            writer.close()
            await wait_until(lambda: handler.cancelled == ["/a"])

    run_with_timeout(main)


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
def test_an_invalid_or_oversized_request_never_runs(sent, status):
    async def main():
        handler = ManualHandler()
        limits = {"header_bytes": 200, "body_bytes": 50}
        async with serving(handler, **limits) as (_, reader, writer):
            writer.write(sent)
            received = await reader.read()
            assert received.startswith(b"HTTP/1.1 " + status)
            assert handler.started == []

    run_with_timeout(main)


def test_slow_headers_get_status_408_and_an_idle_connection_is_closed():
    async def main():
        handler = ManualHandler()
        limits = {"header_timeout_s": 0.02, "idle_timeout_s": 0.02}
        async with serving(handler, **limits) as (_, reader, writer):
            writer.write(b"GET /a HTTP/1.1\r\nHo")
            assert (await reader.read()).startswith(b"HTTP/1.1 408")
        async with serving(handler, **limits) as (_, reader, _writer):
            assert await reader.read() == b""

    run_with_timeout(main)


def test_close_sends_pending_responses_before_it_closes_connections():
    async def main():
        handler = ManualHandler()
        async with serving(handler) as (server, reader, writer):
            writer.write(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
            await wait_until(lambda: handler.started)
            server.close()
            writer.write(b"GET /late HTTP/1.1\r\nHost: x\r\n\r\n")
            await asyncio.sleep(0.01)
            handler.finish("/a")
            head, body = await read_body(reader)
            assert body == b"/a"
            assert "connection: close" in head
            assert await reader.read() == b""
            assert handler.started == ["/a"]

    run_with_timeout(main)


# ---------------------------------------------------------------------------
#   Backend servers
# ---------------------------------------------------------------------------


@contextlib.asynccontextmanager
async def backend(*scripts):
    """Run a backend server that plays one script per connection.

    A step of a script is the bytes to send after the next request, or None to reset
    the connection. The step ``b"unasked"`` is sent without waiting for a request.
    """
    scripts = iter(scripts)

    async def serve(reader, writer):
        with contextlib.closing(writer):
            for step in next(scripts):
                if step is None:
                    writer.transport.abort()
                    return
                if step != b"unasked":
                    await reader.readuntil(b"\r\n\r\n")
                writer.write(step)
            await asyncio.sleep(0.01)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


def response_bytes(request_id, body=b"ok", more=b""):
    length = len(body)
    head = f"HTTP/1.1 200 OK\r\n{ID}: {request_id}\r\nContent-Length: {length}\r\n\r\n"
    return head.encode() + body + more


async def send_request(connection, request_id):
    data = f"GET / HTTP/1.1\r\nHost: x\r\n{ID}: {request_id}\r\n\r\n".encode()
    return await connection.exchange(data, ID, request_id)


def test_a_response_to_another_request_is_ignored():
    async def main():
        later_responses = response_bytes("r1", b"again") + response_bytes("r2", b"mine")
        async with backend([response_bytes("r1"), later_responses]) as port:
            connection = await backends.open_connection("127.0.0.1", port)
            assert (await send_request(connection, "r1")).body == b"ok"
            assert (await send_request(connection, "r2")).body == b"mine"

    run_with_timeout(main)


def test_a_connection_with_data_after_a_response_is_not_reused():
    async def main():
        async with backend([response_bytes("r1", more=response_bytes("r1"))]) as port:
            connection = await backends.open_connection("127.0.0.1", port)
            assert (await send_request(connection, "r1")).body == b"ok"
            assert not connection.usable

    run_with_timeout(main)


def test_unrequested_data_closes_an_idle_connection():
    async def main():
        async with backend([response_bytes("r1"), b"unasked"]) as port:
            pool = backends.Pool("127.0.0.1", port)
            connection, _ = await pool.acquire()
            await send_request(connection, "r1")
            pool.release(connection)
            await wait_until(lambda: not connection.usable)

    run_with_timeout(main)


@pytest.mark.parametrize(
    "script",
    [
        [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"],
        [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal"],
        [b"garbage that is no answer\r\n\r\n"],
        [None],
    ],
)
def test_an_incomplete_response_is_an_error(script):
    async def main():
        async with backend(script) as port:
            connection = await backends.open_connection("127.0.0.1", port)
            with pytest.raises(errors.BackendError) as caught:
                await send_request(connection, "r1")
            assert caught.value.started

    run_with_timeout(main)


WHOLE_RESPONSES = {
    "length": response_bytes("r1"),
    "empty": response_bytes("r1", b""),
    "no body": b"HTTP/1.1 204 No Content\r\nX-Id: r1\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nok\r\n2;x=y\r\nay\r\n0\r\nX-Trailer: 1\r\n\r\n",
}


@pytest.mark.parametrize("whole", WHOLE_RESPONSES.values(), ids=WHOLE_RESPONSES.keys())
def test_a_response_that_breaks_off_at_any_byte_is_incomplete(whole):
    """The caller would get a success with an empty or short body, framed as whole."""

    async def main():
        lengths = range(1, len(whole))
        async with backend(*([whole[:length]] for length in lengths), [whole]) as port:
            for _ in lengths:
                connection = await backends.open_connection("127.0.0.1", port)
                with pytest.raises(errors.BackendError) as caught:
                    await send_request(connection, "r1")
                assert caught.value.started
            connection = await backends.open_connection("127.0.0.1", port)
            assert (await send_request(connection, "r1")).status < 300

    run_with_timeout(main)


def test_a_head_that_breaks_off_is_incomplete_if_its_body_ends_with_the_connection():
    async def main():
        head = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\n"
        lengths = range(1, len(head))
        async with backend(*([head[:length]] for length in lengths)) as port:
            for _ in lengths:
                connection = await backends.open_connection("127.0.0.1", port)
                with pytest.raises(errors.BackendError):
                    await send_request(connection, "r1")

    run_with_timeout(main)


def test_a_body_without_length_ends_when_the_connection_closes():
    async def main():
        async with backend([b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nwhole"]) as port:
            connection = await backends.open_connection("127.0.0.1", port)
            assert (await send_request(connection, "r1")).body == b"whole"
            assert not connection.usable

    run_with_timeout(main)


def test_after_a_stale_connection_idle_ones_are_not_reused():
    async def main():
        async with backend([response_bytes("r1")], [response_bytes("r2")]) as port:
            pool = backends.Pool("127.0.0.1", port)
            pool.record_stale_connection()
            connection, _ = await pool.acquire()
            await send_request(connection, "r1")
            connection.idle_since -= 2 * backends.CAUTIOUS_MAX_IDLE_S
            pool.release(connection)
            _, reused = await pool.acquire()
            assert not reused

    run_with_timeout(main)


def test_a_connection_that_is_in_use_is_not_kept_after_its_pool_was_closed():
    """The address may belong to another server by now."""

    async def main():
        async with backend([response_bytes("r1")]) as port:
            pool = backends.Pool("127.0.0.1", port)
            connection, _ = await pool.acquire()
            await send_request(connection, "r1")
            pool.close()
            pool.release(connection)
            assert not connection.usable
            assert pool.idle == []

    run_with_timeout(main)


def test_without_a_connection_nothing_was_started():
    async def main():
        with pytest.raises(errors.BackendError) as caught:
            await backends.open_connection("127.0.0.1", 1)
        assert not caught.value.started

    run_with_timeout(main)
