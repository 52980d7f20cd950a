"""Requests that were read and get no response leave a line with their id in the log.

In the users' record a request was lost and no daemon named it: requests that were
queued, partly read, dropped behind a response that closes the connection, or cut with
it left no line, and those that a planned stop ended were logged as if their caller had
left.
"""

import asyncio
import os
import socket
import struct

import pytest
import test_agent
import test_closing
import test_http1
import test_planned_stop
import test_proxy
import test_proxy_events

from savoryhollow.configuration import routes
from savoryhollow.http1 import closing, messages
from savoryhollow.observe import events, output
from savoryhollow.platform import headers
from savoryhollow.proxy import inner

# The fixture of that module.
emitted = test_proxy_events.emitted

ID = "X-Id"
# Time that a test may take also on a busy machine.
AMPLE_S = 100.0
POST = b"POST /b HTTP/1.1\r\nHost: x\r\nX-Id: b\r\nContent-Length: 5\r\n\r\n"
GET = test_closing.request("/a", "X-Id: a")


class LossRecords(list):
    """The losses that a server reports: id, stage and reason of each."""

    def watch(self, server):
        server.request_id_header = ID
        server.on_lost = lambda loss: self.append(
            (loss.request_id, loss.stage.value, loss.reason.value)
        )
        server.on_rejected = lambda status, fields: self.append(
            (messages.find_header(fields, ID) or "", "rejected", str(status))
        )


class FailingHandler(test_http1.ManualHandler):
    """Fails at each request."""

    async def handle(self, request):
        raise ZeroDivisionError


def play(steps, handler=None):
    """Return what a server reports while a coroutine function uses a connection."""
    reported = LossRecords()

    async def main():
        used = handler or test_http1.ManualHandler()
        async with test_http1.serving(used) as (server, reader, writer):
            reported.watch(server)
            await steps(server, used, reader, writer)
            await asyncio.sleep(0.02)

    test_http1.run_with_timeout(main)
    return list(reported)


def reset(writer):
    """Reset a connection, so that the other side loses what it still sends."""
    sock = writer.get_extra_info("socket")
    option = socket.SOL_SOCKET, socket.SO_LINGER
    sock.setsockopt(*option, struct.pack("ii", 1, 0))
    writer.transport.abort()


@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        (b"GET /a HTTP/1.1\r\nX-Id: a\r\nHost", ("a", "head")),
        (b"GET /a HTT", ("", "head")),
        (POST + b"xx", ("b", "body")),
    ],
    ids=["head", "no id yet", "body"],
)
@pytest.mark.parametrize("ends", ["caller-closed", "connection-lost", "process-ended"])
def test_a_request_that_is_read_in_part_is_reported(sent, expected, ends):
    async def steps(server, handler, reader, writer):
        writer.write(sent)
        await test_http1.wait_until(
            lambda: any(one._reading_message for one in server.connections)
        )
        await asyncio.sleep(0.01)
        if ends == "process-ended":
            server.report_unfinished()
            # Whatever comes later can't be logged.
            server.on_lost = lambda loss: None
        elif ends == "connection-lost":
            reset(writer)
        else:
            writer.close()
        await asyncio.sleep(0.02)

    assert play(steps) == [(*expected, ends)]


def test_a_caller_that_leaves_its_queued_requests_is_reported():
    async def steps(server, handler, reader, writer):
        writer.write(GET + POST + b"12345")
        await test_http1.wait_until(lambda: handler.started == ["/a"])
        writer.close()
        await test_http1.wait_until(lambda: handler.cancelled == ["/a"])

    # The handler itself reports the first one.
    assert play(steps) == [("b", "queued", "caller-closed")]


def test_the_handler_is_told_why_a_request_is_cancelled():
    reasons = []

    async def main():
        async def handle(request):
            try:
                await asyncio.sleep(9)
            except asyncio.CancelledError as error:
                reasons.append(str(error))
                raise

        handler = test_http1.ManualHandler()
        handler.handle = handle
        for end in ("caller", "stop"):
            async with test_http1.serving(handler) as (server, _, writer):
                writer.write(GET)
                await test_http1.wait_until(
                    lambda server=server: any(
                        one.pending_count for one in server.connections
                    )
                )
                await asyncio.sleep(0.01)
                if end == "stop":
                    server.end_requests(messages.Response(504))
                else:
                    writer.close()
                await asyncio.sleep(0.02)

    test_http1.run_with_timeout(main)
    assert reasons == ["caller-closed", "stop-ended"]


def test_a_request_behind_a_response_that_closes_the_connection_is_reported():
    async def steps(server, handler, reader, writer):
        writer.write(GET + POST + b"12345")
        await reader.read()

    assert play(steps, FailingHandler()) == [
        ("a", "served", "handler-failed"),
        ("b", "queued", "behind-close"),
    ]


