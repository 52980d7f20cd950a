"""Requests at the gate of a backend server that leaves.

A backend server may leave without a word: its entry is removed, and it serves on for a
while. What waits at its gate must be refused then, like what waits at one that is
draining, so that routers can send it elsewhere in time.
"""

import asyncio
import dataclasses

import pytest
import test_agent

from savoryhollow import calls, errors
from savoryhollow.membership import directory, table
from savoryhollow.proxy import backend_responses, gate, relay
from savoryhollow.settings import models
from savoryhollow.wire import messages

BACKEND_HOST = "10.9.9.9"
SLOTS = 4
# Time after which a backend server that leaves may get no more requests, in s.
DRAIN_S = 2.5
CALL = messages.CallMessage(
    *("r1", "dispatch", "r-job", "", 5_000_000, True, 0, 1, "GET", "/job/x", (), b""),
    objective_us=4_000_000,
    expected_endpoint="e1",
    patient=True,
)


class HeldBackend:
    """A backend server on which every request runs until it is released."""

    load = None
    load_received_at = float("-inf")
    endpoint_id = "e1"

    def __init__(self):
        self.ran = []
        self.released = asyncio.Event()

    async def refresh_load(self, max_age_s):
        pass

    async def run(self, call, deadline):
        self.ran.append(call.request_id)
        await self.released.wait()
        return backend_responses.BackendResult(
            reason=calls.NotRunReason.UNREACHABLE, detail="released"
        )


def own_endpoint(endpoint_id="e1", state=table.EndpointState.LIVE, revision=1):
    return directory.KnownEndpoint(
        *(endpoint_id, "dispatch", "east", "east-a", BACKEND_HOST, 9, state, SLOTS),
        revision=revision,
    )


class World:
    """A daemon whose backend server is full, with one more request at the gate."""

    def __init__(self):
        self.backend = HeldBackend()
        self.agent = test_agent.make_agent()
        self.agent.runner = self.backend
        self.agent.gate._runner = self.backend
        self.agent.members.put(own_endpoint())
        self.agent._apply_membership()
        full = self.agent.gate.queue.slots
        self.running = [self.serve(f"running-{number}") for number in range(full)]
        self.waiting = self.serve("waiting")

    def serve(self, request_id):
        call = dataclasses.replace(CALL, request_id=request_id)
        return asyncio.create_task(self.agent.gate.serve(call))

    async def settle(self):
        while len(self.backend.ran) < len(self.running):
            await asyncio.sleep(0)
        for _ in range(3):
            await asyncio.sleep(0)

    def list_is(self, *endpoints):
        """Replace the list of endpoints, as the daemon's upkeep applies it."""
        self.agent.members.remove("e1", self.agent.now)
        for endpoint in endpoints:
            self.agent.members.put(endpoint)
        self.agent._apply_membership()


def run_world(play):
    async def main():
        world = World()
        await world.settle()
        assert not world.waiting.done()
        await play(world)

    test_agent.run_with_timeout(main)


@pytest.mark.parametrize(
    "listed",
    [
        (),
        (own_endpoint(state=table.EndpointState.LEAVING, revision=2),),
        (dataclasses.replace(own_endpoint("other", revision=2), service="stock"),),
    ],
    ids=["entry removed", "draining", "address reused by another service"],
)
def test_what_waits_at_the_gate_of_a_leaving_backend_server_is_not_run(listed):
    async def play(world):
        world.list_is(*listed)
        answer = await world.waiting
        assert isinstance(answer, messages.NotRunMessage)
        assert answer.reason is calls.NotRunReason.LEAVING
        late = await world.serve("late")
        assert isinstance(late, messages.NotRunMessage)
        world.backend.released.set()
        await asyncio.gather(*world.running)
        assert not {"waiting", "late"} & set(world.backend.ran)

    run_world(play)


def test_what_waits_is_refused_also_while_the_daemon_itself_stops():
    async def play(world):
        world.agent.stopping = True
        world.list_is()
        assert isinstance(await world.waiting, messages.NotRunMessage)

    run_world(play)


def test_a_backend_server_that_is_listed_again_gets_requests_again():
    async def play(world):
        world.list_is()
        await world.waiting
        world.list_is(own_endpoint("e2", revision=3))
        assert not world.agent.gate.leaving

    run_world(play)


