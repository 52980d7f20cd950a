"""Tests of the link budgets: one bucket, shares of many processes, real daemons."""

import json
import random
import time

import hypothesis
import pytest
import urllib3
from hypothesis import strategies as st

from emulator import deployment, plans
from savoryhollow.budgets import buckets, links
from savoryhollow.configuration import models

RANKS = {"lookup": models.RankModel(order=0)}


def configuration(budget, endpoints_at_most=16):
    limits = models.BudgetsModel(link_bytes_per_s=budget)
    service = models.ServiceModel(share=1.0, ranks=RANKS, budgets=limits)
    return models.Configuration({"s": service}, endpoints_at_most)


def within_every_window(spendings, budget, slack=0.0):
    """Return True if the (time, amount) pairs stay within the budget in each window."""
    for first, (start, _) in enumerate(spendings):
        total = 0.0
        for at, amount in spendings[first:]:
            total += amount
            if total > budget * (at - start + buckets.BURST_S) + slack + 1e-6:
                return False
    return True


# ---------------------------------------------------------------------------
#   One bucket
# ---------------------------------------------------------------------------


@hypothesis.given(
    st.lists(st.tuples(st.floats(0, 20), st.floats(0.1, 100)), max_size=40)
)
def test_no_window_holds_more_than_the_rate_allows_whatever_the_pauses(steps):
    now = 50.0
    bucket = buckets.TokenBucket(100.0, now)
    spendings = []
    for elapsed, amount in steps:
        now += elapsed
        if bucket.can_spend(amount, now):
            bucket.spend(amount, now)
            spendings.append((now, amount))
    assert within_every_window(spendings, 100.0)


def test_a_new_bucket_is_empty_and_a_full_one_may_go_into_debt():
    bucket = buckets.TokenBucket(100.0, 0.0)
    assert not bucket.can_spend(1.0, 0.0)
    assert bucket.can_spend(500.0, 1.0)
    bucket.spend(500.0, 1.0)
    assert not bucket.can_spend(1.0, 4.9)
    assert bucket.can_spend(1.0, 5.1)


# ---------------------------------------------------------------------------
#   Shares of several processes
# ---------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(12))
def test_shares_never_add_up_to_more_than_the_budget(seed):
    """Lists lag, processes restart and are paused, and their clocks differ."""
    rng = random.Random(seed)
    budget, holders = 10_000.0, 8
    clock_offsets = [rng.uniform(0, 1e6) for _ in range(holders)]
    paused_until = [0.0] * holders
    fleet = [
        make_link_budgets(rng, budget, holders, clock_offset)
        for clock_offset in clock_offsets
    ]
    spendings = []
    now = 0.0
    for _ in range(3_000):
        now += rng.expovariate(100)
        number = rng.randrange(holders)
        chance = rng.random()
        if chance < 0.01:
            clock_offsets[number] = rng.uniform(0, 1e6)
            fleet[number] = make_link_budgets(
                rng, budget, holders, now + clock_offsets[number]
            )
        elif chance < 0.02:
            paused_until[number] = now + rng.uniform(0, 30)
        if paused_until[number] > now:
            continue
        local_now = now + clock_offsets[number]
        reserved = fleet[number].reserve("s", rng.randrange(50, 1_000), local_now)
        if reserved is not None:
            used = rng.randrange(0, reserved.reserved_bytes)
            fleet[number].settle(reserved, used, 0, local_now)
            spendings.append((now, used))
    assert len(spendings) > 20
    assert within_every_window(spendings, budget)


def make_link_budgets(rng, budget, holders, now):
    known_endpoints = rng.randint(1, holders)
    link_budgets = links.LinkBudgets(lambda: known_endpoints, now)
    link_budgets.configure(configuration(budget, holders), now)
    return link_budgets


