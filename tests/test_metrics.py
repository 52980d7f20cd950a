import collections
import re
import types

import hypothesis
import pytest
from hypothesis import strategies

from savoryhollow import calls, errors
from savoryhollow.backend import client
from savoryhollow.daemon import dump
from savoryhollow.observe import metrics, placements, process_stats, requests, runs
from savoryhollow.routing import evidence
from savoryhollow.wire import messages

SAMPLE = re.compile(r"([a-z_]+)(?:\{(.*)\})? (\S+)")
LOAD = messages.LoadReport(3, 2, 9, 20_000, False)


def make_call(service="dispatch", rank="lookup", request_id="id"):
    return calls.Call(
        request_id, service, rank, "c", 1.0, True, 0, 3, "GET", "/", (), b"secret"
    )


def make_served(request_id="id"):
    return calls.Served(request_id, "dispatch-0", 200, (), b"answer")


def make_refused(reason, request_id="id"):
    return calls.NotRun(request_id, reason, 50)


def make_snapshot(**fields):
    empty = {
        "endpoint_id": "dispatch-0",
        "region": "east",
        "requests": [],
        "runs": [],
        "placements": [],
        "retries_by_service": {},
        "retries_left_by_service": {},
        "load": LOAD,
        "outcome_records": 0,
        "evidence_ages_s": [],
        "link_bytes_by_region": {},
        "revision": 1,
        "list_revision": 1,
        "known_endpoints": 2,
        "platform_calls": 0,
        "platform_bytes": 0,
        "relay_bytes": 0,
        "is_reader": True,
        "suppressed_by_event": {},
        "process_stats": process_stats.read_process_stats(),
        "lag_s": 0.0,
        "highest_lag_s": 0.0,
    }
    return metrics.MetricsSnapshot(**(empty | fields))


def parse_samples(page):
    lines = [line for line in page.decode().splitlines() if not line.startswith("#")]
    return {
        (match[1], frozenset((match[2] or "").split(","))): float(match[3])
        for match in map(SAMPLE.fullmatch, lines)
    }


def format_labels(**values):
    return frozenset(f'{name}="{value}"' for name, value in values.items())


@hypothesis.given(strategies.lists(strategies.floats(0, 20), max_size=40))
def test_the_buckets_add_up_to_the_served_requests(times):
    totals = requests.RequestTotals()
    for response_s in times:
        totals.add(make_call(), make_served(), response_s)
    found = parse_samples(metrics.render(make_snapshot(requests=totals.totals())))
    name = "savoryhollow_request_duration_seconds"
    pair = {"service": "dispatch", "rank": "lookup"}
    if times:
        assert found[name + "_count", format_labels(**pair)] == len(times)
        assert found[name + "_sum", format_labels(**pair)] == pytest.approx(sum(times))
    for bound in requests.BUCKETS_S if times else ():
        below = sum(response_s <= bound for response_s in times)
        assert found[name + "_bucket", format_labels(**pair, le=bound)] == below


def test_unknown_service_names_create_no_separate_series():
    totals = requests.RequestTotals()
    for number in range(5000):
        reason = calls.NotRunReason.UNKNOWN_SERVICE
        totals.add(make_call(service=f"made-up-{number}"), make_refused(reason), 0.001)
    found = parse_samples(metrics.render(make_snapshot(requests=totals.totals())))
    key = format_labels(service="other", rank="other", reason="unknown-service")
    assert found["savoryhollow_refusals_total", key] == 5000
    assert not any("made-up" in label for _, shown in found for label in shown)


def test_the_number_of_series_is_bounded_at_the_design_size():
    totals = requests.RequestTotals()
    log = placements.PlacementLog(size=10)
    for service in range(340):
        for rank in range(3):
            asked = make_call(f"service-{service}", f"rank-{rank}")
            totals.add(asked, make_served(), 0.01)
            for reason in calls.NotRunReason:
                totals.add(asked, make_refused(reason), 0.01)
            for endpoint in range(26):
                log.add(make_record(asked.service, asked.rank, f"endpoint-{endpoint}"))
    page = metrics.render(
        make_snapshot(requests=totals.totals(), placements=log.accounts())
    )
    per_pair = len(requests.BUCKETS_S) + 3 + 4 + len(calls.NotRunReason)
    regions_and_outcomes = 4 * 4
    limit = 340 * 3 * (per_pair + regions_and_outcomes) + 100
    assert len(parse_samples(page)) < limit
    assert "endpoint-" not in page.decode()


