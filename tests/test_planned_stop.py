"""Tests of a planned stop of a daemon while hundreds of connections carry requests.

Callers go on using their connections until they are closed. A request that the daemon
has accepted must get its whole response, wherever it is when the stop begins: queued
behind another on its connection, waiting at the gate, or running.
"""

import asyncio
import dataclasses

import pytest
import test_agent
import test_http1

from savoryhollow.configuration import routes
from savoryhollow.membership import directory, table
from savoryhollow.platform import headers
from savoryhollow.proxy import inner, stopping
from savoryhollow.settings import models

HOST = "127.0.0.1"
DIALECT = headers.DIALECT
CONNECTIONS = 200
# Requests that each caller sends at once.
PIPELINED = 2
SLOTS = 40
RUN_S = 0.02
# Time that the requests and the stop may take also on a busy machine.
AMPLE_S = 60.0
ROUTE = routes.Route(
    name="r-job",
    host="work.example",
    prefix="/job/",
    idempotent=False,
    order=1,
    objective_s=1.0,
    timeout_s=2.0,
    max_attempts=1,
    shares=(routes.ServiceShare("dispatch", 1),),
)


class Backend:
    """Runs each request for a while and remembers its id."""

    def __init__(self):
        self.run_ids = []

    async def serve(self, reader, writer):
        await serve_requests(reader, writer, self._run)

    async def _run(self, request_id, fields):
        self.run_ids.append(request_id)
        await asyncio.sleep(RUN_S)