def test_data_behind_a_request_to_close_is_not_reported_under_its_id():
    """The request that ran was logged as rejected and not run."""

    async def steps(server, handler, reader, writer):
        handler.finish("/a")
        writer.write(
            test_closing.request("/a", "X-Id: a", "Connection: close") + POST + b"12345"
        )
        await reader.read()

    assert play(steps) == [("", "rejected", "400")]


def test_a_request_that_comes_during_a_graceful_close_is_reported():
    async def steps(server, handler, reader, writer):
        server.disable_keep_alive()
        handler.finish("/a")
        writer.write(GET)
        await test_http1.read_body(reader)
        writer.write(test_closing.request("/c", "X-Id: c") + POST)
        await asyncio.sleep(0.02)
        writer.close()

    assert play(steps) == [
        ("c", "queued", "behind-close"),
        ("b", "body", "behind-close"),
    ]


def test_a_request_dropped_while_requests_are_refused_is_reported():
    async def steps(server, handler, reader, writer):
        writer.write(GET)
        await test_http1.wait_until(lambda: handler.started == ["/a"])
        server.refuse_requests(test_closing.REFUSAL)
        writer.write(test_closing.request("/c", "X-Id: c"))
        await asyncio.sleep(0.02)
        handler.finish("/a")
        await reader.read()

    assert play(steps) == [("c", "queued", "behind-close")]


def test_a_request_behind_a_rejected_one_is_reported_and_the_rejected_one_once():
    async def steps(server, handler, reader, writer):
        writer.write(GET)
        await test_http1.wait_until(lambda: handler.started == ["/a"])
        long = test_closing.request("/l", "X-Id: l", "Long: " + "x" * 70_000)
        writer.write(long + test_closing.request("/c", "X-Id: c"))
        await asyncio.sleep(0.05)
        handler.finish("/a")
        await reader.read()

    assert play(steps) == [("l", "rejected", "431"), ("c", "queued", "behind-close")]


def test_a_queued_request_that_a_stop_ends_is_reported():
    async def steps(server, handler, reader, writer):
        writer.write(GET + POST + b"12345")
        await test_http1.wait_until(lambda: handler.started == ["/a"])
        server.disable_keep_alive()
        server.end_requests(messages.Response(504))
        assert (await reader.read()).count(b"HTTP/1.1 504 ") == 2

    assert play(steps) == [("b", "queued", "stop-ended")]


def test_a_request_whose_handler_fails_is_reported():
    async def steps(server, handler, reader, writer):
        writer.write(GET)
        assert b" 500 " in await reader.read()

    assert play(steps, FailingHandler()) == [("a", "served", "handler-failed")]


def test_a_response_that_waits_for_an_earlier_one_is_reported_when_it_is_lost():
    async def steps(server, handler, reader, writer):
        writer.write(GET + test_closing.request("/c", "X-Id: c"))
        handler.finish("/c")
        await test_http1.wait_until(lambda: handler.started == ["/a", "/c"])
        await asyncio.sleep(0.02)
        writer.close()

    assert play(steps) == [("c", "response", "caller-closed")]


@pytest.mark.parametrize(
    ("ends", "closes"),
    [
        ("connection-lost", False),
        ("connection-lost", True),
        ("process-ended", False),
        ("process-ended", True),
        # Only a connection that is being closed has a limit.
        ("stalled", True),
    ],
)
def test_a_response_that_is_not_received_is_reported(monkeypatch, ends, closes):
    if ends == "stalled":
        monkeypatch.setattr(closing, "STALL_TIMEOUT_S", 0.1)
        monkeypatch.setattr(closing, "CHECK_INTERVAL_S", 0.02)
    reported = LossRecords()

    async def main():
        handler = test_closing.LongHandler()
        async with test_closing.slow_caller(handler) as (server, reader, writer):
            reported.watch(server)
            lines = ["Connection: close"] if closes else []
            writer.write(test_closing.request("/a", "X-Id: a", *lines))
            await test_http1.wait_until(lambda: handler.requests)
            await asyncio.sleep(0.05)
            if ends == "process-ended":
                server.report_unfinished()
                server.on_lost = lambda loss: None
            elif ends == "connection-lost":
                reset(writer)
            await test_http1.wait_until(lambda: reported)

    test_http1.run_with_timeout(main)
    assert reported == [("a", "response", ends)]


def test_received_responses_and_idle_connections_are_not_reported():
    """A line for each ordinary end of a connection would hide the others."""

    async def steps(server, handler, reader, writer):
        for number in range(12):
            handler.finish(f"/{number}")
            writer.write(test_closing.request(f"/{number}", f"X-Id: {number}"))
            if number % 3 == 2:
                for _ in range(3):
                    await test_http1.read_body(reader)
        writer.close()
        await test_http1.wait_until(lambda: not server.connections)

    assert play(steps) == []


# ---------------------------------------------------------------------------
#   The log of a daemon
# ---------------------------------------------------------------------------

REQUEST_ID = headers.DIALECT.request_id