def test_counts_are_bounded_and_complete_with_more_than_the_maximum_of_pairs(
    monkeypatch,
):
    monkeypatch.setattr(requests, "MAX_PAIRS", 5)
    totals = requests.RequestTotals()
    for number in range(20):
        totals.add(make_call(service=f"s-{number}"), make_served(), 0.01)
    kept = totals.totals()
    assert len(kept) == 6
    assert sum(total.outcomes["served"] for total in kept) == 20


def test_label_values_are_escaped():
    totals = requests.RequestTotals()
    totals.add(make_call(service='a"b\\c\nd'), make_served(), 0.01)
    page = metrics.render(make_snapshot(requests=totals.totals())).decode()
    assert 'service="a\\"b\\\\c\\nd"' in page


def make_record(service, rank, endpoint_id, outcome="served", attempt=0):
    return placements.PlacementRecord(
        "id", service, rank, attempt, endpoint_id, "east", outcome, 1.0, 1.0
    )


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from("ab"),
            strategies.integers(0, 30),
            strategies.sampled_from(["served", "not-run"]),
            strategies.integers(0, 2),
        ),
        max_size=80,
    )
)
def test_totals_stay_complete_when_endpoints_come_and_go(attempts):
    log = placements.PlacementLog(size=4)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(placements, "MAX_TOTALS", 6)
        for service, number, outcome, attempt in attempts:
            log.add(make_record(service, "rank", f"e-{number}", outcome, attempt))
    counted = collections.Counter()
    for total in log.accounts():
        counted[total.service, total.outcome] += total.attempts
    made = collections.Counter((attempt[0], attempt[2]) for attempt in attempts)
    assert counted == made
    assert sum(log.totals().values()) == len(attempts)
    assert len(log.accounts()) <= 6 + 4
    retries = sum(attempt[3] > 0 for attempt in attempts)
    assert sum(log.retries_by_service().values()) == retries


# ---------------------------------------------------------------------------
#   Runs and dumps
# ---------------------------------------------------------------------------


def make_message(attempt_id="id.0"):
    return messages.CallMessage(
        attempt_id, "dispatch", "lookup", "c", 500_000, True, 0, 3, "GET", "/", (), b""
    )


def test_a_run_is_recorded_with_its_wait_and_its_outcome(monkeypatch):
    times = iter([10.2, 10.3, 10.4, 10.5])
    clock = types.SimpleNamespace(monotonic=lambda: next(times), time=lambda: 7.0)
    monkeypatch.setattr(runs, "time", clock)
    answers = iter([client.BackendAnswer(200, (), b"four")])

    def run(call, deadline):
        try:
            return next(answers)
        except StopIteration:
            raise errors.BackendError(
                "connection lost; try again", started=True
            ) from None

    log = runs.RunLog()
    observed = log.observe(run)
    # The call arrived at 10.0, 0.5 s before its deadline.
    observed(make_message(), 10.5)
    with pytest.raises(errors.BackendError):
        observed(make_message("id.1"), 10.5)
    first, second = log.find("id")
    assert (first.outcome, first.status, first.answer_bytes) == ("answered", 200, 4)
    assert first.waited_ms == pytest.approx(200)
    assert first.ran_ms == pytest.approx(100)
    assert (second.attempt_id, second.outcome) == ("id.1", "lost")
    assert {(t.outcome, t.runs) for t in log.totals()} == {("answered", 1), ("lost", 1)}


def test_the_number_of_entries_in_a_dump_is_bounded():
    held = {f"e-{i}": evidence.EndpointEvidence(reported_at=i) for i in range(8800)}
    shown = dump._newest_evidence(held)
    assert len(shown) == dump.MAX_ENTRIES
    assert "e-8799" in shown
    assert shown["e-8799"]["failing_until"] is None
