import hypothesis
from hypothesis import strategies

from savoryhollow.budgets import shared

RATIO, SLACK, WINDOW_S = 0.2, 60.0, 10.0


def test_a_daemon_begins_with_its_part_of_the_slack_alone():
    budget = shared.SharedRetryBudget(RATIO, SLACK, WINDOW_S)
    taken = sum(budget.take(0.0, daemons=12) for _ in range(100))
    assert taken == 5


def test_each_request_adds_the_ratio_until_the_window_has_passed():
    budget = shared.SharedRetryBudget(RATIO, 0.0, WINDOW_S)
    for _ in range(10):
        budget.note_first(0.0)
    assert budget.take(1.0, 1) and budget.take(1.0, 1)
    assert not budget.take(1.0, 1)
    assert not budget.take(WINDOW_S + 0.5, 1)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 3), strategies.booleans()),
        max_size=300,
    )
)
def test_no_window_holds_more_repeats_than_all_daemons_may_send(steps):
    budgets = [shared.SharedRetryBudget(RATIO, SLACK, WINDOW_S) for _ in range(4)]
    firsts, repeats, now = [], [], 0.0
    for daemon, wants_repeat in steps:
        now += 0.1
        if wants_repeat:
            if budgets[daemon].take(now, 4):
                repeats.append(now)
        else:
            budgets[daemon].note_first(now)
            firsts.append(now)
    for end in repeats:
        start = end - WINDOW_S
        sent = sum(start < at <= end for at in repeats)
        # A window's repeats may rest on requests of the window before it.
        asked = sum(start - WINDOW_S < at <= end for at in firsts)
        assert sent <= RATIO * asked + SLACK
