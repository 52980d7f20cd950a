"""Long bodies, inside the limits, must not take more memory than the process has.

Each body was held in several copies at once, and nothing bounded how many: two of
60 MiB took a daemon over its memory, and the requests under way there ended with it.
"""

import asyncio
import contextlib
from unittest import mock

import pytest
import test_agent
import test_http1

from savoryhollow import calls
from savoryhollow.http1 import (
    backends,
    body_budget,
    caller_connection,
    callers,
    messages,
)
from savoryhollow.membership import directory, table
from savoryhollow.proxy import attempts, router

MIB = 1 << 20
LIMIT = 20 * MIB
# Takes the whole budget: four copies of it don't fit, two do.
LONG = 8 * MIB


class Recorder:
    """Holds requests until they are released; records the lengths of their bodies."""

    def __init__(self):
        self.lengths = []
        self.released = asyncio.Semaphore(0)

    async def handle(self, request):
        self.lengths.append(len(request.body))
        if request.body:
            await self.released.acquire()
        return messages.Response(200)


@contextlib.asynccontextmanager
async def serving(**limits):
    recorder = Recorder()
    # One more connection stays open, which sends nothing.
    async with test_http1.serving(recorder, **limits) as (server, _, _):
        server.body_budget = body_budget.BodyBudget(LIMIT)
        yield server, recorder


async def connect(server):
    address = server._server.sockets[0].getsockname()
    return await asyncio.open_connection(*address)


async def upload(server, length, chunked=False):
    """Send a request with a body; return its status, 0 if the connection ended."""
    reader, writer = await connect(server)
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {length}"
    writer.write(f"POST /a HTTP/1.1\r\nHost: x\r\n{framing}\r\n\r\n".encode())
    body = length * b"x"
    if chunked:
        body = f"{length:x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
    writer.write(body)
    try:
        head, _ = await test_http1.read_body(reader)
        return int(head.split()[1])
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0
    finally:
        writer.close()


@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunked"])
def test_long_bodies_are_read_one_after_the_other(chunked):
    async def main():
        async with serving() as (server, recorder):
            uploads = [
                asyncio.create_task(upload(server, LONG, chunked)) for _ in range(3)
            ]
            for number in range(1, 4):
                await test_http1.wait_until(lambda n=number: len(recorder.lengths) >= n)
                await asyncio.sleep(0.05)
                assert recorder.lengths == number * [LONG]
                recorder.released.release()
            assert await asyncio.gather(*uploads) == [200, 200, 200]
            await test_http1.wait_until(lambda: len(server.connections) == 1)
            assert server.body_budget.used_bytes == 0

    test_http1.run_with_timeout(main)


def test_shorter_requests_do_not_wait_for_long_bodies():
    async def main():
        async with serving() as (server, recorder):
            uploads = [asyncio.create_task(upload(server, LONG)) for _ in range(2)]
            await test_http1.wait_until(lambda: recorder.lengths)
            recorder.released.release()
            recorder.released.release()
            recorder.released.release()
            assert await upload(server, 4000) == 200
            await asyncio.gather(*uploads)

    test_http1.run_with_timeout(main)


