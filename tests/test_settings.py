import json
import pathlib

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from savoryhollow import errors
from savoryhollow.cli import reference
from savoryhollow.configuration import models as configuration_models
from savoryhollow.settings import loading, models

ROOT = pathlib.Path(__file__).parent.parent
ADDRESS = {"host": "127.0.0.1", "port": 7000}
VALID = {
    "endpoint_id": "dispatch-0",
    "service": "dispatch",
    "region": "east",
    "zone": "east-a",
    "front": ADDRESS,
    "inner": ADDRESS,
    "backend": ADDRESS,
    "store": ADDRESS,
}


def load(tmp_path, document):
    path = tmp_path / "daemon.json"
    path.write_text(json.dumps(document))
    return loading.load_daemon_settings(path)


def test_the_settings_page_matches_the_models():
    page = (ROOT / "docs" / "SETTINGS.md").read_text()
    assert page == reference.render(), "run: savoryhollow settings-reference"


@pytest.mark.parametrize(
    "model", [models.DaemonSettings, configuration_models.Configuration]
)
def test_every_option_has_a_unit_and_a_meaning(model):
    for option in reference.list_options(model):
        assert option.unit and option.meaning, option.path


def test_the_operator_port_is_on_loopback_by_default(tmp_path):
    assert load(tmp_path, VALID).operator.host == "127.0.0.1"


def test_all_problems_of_a_file_are_reported_together(tmp_path):
    invalid = VALID | {
        "slots": 0,
        "front": {"host": "a.name", "port": 70_000},
        "store": {"host": "127.0.0.1", "port": 0},
        "log_level": "loud",
        "nonsense": 1,
    }
    del invalid["zone"]
    with pytest.raises(errors.SettingsError) as caught:
        load(tmp_path, invalid)
    assert {problem.path for problem in caught.value.problems} == {
        "slots",
        "front.host",
        "front.port",
        "store.port",
        "log_level",
        "nonsense",
        "zone",
    }
    assert all(problem.remedy for problem in caught.value.problems)


def test_an_unreadable_file_raises_settings_error(tmp_path):
    with pytest.raises(errors.SettingsError, match="readable"):
        loading.load_daemon_settings(tmp_path / "missing.json")
    binary = tmp_path / "binary.json"
    binary.write_bytes(b"\xff\xfe")
    with pytest.raises(errors.SettingsError):
        loading.load_daemon_settings(binary)


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


@hypothesis.given(strategies.dictionaries(strategies.sampled_from(sorted(VALID)), JSON))
def test_any_document_gives_settings_or_raises_settings_error(changes):
    path = _FakePath(json.dumps(VALID | changes))
    try:
        settings = loading.load_daemon_settings(path)
    except errors.SettingsError as error:
        assert error.problems
    else:
        assert msgspec.to_builtins(settings)["endpoint_id"]


class _FakePath:
    """A path to a file with the given text."""

    name = "daemon.json"

    def __init__(self, text):
        self._text = text

    def read_text(self):
        return self._text
