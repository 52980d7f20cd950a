"""Tests of the platform adapter: its settings file, its documents and its names."""

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
# Names that only the platform uses. Its deadline header isn't included, because the
# product sends backend servers a header of the same name.
PLATFORM_NAMES = (
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
SETTINGS_TEXT = """
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


def make_change(key, value, revision=5):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return documents.Change(key, revision, base64.b64encode(data).decode())


def make_item(key, value):
    return documents.to_published_item(make_change(key, value))


def make_entry_item(**changes):
    return make_item("servers/i-7", ENTRY | changes)


def decode_endpoint(item, now=100.0):
    return documents.decode_endpoint(item, REGIONS, INNER_PORT, now)


def test_names_of_the_platform_are_used_in_the_adapter_only():
    for path in SOURCES.rglob("*.py"):
        if path.parent.name == "platform":
            continue
        text = path.read_text()
        found = [name for name in PLATFORM_NAMES if name in text]
        assert not found, f"{path.relative_to(SOURCES)}: {found}"


def test_the_settings_file_is_converted_to_agent_settings(tmp_path):
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS_TEXT)
    settings = boot.read(path)
    assert settings.agent.front.port == 8147
    assert settings.agent.inner[0].port == settings.inner_port == 8146
    assert settings.agent.backend.port == 8145
    assert settings.agent.retry_rules.slack == 58
    assert settings.agent.seeds[0].host == "10.1.0.9"


@pytest.mark.parametrize(
    "text",
    [
        "",
        "not toml [",
        SETTINGS_TEXT.replace("8146", "port"),
        SETTINGS_TEXT.replace('"dispatch"', "3"),
    ],
)
def test_an_invalid_settings_file_is_rejected(tmp_path, text):
    path = tmp_path / "local.toml"
    path.write_text(text)
    with pytest.raises(errors.SettingsError):
        boot.read(path)


def test_a_configuration_is_decoded_to_a_route_table():
    decoded = documents.decode_route_table(make_item("op/config", CONFIGURATION))
    order, lookup = decoded.routes
    assert (decoded.version, order.host, order.idempotent) == (7, "one.example", False)
    assert (order.objective_s, order.timeout_s, order.max_attempts) == (0.5, 1.5, 2)
    assert [(s.service, s.weight) for s in lookup.shares] == [
        ("dispatch", 90),
        ("records", 10),
    ]
    assert decoded.health_paths_by_service == {"dispatch": "/well"}


def test_an_entry_is_decoded_to_an_endpoint():
    decoded = decode_endpoint(make_entry_item())
    assert (decoded.endpoint_id, decoded.region, decoded.host) == (
        "i-7",
        "east",
        "10.128.0.9",
    )
    assert decoded.port == INNER_PORT
    assert decoded.state is table.EndpointState.LIVE
    assert (decoded.slots, decoded.cold_until) == (9, 102.5)
    assert (
        decode_endpoint(make_entry_item(state="draining")).state
        is table.EndpointState.LEAVING
    )


@pytest.mark.parametrize(
    "item",
    [
        make_entry_item(zone="nowhere"),
        make_entry_item(state="dancing"),
        make_entry_item(address="nine"),
        make_entry_item(slots="many"),
        make_entry_item(service=""),
        make_item("servers/i-7", b"\xff\x00"),
        make_item("servers/i-7", {"service": "dispatch"}),
        documents.to_published_item(documents.Change("servers/i-7", 5, "not base64!")),
        messages.PublishedItem("servers/i-7", 5, b"not packed"),
    ],
)
def test_invalid_entries_are_rejected(item):
    with pytest.raises(errors.StoreError):
        decode_endpoint(item)


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_are_decoded_or_rejected(data):
    for parse in (decode_endpoint, documents.decode_route_table):
        with pytest.raises(errors.StoreError):
            parse(make_item("servers/i-7", data))
    for parse in (documents.decode_page, documents.decode_changes):
        with pytest.raises(errors.StoreError):
            parse(data)


@hypothesis.given(strategies.integers(0, len(json.dumps(CONFIGURATION)) - 1))
def test_a_truncated_configuration_is_rejected(length):
    text = json.dumps(CONFIGURATION).encode()[:length]
    with pytest.raises(errors.StoreError):
        documents.decode_route_table(make_item("op/config", text))
