"""Tests of when a gate's load is reported to other daemons."""

import types

from savoryhollow.proxy import load_reports


class Gate:
    """A gate whose pace changes to the next one of a list at each update."""

    def __init__(self, *paces):
        self.queue = types.SimpleNamespace(pace=1.0)
        self._paces = list(paces)

    def update_pace(self):
        self.queue.pace = self._paces.pop(0)

    def report(self):
        return self.queue.pace


class Port:
    def __init__(self, listeners):
        self.listeners = listeners
        self.sent = []

    def broadcast_load(self, report):
        self.sent.append(report)


def sent_after(paces, listeners):
    port = Port(listeners)
    reporter = load_reports.LoadReporter(Gate(*paces), port, lambda: 0.0)
    for _ in paces:
        reporter.handle_load()
    return port.sent


def test_a_large_change_in_pace_is_reported_at_once():
    """Other daemons would send work to an instance that has just become slow."""
    assert sent_after([1.1, 4.0, 4.1, 1.0], listeners=3) == [4.0, 1.0]


def test_many_listeners_get_reports_at_the_interval_only():
    """A report to each daemon of a large region at each change costs too much."""
    assert sent_after([4.0, 1.0], listeners=60) == []
