import hypothesis
from hypothesis import strategies

from savoryhollow.routing import evidence, pauses
from savoryhollow.wire import messages

TIMES = strategies.floats(0, 1e4)


def make_report(busy=0, queued=0):
    return messages.LoadReport(busy, queued, 9, 40_000, False)


def make_distrusted(endpoint_evidence, now=0.0):
    while endpoint_evidence.trusted:
        endpoint_evidence.record_failure(now, reached=True)
    return endpoint_evidence


def test_an_endpoint_is_distrusted_when_unreachable_but_not_after_one_failed_answer():
    endpoint_evidence = evidence.EndpointEvidence()
    endpoint_evidence.record_failure(0.0, reached=True)
    assert endpoint_evidence.trusted
    endpoint_evidence.record_failure(0.0, reached=False)
    assert not endpoint_evidence.trusted


@hypothesis.given(strategies.integers(2, 5000))
def test_any_number_of_failures_gives_a_bounded_backoff(count):
    endpoint_evidence = evidence.EndpointEvidence()
    now = 0.0
    for _ in range(count):
        endpoint_evidence.record_failure(now, reached=False)
        now = endpoint_evidence.failing_until
    assert (
        evidence.MIN_BACKOFF_S <= endpoint_evidence.backoff_s <= evidence.MAX_BACKOFF_S
    )


@hypothesis.given(strategies.lists(strategies.booleans(), max_size=60))
def test_a_recovered_endpoint_is_trusted_after_few_successes(answers):
    endpoint_evidence = evidence.EndpointEvidence()
    for good in answers:
        if good:
            endpoint_evidence.record_success(0.04, 1.0)
        else:
            endpoint_evidence.record_failure(1.0, reached=True)
    for _ in range(5):
        endpoint_evidence.record_success(0.04, 100.0)
    assert endpoint_evidence.trusted


def test_failures_of_earlier_requests_do_not_extend_the_backoff():
    endpoint_evidence = make_distrusted(evidence.EndpointEvidence())
    for _ in range(9):
        endpoint_evidence.record_failure(0.01, reached=True)
    assert endpoint_evidence.backoff_s == evidence.MIN_BACKOFF_S


def test_a_distrusted_endpoint_is_tried_by_one_request_at_a_time():
    endpoint_evidence = make_distrusted(evidence.EndpointEvidence())
    assert not endpoint_evidence.is_trial_due(0.0, 0)
    assert endpoint_evidence.is_trial_due(1.0, 0)
    endpoint_evidence.record_start()
    assert not endpoint_evidence.is_trial_due(1.0, 0)


def test_an_endpoint_that_is_trusted_again_starts_slowly():
    endpoint_evidence = make_distrusted(evidence.EndpointEvidence())
    while not endpoint_evidence.trusted:
        endpoint_evidence.record_success(0.04, 10.0)
    assert endpoint_evidence.slow_start_share(10.0) == 0.0
    assert 0 < endpoint_evidence.slow_start_share(10.0 + evidence.SLOW_START_S / 2) < 1
    assert endpoint_evidence.slow_start_share(10.0 + evidence.SLOW_START_S) == 1.0


def test_a_new_incarnation_resets_the_evidence():
    endpoint_evidence = make_distrusted(evidence.EndpointEvidence(incarnation="a"))
    endpoint_evidence.record_report(make_report(9, 9), 1.0)
    endpoint_evidence.record_incarnation("b", 1.0)
    assert endpoint_evidence.trusted
    assert endpoint_evidence.report is None
    assert endpoint_evidence.slow_start_share(1.0) == 0.0


def test_the_first_sample_after_a_gap_replaces_the_old_response_time():
    endpoint_evidence = evidence.EndpointEvidence()
    endpoint_evidence.record_success(0.2, 0.0)
    endpoint_evidence.record_success(0.04, 60.0)
    assert endpoint_evidence.response_s < 0.041


@hypothesis.given(TIMES, TIMES)
def test_the_weight_of_a_report_falls_with_its_age(first, second):
    endpoint_evidence = evidence.EndpointEvidence()
    endpoint_evidence.record_report(make_report(), 0.0)
    older, younger = max(first, second), min(first, second)
    assert (
        0
        <= endpoint_evidence.report_weight(older)
        <= endpoint_evidence.report_weight(younger)
        <= 1
    )
    assert (endpoint_evidence.report_weight(older) > 0) == (
        endpoint_evidence.fresh_report(older) is not None
    )


@hypothesis.given(strategies.integers(0, 30), strategies.integers(0, 30))
def test_own_requests_are_not_counted_as_load_from_others(own, busy):
    endpoint_evidence = evidence.EndpointEvidence(in_flight=own)
    endpoint_evidence.record_report(make_report(busy), 0.0)
    endpoint_evidence.record_start()
    assert endpoint_evidence.load_from_others() == max(0, busy - own)


def test_a_pause_is_detected_at_the_first_tick_after_it():
    detector = pauses.PauseDetector(0.0)
    detector.tick(0.3)
    assert not detector.paused_since(0.1, 0.4)
    detector.tick(30.0)
    assert detector.paused_since(0.1, 30.1)
    assert not detector.paused_since(30.05, 30.1)


def test_a_pause_is_detected_before_the_ticking_thread_runs():
    detector = pauses.PauseDetector(0.0)
    detector.start()
    try:
        now = detector._last_tick_at + 10.0
        assert detector.paused_since(now - 0.1, now)
    finally:
        detector.stop()