@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunked"])
def test_a_body_that_can_not_be_held_is_refused(chunked):
    async def main():
        async with serving() as (server, recorder):
            assert await upload(server, LIMIT // 2 + MIB, chunked) == 503
            assert recorder.lengths == []
            await test_http1.wait_until(lambda: len(server.connections) == 1)
            assert server.body_budget.used_bytes == 0

    test_http1.run_with_timeout(main)


def test_a_caller_that_leaves_gives_its_place_to_the_next():
    async def main():
        async with serving() as (server, recorder):
            budget = server.body_budget
            first = asyncio.create_task(upload(server, LONG))
            await test_http1.wait_until(lambda: recorder.lengths)
            waiting = asyncio.create_task(upload(server, LONG))
            await test_http1.wait_until(lambda: budget.waiting_count == 1)
            last = asyncio.create_task(upload(server, LONG))
            await test_http1.wait_until(lambda: budget.waiting_count == 2)
            waiting.cancel()
            await test_http1.wait_until(lambda: budget.waiting_count == 1)
            first.cancel()
            await test_http1.wait_until(lambda: len(recorder.lengths) == 2)
            recorder.released.release()
            assert await last == 200

    test_http1.run_with_timeout(main)


def test_a_body_that_waits_too_long_for_memory_is_refused():
    async def main():
        async with serving(header_timeout_s=0.2) as (server, recorder):
            first = asyncio.create_task(upload(server, LONG))
            await test_http1.wait_until(lambda: recorder.lengths)
            assert await upload(server, LONG) == 503
            recorder.released.release()
            assert await first == 200

    test_http1.run_with_timeout(main)


def test_a_body_that_ends_before_its_memory_is_granted_gives_none_back():
    """Memory that was never granted was given back, so later bodies took too much."""

    async def main():
        async with serving() as (server, recorder):
            budget = server.body_budget
            long_bytes = budget.cost_bytes(LONG)
            assert budget.reserve(long_bytes, lambda: None)
            connection = caller_connection.CallerConnection(server)
            transport = mock.create_autospec(asyncio.Transport)
            transport.is_closing.return_value = False
            transport.get_write_buffer_size.return_value = 0
            transport.get_extra_info.return_value = None
            connection.connection_made(transport)
            lines = ["POST /a HTTP/1.1", "Host: x", "Connection: close"]
            lines += ["Transfer-Encoding: chunked", "", f"{LONG:x}", LONG * "x", "0"]
            connection.data_received("\r\n".join([*lines, "", ""]).encode())
            recorder.released.release()
            await test_http1.wait_until(lambda: not connection.pending_count)
            connection.connection_lost(None)
            assert recorder.lengths == [LONG]
            assert not budget.waiting_count
            budget.release(long_bytes)
            assert budget.used_bytes == 0

    test_http1.run_with_timeout(main)


def test_a_request_whose_body_waits_for_memory_is_refused_in_a_stop():
    """Its caller got no response, and was cut off at the end of the stop."""

    async def main():
        async with serving(header_timeout_s=1000.0) as (server, recorder):
            first = asyncio.create_task(upload(server, LONG))
            await test_http1.wait_until(lambda: recorder.lengths)
            waiting = asyncio.create_task(upload(server, LONG))
            await test_http1.wait_until(lambda: server.body_budget.waiting_count)
            server.refuse_requests(messages.Response(503, close=True))
            assert await waiting == 503
            recorder.released.release()
            assert await first == 200
            assert recorder.lengths == [LONG]

    test_http1.run_with_timeout(main)


def test_a_body_that_is_refused_behind_another_request_is_not_kept():
    """It grew without bound while the request before it was in progress."""

    async def main():
        async with serving(body_bytes=MIB) as (server, recorder):
            reader, writer = await connect(server)
            writer.write(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
            await test_http1.wait_until(lambda: recorder.lengths)
            (connection,) = (c for c in server.connections if c.pending_count)
            head = b"POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            connection.data_received(head)
            for _ in range(5):
                connection.data_received(f"{MIB:x}\r\n".encode() + MIB * b"x" + b"\r\n")
            assert len(connection._body) == 0
            recorder.released.release()
            statuses = [(await test_http1.read_body(reader))[0] for _ in range(2)]
            assert [one.split()[1] for one in statuses] == ["200", "413"]
            writer.close()

    test_http1.run_with_timeout(main)


def test_memory_is_granted_in_order():
    budget = body_budget.MemoryPool(LIMIT)
    granted = []
    assert budget.reserve(LIMIT, granted.append)
    assert not budget.reserve(MIB, lambda: granted.append("one"))
    assert not budget.reserve(LIMIT, lambda: granted.append("two"))
    assert not budget.reserve(MIB, lambda: granted.append("three"))
    budget.release(LIMIT)
    assert granted == ["one"]
    budget.release(MIB)
    assert granted == ["one", "two"]


@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunked"])
def test_many_bodies_that_are_not_long_wait_for_memory_too(chunked):
    """They weren't counted: 300 of 1 MB took a daemon over its memory."""

    async def main():
        async with serving() as (server, recorder):
            uploads = [
                asyncio.create_task(upload(server, MIB - 1, chunked)) for _ in range(12)
            ]
            await test_http1.wait_until(lambda: recorder.lengths)
            await asyncio.sleep(0.3)
            # Long bodies have memory of their own.
            uploads.append(asyncio.create_task(upload(server, LONG)))
            await test_http1.wait_until(lambda: LONG in recorder.lengths)
            assert sorted(recorder.lengths) == [MIB - 1, LONG]
            for _ in range(13):
                recorder.released.release()
            assert await asyncio.gather(*uploads) == 13 * [200]
            await test_http1.wait_until(lambda: len(server.connections) == 1)
            assert server.body_budget.used_bytes == 0

    test_http1.run_with_timeout(main)


def test_a_short_body_does_not_wait_for_others():
    """Callers that announce bodies and send nothing held up all others."""

    async def main():
        async with serving(header_timeout_s=1000.0) as (server, recorder):
            held = []
            while not server.body_budget.waiting_count:
                _, writer = await connect(server)
                head = f"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: {MIB}\r\n\r\n"
                writer.write(head.encode())
                held.append(writer)
                await asyncio.sleep(0.01)
            recorder.released.release()
            length = 200_000
            reader, writer = await connect(server)
            held.append(writer)
            head = f"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n"
            writer.write(head.encode())
            await asyncio.sleep(0.05)
            writer.write(length * b"x")
            assert (await test_http1.read_body(reader))[0].split()[1] == "200"
            for writer in held:
                writer.close()

    test_http1.run_with_timeout(main)


def test_a_body_that_was_read_with_its_head_does_not_wait_for_memory():
    """It would stay reserved without having been granted, once its caller left."""

    async def main():
        async with serving() as (server, recorder):
            await test_http1.wait_until(lambda: server.connections)
            others = set(server.connections)
            _, writer = await connect(server)
            await test_http1.wait_until(lambda: server.connections > others)
            (connection,) = server.connections - others
            first = asyncio.create_task(upload(server, MIB - 1))
            await test_http1.wait_until(lambda: recorder.lengths)
            head = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\n"
            connection.data_received(head + 300_000 * b"x")
            await test_http1.wait_until(lambda: len(recorder.lengths) == 2)
            connection.close()
            recorder.released.release()
            assert await first == 200
            writer.close()
            await test_http1.wait_until(lambda: server.connections == others)
            assert server.body_budget.used_bytes == 0

    test_http1.run_with_timeout(main)


def test_a_long_body_is_sent_to_a_backend_server_without_a_copy_of_all_of_it():
    async def main():
        received = []
        go = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await go.wait()
            received.append(await reader.readexactly(LONG))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            writer.close()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        connection = await backends.open_connection("127.0.0.1", port)
        body = bytes(range(256)) * (LONG // 256)
        exchange = asyncio.create_task(
            connection.exchange(b"POST / HTTP/1.1\r\n\r\n", body=body)
        )
        await asyncio.sleep(0.1)
        assert connection._transport.get_write_buffer_size() < MIB
        go.set()
        assert (await exchange).status == 200
        assert received == [body]
        listener.close()

    test_http1.run_with_timeout(main)


def test_a_body_too_long_for_a_message_is_only_sent_to_the_local_backend_server():
    """The other daemon used to close the link, with all other requests on it."""

    async def main():
        agent = test_agent.make_agent()
        for number, host in enumerate(("10.9.9.9", "10.9.9.8")):
            agent.members.put(
                directory.KnownEndpoint(
                    *(f"e{number}", "dispatch", "east", "east-a", host, 9),
                    table.EndpointState.LIVE,
                    9,
                )
            )
        agent.router.add_services(["dispatch"])
        hosts_by_length = {}
        for length in (MIB, router.MAX_FORWARDED_BODY_BYTES + 1):
            call = make_call(length, agent.now)
            candidates = agent.router._candidates(call, attempts.Progress().tried)
            hosts_by_length[length] = {c.endpoint.host for c in candidates}
        assert list(hosts_by_length.values()) == [
            {"10.9.9.9", "10.9.9.8"},
            {"10.9.9.9"},
        ]

    test_agent.run_with_timeout(main)


def make_call(length, now):
    return calls.Call(
        request_id="r1",
        service="dispatch",
        rank="r-job",
        caller="",
        deadline=now + 5,
        idempotent=False,
        depth=0,
        attempts_left=1,
        method="POST",
        path="/",
        headers=(),
        body=bytes(length),
        order=1,
        objective=now + 4,
    )


def test_responses_that_callers_do_not_read_take_bounded_memory():
    """100 answers of 10 MB that nobody reads take a daemon over its memory."""

    async def main():
        async def handle(request):
            return messages.Response(200, (), bytes(LONG))

        server = callers.Server(handle)
        server.body_budget = body_budget.BodyBudget(LIMIT)
        await server.start("127.0.0.1", 0)
        writers = []
        for _ in range(8):
            _, writer = await connect(server)
            writer.transport.pause_reading()
            writer.write(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
            writers.append(writer)
        await asyncio.sleep(1.0)
        unsent = sum(
            connection._transport.get_write_buffer_size()
            for connection in server.connections
        )
        for writer in writers:
            writer.transport.abort()
        server.close()
        assert unsent <= LIMIT

    test_http1.run_with_timeout(main)


def test_callers_server_has_a_budget_by_default():
    assert isinstance(callers.Server(None).body_budget, body_budget.BodyBudget)
