"""Documents that another writer left: unreadable, deeply nested, or with odd values.

One such document must cost nothing but itself. A deeply nested entry used to raise an
exception that no caller of the decoder expected: the items read together with it were
never applied, and a daemon that started then never got its configuration.
"""

import asyncio
import dataclasses
import http.server
import threading

import pytest
import test_links
import test_platform

from savoryhollow import errors
from savoryhollow.cli import operator_client
from savoryhollow.membership import table
from savoryhollow.platform import boot, documents, early, process
from savoryhollow.proxy import links
from savoryhollow.settings import validation
from savoryhollow.store import client
from savoryhollow.wire import codec

DEPTH = 4000
TRUNCATED = b'{"note":' + DEPTH * b"["
NESTED = TRUNCATED + DEPTH * b"]" + b"}"
DEEP_TOML = "note = " + DEPTH * "["
LARGE_NUMBER = 10**400
HOST = "127.0.0.1"

GOOD_ENTRY = test_platform.ENTRY | {"address": "10.128.0.10:8080"}
UNREADABLE_ENTRIES = [TRUNCATED, NESTED, b"", b"\xff\xfe", b"[]", b"null"]
ODD_CHANGES = [
    {"slots": LARGE_NUMBER},
    {"slots": 10**30},
    {"cold_s": LARGE_NUMBER},
    {"service": "\ud800"},
    {"service": ["dispatch"]},
    {"service": ""},
    {"state": "resting"},
    {"zone": None},
    {"address": "10.128.0.9:65536"},
    {"address": "10.128.0.9:0"},
    {"address": "10.128.0.9:" + 5000 * "9"},
    {"address": "10.128.0.9:²"},
    {"address": "10.128.0.999:80"},
    {"address": "[:80"},
    {"address": 300 * "x" + ".example:80"},
]
ODD_KEYS = ["servers/", "servers/a b", "servers/a\r\nX-Deadline-Ms: 1", "servers/é"]


def make_adapter(tmp_path):
    path = tmp_path / "local.toml"
    path.write_text(test_platform.SETTINGS_TEXT)
    return process.Adapter(boot.read(path))


def odd_items():
    for value in UNREADABLE_ENTRIES:
        yield documents.to_published_item(
            test_platform.make_change("servers/odd", value)
        )
    for changes in ODD_CHANGES:
        yield test_platform.make_entry_item(**changes)
    for key in ODD_KEYS:
        yield test_platform.make_item(key, test_platform.ENTRY)


@pytest.mark.parametrize("odd_item", list(odd_items()))
def test_an_odd_entry_names_no_endpoint_and_the_other_items_hold(tmp_path, odd_item):
    good = test_platform.make_item("servers/i-good", GOOD_ENTRY)
    configuration = test_platform.make_item("op/config", test_platform.CONFIGURATION)

    async def main():
        adapter = make_adapter(tmp_path)
        adapter.agent.replica.apply(
            [
                dataclasses.replace(odd_item, revision=1),
                dataclasses.replace(good, revision=2),
                dataclasses.replace(configuration, revision=3),
            ],
            3,
        )
        assert (
            adapter.agent.front.table.version == test_platform.CONFIGURATION["version"]
        )
        assert list(adapter.agent.members.endpoints_by_id) == ["i-good"]

    asyncio.run(main())


def test_an_unexpected_error_in_one_item_does_not_keep_back_the_others(
    tmp_path, monkeypatch
):
    """The replica counts all items of an update as known and delivers them once."""

    def fail(*arguments):
        raise LookupError

    monkeypatch.setattr(documents, "decode_endpoint", fail)
    entry = test_platform.make_item("servers/i-good", test_platform.ENTRY)
    configuration = test_platform.make_item("op/config", test_platform.CONFIGURATION)

    async def main():
        adapter = make_adapter(tmp_path)
        items = [entry, dataclasses.replace(configuration, revision=9)]
        adapter.agent.replica.apply(items, 9)
        assert adapter.agent.front.table is not None

    asyncio.run(main())