async def serve_requests(reader, writer, run):
    """Answer requests on a connection; probes, which have no id, aren't run."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = dict(
                line.split(": ", 1) for line in head.split("\r\n")[1:] if line
            )
            lines = [f"{DIALECT.endpoint_id}: e1"]
            request_id = fields.get(DIALECT.request_id)
            if request_id is not None:
                await run(request_id, fields)
                lines += [f"{DIALECT.request_id}: {request_id}"]
                lines += [f"{DIALECT.signature}: s"]
            head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "Content-Length: 2"])
            writer.write(head.encode() + b"\r\n\r\nok")
    except (asyncio.IncompleteReadError, ConnectionError):
        return
    finally:
        writer.close()


class Caller:
    """Sends requests on one connection until the daemon closes it."""

    def __init__(self, name):
        self.name = name
        self.sent_ids = []
        self.statuses_by_id = {}

    async def run(self, port, method):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            while True:
                pending = [self._send(writer, method) for _ in range(PIPELINED)]
                for request_id in pending:
                    self.statuses_by_id[request_id] = await read_status(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    def _send(self, writer, method):
        request_id = f"{self.name}-{len(self.sent_ids)}"
        self.sent_ids.append(request_id)
        lines = [
            f"{method} /job/x HTTP/1.1",
            "Host: work.example",
            f"{DIALECT.request_id}: {request_id}",
            "Content-Length: 0",
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        return request_id


async def read_status(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = int(head.lower().partition("content-length: ")[2].split("\r")[0])
    await reader.readexactly(length)
    return int(head.split()[1])


async def start_daemon(backend_port):
    agent = test_agent.make_agent(
        backend=models.Target(HOST, backend_port), stop_limit_s=AMPLE_S
    )
    await agent.start()
    agent.members.put(
        directory.KnownEndpoint(
            *("e1", "dispatch", "east", "east-a", HOST, 9),
            table.EndpointState.LIVE,
            SLOTS,
        )
    )
    route = dataclasses.replace(ROUTE, timeout_s=AMPLE_S)
    route_table = dataclasses.replace(test_agent.ROUTE_TABLE, routes=(route,))
    assert agent.configure(route_table)
    return agent


async def stop_under_load(method):
    """Stop a daemon while callers use it; return the callers, the backend, the result.

    One more connection is opened in each step of the stop.
    """
    backend = Backend()
    listener = await asyncio.start_server(backend.serve, HOST, 0)
    agent = await start_daemon(listener.sockets[0].getsockname()[1])
    port = test_agent.port_of(agent._caller_server)
    callers = [Caller(str(number)) for number in range(CONNECTIONS)]
    tasks = [asyncio.create_task(caller.run(port, method)) for caller in callers]
    while len(backend.run_ids) < CONNECTIONS:
        await asyncio.sleep(RUN_S)
    stopping = asyncio.create_task(agent.stop())
    while not stopping.done():
        caller = Caller(f"late{len(callers)}")
        callers.append(caller)
        tasks.append(asyncio.create_task(caller.run(port, method)))
        await asyncio.sleep(RUN_S)
    await asyncio.wait(tasks)
    listener.close()
    return callers, backend, await stopping


@pytest.mark.parametrize("method", ["POST", "GET"])
def test_no_accepted_request_is_cut_off_by_a_planned_stop(method):
    async def main():
        callers, backend, drained = await stop_under_load(method)
        assert drained
        run_ids = set(backend.run_ids)
        assert len(run_ids) == len(backend.run_ids)
        statuses_by_id = {}
        for caller in callers:
            statuses_by_id |= caller.statuses_by_id
        served_ids = {one for one, status in statuses_by_id.items() if status == 200}
        # A request that ran is answered, and a refused or unanswered one never ran.
        assert run_ids == served_ids
        refusals = {status for status in statuses_by_id.values() if status != 200}
        assert refusals <= {503}
        assert len(served_ids) > CONNECTIONS

    test_agent.run_with_timeout(main)


# ---------------------------------------------------------------------------
#   Requests that come late
# ---------------------------------------------------------------------------

STOP_LIMIT_S = 4.0
# Longer than the whole stop.
LONG_TIMEOUT_S = 20.0


class HeldBackend:
    """Runs each request until it is released; records how long it may take."""

    def __init__(self):
        self.timeouts_ms = []
        self.released = asyncio.Event()

    async def serve(self, reader, writer):
        await serve_requests(reader, writer, self._run)

    async def _run(self, request_id, fields):
        self.timeouts_ms.append(int(fields[DIALECT.deadline_ms]))
        await self.released.wait()


class StoppingWorld:
    """A daemon with one request in progress, while it is told to stop."""

    async def start(self):
        self.backend = HeldBackend()
        self.listener = await asyncio.start_server(self.backend.serve, HOST, 0)
        port = self.listener.sockets[0].getsockname()[1]
        self.agent = test_agent.make_agent(
            backend=models.Target(HOST, port), stop_limit_s=STOP_LIMIT_S
        )
        await self.agent.start()
        endpoint = directory.KnownEndpoint(
            *("e1", "dispatch", "east", "east-a", HOST, 9), table.EndpointState.LIVE, 9
        )
        self.agent.members.put(endpoint)
        route = dataclasses.replace(ROUTE, timeout_s=LONG_TIMEOUT_S)
        assert self.agent.configure(
            dataclasses.replace(test_agent.ROUTE_TABLE, routes=(route,))
        )
        self.first = asyncio.create_task(self.send("first"))
        await test_http1.wait_until(lambda: self.backend.timeouts_ms)
        self.stopping = asyncio.create_task(self.agent.stop())

    async def send(self, request_id):
        """Send a request on a new connection and return its status."""
        port = test_agent.port_of(self.agent._caller_server)
        reader, writer = await asyncio.open_connection(HOST, port)
        lines = ["POST /job/x HTTP/1.1", "Host: work.example"]
        lines += [f"{DIALECT.request_id}: {request_id}", "Content-Length: 0"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        try:
            return await read_status(reader)
        finally:
            writer.close()


def run_stopping(play):
    async def main():
        world = StoppingWorld()
        await world.start()
        await play(world)
        world.listener.close()

    test_agent.run_with_timeout(main)


def test_a_request_that_comes_late_in_a_stop_is_refused_at_once():
    """It was read and dropped, and its connection stayed open until the end."""

    async def play(world):
        await asyncio.sleep(stopping.CALLER_GRACE_S + 0.2)
        assert await world.send("late") == 503
        assert not world.first.done()
        world.backend.released.set()
        assert await world.first == 200
        assert await world.stopping

    run_stopping(play)


def test_a_request_that_comes_during_a_stop_is_not_given_more_time_than_is_left():
    async def play(world):
        during = asyncio.create_task(world.send("during"))
        await test_http1.wait_until(lambda: len(world.backend.timeouts_ms) == 2)
        assert world.backend.timeouts_ms[0] > 1000 * STOP_LIMIT_S
        assert world.backend.timeouts_ms[1] < 1000 * STOP_LIMIT_S
        world.backend.released.set()
        assert (await during, await world.first) == (200, 200)

    run_stopping(play)


def test_a_request_that_lasts_until_the_end_of_a_stop_gets_a_response():
    async def play(world):
        # The process is killed at the end of this time.
        assert await asyncio.wait_for(world.first, STOP_LIMIT_S) == 504
        assert not await world.stopping

    run_stopping(play)


def test_a_stop_waits_for_answers_that_are_not_sent_to_their_daemon_yet():
    class Peer:
        """The connection of a daemon that reads slowly."""

        def __init__(self):
            self.transport = self
            self.unsent_bytes = 1

        def get_write_buffer_size(self):
            return self.unsent_bytes

    async def main():
        agent = test_agent.make_agent()
        peer = Peer()
        assert isinstance(agent._inner_port, inner.InnerPort)
        agent._inner_port._connections.add(peer)
        assert agent._inner_port.is_sending
        stopping_task = asyncio.create_task(agent.stop())
        await asyncio.sleep(stopping.CALLER_GRACE_S + 0.3)
        assert not stopping_task.done()
        peer.unsent_bytes = 0
        assert await stopping_task

    test_agent.run_with_timeout(main)
