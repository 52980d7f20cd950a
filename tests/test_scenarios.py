"""Step functions of the scenarios in ``features``."""

import signal
import time

import pytest
import pytest_bdd
import pytest_bdd.parsers
import scenario_world

pytest_bdd.scenarios("features")

# The numbers of runs that each outcome of a booking permits.
RUNS_BY_OUTCOME = {"served": (1,), "not-run": (0,), "unknown": (0, 1)}
# Time to wait before checking that something has not happened, in s.
QUIET_PERIOD_S = 0.4


@pytest.fixture
def settings():
    return {}


@pytest.fixture
def get_world(settings):
    worlds = []

    def start():
        if not worlds:
            worlds.append(scenario_world.World(**settings))
        return worlds[0]

    yield start
    for world in worlds:
        world.stop()


def step(text):
    return pytest_bdd.step(pytest_bdd.parsers.parse(text))


# ----------------------------------------------------------------------
#   Setup
# ----------------------------------------------------------------------


@step("a service dispatch with 2 endpoints in two regions")
def dispatch(get_world):
    """Do nothing; the first step that needs the deployment starts it."""


@step("daemons with a drain limit of {limit_ms:d} ms")
def set_drain_limit(settings, limit_ms):
    settings["drain_limit_ms"] = limit_ms


@step("the platform lists {endpoint_id} as leaving")
def list_instance(get_world, endpoint_id):
    get_world().list_instance_as("leaving", endpoint_id)
    get_world().wait_for_list()


@step("a request takes {duration_ms:d} ms on {endpoint_id}")
def set_service_time(get_world, duration_ms, endpoint_id):
    world = get_world()
    world.deployment.control_backend(
        world.instance(endpoint_id), service_ms=duration_ms, spread=0.0
    )


@step("a booking sent to {endpoint_id} gets the outcome served")
def check_served_booking(get_world, endpoint_id):
    assert get_world().call(endpoint_id).outcome == "served"


# ----------------------------------------------------------------------
#   Bookings and faults
# ----------------------------------------------------------------------


@step("a booking is sent to {endpoint_id}")
def send(get_world, endpoint_id):
    world = get_world()
    world.runs_before = world.count_runs_on("dispatch-1")
    world.send_booking(endpoint_id)


@step("a booking is sent to {endpoint_id} with a deadline of {deadline_ms:d} ms")
def send_with_deadline(get_world, endpoint_id, deadline_ms):
    world = get_world()
    runs_before = [world.count_runs_on(i) for i in world.deployment.instances_by_id]
    world.send_booking(endpoint_id, deadline_ms)
    scenario_world.wait_until_true(
        lambda: (
            [world.count_runs_on(i) for i in world.deployment.instances_by_id]
            != runs_before
        )
    )


@step("{count:d} bookings are sent to {endpoint_id}")
def send_bookings(get_world, count, endpoint_id):
    world = get_world()
    world.runs_before = world.count_runs_on("dispatch-1")
    for _ in range(count):
        world.send_booking(endpoint_id)


@step("the booking is running on {endpoint_id}")
def wait_until_running_on(get_world, endpoint_id):
    world = get_world()
    scenario_world.wait_until_true(
        lambda: world.count_runs_on(endpoint_id) > world.runs_before
    )


@step("{count:d} bookings are running")
def wait_until_running(get_world, count):
    world = get_world()
    ids = list(world.deployment.instances_by_id)
    scenario_world.wait_until_true(lambda: sum(map(world.count_runs_on, ids)) == count)


@step("bookings are sent to {endpoint_id} continuously")
def keep_sending_to(get_world, endpoint_id):
    world = get_world()
    world.keep_sending(endpoint_id)
    scenario_world.wait_until_true(lambda: world.count_runs_on("dispatch-1") > 20)


@step("the link holds back the data of its open connections")
def hold_open_connections(get_world):
    world = get_world()
    world.deployment.control_link(held_before=world.count_link_connections())


@step("the link holds back the data of new connections too")
def hold_new_connections(get_world):
    get_world().deployment.control_link(held_before=1 << 30)


@step("the link releases the data that it held back")
def release_held_data(get_world):
    world = get_world()
    world.deployment.control_link(held_before=0)
    scenario_world.wait_until_true(
        lambda: world.deployment.control_link()["waiting"] == 0
    )


@step("the open connections of the link go silent")
def silence_connections(get_world):
    world = get_world()
    world.deployment.control_link(silent_before=world.count_link_connections())


@step("the link is cut until the booking has an outcome")
def cut_until_answered(get_world):
    world = get_world()
    world.deployment.control_link(cut=True)
    world.wait_for_answers()
    world.deployment.control_link(cut=False)


@step("the link between the regions is cut {direction}")
def cut_link(get_world, direction):
    world = get_world()
    world.served_before = count_served(world)
    world.deployment.control_link(
        cut=direction == "in both directions", cut_back=direction == "for responses"
    )


@step("the link is restored")
def restore_link(get_world):
    get_world().deployment.control_link(cut=False, cut_back=False)


@step("the daemon of {endpoint_id} is paused")
def pause_daemon(get_world, endpoint_id):
    get_world().signal_daemon(endpoint_id, signal.SIGSTOP)


