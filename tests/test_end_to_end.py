import json

import pytest
import urllib3

from emulator import deployment, plans

PLAN = plans.DeploymentPlan(
    name="small",
    regions=("east", "west"),
    zones_per_region=1,
    services=(plans.ServicePlan("dispatch", 2, 5.0),),
    store_region="east",
    files={
        "10.json": json.dumps(
            {
                "services": {
                    "dispatch": {
                        "share": 1.0,
                        "ranks": {
                            "lookup": {"order": 0, "idempotent": True},
                            "booking": {"order": 1},
                        },
                    }
                }
            }
        )
    },
)


@pytest.fixture(scope="module")
def running():
    with deployment.Deployment(PLAN, placement="round-robin") as started:
        yield started


def ask(running, endpoint_id="dispatch-0", **headers):
    url = running.front_url(running.instances_by_id[endpoint_id]) + "/work"
    named = {
        "Savoryhollow-" + name.replace("_", "-").title(): value
        for name, value in headers.items()
    }
    return urllib3.request("GET", url, headers=named, retries=False)


def test_a_request_is_served_by_either_endpoint(running):
    answers = [ask(running, service="dispatch", rank="booking") for _ in range(6)]
    assert {answer.status for answer in answers} == {200}
    served_by = {answer.headers["Savoryhollow-Endpoint"] for answer in answers}
    assert served_by == {"dispatch-0", "dispatch-1"}
    for answer in answers:
        request_id = answer.headers["Savoryhollow-Request-Id"]
        assert answer.data.startswith(request_id.encode())
        runs = [running.run_counts(i) for i in running.instances_by_id.values()]
        assert sum(r.get(request_id + ".0", 0) for r in runs) == 1


@pytest.mark.parametrize("idempotent, left", [("false", "9"), ("true", "8")])
def test_the_backend_server_learns_what_its_calls_may_spend(running, idempotent, left):
    named = {"service": "dispatch", "rank": "lookup", "idempotent": idempotent}
    answer = ask(running, attempts_left="9", **named)
    assert answer.headers["X-Seen-Savoryhollow-Depth"] == "1"
    assert answer.headers["X-Seen-Savoryhollow-Attempts-Left"] == left
    nested = ask(running, attempts_left="9", depth="1", **named)
    assert nested.headers["X-Seen-Savoryhollow-Depth"] == "2"
    assert nested.headers["X-Seen-Savoryhollow-Attempts-Left"] == "9"


def test_an_unknown_service_is_refused_as_not_run(running):
    answer = ask(running, service="nothing", rank="lookup")
    assert answer.status == 503
    assert answer.json()["reason"] == "unknown-service"


@pytest.mark.parametrize(
    "headers",
    [
        {"rank": "lookup"},
        {"service": "dispatch"},
        {"service": "dispatch", "rank": "lookup", "nonsense": "1"},
        {"service": "dispatch", "rank": "lookup", "deadline_ms": "-4"},
        {"service": "dispatch", "rank": "booking", "request_id": "mine"},
    ],
)
def test_a_bad_request_is_told_what_to_send(running, headers):
    answer = ask(running, **headers)
    assert answer.status == 400
    assert answer.json()["remedy"]


def test_a_key_that_can_not_be_honoured_is_refused(running):
    url = running.front_url(running.instances_by_id["dispatch-0"]) + "/work"
    answer = urllib3.request(
        "GET",
        url,
        headers={
            "Savoryhollow-Service": "dispatch",
            "Savoryhollow-Rank": "booking",
            "Idempotency-Key": "k",
        },
        retries=False,
    )
    assert answer.status == 400
