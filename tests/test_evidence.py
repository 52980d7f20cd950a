import hypothesis
from hypothesis import strategies

from savoryhollow.routing import evidence, pauses
from savoryhollow.wire import messages

INSTANTS = strategies.floats(0, 1e4)


def report(busy=0, queued=0):
    return messages.LoadReport(busy, queued, 9, 40_000, False)


def failing(known, now=0.0):
    while known.trusted:
        known.record_failure(now, reached=True)
    return known


def test_one_failed_answer_does_not_end_trust_but_an_unreachable_one_does():
    known = evidence.EndpointEvidence()
    known.record_failure(0.0, reached=True)
    assert known.trusted
    known.record_failure(0.0, reached=False)
    assert not known.trusted


@hypothesis.given(strategies.integers(2, 5000))
def test_any_number_of_failures_gives_a_bounded_backoff(count):
    known = evidence.EndpointEvidence()
    now = 0.0
    for _ in range(count):
        known.record_failure(now, reached=False)
        now = known.failing_until
    assert evidence.MIN_BACKOFF_S <= known.backoff_s <= evidence.MAX_BACKOFF_S


@hypothesis.given(strategies.lists(strategies.booleans(), max_size=60))
def test_an_endpoint_that_works_again_is_soon_trusted(answers):
    known = evidence.EndpointEvidence()
    for good in answers:
        if good:
            known.record_success(0.04, 1.0)
        else:
            known.record_failure(1.0, reached=True)
    for _ in range(5):
        known.record_success(0.04, 100.0)
    assert known.trusted


def test_failures_sent_before_distrust_do_not_lengthen_it():
    known = failing(evidence.EndpointEvidence())
    for _ in range(9):
        known.record_failure(0.01, reached=True)
    assert known.backoff_s == evidence.MIN_BACKOFF_S


def test_a_distrusted_endpoint_is_tried_by_one_request_at_a_time():
    known = failing(evidence.EndpointEvidence())
    assert not known.is_trial_due(0.0, 0)
    assert known.is_trial_due(1.0, 0)
    known.record_start()
    assert not known.is_trial_due(1.0, 0)


def test_an_endpoint_trusted_again_gets_its_part_by_degrees():
    known = failing(evidence.EndpointEvidence())
    while not known.trusted:
        known.record_success(0.04, 10.0)
    assert known.slow_start_share(10.0) == 0.0
    assert 0 < known.slow_start_share(10.0 + evidence.SLOW_START_S / 2) < 1
    assert known.slow_start_share(10.0 + evidence.SLOW_START_S) == 1.0


def test_nothing_is_known_of_a_new_incarnation():
    known = failing(evidence.EndpointEvidence(incarnation="a"))
    known.record_report(report(9, 9), 1.0)
    known.record_incarnation("b", 1.0)
    assert known.trusted
    assert known.report is None
    assert known.slow_start_share(1.0) == 0.0


def test_the_first_sample_after_a_gap_replaces_an_old_figure():
    known = evidence.EndpointEvidence()
    known.record_success(0.2, 0.0)
    known.record_success(0.04, 60.0)
    assert known.response_s < 0.041


@hypothesis.given(INSTANTS, INSTANTS)
def test_a_report_weighs_less_the_older_it_is(first, second):
    known = evidence.EndpointEvidence()
    known.record_report(report(), 0.0)
    older, younger = max(first, second), min(first, second)
    assert 0 <= known.report_weight(older) <= known.report_weight(younger) <= 1
    assert (known.report_weight(older) > 0) == (known.fresh_report(older) is not None)


@hypothesis.given(strategies.integers(0, 30), strategies.integers(0, 30))
def test_own_requests_are_not_counted_as_load_of_others(own, busy):
    known = evidence.EndpointEvidence(in_flight=own)
    known.record_report(report(busy), 0.0)
    known.record_start()
    assert known.load_from_others() == max(0, busy - own)


def test_a_pause_is_noticed_by_its_first_tick_and_by_an_earlier_thread():
    detector = pauses.PauseDetector(0.0)
    detector.tick(0.3)
    assert not detector.paused_since(0.1, 0.4)
    detector.tick(30.0)
    assert detector.paused_since(0.1, 30.1)
    assert not detector.paused_since(30.05, 30.1)


def test_a_thread_that_wakes_before_the_ticking_one_notices_the_pause():
    detector = pauses.PauseDetector(0.0)
    detector.start()
    try:
        now = detector._last_tick_at + 10.0
        assert detector.paused_since(now - 0.1, now)
    finally:
        detector.stop()
