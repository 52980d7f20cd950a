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
    """Say whether no window of (instant, amount) pairs holds more than allowed."""
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


def test_a_new_bucket_is_empty_and_a_full_one_may_owe():
    bucket = buckets.TokenBucket(100.0, 0.0)
    assert not bucket.can_spend(1.0, 0.0)
    assert bucket.can_spend(500.0, 1.0)
    bucket.spend(500.0, 1.0)
    assert not bucket.can_spend(1.0, 4.9)
    assert bucket.can_spend(1.0, 5.1)


# ---------------------------------------------------------------------------
#   The fleet
# ---------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(12))
def test_shares_never_add_up_to_more_than_the_budget(seed):
    """Lists lag, processes restart and sleep, and their clocks differ."""
    rng = random.Random(seed)
    budget, holders = 10_000.0, 8
    offsets = [rng.uniform(0, 1e6) for _ in range(holders)]
    asleep_until = [0.0] * holders
    fleet = [new_budgets(rng, budget, holders, offset) for offset in offsets]
    spendings = []
    now = 0.0
    for _ in range(3_000):
        now += rng.expovariate(100)
        number = rng.randrange(holders)
        chance = rng.random()
        if chance < 0.01:
            offsets[number] = rng.uniform(0, 1e6)
            fleet[number] = new_budgets(rng, budget, holders, now + offsets[number])
        elif chance < 0.02:
            asleep_until[number] = now + rng.uniform(0, 30)
        if asleep_until[number] > now:
            continue
        here = now + offsets[number]
        reserved = fleet[number].reserve("s", rng.randrange(50, 1_000), here)
        if reserved is not None:
            used = rng.randrange(0, reserved.reserved_bytes)
            fleet[number].settle(reserved, used, 0, here)
            spendings.append((now, used))
    assert len(spendings) > 20
    assert within_every_window(spendings, budget)


def new_budgets(rng, budget, holders, now):
    lagging = rng.randint(1, holders)
    made = links.LinkBudgets(lambda: lagging, now)
    made.configure(configuration(budget, holders), now)
    return made


def test_a_list_that_is_longer_than_declared_lowers_the_share():
    known = 4
    made = links.LinkBudgets(lambda: known, 0.0)
    made.configure(configuration(8_000, 4), 0.0)
    assert made.states_by_service()["s"].share_bytes_per_s == 2_000
    known = 8
    made.reserve("s", 1, 0.0)
    assert made.states_by_service()["s"].share_bytes_per_s == 1_000


def test_a_share_is_lowered_at_once_and_raised_later():
    made = links.LinkBudgets(lambda: 1, 0.0)
    for budget, at, share in (
        (1_600, 0.0, 100),
        (800, 1.0, 50),
        (1_600, 2.0, 50),
        (1_600, 2.0 + links.RAISE_DELAY_S, 100),
    ):
        made.configure(configuration(budget), at)
        assert made.states_by_service()["s"].share_bytes_per_s == share


def test_a_service_that_is_not_configured_may_not_cross():
    made = links.LinkBudgets(lambda: 1, 0.0)
    assert made.reserve("s", 1, 5.0) is None
    made.configure(configuration(160_000), 5.0)
    assert made.reserve("s", 1, 6.0) is not None
    made.configure(models.Configuration({}), 20.0)
    assert made.reserve("s", 1, 30.0) is None


def test_larger_answers_are_expected_after_they_were_seen():
    made = links.LinkBudgets(lambda: 1, 0.0)
    made.configure(configuration(16_000_000), 0.0)
    first = made.reserve("s", 100, 1.0)
    made.settle(first, 100, 50_000, 1.0)
    assert made.reserve("s", 100, 2.0).reserved_bytes > first.reserved_bytes


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


def test_requests_that_may_not_cross_are_refused_as_not_run(running):
    answer = ask(running, "s-1", "far")
    assert answer.status == 503
    assert answer.json()["reason"] == "link-budget"


def test_the_bytes_on_the_link_stay_within_the_budget(running):
    first, idle_from = time.monotonic(), link_bytes(running)
    time.sleep(3.0)
    idle_rate = (link_bytes(running) - idle_from) / (time.monotonic() - first)
    started, before = time.monotonic(), link_bytes(running)
    for _ in range(250):
        assert ask(running, "s-0", "s", b"x" * 2_000).status == 200
    elapsed = time.monotonic() - started
    crossed = link_bytes(running) - before - idle_rate * elapsed
    share = BUDGET / 4
    assert crossed <= share * (elapsed + buckets.BURST_S)
    served = running.records(running.instances_by_id["s-1"])
    assert 0 < len(served) < 125
