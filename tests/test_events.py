import ast
import json
import logging
import pathlib
import re
import threading

import absl.logging
import hypothesis
import pytest
from hypothesis import strategies

from savoryhollow.observe import events

ROOT = pathlib.Path(__file__).parent.parent
ROW = re.compile(r"\| (\d+) \| `(\w+)` \| (.+?) \| (.*?) ?\| .+ \|")


def read_catalogue():
    text = (ROOT / "docs" / "EVENTS.md").read_text()
    return {int(row[0]): row[1:] for row in ROW.findall(text)}


@pytest.fixture
def lines(monkeypatch, capsys):
    monkeypatch.setattr(events, "_context", events._LogContext())
    monkeypatch.setattr(threading, "excepthook", threading.excepthook)
    events.configure("dispatch-0", "info", "info")
    yield lambda: capsys.readouterr().err.splitlines()
    handler = absl.logging.get_absl_handler()
    handler.setFormatter(None)
    for log_filter in handler.filters[:]:
        handler.removeFilter(log_filter)


def test_the_catalogue_lists_every_event_with_its_name_and_level():
    listed = read_catalogue()
    assert {number: row[0] for number, row in listed.items()} == {
        int(event): event.name.lower() for event in events.Event
    }
    for event in events.Event:
        level = logging.getLevelName(events.event_level(event)).lower()
        special = {
            events.Event.REQUEST_PLACED: "`placement_log_level`",
            events.Event.LIBRARY_MESSAGE: "as logged",
        }
        assert listed[event][1] == special.get(event, level)


def test_the_catalogue_lists_the_fields_of_every_emitted_event():
    listed = {row[0]: set(row[2].split(", ")) for row in read_catalogue().values()}
    for path in sorted((ROOT / "src").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            name = getattr(node.func, "attr", getattr(node.func, "id", ""))
            if name != "emit" or not isinstance(node.args[0], ast.Attribute):
                continue
            fields = {keyword.arg for keyword in node.keywords}
            event = node.args[0].attr.lower()
            assert fields <= listed[event], f"{path.name}: {event}"


def test_every_log_line_is_json(lines):
    events.emit(events.Event.MEMBERS_CHANGED, revision=3)
    absl.logging.warning("a library's message\nin two lines")
    thread = threading.Thread(target=lambda: {}["secret"], name="worker")
    thread.start()
    thread.join()
    parsed = [json.loads(line) for line in lines()]
    assert [line["event"] for line in parsed] == [3001, 9001, 9002]
    assert {line["instance"] for line in parsed} == {"dispatch-0"}
    assert all(line["time"] > 0 and line["level"] for line in parsed)
    assert "secret" not in json.dumps(parsed[2])


def test_an_event_below_the_level_is_not_logged(lines):
    events.configure("dispatch-0", "warning", "info")
    events.emit(events.Event.MEMBERS_CHANGED, revision=3)
    assert lines() == []


def test_repeated_events_are_suppressed_and_counted(lines):
    for number in range(events.LINES_PER_WINDOW + 5):
        events.emit(events.Event.STORE_UNREACHABLE, detail=str(number))
    assert len(lines()) == events.LINES_PER_WINDOW
    assert events.suppressed_by_event() == {"store_unreachable": 5}


def test_messages_of_libraries_are_rate_limited(lines):
    for number in range(events.LINES_PER_WINDOW + 5):
        logging.getLogger("a.library").warning("message %d", number)
    assert len(lines()) == events.LINES_PER_WINDOW
    assert events.suppressed_by_event() == {"library_message": 5}


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(events.Event), strategies.floats(0, 5)
        ),
        max_size=300,
    )
)
def test_the_limiter_counts_every_suppressed_line(steps):
    limiter = events.EventLimiter()
    now = 0.0
    admitted = {}
    reported = 0
    for event, pause in steps:
        now += pause
        suppressed = limiter.admit(event, now)
        if suppressed is not None:
            admitted.setdefault(event, []).append(now)
            reported += suppressed
    admitted_count = sum(len(times) for times in admitted.values())
    suppressed_count = limiter.suppressed_by_event.total()
    assert admitted_count + suppressed_count == len(steps)
    assert reported <= suppressed_count
    for event, times in admitted.items():
        limit = events._lines_per_window(event)
        for first, later in zip(times, times[2 * limit :], strict=False):
            assert later - first >= events.WINDOW_S
