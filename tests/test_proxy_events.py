"""Decisions about requests, endpoints and backend servers are logged as events."""

import asyncio
import contextlib

import pytest

from savoryhollow import calls
from savoryhollow.http1 import backends
from savoryhollow.observe import events
from savoryhollow.proxy import backend_responses, backend_runner
from tests import test_agent, test_http1, test_proxy

LOAD = test_proxy.LOAD
REJECTED = backend_responses.BackendResult(reason=calls.NotRunReason.REJECTED)


@pytest.fixture
def emitted(monkeypatch):
    emitted_events = []
    monkeypatch.setattr(
        events, "emit", lambda event, **fields: emitted_events.append((event, fields))
    )
    return emitted_events


def fields_of(emitted, event):
    return [fields for emitted_event, fields in emitted if emitted_event is event]


def test_a_router_that_gives_up_logs_the_reason_and_its_inputs(emitted):
    for links, attempts, reason in (
        ((), 2, "no-endpoint"),
        ((test_proxy.Link(test_proxy.LOST),) * 2, 1, "attempts"),
    ):
        emitted.clear()
        test_proxy.route_call(*links, max_attempts=attempts)
        (fields,) = fields_of(emitted, events.Event.REQUEST_GIVEN_UP)
        assert fields["request_id"] == "r1"
        assert fields["reason"] == reason
        assert fields["sent"] == (1 if links else 0)
        assert fields["repeats_left"] > 0
        assert fields["membership"] == len(links)


def test_a_router_logs_that_its_retry_budget_is_spent(emitted):
    async def main():
        router = test_proxy.make_router(
            test_proxy.Link(test_proxy.LOST), test_proxy.Link(test_proxy.SERVED)
        )
        router.add_services(["dispatch"])
        budget = router.budgets_by_service["dispatch"]
        while budget.take_retry(test_proxy.clock(), 2):
            pass
        await router.route(test_proxy.call(), 2)

    test_proxy.run_with_timeout(main)
    (fields,) = fields_of(emitted, events.Event.REQUEST_GIVEN_UP)
    assert fields["reason"] == "budget"
    assert fields["repeats_left"] < 1


def test_losing_and_regaining_trust_logs_the_endpoint(emitted):
    async def main():
        router = test_proxy.make_router(
            test_proxy.Link(*[test_proxy.FAILED] * 3, test_proxy.SERVED)
        )
        for _ in range(12):
            await router.route(test_proxy.call(), 1)
            await asyncio.sleep(0.21)

    test_proxy.run_with_timeout(main)
    for event in (events.Event.ENDPOINT_DISTRUSTED, events.Event.ENDPOINT_TRUSTED):
        assert [fields["endpoint_id"] for fields in fields_of(emitted, event)] == ["e0"]


def test_a_refusal_logs_the_pace_and_its_age(emitted):
    async def main():
        gate = test_proxy.make_gate(test_proxy.Runner())
        gate.leave()
        await gate.serve(test_proxy.message())

    test_proxy.run_with_timeout(main)
    (fields,) = fields_of(emitted, events.Event.RUN_REFUSED)
    assert fields["pace_percent"] == 100
    assert fields["pace_age_ms"] is None
    assert fields["in_spell"] is False


def test_losing_and_regaining_the_backend_server_are_logged_once_each(emitted):
    async def main():
        pool = backends.Pool("127.0.0.1", 9)
        runner = backend_runner.BackendRunner(test_agent.headers.DIALECT, pool)
        await runner.probe()
        await runner.probe()
        server = await asyncio.start_server(serve_connection, "127.0.0.1", 0)
        runner.change_address(*server.sockets[0].getsockname())
        await runner.probe()
        await runner.probe()
        server.close()

    async def serve_connection(reader, writer):
        with contextlib.closing(writer):
            while await reader.readline():
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                await reader.readuntil(b"\r\n\r\n")

    test_proxy.run_with_timeout(main)
    assert len(fields_of(emitted, events.Event.BACKEND_LOST)) == 1
    assert len(fields_of(emitted, events.Event.BACKEND_REGAINED)) == 1


def test_a_request_rejected_while_it_is_read_is_reported():
    rejected = []

    async def main():
        handler = test_http1.ManualHandler()
        async with test_http1.serving(handler, header_bytes=20) as (server, _, writer):
            server.on_rejected = lambda status, headers: rejected.append(status)
            writer.write(b"GET /a HTTP/1.1\r\nHost: a-long-name.example\r\n\r\n")
            await asyncio.sleep(0.1)

    test_http1.run_with_timeout(main)
    assert rejected == [431]


def test_a_daemon_that_becomes_a_reader_logs_it(emitted):
    async def main():
        agent = test_agent.make_agent()
        await agent.start()
        await asyncio.sleep(0)
        await agent.stop()

    test_agent.run_with_timeout(main)
    (fields,) = fields_of(emitted, events.Event.READER_CHANGED)
    assert fields == {"is_reader": True}
