"""The soak's checks find each broken promise, and a short run with real daemons."""

import random

import pytest

from soak import faults, layout, promises, records, running

BOUNDS = layout.BOUNDS
PLACE = 1


def sent(request_id="a", path="/book/a", **fields):
    known = {
        "place": PLACE,
        "boot": 1,
        "method": "POST",
        "idempotent": False,
        "fresh": True,
        "sent_at": 100.0,
        "deadline": 102.0,
        "status": 200,
        "signed": True,
        "ended_at": 100.5,
    }
    return records.Sent(request_id, path=path, **(known | fields))


def run(request_id="a", path="/book/a", **fields):
    known = {
        "endpoint_id": "one",
        "service": "dispatch",
        "place": PLACE,
        "method": "POST",
        "body": b"",
        "caller_service": "dispatch",
        "started_at": 100.1,
        "given_until": 101.9,
        "ended_at": 100.4,
        "status": 200,
    }
    return records.Run(request_id, path=path, **(known | fields))


def arrival(at, request_id="a", endpoint_id="one", ran=True):
    return records.Arrival(request_id, endpoint_id, "dispatch", at, ran)


def make_history(*entries, configurations=((3, 0.0, {}),)):
    found = records.History()
    found.services_by_instance = {PLACE: {"dispatch"}}
    for version, at, services in configurations:
        services = {"/book/": "dispatch", "/lookup/": "dispatch"} | services
        found.configurations.append(
            records.Configuration(
                version, at, {path: frozenset([s]) for path, s in services.items()}
            )
        )
    for entry in entries:
        if isinstance(entry, records.Sent):
            found.sent_by_id[entry.request_id] = entry
        elif isinstance(entry, records.Run):
            found.runs.append(entry)
        elif isinstance(entry, records.Arrival):
            found.arrivals.append(entry)
        elif isinstance(entry, records.Drain):
            found.drains.append(entry)
    return found


def looked_up(request_id, **fields):
    path = fields.pop("path", f"/lookup/{request_id}")
    known = {"method": "GET", "idempotent": True}
    return sent(request_id, path, **(known | fields))


def broken_by(found):
    checks = promises.UNTIMED_CHECKS + promises.TIMED_CHECKS
    return {check.__name__ for check in checks if check(found)}


def stopped_with(request):
    found = make_history(request, run(status=None, ended_at=request.ended_at))
    stop = records.Disturbance("stop", PLACE, 99.9, 99.9 + BOUNDS.grace_s + 1)
    found.planned_stops.append(stop)
    return found


def test_a_run_in_which_all_goes_well_breaks_nothing():
    assert not broken_by(make_history(sent(), run(), arrival(100.1)))


@pytest.mark.parametrize(
    ("found", "check"),
    [
        (make_history(sent(), run(), run(endpoint_id="two")), "find_repeated_runs"),
        (make_history(sent(status=503, signed=False), run()), "find_false_refusals"),
        (make_history(sent(sound=False), run()), "find_invalid_responses"),
        (make_history(sent(status=200), run(status=500)), "find_invalid_responses"),
        (make_history(run()), "find_unrequested_runs"),
        (make_history(sent(body=b"x"), run()), "find_unrequested_runs"),
        (make_history(sent(), run(caller_service="stock")), "find_unrequested_runs"),
        (make_history(sent(), run(service="stock")), "find_misrouted_runs"),
        (
            make_history(
                looked_up("a", path="/book/a", method="POST"),
                *(run(endpoint_id=str(number)) for number in range(4)),
            ),
            "find_excess_attempts",
        ),
        (
            make_history(
                *(sent(str(n)) for n in range(5)),
                *(run(str(n)) for n in range(5)),
                *(arrival(101 + 0.1 * n, str(n % 5)) for n in range(17)),
            ),
            "find_excess_retries",
        ),
        (make_history(sent(), run(given_until=102.6)), "find_excess_deadlines"),
        (
            make_history(sent(left_at=102.8, status=None, signed=False)),
            "find_unanswered_requests",
        ),
        (
            make_history(
                looked_up(
                    "a", path="/book/a", status=None, signed=False, left_at=100.2
                ),
                run(ended_at=100.8),
            ),
            "find_wasted_runs",
        ),
        (
            make_history(
                sent(),
                run(),
                arrival(100.1),
                records.Drain("one", PLACE, 97.5),
            ),
            "find_arrivals_after_drain",
        ),
        (
            stopped_with(sent(status=None, signed=False, detail="closed")),
            "find_interrupted_requests",
        ),
    ],
)
def test_each_broken_promise_is_found(found, check):
    assert check in broken_by(found)


TWO_VERSIONS = ((3, 0.0, {}), (6, 100.0, {"/v6/": "dispatch"}))


def with_later_request(**fields):
    first = looked_up("a", path="/v6/a")
    later = looked_up("b", path="/v6/b", status=404, signed=False, **fields)
    return make_history(
        first, run("a", "/v6/a", method="GET"), later, configurations=TWO_VERSIONS
    )


def test_going_back_to_an_older_configuration_is_found():
    found = with_later_request(sent_at=101.0, ended_at=101.1)
    assert "find_configuration_rollbacks" in broken_by(found)


def test_a_request_that_crosses_a_configuration_breaks_nothing():
    assert not broken_by(with_later_request(sent_at=100.2, ended_at=100.3))


def test_another_process_may_know_less():
    found = with_later_request(sent_at=101.0, ended_at=101.1, boot=2)
    assert "find_configuration_rollbacks" not in broken_by(found)


def test_a_configuration_that_is_late_is_found_in_calm_times_alone():
    found = with_later_request(sent_at=103.0, ended_at=103.1, boot=2)
    assert broken_by(found) == {"find_late_configurations"}
    found.disturbances.append(records.Disturbance("cut", None, 98.0, 99.5))
    assert not broken_by(found)


def test_what_is_cut_off_in_a_broken_time_breaks_nothing():
    found = stopped_with(sent(status=None, signed=False, detail="closed"))
    found.disturbances.append(records.Disturbance("cut", None, 98.0, 99.5))
    assert not broken_by(found)


def test_steps_are_the_same_for_the_same_seed():
    steps = faults.generate_steps(random.Random(5), 40.0, 6)
    assert steps == faults.generate_steps(random.Random(5), 40.0, 6)
    assert steps != faults.generate_steps(random.Random(6), 40.0, 6)


@pytest.mark.timeout(180)
def test_no_promise_is_broken_in_a_short_run(tmp_path):
    # Promises about time are left to runs by hand: a busy machine breaks them.
    report = running.run(
        seed=12, seconds=8.0, instances=4, folder=tmp_path, timed=False
    )
    assert report.violations == []
    assert report.statuses[200] > 0
