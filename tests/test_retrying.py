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
CHAIN_LENGTH = 17
# The most attempts that a router makes for one call.
MAX_ATTEMPTS = 3


def call(depth=0, attempts_left=6, idempotent=True):
    return calls.Call(
        "id", "s", "r", "c", 10.0, idempotent, depth, attempts_left, "GET", "/", (), b""
    )


class FailingChain:
    """A chain of nested calls that all fail and are retried as routers would do."""

    def __init__(self, seed, idempotent, failures):
        self.rng = random.Random(seed)
        self.idempotent = idempotent
        self.failures = failures
        self.attempts = 0

    def place(self, depth, attempts_left):
        current = call(depth, attempts_left, self.idempotent)
        allowance = retrying.initial_allowance(current)
        for _ in range(MAX_ATTEMPTS):
            self.attempts += 1
            outcome = self.rng.choice(self.failures)
            ran = outcome is not NOT_RUN
            if ran and depth + 1 < CHAIN_LENGTH:
                self.place(depth + 1, allowance.attempts_left)
            if not retrying.may_retry(current, outcome, 0.0, trial=True):
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
def test_a_tree_whose_every_hop_fails_makes_few_attempts(
    seed, attempts_left, idempotent, failures
):
    chain = FailingChain(seed, idempotent, failures)
    chain.place(0, attempts_left)
    assert chain.attempts <= 2 * CHAIN_LENGTH + attempts_left


def test_without_a_shared_allowance_the_attempts_grow_exponentially_with_depth():
    attempts = sum(MAX_ATTEMPTS**depth for depth in range(1, CHAIN_LENGTH + 1))
    assert attempts > 10**8


@hypothesis.given(strategies.integers(0, 32), strategies.integers(1, 64))
def test_retries_kept_and_passed_on_add_up_to_the_attempts_left(depth, attempts_left):
    allowance = retrying.initial_allowance(call(depth, attempts_left))
    assert allowance.attempts_left + allowance.kept == attempts_left
    assert allowance.kept == 0 or depth == 0


@hypothesis.given(
    strategies.integers(1, 64), strategies.lists(strategies.booleans(), max_size=80)
)
def test_an_allowance_never_exceeds_the_attempts_left(attempts_left, not_run):
    allowance = retrying.initial_allowance(call(0, attempts_left))
    attempts, attempts_passed_on = 1, allowance.attempts_left
    for proved_not_run in not_run:
        spent = 0 if proved_not_run else attempts_passed_on - 1
        if not allowance.take_retry(NOT_RUN if proved_not_run else UNKNOWN):
            break
        attempts += 1
        attempts_passed_on = allowance.attempts_left
        assert (
            attempts + spent + attempts_passed_on - 1 + allowance.kept <= attempts_left
        )


def test_a_nested_call_is_not_retried_after_an_unknown_outcome():
    assert not retrying.initial_allowance(call(3, 6)).take_retry(UNKNOWN)
    assert retrying.initial_allowance(call(0, 6)).take_retry(UNKNOWN)


def test_a_call_carries_the_allowance_for_nested_calls_in_headers():
    sent = []
    run = retrying.with_allowance_headers(
        lambda message, deadline: sent.append(message)
    )
    message = messages.CallMessage(
        "id", "s", "r", "c", 1, True, 4, 3, "GET", "/", (calls.Header("A", "b"),), b""
    )
    run(message, 1.0)
    headers = {header.name: header.value for header in sent[0].headers}
    assert headers == {
        "A": "b",
        "Savoryhollow-Depth": "5",
        "Savoryhollow-Attempts-Left": "3",
    }


@hypothesis.given(
    strategies.floats(0, 1), strategies.lists(strategies.booleans(), max_size=300)
)
def test_retries_stay_within_their_ratio_of_first_attempts(ratio, firsts):
    budget = retrying.RetryBudget(ratio)
    retries = 0
    for first in firsts:
        if first:
            budget.deposit()
        else:
            retries += budget.withdraw()
    assert retries <= retrying.MAX_SAVED_RETRIES + ratio * sum(firsts) + 1e-6


def test_a_retry_budget_of_zero_allows_no_retry():
    budget = retrying.RetryBudget(0.0)
    budget.deposit()
    assert not budget.withdraw()


@pytest.mark.parametrize("trial", [True, False])
@pytest.mark.parametrize("outcome", [UNKNOWN, FAILED])
def test_a_request_that_may_have_run_is_retried_only_if_idempotent(outcome, trial):
    not_idempotent = call(idempotent=False)
    assert not retrying.may_retry(not_idempotent, outcome, 0.0, trial=trial)


def test_a_failure_response_is_retried_only_after_a_trial():
    assert retrying.may_retry(call(), FAILED, 0.0, trial=True)
    assert not retrying.may_retry(call(), FAILED, 0.0)


def test_nothing_is_retried_after_the_deadline():
    expired = dataclasses.replace(call(), deadline=0.0)
    assert not retrying.may_retry(expired, NOT_RUN, 1.0)
