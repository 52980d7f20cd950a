import hypothesis
from hypothesis import strategies

from savoryhollow.budgets import retries

RATIO, SLACK, WINDOW_S = 0.2, 60.0, 10.0


def budget_of(slack=SLACK, started=-WINDOW_S):
    return retries.SharedRetryBudget(RATIO, slack, WINDOW_S, started)


def test_a_daemon_has_its_part_of_the_slack_and_no_more():
    budget = budget_of()
    taken = sum(budget.take_retry(0.0, daemons=6) for _ in range(100))
    assert taken == retries.DIRECT_SHARE * SLACK / 6


def test_each_request_adds_the_ratio_until_the_window_has_passed():
    budget = budget_of(slack=0.0)
    for _ in range(20):
        budget.record_first_attempt(0.0)
    assert budget.take_retry(1.0, 1) and budget.take_retry(1.0, 1)
    assert not budget.take_retry(1.0, 1)
    assert not budget.take_retry(WINDOW_S + 0.5, 1)


def test_daemons_that_restart_one_after_the_other_add_nothing_to_the_slack():
    """Each second of a window another process begins; all want to repeat."""
    repeats = 0
    for second in range(int(WINDOW_S)):
        budget = budget_of(started=float(second))
        repeats += sum(budget.take_retry(second + 1.0, daemons=1) for _ in range(100))
    assert repeats <= SLACK


def test_repeats_leave_room_for_the_calls_that_they_make_again():
    """Each request calls another service; both budgets are spent to the end."""
    caller, called = budget_of(), budget_of()
    for _ in range(1000):
        caller.record_first_attempt(0.0)
        called.record_first_attempt(0.0)
    repeated = sum(caller.take_retry(1.0, 1) for _ in range(1000))
    repeated_calls = sum(called.take_retry(1.0, 1) for _ in range(1000))
    assert repeated + repeated_calls <= RATIO * 1000 + SLACK


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 3), strategies.booleans()),
        max_size=300,
    )
)
def test_no_window_holds_more_repeats_than_all_daemons_may_send(steps):
    budgets = [budget_of() for _ in range(4)]
    firsts, repeats, now = [], [], 0.0
    for daemon, wants_repeat in steps:
        now += 0.1
        if wants_repeat:
            if budgets[daemon].take_retry(now, 4):
                repeats.append(now)
        else:
            budgets[daemon].record_first_attempt(now)
            firsts.append(now)
    for end in repeats:
        start = end - WINDOW_S
        sent = sum(start < at <= end for at in repeats)
        # A window's repeats may rest on requests of the window before it.
        asked = sum(start - WINDOW_S < at <= end for at in firsts)
        assert sent <= RATIO * asked + SLACK
