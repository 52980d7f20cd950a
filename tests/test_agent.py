"""Complete daemons on loopback: readiness, configuration, seeds and settings."""

import asyncio
import contextlib
import dataclasses
import json
import socket

from savoryhollow import calls, errors
from savoryhollow.configuration import routes
from savoryhollow.http1 import backends, callers
from savoryhollow.http1 import messages as http
from savoryhollow.membership import directory, table
from savoryhollow.platform import early, headers
from savoryhollow.proxy import agent as agent_module
from savoryhollow.proxy import backend_responses, options, readers
from savoryhollow.settings import models
from savoryhollow.wire import messages

HOST = "127.0.0.1"
LIVE = table.EndpointState.LIVE
ANY = models.Address(HOST, 0)
ROUTE_TABLE = routes.RouteTable(3, routes.CallerLimits(9000, 9000, 3.0, 15.0), ())


def make_settings(**changed):
    defaults = {
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
        "body_memory_bytes": 200 << 20,
        "stop_limit_s": 6.0,
    }
    return options.AgentSettings(**(defaults | changed))


def run_with_timeout(main):
    async def main_with_timeout():
        async with asyncio.timeout(30):
            return await main()

    return asyncio.run(main_with_timeout())


def make_agent(on_items=lambda items: None, **changed):
    return agent_module.Agent(make_settings(**changed), headers.DIALECT, on_items)


def port_of(server):
    assert isinstance(server, callers.Server)
    return server._server.sockets[0].getsockname()[1]


async def get(port, target):
    connection = await backends.open_connection(HOST, port)
    request = http.Request("GET", target, (), b"")
    return await connection.exchange(http.render_request(request))


def test_a_daemon_is_ready_once_it_has_a_configuration():
    async def main():
        agent = make_agent()
        await agent.start()
        path = headers.DIALECT.readiness_path
        assert (await get(port_of(agent._readiness_server), path)).status == 503
        assert agent.configure(ROUTE_TABLE)
        assert (await get(port_of(agent._readiness_server), path)).status == 200

    run_with_timeout(main)


def test_without_a_configuration_callers_get_503_with_retry_after_and_never_404():
    async def main():
        agent = make_agent()
        await agent.start()
        response = await get(port_of(agent._caller_server), "/a/")
        assert response.status == 503
        assert float(http.find_header(response.headers, "Retry-After")) > 0
        agent.configure(ROUTE_TABLE)
        assert (await get(port_of(agent._caller_server), "/a/")).status == 404

    run_with_timeout(main)


def test_a_request_that_arrives_before_the_first_configuration_waits_for_it():
    """A restarted daemon must not refuse callers who arrive before its configuration.

    All daemons may restart at once, and callers then arrive before any of them has
    read the platform.
    """

    async def main():
        agent = make_agent()
        await agent.start()
        response_task = asyncio.create_task(get(port_of(agent._caller_server), "/a"))
        await asyncio.sleep(0.05)
        assert not response_task.done()
        agent.configure(ROUTE_TABLE)
        assert (await response_task).status == 404

    run_with_timeout(main)


def test_a_connection_opened_before_the_daemon_has_started_is_served(tmp_path):
    """Callers who connect while the daemon is still starting must not be lost.

    The port is opened early because importing libraries takes long on a small
    instance.
    """
    path = tmp_path / "settings"
    path.write_text('[listen]\noutbound = "127.0.0.1:0"\n')
    early_socket = early.listen(path)

    async def main():
        response_task = asyncio.create_task(get(early_socket.getsockname()[1], "/a"))
        await asyncio.sleep(0.05)
        agent = make_agent()
        agent.configure(ROUTE_TABLE)
        await agent.start(early_socket)
        assert (await response_task).status == 404

    run_with_timeout(main)