def test_more_listed_endpoints_than_configured_lower_the_share():
    known_endpoints = 4
    link_budgets = links.LinkBudgets(lambda: known_endpoints, 0.0)
    link_budgets.configure(configuration(8_000, 4), 0.0)
    assert link_budgets.states_by_service()["s"].share_bytes_per_s == 2_000
    known_endpoints = 8
    link_budgets.reserve("s", 1, 0.0)
    assert link_budgets.states_by_service()["s"].share_bytes_per_s == 1_000


def test_a_share_is_lowered_at_once_and_raised_later():
    link_budgets = links.LinkBudgets(lambda: 1, 0.0)
    for budget, at, share in (
        (1_600, 0.0, 100),
        (800, 1.0, 50),
        (1_600, 2.0, 50),
        (1_600, 2.0 + links.RAISE_DELAY_S, 100),
    ):
        link_budgets.configure(configuration(budget), at)
        assert link_budgets.states_by_service()["s"].share_bytes_per_s == share


def test_a_service_that_is_not_configured_may_not_use_the_link():
    link_budgets = links.LinkBudgets(lambda: 1, 0.0)
    assert link_budgets.reserve("s", 1, 5.0) is None
    link_budgets.configure(configuration(160_000), 5.0)
    assert link_budgets.reserve("s", 1, 6.0) is not None
    link_budgets.configure(models.Configuration({}), 20.0)
    assert link_budgets.reserve("s", 1, 30.0) is None


def test_a_large_answer_raises_the_expected_answer_size():
    link_budgets = links.LinkBudgets(lambda: 1, 0.0)
    link_budgets.configure(configuration(16_000_000), 0.0)
    first = link_budgets.reserve("s", 100, 1.0)
    link_budgets.settle(first, 100, 50_000, 1.0)
    assert link_budgets.reserve("s", 100, 2.0).reserved_bytes > first.reserved_bytes


# ---------------------------------------------------------------------------
#   Real daemons
# ---------------------------------------------------------------------------

BUDGET = 40_000
SERVICE = {"share": 0.5, "ranks": {"lookup": {"order": 0, "idempotent": True}}}
PLAN = plans.DeploymentPlan(
    name="budgets",
    regions=("east", "west"),
    zones_per_region=1,
    services=(plans.ServicePlan("s", 2, 2.0), plans.ServicePlan("far", 1, 2.0)),
    store_region="east",
    files={
        "10.json": json.dumps(
            {
                "endpoints_at_most": 4,
                "services": {
                    "s": SERVICE | {"budgets": {"link_bytes_per_s": BUDGET}},
                    "far": SERVICE | {"budgets": {"link_bytes_per_s": 0}},
                },
            }
        )
    },
)


@pytest.fixture(scope="module")
def running():
    with deployment.Deployment(PLAN, placement="round-robin") as started:
        yield started


def ask(running, endpoint_id, service, body=b""):
    url = running.front_url(running.instances_by_id[endpoint_id]) + "/work"
    headers = {"Savoryhollow-Service": service, "Savoryhollow-Rank": "lookup"}
    return urllib3.request("POST", url, headers=headers, body=body, retries=False)


def link_bytes(running):
    counts = running.control_link()
    return counts["bytes_out"] + counts["bytes_back"]


def test_requests_over_the_link_budget_are_refused_as_not_run(running):
    answer = ask(running, "s-1", "far")
    assert answer.status == 503
    assert answer.json()["reason"] == "link-budget"


def test_the_bytes_on_the_link_stay_within_the_budget(running):
    first, idle_bytes_before = time.monotonic(), link_bytes(running)
    time.sleep(3.0)
    idle_rate = (link_bytes(running) - idle_bytes_before) / (time.monotonic() - first)
    started, before = time.monotonic(), link_bytes(running)
    for _ in range(250):
        assert ask(running, "s-0", "s", b"x" * 2_000).status == 200
    elapsed = time.monotonic() - started
    sent_bytes = link_bytes(running) - before - idle_rate * elapsed
    share = BUDGET / 4
    assert sent_bytes <= share * (elapsed + buckets.BURST_S)
    served = running.run_counts(running.instances_by_id["s-1"])
    assert 0 < len(served) < 125