async def start_request(agent, target="/job/x"):
    port = test_agent.port_of(agent._caller_server)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    lines = ["Host: work.example", f"{REQUEST_ID}: r1", "", ""]
    writer.write("\r\n".join([f"GET {target} HTTP/1.1", *lines]).encode())
    await asyncio.sleep(0.05)
    return reader, writer


def test_a_caller_that_leaves_before_the_first_configuration_is_logged(emitted):
    async def main():
        agent = test_agent.make_agent()
        await agent.start()
        _, writer = await start_request(agent)
        writer.close()
        await test_http1.wait_until(
            lambda: test_proxy_events.fields_of(emitted, events.Event.REQUEST_ABANDONED)
        )

    test_agent.run_with_timeout(main)
    (fields,) = test_proxy_events.fields_of(emitted, events.Event.REQUEST_ABANDONED)
    assert (fields["request_id"], fields["route"]) == ("r1", "")
    assert fields["reason"] == "caller-closed"


def test_a_handler_that_fails_is_logged_with_its_place_and_the_request(emitted):
    async def main():
        agent = test_agent.make_agent()
        await agent.start()
        agent.configure(routes.RouteTable(3, test_agent.ROUTE_TABLE.limits, ()))
        agent.front.table = object()
        reader, _ = await start_request(agent)
        assert b" 500 " in await reader.read()

    test_agent.run_with_timeout(main)
    (fields,) = test_proxy_events.fields_of(emitted, events.Event.REQUEST_DROPPED)
    assert (fields["request_id"], fields["reason"]) == ("r1", "handler-failed")
    assert test_proxy_events.fields_of(emitted, events.Event.THREAD_FAILED)


def test_a_stop_logs_which_requests_it_ended_and_how_many(emitted):
    """They were logged as if their callers had left."""

    async def play(world):
        assert await world.first == 504
        assert not await world.stopping

    test_planned_stop.run_stopping(play)
    (fields,) = test_proxy_events.fields_of(emitted, events.Event.REQUEST_ABANDONED)
    assert (fields["request_id"], fields["reason"]) == ("first", "stop-ended")
    (fields,) = test_proxy_events.fields_of(emitted, events.Event.DAEMON_STOPPED)
    assert fields["endings"] == {"abandoned": 1}
    (fields,) = test_proxy_events.fields_of(emitted, events.Event.RUN_CANCELLED)
    assert fields["request_id"].startswith("first")
    assert fields["reason"] == "stop-ended"


def test_the_gate_logs_the_requests_whose_link_closes(emitted):
    async def main():
        gate = test_proxy.make_gate(test_proxy.Runner())
        released = asyncio.Event()

        async def serve_slowly(call):
            await released.wait()

        gate._serve = serve_slowly
        task = asyncio.create_task(gate.serve(test_proxy.message()))
        await asyncio.sleep(0)
        task.cancel(inner.CancelReason.LINK_CLOSED.value)
        await asyncio.wait([task])

    test_proxy.run_with_timeout(main)
    (fields,) = test_proxy_events.fields_of(emitted, events.Event.RUN_CANCELLED)
    assert fields["reason"] == "link-closed"


def test_lines_left_out_at_the_end_are_counted(emitted, monkeypatch):
    """No later line of the event tells of those after its last one."""
    monkeypatch.setattr(events, "_context", events._LogContext())
    for _ in range(events.LINES_PER_WINDOW + 3):
        events._context.limiter.admit(events.Event.PROBE_FAILED, 1.0)
    events.report_left_out()
    (fields,) = test_proxy_events.fields_of(emitted, events.Event.LINES_LEFT_OUT)
    assert fields == {"suppressed_by_event": {"probe_failed": 3}, "dropped": 0}
    events.report_left_out()
    assert len(emitted) == 1


def test_the_last_lines_are_written_before_the_process_ends():
    """They stayed in the buffer when the reader was slow for a moment."""

    async def main():
        read_end, write_end = os.pipe()
        stream = output.LossyStream(write_end)
        line = 99 * "x" + "\n"
        for _ in range(2000):
            stream.write(line)
        reading = asyncio.create_task(asyncio.to_thread(read_all, read_end))
        await asyncio.to_thread(stream.finish, AMPLE_S)
        os.close(write_end)
        assert len(await reading) == 2000 * len(line)

    def read_all(descriptor):
        data = b""
        while part := os.read(descriptor, 1 << 16):
            data += part
        os.close(descriptor)
        return data

    test_http1.run_with_timeout(main)


def test_the_end_of_a_process_does_not_wait_for_a_reader_that_is_gone():
    read_end, write_end = os.pipe()
    stream = output.LossyStream(write_end)
    for _ in range(2000):
        stream.write(99 * "x" + "\n")
    stream.finish(0.01)
    assert stream._buffer
    os.close(read_end)
    stream.finish(5.0)
    assert not stream._buffer
    os.close(write_end)