def test_the_time_a_request_waited_for_the_daemon_to_start_counts(tmp_path):
    """Else the endpoint gets a deadline that is later than the caller's."""

    async def main():
        path = tmp_path / "settings"
        path.write_text('[listen]\noutbound = "127.0.0.1:0"\n')
        listening_since = asyncio.get_running_loop().time()
        early_socket = early.listen(path)
        _, writer = await asyncio.open_connection(*early_socket.getsockname())
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(0.3)
        started_at = asyncio.get_running_loop().time()
        received_at = asyncio.get_running_loop().create_future()

        async def handle(request):
            if not received_at.done():
                received_at.set_result(request.received_at)
            return http.Response(200)

        server = callers.Server(handle)
        await server.start("127.0.0.1", 0, early_socket, listening_since)
        assert listening_since <= await received_at < started_at
        # A request that comes when the daemon runs has not waited.
        second_at = asyncio.get_running_loop().time()
        received_at = asyncio.get_running_loop().create_future()
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        assert await received_at >= second_at
        writer.close()
        server.close()

    run_with_timeout(main)


def test_unreadable_settings_open_no_port(tmp_path):
    path = tmp_path / "settings"
    for content in ("", "[listen", '[listen]\noutbound = "nowhere"', "listen = 3"):
        path.write_text(content)
        assert early.listen(path) is None
    assert early.listen(tmp_path / "none") is None


def test_an_older_configuration_is_never_applied():
    async def main():
        agent = make_agent()
        assert agent.configure(ROUTE_TABLE)
        assert not agent.configure(dataclasses.replace(ROUTE_TABLE, version=2))
        assert not agent.configure(ROUTE_TABLE)
        assert agent.front.table.version == 3

    run_with_timeout(main)


def test_a_daemon_without_access_to_the_platform_reads_items_from_a_seed():
    async def main():
        seed = make_agent()
        await seed.start()
        seed.replica.apply([messages.PublishedItem("a", 4, b"x")], 4)
        port = seed._inner_port._servers[0].sockets[0].getsockname()[1]
        items = []
        agent = make_agent(
            items.extend, seeds=(models.Target(HOST, port),), instance="two"
        )
        agent.readers.follow_seeds()
        while not items:
            await asyncio.sleep(0.001)
        assert (items[0].key, agent.replica.as_of) == ("a", 4)

    run_with_timeout(main)


def test_the_readers_are_known_once_the_local_endpoint_is_listed():
    async def main():
        agent = make_agent()
        assert not agent.readers.are_known
        agent.members.put(
            directory.KnownEndpoint(
                "e", "dispatch", "east", "east-a", "10.9.9.9", 9, LIVE, 9
            )
        )
        assert agent.readers.are_known

    run_with_timeout(main)


def test_the_readers_count_as_known_after_a_while_without_a_listing():
    async def main():
        agent = make_agent()
        agent.readers._listing_due_at -= readers.LISTING_WAIT_S
        assert agent.readers.are_known

    run_with_timeout(main)


def local_endpoint(endpoint_id, service="dispatch"):
    """Return an entry of the backend server beside the agent."""
    return directory.KnownEndpoint(
        *(endpoint_id, service, "east", "east-a", "10.9.9.9", 9, LIVE, 9)
    )


def test_only_the_list_tells_to_which_service_the_responding_endpoint_belongs():
    """A daemon that starts must not take any endpoint for one of its settings' service.

    The address may have been given to another service since its endpoint ended, and
    the settings may not say so yet.
    """

    async def main():
        agent = make_agent()
        agent.runner.endpoint_id = "new"
        assert agent.resolve_endpoint_id("dispatch") is None
        agent.members.put(local_endpoint("old"))
        assert agent.resolve_endpoint_id("dispatch") is None
        agent.members.put(local_endpoint("new", service="stock"))
        assert agent.resolve_endpoint_id("dispatch") is None
        assert agent.resolve_endpoint_id("stock") is None
        agent.members.put(local_endpoint("new"))
        assert agent.resolve_endpoint_id("dispatch") == "new"
        assert agent.resolve_endpoint_id("stock") is None

    run_with_timeout(main)


