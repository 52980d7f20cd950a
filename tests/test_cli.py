import collections
import json
import socket
import subprocess
import sys

import hypothesis
import pytest
import typer.testing
import urllib3
from hypothesis import strategies

from emulator import deployment, plans
from savoryhollow.cli import main, operator_client, service_table, terminal, tracing
from savoryhollow.observe import placements, requests

SERVICES = {
    "services": {
        "dispatch": {
            "share": 0.5,
            "ranks": {
                "lookup": {"order": 0, "idempotent": True},
                "booking": {"order": 1},
            },
        }
    }
}
PLAN = plans.DeploymentPlan(
    name="small",
    regions=("east", "west"),
    zones_per_region=1,
    services=(plans.ServicePlan("dispatch", 2, 5.0),),
    store_region="east",
    files={"10.json": json.dumps(SERVICES)},
)
SECRET = "a-secret-of-a-caller"


def run(*arguments):
    return typer.testing.CliRunner().invoke(main.app, [str(a) for a in arguments])


def is_narrow(text):
    return all(len(line) <= 60 for line in text.splitlines())


# ---------------------------------------------------------------------------
#   Configuration folders
# ---------------------------------------------------------------------------


@pytest.fixture
def folders(tmp_path):
    old, new = tmp_path / "old", tmp_path / "new"
    for folder in (old, new):
        folder.mkdir()
        (folder / "10.json").write_text(json.dumps(SERVICES))
    override = {"services": {"dispatch": {"share": 0.25}}}
    (new / "20-share.json").write_text(json.dumps(override))
    return old, new


def test_check_shows_each_value_with_its_origin(folders):
    shown = run("check", folders[1])
    assert shown.exit_code == 0
    assert is_narrow(shown.stdout)
    line = next(x for x in shown.stdout.splitlines() if "dispatch.share" in x)
    assert line.split() == ["services.dispatch.share", "=", "0.25", "20-share.json"]
    values = json.loads(run("check", folders[1], "--json").stdout)
    assert {"path", "value", "origin"} == set(values[0])


def test_diff_shows_what_changes(folders):
    shown = run("diff", *folders)
    assert shown.exit_code == 0
    assert [line.split() for line in shown.stdout.splitlines()] == [
        ["services.dispatch.share"],
        ["-", "0.5", "10.json"],
        ["+", "0.25", "20-share.json"],
    ]
    changes = json.loads(run("diff", *folders, "--json").stdout)
    assert changes[0]["new"]["origin"] == "20-share.json"
    assert run("diff", folders[0], folders[0]).stdout == "no change\n"


def test_explain_names_every_file_that_sets_the_value(folders):
    shown = run("explain", folders[1], "services.dispatch.share")
    assert shown.exit_code == 0
    assert is_narrow(shown.stdout)
    assert "10.json sets" in shown.stdout
    assert "20-share.json sets" in shown.stdout


def test_a_rejected_folder_exits_with_1_and_prints_the_remedies(folders):
    (folders[0] / "30.json").write_text('{"services": {"dispatch": {"share": 7}}}')
    for arguments in (["check", folders[0]], ["diff", *folders]):
        shown = run(*arguments)
        assert shown.exit_code == main.REJECTED
        assert "30.json: services.dispatch.share" in shown.stderr
        assert shown.stdout == ""


def test_a_path_that_is_not_a_folder_exits_with_1(tmp_path):
    for path in (tmp_path / "missing", __file__):
        shown = run("check", path)
        assert shown.exit_code == main.REJECTED
        assert "name a folder" in shown.stderr


def test_a_folder_with_any_text_is_rejected_without_other_errors(tmp_path):
    texts = ["", "{", "[]", "null", '{"services": 3}', '{"services": {"a": 3}}']
    texts += ["\ufeff{}", '{"a": NaN}', '{"a": 1, "a": 2}', "[" * 5000]
    for number, text in enumerate(texts):
        folder = tmp_path / str(number)
        folder.mkdir()
        (folder / "10.json").write_text(text)
        for arguments in (["check", folder], ["explain", folder, "services"]):
            shown = run(*arguments)
            assert isinstance(shown.exception, SystemExit), text
            assert shown.exit_code == main.REJECTED
            assert "10.json" in shown.stderr or "folder" in shown.stderr


def test_wrong_usage_exits_with_2():
    assert run("check").exit_code == 2
    assert run("nonsense").exit_code == 2
    for operator in ("host", "host:", ":1", "host:99999", "http://host:1", "host:x"):
        shown = run("dump", operator)
        assert shown.exit_code == 2, operator
        assert "HOST:PORT" in shown.stderr


def test_rejected_settings_exit_with_1(tmp_path):
    path = tmp_path / "daemon.json"
    path.write_text("{}")
    shown = run("daemon", path)
    assert shown.exit_code == main.REJECTED
    assert "endpoint_id" in shown.stderr


