import dataclasses
import random

import hypothesis
import pytest
from hypothesis import strategies

from savoryhollow import calls
from savoryhollow.recovery import retrying
from savoryhollow.wire import messages

TICKET = calls.Ticket("id", "e", "i", calls.Origin("s", 1, 1))
NOT_RUN = calls.NotRun("id", calls.NotRunReason.UNREACHABLE, 1)
UNKNOWN = calls.Unknown("id", TICKET, "lost")
FAILED = calls.Served("id", "e", 500, (), b"")
TREE_DEPTH = 17
# Attempts that a router makes for one call at most.
SERVICE_ATTEMPTS = 3


def call(depth=0, attempts_left=6, idempotent=True):
    return calls.Call(
        "id", "s", "r", "c", 10.0, idempotent, depth, attempts_left, "GET", "/", (), b""
    )


class Tree:
    """A chain of calls in which every hop fails, as routers would place it."""

    def __init__(self, seed, idempotent, failures):
        self.rng = random.Random(seed)
        self.idempotent = idempotent
        self.failures = failures
        self.attempts = 0

    def place(self, depth, attempts_left):
        one = call(depth, attempts_left, self.idempotent)
        allowance = retrying.initial_allowance(one)
        for _ in range(SERVICE_ATTEMPTS):
            self.attempts += 1
            outcome = self.rng.choice(self.failures)
            ran = outcome is not NOT_RUN
            if ran and depth + 1 < TREE_DEPTH:
                self.place(depth + 1, allowance.attempts_left)
            if not retrying.may_retry(one, outcome, 0.0, trial=True):
                return
            if not allowance.take_retry(outcome):
                return


@hypothesis.given(
    strategies.integers(0, 10**6),
    strategies.integers(1, 64),
    strategies.booleans(),
    strategies.lists(
        strategies.sampled_from((NOT_RUN, UNKNOWN, FAILED)), min_size=1, max_size=5
    ),
)
def test_a_tree_whose_every_hop_fails_makes_few_attempts(seed, left, idempotent, kinds):
    tree = Tree(seed, idempotent, kinds)
    tree.place(0, left)
    assert tree.attempts <= 2 * TREE_DEPTH + left


def test_the_same_tree_without_an_allowance_for_all_of_it_grows_by_its_depth():
    attempts = sum(SERVICE_ATTEMPTS**depth for depth in range(1, TREE_DEPTH + 1))
    assert attempts > 10**8


@hypothesis.given(strategies.integers(0, 32), strategies.integers(1, 64))
def test_what_is_kept_and_passed_on_is_what_came(depth, left):
    allowance = retrying.initial_allowance(call(depth, left))
    assert allowance.attempts_left + allowance.kept == left
    assert allowance.kept == 0 or depth == 0


@hypothesis.given(
    strategies.integers(1, 64), strategies.lists(strategies.booleans(), max_size=80)
)
def test_no_more_is_ever_passed_on_than_remains(left, not_run):
    allowance = retrying.initial_allowance(call(0, left))
    attempts, carried = 1, allowance.attempts_left
    for proved in not_run:
        spent = 0 if proved else carried - 1
        if not allowance.take_retry(NOT_RUN if proved else UNKNOWN):
            break
        attempts += 1
        carried = allowance.attempts_left
        assert attempts + spent + carried - 1 + allowance.kept <= left


def test_a_nested_call_is_not_repeated_after_an_unknown_outcome():
    assert not retrying.initial_allowance(call(3, 6)).take_retry(UNKNOWN)
    assert retrying.initial_allowance(call(0, 6)).take_retry(UNKNOWN)


def test_the_backend_server_is_told_what_its_own_calls_may_spend():
    seen = []
    run = retrying.with_allowance_headers(
        lambda message, deadline: seen.append(message)
    )
    message = messages.CallMessage(
        "id", "s", "r", "c", 1, True, 4, 3, "GET", "/", (calls.Header("A", "b"),), b""
    )
    run(message, 1.0)
    headers = {header.name: header.value for header in seen[0].headers}
    assert headers == {
        "A": "b",
        "Savoryhollow-Depth": "5",
        "Savoryhollow-Attempts-Left": "3",
    }


@hypothesis.given(
    strategies.floats(0, 1), strategies.lists(strategies.booleans(), max_size=300)
)
def test_retries_stay_within_their_share_of_first_attempts(ratio, firsts):
    budget = retrying.RetryBudget(ratio)
    retries = 0
    for first in firsts:
        if first:
            budget.deposit()
        else:
            retries += budget.withdraw()
    assert retries <= retrying.MAX_SAVED_RETRIES + ratio * sum(firsts) + 1e-6


def test_a_budget_of_nothing_allows_no_retry():
    budget = retrying.RetryBudget(0.0)
    budget.deposit()
    assert not budget.withdraw()


@pytest.mark.parametrize("trial", [True, False])
@pytest.mark.parametrize("outcome", [UNKNOWN, FAILED])
def test_work_that_may_have_run_is_repeated_only_where_idempotent(outcome, trial):
    never = call(idempotent=False)
    assert not retrying.may_retry(never, outcome, 0.0, trial=trial)


def test_a_failure_answered_is_repeated_only_after_a_trial():
    assert retrying.may_retry(call(), FAILED, 0.0, trial=True)
    assert not retrying.may_retry(call(), FAILED, 0.0)


def test_nothing_is_placed_again_after_the_deadline():
    late = dataclasses.replace(call(), deadline=0.0)
    assert not retrying.may_retry(late, NOT_RUN, 1.0)