def test_a_backend_server_that_was_never_listed_gets_requests():
    """A daemon that has just started may know less than those that send to it."""

    async def main():
        agent = test_agent.make_agent()
        agent._apply_membership()
        assert not agent.gate.leaving

    test_agent.run_with_timeout(main)


def test_the_next_backend_server_after_a_change_of_settings_gets_requests():
    async def play(world):
        world.list_is()
        settings = test_agent.make_settings(backend=models.Target("10.9.9.8", 9))
        world.agent.runner = test_agent.make_agent().runner
        await world.agent.reconfigure(settings)
        world.agent._apply_membership()
        assert not world.agent.gate.leaving
        world.backend.released.set()

    run_world(play)


def test_the_gate_reports_that_it_refuses():
    async def play(world):
        world.list_is()
        assert isinstance(world.agent.gate, gate.Gate)
        assert world.agent.gate.report().leaving

    run_world(play)


class HeldPool:
    """Connections to a backend server that are opened once ``opened`` is set."""

    host = BACKEND_HOST

    def __init__(self):
        self.clock = asyncio.get_running_loop().time
        self.requested = asyncio.Event()
        self.opened = asyncio.Event()
        self.sent = []
        self.released = []

    async def acquire(self, *, reuse=True):
        self.requested.set()
        await self.opened.wait()
        return self, False

    async def exchange(self, data, *args, **kwargs):
        self.sent.append(data)
        raise errors.BackendError("never answered", started=True)

    def release(self, connection):
        self.released.append(connection)

    def close(self):
        pass


async def serve_while_connecting(change):
    """Return what becomes of a request if a change comes while it gets a connection."""
    agent = test_agent.make_agent()
    agent.runner._probe_backoff_until = float("inf")
    agent.members.put(own_endpoint())
    agent._apply_membership()
    pool = agent.runner.pool = HeldPool()
    serving = asyncio.create_task(agent.gate.serve(CALL))
    await pool.requested.wait()
    await change(agent)
    pool.opened.set()
    return pool, await serving


@pytest.mark.parametrize("how", ["draining", "removed", "another address"])
def test_what_waits_for_a_connection_to_a_leaving_backend_server_is_not_sent(how):
    """It had its slot before the gate closed, and was sent up to a second later."""

    async def change(agent):
        if how == "another address":
            await agent.reconfigure(
                test_agent.make_settings(backend=models.Target("10.9.9.8", 9))
            )
        elif how == "removed":
            agent.members.remove("e1", agent.now)
        else:
            agent.members.put(own_endpoint(state=table.EndpointState.LEAVING))
        agent._apply_membership()

    async def main():
        pool, answer = await serve_while_connecting(change)
        assert pool.sent == []
        assert len(pool.released) == 1
        assert isinstance(answer, messages.NotRunMessage)
        assert answer.reason is calls.NotRunReason.LEAVING

    test_agent.run_with_timeout(main)


def test_what_waits_for_a_connection_to_a_backend_server_that_stays_is_sent():
    async def change(agent):
        agent.members.put(own_endpoint(revision=2))
        agent._apply_membership()

    async def main():
        pool, _ = await serve_while_connecting(change)
        assert len(pool.sent) == 1

    test_agent.run_with_timeout(main)


def test_a_removal_is_not_held_back_as_long_as_it_can_be_applied_in_time():
    """Its readers were cut off from the platform, which others could read all along.

    The daemon took that for an outage in which entries lapse, and kept what had left
    for 1.9 s after it was told.
    """
    now = 0.0
    members = directory.Directory()

    def record_contact(in_contact):
        (members.mark_source_restored if in_contact else members.mark_source_lost)(now)

    def take(items):
        for item in items:
            members.remove(item.key, now)

    replica = relay.Replica(take, record_contact)
    members.put(own_endpoint())

    def receive(as_of, confirmed_at, *items):
        age_us = int(1e6 * (now - confirmed_at))
        replica.receive(messages.ItemsMessage(-1, as_of, age_us, items), now)

    receive(1, 0.0)
    now = relay.FRESH_LIMIT_S + 0.05
    receive(1, 0.0)
    now = DRAIN_S - 0.05
    receive(2, now, messages.PublishedItem("e1", 2, None))
    members.remove_due(now)
    assert members.live_endpoints("dispatch") == []
