"""The steps of the scenarios in ``features``."""

import signal
import time

import pytest
import pytest_bdd
import pytest_bdd.parsers
import scenario_world

pytest_bdd.scenarios("features")

# How often a booking may have run for each answer.
RUNS_BY_OUTCOME = {"served": (1,), "not-run": (0,), "unknown": (0, 1)}
# Time given to what must not happen, in s.
QUIET_S = 0.4


@pytest.fixture
def settings():
    return {}


@pytest.fixture
def world(settings):
    started = []

    def start():
        if not started:
            started.append(scenario_world.World(**settings))
        return started[0]

    yield start
    for running in started:
        running.stop()


def given(text):
    return pytest_bdd.step(pytest_bdd.parsers.parse(text))


# ----------------------------------------------------------------------
#   Givens
# ----------------------------------------------------------------------


@given("dispatch on 2 endpoints in two regions")
def dispatch(world):
    """The deployment starts with the first step that needs it."""


@given("daemons that drain for {limit:d} ms")
def drain_limit(settings, limit):
    settings["drain_limit_ms"] = limit


@given("the platform lists {endpoint_id} as leaving")
def listed(world, endpoint_id):
    world().list_as("leaving", endpoint_id)
    world().await_list()


@given("a request takes {milliseconds:d} ms on {endpoint_id}")
def takes(world, milliseconds, endpoint_id):
    running = world()
    running.deployment.control_backend(
        running.instance(endpoint_id), service_ms=milliseconds, spread=0.0
    )


@given("a booking sent to {endpoint_id} is answered served")
def warm(world, endpoint_id):
    assert world().ask(endpoint_id).outcome == "served"


# ----------------------------------------------------------------------
#   Faults
# ----------------------------------------------------------------------


@given("a booking is sent to {endpoint_id}")
def send(world, endpoint_id):
    running = world()
    running.before = running.total("dispatch-1")
    running.send(endpoint_id)


@given("a booking is sent to {endpoint_id} for {limit:d} ms")
def send_for(world, endpoint_id, limit):
    running = world()
    before = [running.total(i) for i in running.deployment.instances_by_id]
    running.send(endpoint_id, limit)
    scenario_world.await_true(
        lambda: [running.total(i) for i in running.deployment.instances_by_id] != before
    )


@given("{count:d} bookings are sent to {endpoint_id}")
def send_many(world, count, endpoint_id):
    running = world()
    running.before = running.total("dispatch-1")
    for _ in range(count):
        running.send(endpoint_id)


@given("the booking runs on {endpoint_id}")
def runs_on(world, endpoint_id):
    running = world()
    scenario_world.await_true(lambda: running.total(endpoint_id) > running.before)


@given("{count:d} bookings run")
def run_at_once(world, count):
    running = world()
    ids = list(running.deployment.instances_by_id)
    scenario_world.await_true(lambda: sum(map(running.total, ids)) == count)


@given("bookings keep coming to {endpoint_id}")
def keep_coming(world, endpoint_id):
    running = world()
    running.keep_sending(endpoint_id)
    scenario_world.await_true(lambda: running.total("dispatch-1") > 20)


@given("the open connections of the link are held")
def hold(world):
    running = world()
    running.deployment.control_link(held_before=running.link_count())


@given("new connections of the link are held too")
def hold_new(world):
    world().deployment.control_link(held_before=1 << 30)


@given("the link lets go what it held")
def release(world):
    running = world()
    running.deployment.control_link(held_before=0)
    scenario_world.await_true(lambda: running.deployment.control_link()["waiting"] == 0)


@given("the open connections of the link go silent")
def silence(world):
    running = world()
    running.deployment.control_link(silent_before=running.link_count())


@given("the link is cut until the booking is answered")
def cut(world):
    running = world()
    running.deployment.control_link(cut=True)
    running.answers()
    running.deployment.control_link(cut=False)


@given("the regions lose each other {way}")
def cut_at_once(world, way):
    running = world()
    running.served_before = count_served(running)
    running.deployment.control_link(
        cut=way == "both ways", cut_back=way == "for answers"
    )


@given("the link is whole again")
def heal(world):
    world().deployment.control_link(cut=False, cut_back=False)


@given("the daemon of {endpoint_id} is paused")
def pause(world, endpoint_id):
    world().signal(endpoint_id, signal.SIGSTOP)