def test_a_request_reaches_an_unlisted_endpoint_under_the_id_that_its_router_knew():
    """An endpoint of another service then answers 421 and doesn't run it."""

    async def main():
        agent = make_agent()
        expected_ids = []

        async def run(call, deadline):
            expected_ids.append(call.expected_endpoint)
            return backend_responses.BackendResult(
                reason=calls.NotRunReason.MISDIRECTED
            )

        agent.runner.endpoint_id = "of another service"
        agent.runner.run = run
        call = messages.CallMessage(
            *("r1", "dispatch", "r-job", "", 5_000_000, False, 0, 1, "POST", "/", ()),
            b"",
            objective_us=4_000_000,
            expected_endpoint="old",
            patient=True,
        )
        answer = await agent.gate.serve(call)
        assert isinstance(answer, messages.NotRunMessage)
        assert expected_ids == ["old"]

    run_with_timeout(main)


def test_changed_settings_apply_at_once():
    async def main():
        agent = make_agent()
        new_settings = make_settings(
            service="records", backend=models.Target("10.9.9.8", 9)
        )
        assert await agent.reconfigure(new_settings) == ["service", "backend"]
        assert agent.front.service == "records"
        assert agent.runner.pool.host == "10.9.9.8"

    run_with_timeout(main)


def test_changed_ports_are_opened_once_they_are_free():
    """One in use ended the change of settings halfway, and was never tried again.

    A port that was left stayed open, so the way back to it failed as well.
    """

    async def main():
        agent = make_agent()
        await agent.start()
        agent.configure(ROUTE_TABLE)
        with socket.create_server((HOST, 0)) as other:
            front = models.Address(*other.getsockname())
            with socket.create_server((HOST, 0)) as free:
                readiness = models.Address(*free.getsockname())
            one = make_settings(front=front, readiness=readiness)
            assert await agent.reconfigure(one) == ["front", "readiness"]
            await wait_for_status(readiness.port, headers.DIALECT.readiness_path, 200)
        await wait_for_status(front.port, "/a", 404)
        # The ports change places, and back.
        for settings in (make_settings(front=readiness, readiness=front), one):
            await agent.reconfigure(settings)
            await wait_for_status(settings.front.port, "/a", 404)
            path = headers.DIALECT.readiness_path
            await wait_for_status(settings.readiness.port, path, 200)

    run_with_timeout(main)


def test_ports_change_places_while_they_wait_for_others():
    """Each waited for the address at which the other one still listened."""

    async def main():
        agent = make_agent()
        with (
            socket.create_server((HOST, 0)) as one,
            socket.create_server((HOST, 0)) as two,
        ):
            first = models.Address(*one.getsockname())
            second = models.Address(*two.getsockname())
        await agent.reconfigure(make_settings(front=first, readiness=second))
        await agent.start()
        agent.configure(ROUTE_TABLE)
        with (
            socket.create_server((HOST, 0)) as one,
            socket.create_server((HOST, 0)) as two,
        ):
            used = make_settings(
                front=models.Address(*one.getsockname()),
                readiness=models.Address(*two.getsockname()),
            )
            await agent.reconfigure(used)
            await agent.reconfigure(make_settings(front=second, readiness=first))
            await wait_for_status(second.port, "/a", 404)
            await wait_for_status(first.port, headers.DIALECT.readiness_path, 200)

    run_with_timeout(main)


async def wait_for_status(port, target, status):
    found = None
    while found != status:
        await asyncio.sleep(0.01)
        with contextlib.suppress(errors.BackendError):
            found = (await get(port, target)).status


def test_metrics_and_dump_are_served_on_the_metrics_address():
    async def main():
        agent = make_agent()
        await agent.start()
        agent.configure(ROUTE_TABLE)
        agent.request_metrics.record_response("r", 200, 0.1)
        metrics_text = (
            await get(port_of(agent._metrics_server), "/metrics")
        ).body.decode()
        assert "savoryhollow_answer_seconds_bucket" in metrics_text
        assert "savoryhollow_configuration_version 3" in metrics_text
        dump = json.loads((await get(port_of(agent._metrics_server), "/dump")).body)
        assert dump["figures"]["configuration_version"] == 3

    run_with_timeout(main)