@pytest.mark.parametrize("service", ["nobody", "records"])
def test_an_entry_of_an_unknown_service_takes_the_place_of_no_endpoint(
    tmp_path, service
):
    """Addresses are used again, but only by services that the configuration names."""
    good = test_platform.make_item("servers/i-good", GOOD_ENTRY)
    other = test_platform.make_item(
        "servers/i-other", GOOD_ENTRY | {"service": service}
    )
    configuration = test_platform.make_item("op/config", test_platform.CONFIGURATION)

    async def main():
        adapter = make_adapter(tmp_path)
        items = [
            dataclasses.replace(good, revision=1),
            dataclasses.replace(other, revision=2),
            dataclasses.replace(configuration, revision=3),
        ]
        adapter.agent.replica.apply(items, 3)
        expected = {"nobody": ["i-good"], "records": ["i-other"]}[service]
        assert list(adapter.agent.members.endpoints_by_id) == expected

    asyncio.run(main())


class NestedHandler(http.server.BaseHTTPRequestHandler):
    """Answers each request with a deeply nested document."""

    def do_GET(self):
        self.send_response(200)
        self.send_header("Content-Length", str(len(NESTED)))
        self.end_headers()
        self.wfile.write(NESTED)

    def log_message(self, *arguments):
        pass


@pytest.fixture
def nested_server():
    server = http.server.ThreadingHTTPServer((HOST, 0), NestedHandler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield server.server_address[1]
    server.shutdown()
    thread.join()
    server.server_close()


@pytest.mark.parametrize("data", [TRUNCATED, NESTED])
@pytest.mark.parametrize(
    ("decode", "error"),
    [
        (documents.decode_page, errors.StoreError),
        (documents.decode_changes, errors.StoreError),
        (lambda data: table._decode_entry("a/b", data), errors.ConfigurationError),
        (
            lambda data: validation.parse_object(data.decode(), "one.json"),
            errors.ConfigurationError,
        ),
        (lambda data: codec.decode(DEPTH * b"\x81"), errors.MalformedMessageError),
    ],
)
def test_every_decoder_answers_a_deeply_nested_document_with_a_typed_error(
    decode, error, data
):
    with pytest.raises(error):
        decode(data)


def test_a_deeply_nested_configuration_is_rejected():
    item = documents.to_published_item(test_platform.make_change("op/config", NESTED))
    with pytest.raises(errors.StoreError):
        documents.decode_route_table(item)


def test_the_threaded_reader_rejects_a_deeply_nested_answer_of_the_store(nested_server):
    """Any other error would end the thread that follows the store."""
    store = client.StoreClient(HOST, nested_server, "east")
    with pytest.raises(errors.StoreError):
        store.watch(-1)
    with pytest.raises(errors.StoreError):
        store.read_instances(-1)


def test_a_deeply_nested_answer_of_a_daemon_is_reported_as_a_failure(nested_server):
    results = operator_client.fetch_all(
        [f"{HOST}:{nested_server}"], "/dump", operator_client.DumpReply
    )
    assert len(results.failures) == 1


def test_a_deeply_nested_settings_file_is_rejected(tmp_path):
    path = tmp_path / "local.toml"
    path.write_text(DEEP_TOML)
    with pytest.raises(errors.SettingsError):
        boot.read(path)
    assert early.listen(path) is None


@pytest.mark.parametrize("host", ["[", 300 * "x", "a b"])
def test_a_link_to_an_odd_host_goes_on_trying(host):
    """A link whose task has ended would never connect again."""

    async def main():
        link = test_links.make_link(host)
        await asyncio.sleep(2 * links.MIN_BACKOFF_S)
        assert not link._task.done()
        assert link.failing
        link.close()

    asyncio.run(main())