@given("the daemon of {endpoint_id} wakes")
def wake(world, endpoint_id):
    world().signal(endpoint_id, signal.SIGCONT)


@given("the daemon of {endpoint_id} is told to stop")
def terminate(world, endpoint_id):
    world().signal(endpoint_id, signal.SIGTERM)


@given("the daemon of {endpoint_id} is killed and started again")
def kill_daemon(world, endpoint_id):
    running = world()
    instance = running.instance(endpoint_id)
    instance.daemon.kill()
    instance.daemon.wait(scenario_world.LIMIT_S)
    running.deployment.start_daemon(instance)
    until = time.monotonic() + scenario_world.LIMIT_S
    running.deployment.await_ready(instance, until)


@given("the backend server of {endpoint_id} is killed")
def kill_backend(world, endpoint_id):
    world().instance(endpoint_id).backend.kill()


@given("{milliseconds:d} ms pass")
def wait(milliseconds):
    time.sleep(milliseconds / 1000)


# ----------------------------------------------------------------------
#   What must hold
# ----------------------------------------------------------------------


@given("the booking is answered {outcomes}")
def answered(world, outcomes):
    allowed = outcomes.replace(" or ", ", ").split(", ")
    for answer in world().answers():
        assert answer.outcome in allowed, answer


@given("the booking ran {count:d} times")
def ran(world, count):
    time.sleep(QUIET_S)
    for answer in world().answers():
        assert world().runs(answer.request_id) == count


@given("the booking ran at most once")
def ran_at_most_once(world):
    time.sleep(QUIET_S)
    for answer in world().answers():
        assert world().runs(answer.request_id) <= 1


@given("the booking ran as often as its answer allows")
def ran_as_allowed(world):
    time.sleep(QUIET_S)
    check_runs(world(), world().answers())


def check_runs(running, answers):
    for answer in answers:
        runs = running.runs(answer.request_id)
        assert runs in RUNS_BY_OUTCOME[answer.outcome], answer
        if answer.outcome == "served":
            assert answer.body.startswith(answer.request_id.encode())


@given("its ticket sent to {endpoint_id} is answered {outcome}")
def redeemed(world, endpoint_id, outcome):
    for answer in world().answers():
        repeat = world().ask(endpoint_id, **{scenario_world.TICKET: answer.ticket})
        assert repeat.outcome == outcome, repeat
        assert repeat.request_id == answer.request_id


@given("its ticket sent to {endpoint_id} agrees with its runs")
def redeemed_in_agreement(world, endpoint_id):
    running = world()
    for answer in running.answers():
        repeat = running.ask(endpoint_id, **{scenario_world.TICKET: answer.ticket})
        assert running.runs(answer.request_id) in RUNS_BY_OUTCOME[repeat.outcome]


@given("the daemon of {endpoint_id} ends with status {status:d}")
def ended(world, endpoint_id, status):
    daemon = world().instance(endpoint_id).daemon
    assert daemon.wait(scenario_world.LIMIT_S) == status


@given("every booking that came was answered {outcomes}")
def all_answered(world, outcomes):
    allowed = outcomes.split(" or ")
    for answer in world().stop_sending():
        assert answer.outcome in allowed, answer


@given("every booking that came ran as often as its answer allows")
def all_ran_as_allowed(world):
    running = world()
    answers = running.stop_sending()
    runs = {}
    for instance in running.deployment.instances_by_id.values():
        for attempt_id, count in running.deployment.run_counts(instance).items():
            request_id = attempt_id.rpartition(".")[0]
            runs[request_id] = runs.get(request_id, 0) + count
    for answer in answers:
        allowed = RUNS_BY_OUTCOME[answer.outcome]
        assert runs.get(answer.request_id, 0) in allowed, answer


@given("each part has served bookings since")
def each_part_served(world):
    running = world()
    for endpoint_id, before in running.served_before.items():
        scenario_world.await_true(
            lambda e=endpoint_id, b=before: count_served(running)[e] > b + 5
        )


def count_served(running):
    return {
        endpoint_id: sum(answer.outcome == "served" for answer in list(came))
        for endpoint_id, came in running.came_by_id.items()
    }


@given("nothing new runs on {endpoint_id}")
def nothing_new(world, endpoint_id):
    running = world()
    before = running.total(endpoint_id)
    time.sleep(QUIET_S)
    assert running.total(endpoint_id) == before
