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


def send_request(running, endpoint_id="dispatch-0", **headers):
    url = running.front_url(running.instances_by_id[endpoint_id]) + "/work"
    request_headers = {
        "Savoryhollow-" + name.replace("_", "-").title(): value
        for name, value in headers.items()
    }
    return urllib3.request("GET", url, headers=request_headers, retries=False)


def test_a_request_is_served_by_either_endpoint(running):
    responses = [
        send_request(running, service="dispatch", rank="booking") for _ in range(6)
    ]
    assert {response.status for response in responses} == {200}
    served_by = {response.headers["Savoryhollow-Endpoint"] for response in responses}
    assert served_by == {"dispatch-0", "dispatch-1"}
    for response in responses:
        request_id = response.headers["Savoryhollow-Request-Id"]
        assert response.data.startswith(request_id.encode())
        run_counts = [running.run_counts(i) for i in running.instances_by_id.values()]
        assert sum(counts.get(request_id + ".0", 0) for counts in run_counts) == 1


@pytest.mark.parametrize("idempotent, attempts_left", [("false", "9"), ("true", "8")])
def test_the_backend_server_receives_the_allowance_for_nested_calls(
    running, idempotent, attempts_left
):
    request_headers = {
        "service": "dispatch",
        "rank": "lookup",
        "idempotent": idempotent,
    }
    response = send_request(running, attempts_left="9", **request_headers)
    assert response.headers["X-Seen-Savoryhollow-Depth"] == "1"
    assert response.headers["X-Seen-Savoryhollow-Attempts-Left"] == attempts_left
    nested = send_request(running, attempts_left="9", depth="1", **request_headers)
    assert nested.headers["X-Seen-Savoryhollow-Depth"] == "2"
    assert nested.headers["X-Seen-Savoryhollow-Attempts-Left"] == "9"


def test_an_unknown_service_is_refused_as_not_run(running):
    response = send_request(running, service="nothing", rank="lookup")
    assert response.status == 503
    assert response.json()["reason"] == "unknown-service"


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
def test_the_response_to_a_bad_request_names_a_remedy(running, headers):
    response = send_request(running, **headers)
    assert response.status == 400
    assert response.json()["remedy"]


def test_an_idempotency_key_is_refused_as_not_supported(running):
    url = running.front_url(running.instances_by_id["dispatch-0"]) + "/work"
    response = urllib3.request(
        "GET",
        url,
        headers={
            "Savoryhollow-Service": "dispatch",
            "Savoryhollow-Rank": "booking",
            "Idempotency-Key": "k",
        },
        retries=False,
    )
    assert response.status == 400
