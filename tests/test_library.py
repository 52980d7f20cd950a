import importlib.util
import json
import pathlib
import socket
import threading
import time

import pytest
import test_membership

from emulator import deployment, plans
from savoryhollow import calls, errors, library
from savoryhollow.backend import client
from savoryhollow.daemon import assembly
from savoryhollow.settings import models

ROOT = pathlib.Path(__file__).parent.parent
RANKS = {"lookup": {"order": 0, "idempotent": True}, "booking": {"order": 1}}
PLAN = plans.DeploymentPlan(
    name="small",
    regions=("east",),
    zones_per_region=1,
    services=(plans.ServicePlan("dispatch", 2, 5.0),),
    store_region="east",
    files={
        "10.json": json.dumps(
            {"services": {"dispatch": {"share": 1.0, "ranks": RANKS}}}
        )
    },
)


def make_deadline():
    return time.monotonic() + 10


@pytest.fixture(scope="module")
def running_deployment():
    with deployment.Deployment(PLAN) as started:
        yield started


@pytest.fixture(scope="module")
def store(running_deployment):
    return models.Target(running_deployment._store_host, deployment.STORE_PORT)


@pytest.fixture(scope="module")
def router(store):
    settings = library.RouterSettings("caller", "east", "east-a", store, "round-robin")
    with library.EmbeddedRouter(settings) as started:
        assert started.await_ready(make_deadline())
        yield started


def test_the_public_names_are_available():
    assert all(hasattr(library, name) for name in library.__all__)


def test_an_embedded_router_reaches_all_endpoints_and_runs_each_call_once(
    running_deployment, router
):
    outcomes = [
        router.call(
            library.Request("dispatch", "booking", make_deadline(), path="/work")
        )
        for _ in range(6)
    ]
    assert {type(outcome) for outcome in outcomes} == {calls.Served}
    assert {o.endpoint_id for o in outcomes} == {"dispatch-0", "dispatch-1"}
    runs = [
        running_deployment.run_counts(i)
        for i in running_deployment.instances_by_id.values()
    ]
    for outcome in outcomes:
        attempts = [a for a in runs[0] | runs[1] if a.startswith(outcome.request_id)]
        assert len(attempts) == 1
    assert sum(router.placements.totals().values()) == 6


def test_an_invalid_call_is_refused_or_raises(router):
    past = library.Request("dispatch", "lookup", time.monotonic() - 1)
    assert router.call(past).reason is calls.NotRunReason.DEADLINE
    unknown = library.Request("nothing", "lookup", make_deadline())
    assert router.call(unknown).reason is calls.NotRunReason.UNKNOWN_SERVICE
    bad = calls.Header("X-Note", "one\r\nX-Other: two")
    for changes in ({"path": "no slash"}, {"headers": (bad,)}, {"method": "BREW"}):
        with pytest.raises(errors.BadRequestError):
            router.call(
                library.Request("dispatch", "lookup", make_deadline(), **changes)
            )


def test_a_router_without_a_platform_is_not_ready():
    settings = library.RouterSettings(
        "caller", "east", "east-a", models.Target("127.0.0.1", 1)
    )
    with library.EmbeddedRouter(settings) as started:
        assert not started.await_ready(time.monotonic() + 0.1)


def test_the_example_runs(store, capsys):
    path = ROOT / "examples" / "embed_router.py"
    spec = importlib.util.spec_from_file_location("embed_router", path)
    example = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(example)
    assert example.main(store.host, str(store.port), "dispatch", "lookup") == 0
    assert capsys.readouterr().out.startswith("served by dispatch-")


def make_daemon_settings(**changed):
    host = "127.0.0.1"
    any_port = models.Address(host, 0)
    defaults = {
        "endpoint_id": "dispatch-0",
        "service": "dispatch",
        "region": "east",
        "zone": "east-a",
        "front": any_port,
        "inner": any_port,
        "operator": any_port,
        "backend": models.Target(host, 1),
        "store": models.Target(host, 1),
    }
    return models.DaemonSettings(**(defaults | changed))


@pytest.mark.parametrize("port_name", ["front", "inner", "operator"])
def test_a_daemon_that_can_not_open_a_port_leaves_no_threads(port_name):
    """They kept the process from ending: it accepted callers and never served them."""
    threads = set(threading.enumerate())
    with socket.create_server(("127.0.0.1", 0)) as other:
        address = models.Address(*other.getsockname())
        with pytest.raises(OSError):
            assembly.Daemon(make_daemon_settings(**{port_name: address}))
    assert set(threading.enumerate()) <= threads


def test_the_gate_follows_what_the_list_says_of_its_backend_server():
    daemon = assembly.Daemon(make_daemon_settings())
    other = test_membership.instance("dispatch", 1)
    leaving = []
    for instances in (
        [other],
        [other, test_membership.instance("dispatch", 0)],
        [other, test_membership.instance("dispatch", 0, "leaving")],
        [other, test_membership.instance("dispatch", 0)],
        [other],
    ):
        listing = test_membership.listing(len(leaving), *instances)
        daemon.members.update(listing)
        daemon._follow_list()
        leaving.append(daemon.gate.leaving)
    # A backend server that was never listed gets requests.
    assert leaving == [False, False, True, False, True]
    daemon.stop()


def test_a_python_backend_server_runs_its_own_gate(running_deployment, store):
    executed_ids = []

    def run(call, deadline):
        executed_ids.append(call.request_id)
        return client.BackendAnswer(200, (), b"from a function")

    host = running_deployment.instances_by_id["dispatch-0"].host
    settings = models.DaemonSettings(
        endpoint_id="dispatch-0",
        service="dispatch",
        region="east",
        zone="east-a",
        front=models.Address(host, 0),
        inner=models.Address(host, 0),
        operator=models.Address(host, 0),
        backend=models.Target(host, 1),
        store=store,
    )
    with library.EmbeddedDaemon(settings, run) as embedded:
        give_up_at = make_deadline()
        request = library.Request("dispatch", "lookup", give_up_at)
        outcome = embedded.call(request)
        while isinstance(outcome, calls.NotRun) and time.monotonic() < give_up_at:
            time.sleep(0.02)
            outcome = embedded.call(request)
        while not executed_ids and time.monotonic() < give_up_at:
            outcome = embedded.call(request)
    assert isinstance(outcome, calls.Served)
    assert outcome.body == b"from a function"
    assert executed_ids[-1].startswith(outcome.request_id)
