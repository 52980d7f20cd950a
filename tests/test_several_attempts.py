"""The outcome that a caller gets after several attempts."""

import hypothesis
from hypothesis import strategies

from savoryhollow import calls
from savoryhollow.recovery import retrying

REASON = calls.NotRunReason.QUEUE_FULL
TICKET = calls.Ticket("r.0", "e", "1", calls.Origin("a", 1, 1))
OUTCOMES = strategies.sampled_from(
    (
        calls.NotRun("r", REASON, 1),
        calls.Unknown("r", TICKET, "lost"),
        calls.TimedOut("r", "e"),
        calls.Served("r", "e", 200, (), b""),
    )
)


@hypothesis.given(strategies.lists(OUTCOMES, min_size=1, max_size=5))
def test_not_run_is_returned_only_if_no_attempt_may_have_run(attempts):
    combined = None
    for latest in attempts:
        combined = retrying.combine_outcomes(combined, latest)
    none_ran = all(isinstance(attempt, calls.NotRun) for attempt in attempts)
    assert isinstance(combined, calls.NotRun) == none_ran
    if isinstance(attempts[-1], calls.Served):
        assert combined is attempts[-1]


@hypothesis.given(OUTCOMES, strategies.booleans(), strategies.floats(0, 2))
def test_a_request_that_may_have_run_is_retried_only_if_idempotent(
    outcome, idempotent, now
):
    call = calls.Call(*("r", "s", "k", "c", 1.0, idempotent, 0, 1, "GET", "/", (), b""))
    if retrying.may_retry(call, outcome, now):
        assert now < call.deadline
        assert idempotent or isinstance(outcome, calls.NotRun)
