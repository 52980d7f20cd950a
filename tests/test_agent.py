"""Whole daemons on loopback: readiness, seeds, settings that change, stops."""

import asyncio
import dataclasses
import json

from savoryhollow.configuration import routes
from savoryhollow.http1 import backends, callers
from savoryhollow.http1 import messages as http
from savoryhollow.membership import directory, table
from savoryhollow.platform import early, headers
from savoryhollow.proxy import agent as agent_module
from savoryhollow.proxy import options, readers
from savoryhollow.settings import models
from savoryhollow.wire import messages

HOST = "127.0.0.1"
LIVE = table.EndpointState.LIVE
ANY = models.Address(HOST, 0)
TABLE = routes.RouteTable(3, routes.CallerLimits(9000, 9000, 3.0, 15.0), ())


def settings(**changed):
    every = {
        "instance": "one",
        "service": "dispatch",
        "region": "east",
        "zone": "east-a",
        "front": ANY,
        "inner": (ANY,),
        "readiness": ANY,
        "metrics": ANY,
        "backend": models.Target("10.9.9.9", 9),
        "retry_rules": options.RetryRules(0.2, 10.0, 10.0),
        "stop_limit_s": 6.0,
        "address_kept_s": 0.0,
    }
    return options.AgentSettings(**(every | changed))


def play(main):
    async def limited():
        async with asyncio.timeout(30):
            return await main()

    return asyncio.run(limited())


def agent_of(on_items=lambda items: None, **changed):
    return agent_module.Agent(settings(**changed), headers.DIALECT, on_items)


def port_of(server):
    assert isinstance(server, callers.Server)
    return server._server.sockets[0].getsockname()[1]


async def ask(port, target):
    connection = await backends.open_connection(HOST, port)
    request = http.Request("GET", target, (), b"")
    return await connection.exchange(http.render_request(request))


def test_a_daemon_is_ready_once_it_knows_a_configuration():
    async def main():
        agent = agent_of()
        await agent.start()
        path = headers.DIALECT.readiness_path
        assert (await ask(port_of(agent._readiness_server), path)).status == 503
        assert agent.configure(TABLE)
        assert (await ask(port_of(agent._readiness_server), path)).status == 200

    play(main)


def test_without_a_configuration_callers_are_told_to_come_again_and_never_404():
    async def main():
        agent = agent_of()
        await agent.start()
        answer = await ask(port_of(agent._caller_server), "/a/")
        assert answer.status == 503
        assert float(http.find(answer.headers, "Retry-After")) > 0
        agent.configure(TABLE)
        assert (await ask(port_of(agent._caller_server), "/a/")).status == 404

    play(main)


def test_a_request_that_comes_with_the_first_configuration_is_not_turned_away():
    """All daemons restart at one time, and callers come before they know a thing."""

    async def main():
        agent = agent_of()
        await agent.start()
        asked = asyncio.create_task(ask(port_of(agent._caller_server), "/a"))
        await asyncio.sleep(0.05)
        assert not asked.done()
        agent.configure(TABLE)
        assert (await asked).status == 404

    play(main)


def test_a_connection_that_is_older_than_the_daemon_is_served(tmp_path):
    """Libraries take long to load on a small instance."""
    path = tmp_path / "settings"
    path.write_text('[listen]\noutbound = "127.0.0.1:0"\n')
    early_socket = early.listen(path)

    async def main():
        asked = asyncio.create_task(ask(early_socket.getsockname()[1], "/a"))
        await asyncio.sleep(0.05)
        agent = agent_of()
        agent.configure(TABLE)
        await agent.start(early_socket)
        assert (await asked).status == 404

    play(main)


def test_settings_that_can_not_be_read_open_no_port(tmp_path):
    path = tmp_path / "settings"
    for text in ("", "[listen", '[listen]\noutbound = "nowhere"', "listen = 3"):
        path.write_text(text)
        assert early.listen(path) is None
    assert early.listen(tmp_path / "none") is None


def test_an_older_configuration_never_comes_back():
    async def main():
        agent = agent_of()
        assert agent.configure(TABLE)
        assert not agent.configure(dataclasses.replace(TABLE, version=2))
        assert not agent.configure(TABLE)
        assert agent.front.table.version == 3

    play(main)


def test_a_daemon_that_the_platform_refuses_learns_from_a_seed():
    async def main():
        seed = agent_of()
        await seed.start()
        seed.replica.apply([messages.PublishedItem("a", 4, b"x")], 4)
        port = seed._inner_port._servers[0].sockets[0].getsockname()[1]
        learned = []
        agent = agent_of(
            learned.extend, seeds=(models.Target(HOST, port),), instance="two"
        )
        agent.readers.follow_seeds()
        while not learned:
            await asyncio.sleep(0.001)
        assert (learned[0].key, agent.replica.as_of) == ("a", 4)

    play(main)


def test_a_daemon_is_settled_once_its_endpoint_is_listed():
    async def main():
        agent = agent_of()
        assert not agent.readers.are_known
        agent.members.put(
            directory.KnownEndpoint(
                "e", "dispatch", "east", "east-a", "10.9.9.9", 9, LIVE, 9
            )
        )
        assert agent.readers.are_known

    play(main)


def test_a_daemon_that_is_never_listed_waits_a_while():
    async def main():
        agent = agent_of()
        agent.readers._listing_due_at -= readers.LISTING_WAIT_S
        assert agent.readers.are_known

    play(main)


def test_requests_run_under_the_new_id_from_the_first_answer_of_a_new_endpoint():
    """Everything restarts at one time, and others know it by its old id."""

    async def main():
        agent = agent_of(address_kept_s=2.0)
        agent.runner.endpoint_id = "new"
        assert agent.resolve_endpoint_id("dispatch") == "new"
        assert agent.resolve_endpoint_id("stock") is None
        agent.runner.endpoint_id = "newer"
        assert agent.resolve_endpoint_id("dispatch") is None

    play(main)


def test_an_endpoint_that_answers_later_is_not_known_by_that_alone():
    async def main():
        agent = agent_of(address_kept_s=0.0)
        agent.runner.endpoint_id = "new"
        assert agent.resolve_endpoint_id("dispatch") is None

    play(main)


def test_settings_that_change_are_in_force_at_once():
    async def main():
        agent = agent_of()
        newer = settings(service="records", backend=models.Target("10.9.9.8", 9))
        assert await agent.reconfigure(newer) == ["service", "backend"]
        assert agent.front.service == "records"
        assert agent.runner.pool.host == "10.9.9.8"

    play(main)


def test_metrics_and_the_state_are_told_on_the_metrics_address():
    async def main():
        agent = agent_of()
        await agent.start()
        agent.configure(TABLE)
        agent.request_metrics.record_response("r", 200, 0.1)
        page = (await ask(port_of(agent._metrics_server), "/metrics")).body.decode()
        assert "savoryhollow_answer_seconds_bucket" in page
        assert "savoryhollow_configuration_version 3" in page
        dump = json.loads((await ask(port_of(agent._metrics_server), "/dump")).body)
        assert dump["figures"]["configuration_version"] == 3

    play(main)
