"""The adapter: settings file, documents, and that its words stay inside it."""

import base64
import json
import pathlib

import hypothesis
import pytest
from hypothesis import strategies

from savoryhollow import errors
from savoryhollow.membership import table
from savoryhollow.platform import boot, documents, headers
from savoryhollow.wire import messages

SOURCES = pathlib.Path(__file__).parent.parent / "src" / "savoryhollow"
REGIONS = {"east-a": "east", "west-a": "west"}
INNER_PORT = 7400
# Words that the platform alone uses. Its header of the time left isn't one of
# them: the product tells backend servers of its own the time by the same name.
WORDS = (
    headers.DIALECT.request_id,
    headers.DIALECT.signature,
    headers.DIALECT.expected_endpoint,
    headers.DIALECT.load,
    headers.DIALECT.not_executed,
    headers.DIALECT.caller_service,
    headers.DIALECT.readiness_path,
    documents.CONFIGURATION_KEY,
    "servers/",
    "kv-range",
    "kv-watch",
    "traffic_split",
    "target_latency_s",
    "app_addr",
    "outbound",
    "tombstone",
    "SAVORYHOLLOW_BOOT",
    "sidecar",
    "fleetbench",
)
BOOT = """
node = "one"
ip = "10.1.0.38"
zone = "east-a"
region = "east"
app_addr = "10.1.0.38:8145"
service = "dispatch"
seeds = ["10.1.0.9:7381"]
bounds = ["grace_s=6", "retry_budget_ratio=0.2", "retry_budget_slack=58", "fenced=true"]
surprise = 1
[zones]
east-a = "east"
[listen]
inbound = "10.1.0.38:8146"
outbound = "10.1.0.38:8147"
ready = "10.1.0.38:8141"
[platform]
address = "10.200.1.7:8142"
"""
CONFIGURATION = {
    "version": 7,
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1000,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    },
    "listeners": [
        {
            "host": "One.example",
            "rules": [
                {
                    "name": "r-1",
                    "kind": "unsafe",
                    "target_latency_s": 0.5,
                    "priority": 1,
                    "match": {"prefix": "/a/"},
                    "action": {
                        "service": "dispatch",
                        "timeout_s": 1.5,
                        "max_attempts": 2,
                    },
                },
                {
                    "name": "r-2",
                    "kind": "safe",
                    "match": {"prefix": "/b/"},
                    "action": {
                        "traffic_split": [
                            {"service": "dispatch", "weight": 90},
                            {"service": "records", "weight": 10},
                        ],
                        "timeout_s": 1.2,
                        "max_attempts": 2,
                    },
                },
            ],
        }
    ],
    "clusters": [{"name": "dispatch", "health_path": "/well"}],
}
ENTRY = {
    "service": "dispatch",
    "address": "10.128.0.9:8080",
    "zone": "east-a",
    "version": "v1",
    "slots": 9,
    "state": "ready",
    "cold_s": 2.5,
    "seq": 4,
}


def change(key, value, revision=5):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return documents.Change(key, revision, base64.b64encode(data).decode())


def published(key, value):
    return documents.to_published_item(change(key, value))


def entry(**changed):
    return published("servers/i-7", ENTRY | changed)


def decode(item, now=100.0):
    return documents.decode_endpoint(item, REGIONS, INNER_PORT, now)


def test_no_word_of_the_platform_stands_outside_the_adapter():
    for path in SOURCES.rglob("*.py"):
        if path.parent.name == "platform":
            continue
        text = path.read_text()
        found = [word for word in WORDS if word in text]
        assert not found, f"{path.relative_to(SOURCES)}: {found}"


def test_the_settings_file_becomes_the_settings_of_an_agent(tmp_path):
    path = tmp_path / "local.toml"
    path.write_text(BOOT)
    settings = boot.read(path)
    assert settings.agent.front.port == 8147
    assert settings.agent.inner[0].port == settings.inner_port == 8146
    assert settings.agent.backend.port == 8145
    assert settings.agent.retry_rules.slack == 58
    assert settings.agent.seeds[0].host == "10.1.0.9"


@pytest.mark.parametrize(
    "text",
    ["", "not toml [", BOOT.replace("8146", "port"), BOOT.replace('"dispatch"', "3")],
)
def test_a_settings_file_that_can_not_be_used_is_rejected(tmp_path, text):
    path = tmp_path / "local.toml"
    path.write_text(text)
    with pytest.raises(errors.SettingsError):
        boot.read(path)


def test_the_configuration_becomes_a_table_of_routes():
    found = documents.decode_route_table(published("op/config", CONFIGURATION))
    order, lookup = found.routes
    assert (found.version, order.host, order.idempotent) == (7, "one.example", False)
    assert (order.objective_s, order.timeout_s, order.max_attempts) == (0.5, 1.5, 2)
    assert [(s.service, s.weight) for s in lookup.shares] == [
        ("dispatch", 90),
        ("records", 10),
    ]
    assert found.health_paths_by_service == {"dispatch": "/well"}


def test_an_entry_becomes_an_endpoint():
    found = decode(entry())
    assert (found.endpoint_id, found.region, found.host) == (
        "i-7",
        "east",
        "10.128.0.9",
    )
    assert found.port == INNER_PORT
    assert found.state is table.EndpointState.LIVE
    assert (found.slots, found.cold_until) == (9, 102.5)
    assert decode(entry(state="draining")).state is table.EndpointState.LEAVING


@pytest.mark.parametrize(
    "item",
    [
        entry(zone="nowhere"),
        entry(state="dancing"),
        entry(address="nine"),
        entry(slots="many"),
        entry(service=""),
        published("servers/i-7", b"\xff\x00"),
        published("servers/i-7", {"service": "dispatch"}),
        documents.to_published_item(documents.Change("servers/i-7", 5, "not base64!")),
        messages.PublishedItem("servers/i-7", 5, b"not packed"),
    ],
)
def test_entries_of_other_writers_name_no_endpoint(item):
    with pytest.raises(errors.StoreError):
        decode(item)


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_are_decoded_or_rejected(data):
    for parse in (decode, documents.decode_route_table):
        with pytest.raises(errors.StoreError):
            parse(published("servers/i-7", data))
    for parse in (documents.decode_page, documents.decode_changes):
        with pytest.raises(errors.StoreError):
            parse(data)


@hypothesis.given(strategies.integers(0, len(json.dumps(CONFIGURATION)) - 1))
def test_a_configuration_that_is_cut_short_is_rejected(length):
    text = json.dumps(CONFIGURATION).encode()[:length]
    with pytest.raises(errors.StoreError):
        documents.decode_route_table(published("op/config", text))
