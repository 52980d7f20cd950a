"""Tests of the retry budget that the daemons share."""

import hypothesis
from hypothesis import strategies

from savoryhollow.budgets import retries

RATIO, SLACK, WINDOW_S = 0.2, 60.0, 10.0


def make_budget(slack=SLACK, started=-WINDOW_S):
    return retries.SharedRetryBudget(RATIO, slack, WINDOW_S, started)


def test_a_daemon_gets_only_its_share_of_the_slack():
    budget = make_budget()
    taken = sum(budget.take_retry(0.0, daemons=6) for _ in range(100))
    assert taken == retries.DIRECT_SHARE * SLACK / 6


def test_a_request_allows_retries_until_the_window_has_passed():
    budget = make_budget(slack=0.0)
    for _ in range(20):
        budget.record_first_attempt(0.0)
    assert budget.take_retry(1.0, 1) and budget.take_retry(1.0, 1)
    assert not budget.take_retry(1.0, 1)
    assert not budget.take_retry(WINDOW_S + 0.5, 1)


def test_daemons_that_restart_one_after_the_other_add_nothing_to_the_slack():
    """Another daemon starts in each second of a window, and all of them retry."""
    retry_count = 0
    for second in range(int(WINDOW_S)):
        budget = make_budget(started=float(second))
        retry_count += sum(
            budget.take_retry(second + 1.0, daemons=1) for _ in range(100)
        )
    assert retry_count <= SLACK


def test_retries_leave_room_for_their_nested_calls():
    """Each request calls another service, and both budgets are used up."""
    caller, called = make_budget(), make_budget()
    for _ in range(1000):
        caller.record_first_attempt(0.0)
        called.record_first_attempt(0.0)
    caller_retries = sum(caller.take_retry(1.0, 1) for _ in range(1000))
    called_retries = sum(called.take_retry(1.0, 1) for _ in range(1000))
    assert caller_retries + called_retries <= RATIO * 1000 + SLACK


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 3), strategies.booleans()),
        max_size=300,
    )
)
def test_no_window_holds_more_retries_than_all_daemons_may_send(steps):
    budgets = [make_budget() for _ in range(4)]
    first_times, retry_times, now = [], [], 0.0
    for daemon, is_retry in steps:
        now += 0.1
        if is_retry:
            if budgets[daemon].take_retry(now, 4):
                retry_times.append(now)
        else:
            budgets[daemon].record_first_attempt(now)
            first_times.append(now)
    for end in retry_times:
        start = end - WINDOW_S
        sent = sum(start < at <= end for at in retry_times)
        # Retries in a window may be allowed by requests of the previous window.
        asked = sum(start - WINDOW_S < at <= end for at in first_times)
        assert sent <= RATIO * asked + SLACK
