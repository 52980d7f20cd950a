"""Tests of when a gate's load is reported to other daemons."""

import collections
import types

from savoryhollow.proxy import load_reports

OWN, OTHER = load_reports.OWN_ZONE_INTERVAL_S, load_reports.OTHER_ZONE_INTERVAL_S


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
    """Has a listener for each of the given intervals."""

    def __init__(self, *intervals_s):
        self.report_intervals_by_listener = dict(enumerate(intervals_s))
        self.sent = []

    def send_load(self, report, listeners):
        self.sent += [(listener, report) for listener in listeners]


def sent_after(paces, *intervals_s):
    port = Port(*intervals_s)
    reporter = load_reports.LoadReporter(Gate(*paces), port, lambda: 0.0)
    for _ in paces:
        reporter.handle_load()
    return port.sent


def count_reports(seconds, *intervals_s, changes=True):
    """Return how many reports each listener gets in the given time."""
    port, gate = Port(*intervals_s), Gate()
    now = 0.0
    reporter = load_reports.LoadReporter(gate, port, lambda: now)
    steps = round(seconds / OWN)
    for step in range(steps):
        now = step * OWN
        gate.queue.pace = float(step) if changes else 1.0
        reporter.report_due()
    return collections.Counter(listener for listener, _ in port.sent)


def test_a_large_change_in_pace_is_reported_at_once():
    """Other daemons would send work to an instance that has just become slow."""
    sent = sent_after([1.1, 4.0, 4.1, 1.0], OWN, OTHER)
    assert sent == [(0, 4.0), (1, 4.0), (0, 1.0), (1, 1.0)]


def test_many_listeners_get_reports_at_the_interval_only():
    """A report to each daemon of a large region at each change costs too much."""
    assert sent_after([4.0, 1.0], *[OWN] * 60) == []


def test_daemons_of_the_own_zone_get_reports_more_often():
    """Reports to other zones are billed, and few requests go there."""
    intervals_s = [OWN] * 9 + [OTHER] * 9
    counts = count_reports(6.0, *intervals_s)
    assert counts[0] >= 2 * counts[9]


def test_daemons_of_other_zones_get_as_many_where_few_listen():
    counts = count_reports(3.0, OWN, OTHER)
    assert counts == {0: 30, 1: 30}


def test_an_unchanged_report_is_sent_less_often():
    counts = count_reports(3.0, OWN, OTHER, changes=False)
    assert counts == {0: 6, 1: 6}


def test_reports_to_many_listeners_keep_to_the_limit():
    """In a large region there would be hundreds of reports a second."""
    intervals_s = [OWN] * 13 + [OTHER] * 30
    counts = count_reports(10.0, *intervals_s)
    total = sum(counts.values())
    assert total <= 10 * load_reports.MAX_REPORTS_PER_S + len(intervals_s)
    assert min(counts[listener] for listener in range(13)) > counts[13]


def test_a_listener_that_left_is_forgotten_and_a_new_one_gets_a_report_at_once():
    port, gate = Port(OWN), Gate()
    reporter = load_reports.LoadReporter(gate, port, lambda: 0.0)
    reporter.report_due()
    port.report_intervals_by_listener = {5: OTHER}
    reporter.report_due()
    assert port.sent == [(0, 1.0), (5, 1.0)]