@step("the daemon of {endpoint_id} is resumed")
def resume_daemon(get_world, endpoint_id):
    get_world().signal_daemon(endpoint_id, signal.SIGCONT)


@step("the daemon of {endpoint_id} receives SIGTERM")
def terminate_daemon(get_world, endpoint_id):
    get_world().signal_daemon(endpoint_id, signal.SIGTERM)


@step("the daemon of {endpoint_id} is killed and restarted")
def restart_daemon(get_world, endpoint_id):
    world = get_world()
    instance = world.instance(endpoint_id)
    instance.daemon.kill()
    instance.daemon.wait(scenario_world.TIMEOUT_S)
    world.deployment.start_daemon(instance)
    deadline = time.monotonic() + scenario_world.TIMEOUT_S
    world.deployment.await_ready(instance, deadline)


@step("the backend server of {endpoint_id} is killed")
def kill_backend(get_world, endpoint_id):
    get_world().instance(endpoint_id).backend.kill()


@step("{duration_ms:d} ms pass")
def wait_ms(duration_ms):
    time.sleep(duration_ms / 1000)


# ----------------------------------------------------------------------
#   Checks
# ----------------------------------------------------------------------


@step("the outcome of the booking is {outcomes}")
def check_outcomes(get_world, outcomes):
    allowed = outcomes.replace(" or ", ", ").split(", ")
    for answer in get_world().wait_for_answers():
        assert answer.outcome in allowed, answer


@step("the booking ran {count:d} times")
def check_run_count(get_world, count):
    time.sleep(QUIET_PERIOD_S)
    for answer in get_world().wait_for_answers():
        assert get_world().count_runs(answer.request_id) == count


@step("the booking ran at most once")
def check_at_most_one_run(get_world):
    time.sleep(QUIET_PERIOD_S)
    for answer in get_world().wait_for_answers():
        assert get_world().count_runs(answer.request_id) <= 1


@step("the number of runs of the booking agrees with its outcome")
def check_runs_of_booking(get_world):
    time.sleep(QUIET_PERIOD_S)
    check_runs(get_world(), get_world().wait_for_answers())


def check_runs(world, answers):
    for answer in answers:
        runs = world.count_runs(answer.request_id)
        assert runs in RUNS_BY_OUTCOME[answer.outcome], answer
        if answer.outcome == "served":
            assert answer.body.startswith(answer.request_id.encode())


@step("its ticket sent to {endpoint_id} gets the outcome {outcome}")
def check_ticket(get_world, endpoint_id, outcome):
    for answer in get_world().wait_for_answers():
        repeat = get_world().call(endpoint_id, **{scenario_world.TICKET: answer.ticket})
        assert repeat.outcome == outcome, repeat
        assert repeat.request_id == answer.request_id


@step("its ticket sent to {endpoint_id} gets an outcome that agrees with its runs")
def check_ticket_against_runs(get_world, endpoint_id):
    world = get_world()
    for answer in world.wait_for_answers():
        repeat = world.call(endpoint_id, **{scenario_world.TICKET: answer.ticket})
        assert world.count_runs(answer.request_id) in RUNS_BY_OUTCOME[repeat.outcome]


@step("the daemon of {endpoint_id} exits with status {status:d}")
def check_exit_status(get_world, endpoint_id, status):
    daemon = get_world().instance(endpoint_id).daemon
    assert daemon.wait(scenario_world.TIMEOUT_S) == status


@step("the outcome of every booking is {outcomes}")
def check_all_outcomes(get_world, outcomes):
    allowed = outcomes.split(" or ")
    for answer in get_world().stop_sending():
        assert answer.outcome in allowed, answer


@step("the number of runs of every booking agrees with its outcome")
def check_runs_of_all(get_world):
    world = get_world()
    answers = world.stop_sending()
    runs_by_request_id = {}
    for instance in world.deployment.instances_by_id.values():
        for attempt_id, count in world.deployment.run_counts(instance).items():
            request_id = attempt_id.rpartition(".")[0]
            runs_by_request_id[request_id] = (
                runs_by_request_id.get(request_id, 0) + count
            )
    for answer in answers:
        allowed = RUNS_BY_OUTCOME[answer.outcome]
        assert runs_by_request_id.get(answer.request_id, 0) in allowed, answer


@step("each region has served bookings since the link was cut")
def check_each_region_served(get_world):
    world = get_world()
    for endpoint_id, runs_before in world.served_before.items():
        scenario_world.wait_until_true(
            lambda e=endpoint_id, b=runs_before: count_served(world)[e] > b + 5
        )


def count_served(world):
    return {
        endpoint_id: sum(answer.outcome == "served" for answer in list(answers))
        for endpoint_id, answers in world.answers_by_endpoint_id.items()
    }


@step("no new booking runs on {endpoint_id}")
def check_no_new_runs(get_world, endpoint_id):
    world = get_world()
    runs_before = world.count_runs_on(endpoint_id)
    time.sleep(QUIET_PERIOD_S)
    assert world.count_runs_on(endpoint_id) == runs_before