def test_a_port_in_use_exits_with_1(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = {"host": "127.0.0.1", "port": taken.getsockname()[1]}
        other = {"host": "127.0.0.1", "port": 0}
        named = {"endpoint_id": "e", "service": "s", "region": "r", "zone": "z"}
        ports = {"front": other, "inner": address, "operator": other}
        ports |= {"backend": address, "store": address}
        path = tmp_path / "daemon.json"
        path.write_text(json.dumps(named | ports))
        command = [sys.executable, "-m", "savoryhollow.daemon", str(path)]
        done = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert done.returncode == main.REJECTED
    assert "that is not in use" in done.stderr
    assert "Traceback" not in done.stderr


@pytest.mark.parametrize("command", [["dump"], ["top", "--once"], ["trace", "id"]])
def test_an_unreachable_daemon_exits_with_3(command):
    shown = run(*command, "127.0.0.1:1")
    assert shown.exit_code in (main.UNREACHABLE,)
    assert "check HOST:PORT" in shown.stderr


def test_rows_are_differences_that_a_restarted_daemon_does_not_make_negative():
    def row(asked, served):
        buckets = (served,) + (0,) * len(requests.BUCKETS_S)
        return service_table.Row("dispatch", "lookup", asked, asked - served, buckets)

    assert service_table.rows_between([row(5, 4)], [row(9, 7)]) == [row(4, 3)]
    assert service_table.rows_between([row(9, 7)], [row(5, 4)]) == [row(5, 4)]
    assert row(2, 1).percentile_s(50) == requests.BUCKETS_S[0]


NAMES = strategies.text("abcxyz-.019", min_size=1, max_size=64)


@hypothesis.given(NAMES, NAMES, NAMES, strategies.floats(0, 1e6))
def test_a_trace_with_any_names_fits_a_narrow_terminal(request_id, name, region, ms):
    choice = placements.Choice(ms, 1, 2, 3, ms, True)
    placed = placements.PlacementRecord(
        request_id, name, name, 0, name, region, "unknown", ms, 1.0, choice=choice
    )
    reply = operator_client.TraceReply(name, "evidence", [placed], [], [])
    lines = tracing.trace_lines(tracing.build_trace(request_id, [reply]))
    wrapped = terminal.wrap(lines)
    assert is_narrow("\n".join(wrapped))
    assert "".join("".join(wrapped).split()) == "".join("".join(lines).split())


# ---------------------------------------------------------------------------
#   Querying daemons
# ---------------------------------------------------------------------------


@pytest.fixture(scope="module")
def running():
    settings = {"log_level": "debug", "placement_log_level": "info"}
    with deployment.Deployment(PLAN, placement="round-robin", **settings) as started:
        yield started


@pytest.fixture(scope="module")
def operators(running):
    return [running.operator_address(i) for i in running.instances_by_id.values()]


def send_request(running, rank="booking", service="dispatch"):
    url = running.front_url(running.instances_by_id["dispatch-0"]) + f"/{SECRET}"
    headers = {
        "Savoryhollow-Service": service,
        "Savoryhollow-Rank": rank,
        "Authorization": SECRET,
    }
    answer = urllib3.request(
        "POST", url, headers=headers, body=SECRET.encode(), retries=False
    )
    return answer.headers["Savoryhollow-Request-Id"], answer


def test_a_trace_shows_the_placement_and_the_run_of_an_attempt(running, operators):
    for _ in range(4):
        request_id, answer = send_request(running)
        shown = run("trace", request_id, *operators)
        assert shown.exit_code == 0, shown.stderr
        assert is_narrow(shown.stdout)
        endpoint = answer.headers["Savoryhollow-Endpoint"]
        assert f"attempt 0 to {endpoint}" in shown.stdout
        for word in ("why", "waited", "ran", "cost", "ended     served, status 200"):
            assert word in shown.stdout
        document = json.loads(run("trace", request_id, *operators, "--json").stdout)
        (attempt,) = document["attempts"]
        assert attempt["placed_by"] == "dispatch-0"
        assert attempt["ran_on"] == endpoint
        crossed = running.instances_by_id[endpoint].region == "west"
        assert attempt["placement"]["crossed_region"] == crossed


def test_a_trace_shows_why_a_request_was_refused(running, operators):
    request_id, answer = send_request(running, service="nothing")
    assert answer.status == 503
    shown = run("trace", request_id, *operators)
    assert "not-run, unknown-service" in shown.stdout


def test_an_unknown_request_exits_with_1(operators):
    shown = run("trace", "0123", *operators)
    assert shown.exit_code == main.REJECTED
    assert "request 0123 was not found" in shown.stderr


def test_records_found_are_shown_although_one_daemon_is_unreachable(running, operators):
    request_id, _ = send_request(running)
    shown = run("trace", request_id, *operators, "127.0.0.1:1")
    assert shown.exit_code == main.UNREACHABLE
    assert "served" in shown.stdout


def test_attempts_and_runs_equal_the_counts_of_the_backend_servers(running, operators):
    for rank in ("lookup", "booking", "lookup"):
        send_request(running, rank)
    placed = collections.Counter()
    for instance in running.instances_by_id.values():
        for total in running.dump(instance)["accounts"]:
            if total["outcome"] == "served":
                placed[total["endpoint_id"]] += total["attempts"]
                known = running.instances_by_id[total["endpoint_id"]]
                assert total["region"] == known.region
    for instance in running.instances_by_id.values():
        counted = sum(running.run_counts(instance).values())
        runs = running.dump(instance)["runs"]
        assert sum(total["runs"] for total in runs) == counted
        assert placed[instance.endpoint_id] == counted


def test_attempts_and_runs_equal_the_counts_if_backend_servers_fail(running, operators):
    failing = running.instances_by_id["dispatch-1"]
    running.control_backend(failing, fail_share=1.0)
    for _ in range(4):
        send_request(running, "lookup")
    running.control_backend(failing, fail_share=0.0)
    test_attempts_and_runs_equal_the_counts_of_the_backend_servers(running, operators)


def test_top_sums_the_counts_of_the_daemons(running, operators):
    send_request(running, "lookup")
    shown = run("top", "--once", *operators)
    assert shown.exit_code == 0
    assert is_narrow(shown.stdout)
    rows = {
        (row["service"], row["rank"]): row
        for row in json.loads(run("top", "--json", *operators).stdout)
    }
    total = running.dump(running.instances_by_id["dispatch-0"])["requests"]
    counted = {(t["service"], t["rank"]): sum(t["outcomes"].values()) for t in total}
    for pair, asked in counted.items():
        assert rows[pair]["asked"] == asked


def test_metrics_are_served_on_the_operator_port(running, operators):
    send_request(running, "lookup")
    page = urllib3.request("GET", f"http://{operators[0]}/metrics")
    assert page.headers["Content-Type"].startswith("text/plain; version=0.0.4")
    for name in (
        "savoryhollow_request_duration_seconds_bucket",
        "savoryhollow_queue_length",
        "savoryhollow_configuration_revision 1",
        "savoryhollow_peer_bytes_total",
        "savoryhollow_resident_memory_bytes",
    ):
        assert name in page.data.decode()
    refused = urllib3.request("POST", f"http://{operators[0]}/metrics", body=b"")
    assert refused.status == 405


@pytest.mark.parametrize("port", [deployment.FRONT_PORT, deployment.OPERATOR_PORT])
@pytest.mark.parametrize(
    "text",
    [
        f"GET //[{SECRET} HTTP/1.1\r\nHost: a\r\n\r\n",
        f"GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\nX: {SECRET}\r\n\r\n",
        f"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n{SECRET}\r\n",
        f"{SECRET}\r\n\r\n",
    ],
)
def test_a_malformed_request_is_logged_without_its_text(running, port, text):
    instance = running.instances_by_id["dispatch-0"]
    with socket.create_connection((instance.host, port), timeout=10) as sock:
        sock.sendall(text.encode())
        assert sock.recv(100).startswith(b"HTTP/1.1 ")
    log = running.read_log("daemon-dispatch-0")
    assert SECRET not in log
    assert all(json.loads(line)["event"] for line in log.splitlines())


def test_no_log_dump_or_metric_contains_a_secret_of_a_caller(running, operators):
    request_id, _ = send_request(running)
    send_request(running, service="nothing")
    for instance in running.instances_by_id.values():
        log = running.read_log(f"daemon-{instance.endpoint_id}")
        events = [json.loads(line) for line in log.splitlines()]
        assert SECRET not in log
        assert all(event["instance"] == instance.endpoint_id for event in events)
        assert SECRET not in json.dumps(running.dump(instance))
    for operator in operators:
        for path in ("/metrics", f"/trace?id={request_id}", "/placements"):
            answer = urllib3.request("GET", f"http://{operator}{path}")
            assert SECRET.encode() not in answer.data
    placed = running.read_log("daemon-dispatch-0")
    assert '"name": "request_placed"' in placed and request_id in placed


def test_top_refreshes_until_interrupted(operators, monkeypatch):
    updates = iter([None, None])

    def sleep(_):
        try:
            next(updates)
        except StopIteration:
            raise KeyboardInterrupt from None

    monkeypatch.setattr(main.time, "sleep", sleep)
    shown = run("top", *operators)
    assert shown.exit_code == 0
    assert shown.stdout.count(service_table.HEADING) == 2
