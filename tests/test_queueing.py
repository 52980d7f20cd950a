"""Tests of the admission queue: order, floors, shedding, fairness among callers."""

import collections
import heapq
import itertools
import random

import hypothesis
import pytest
from hypothesis import strategies

from savoryhollow import calls
from savoryhollow.admission import queueing, rank_queues

RULES = {
    "urgent": rank_queues.RankRule(order=0, floor=0.3, worth=10),
    "ordinary": rank_queues.RankRule(order=1, floor=0.2, worth=5),
    "late": rank_queues.RankRule(order=2, floor=0.1, worth=1),
}
NUMBERS = itertools.count()


def make_entry(rank="urgent", caller="a", deadline=1e6):
    return rank_queues.Entry(f"r{next(NUMBERS)}", rank, caller, deadline)


def make_busy_queue(limit=10, rules=RULES):
    """Return a queue whose only slot is held by an ``ordinary`` request."""
    queue = queueing.AdmissionQueue(1, limit, rules)
    held = make_entry("ordinary")
    assert queue.offer(held, 0.0) is None
    assert queue.take(0.0) is held
    return queue, held


def serve_next(queue, held, count, now=0.0):
    order = []
    for _ in range(count):
        queue.release(held, 0.01, now)
        held = queue.take(now)
        order.append(held)
    return order


def run_flood(rates_by_rank, service_s=0.04, deadline_s=1.0, duration_s=30.0, seed=1):
    """Run the queue in virtual time.

    Returns the share of the slot time, the number of refused requests and the waits
    in s, each by rank.
    """
    rng = random.Random(seed)
    slots = 9
    queue = queueing.AdmissionQueue(slots, 64, RULES)
    events = []
    sequence = itertools.count()
    for rank, rate in rates_by_rank.items():
        at = 0.0
        while (at := at + rng.expovariate(rate)) < duration_s:
            heapq.heappush(events, (at, next(sequence), rank, None))
    served_s = collections.Counter()
    refused = collections.Counter()
    waits_by_rank = collections.defaultdict(list)
    while events:
        now, _, rank, held = heapq.heappop(events)
        if held is None:
            new_entry = make_entry(rank, deadline=now + deadline_s)
            refused_entry = queue.offer(new_entry, now)
            if refused_entry is not None:
                refused[refused_entry.rank] += 1
        else:
            started, running = held
            queue.release(running, now - started, now)
            served_s[rank] += now - started
        while (granted := queue.take(now)) is not None:
            if granted.refusal is not None:
                refused[granted.rank] += 1
                continue
            waits_by_rank[granted.rank].append(now - granted.deadline + deadline_s)
            ends = now + service_s * rng.uniform(0.5, 1.5)
            event = (ends, next(sequence), granted.rank, (now, granted))
            heapq.heappush(events, event)
        assert 0 <= queue.busy <= slots
        assert queue.waiting_count <= queue.limit
    capacity_s = slots * duration_s
    shares = {rank: served_s[rank] / capacity_s for rank in rates_by_rank}
    return shares, refused, waits_by_rank


def test_the_most_urgent_rank_is_served_next_whatever_its_deadline():
    queue, held = make_busy_queue(
        rules={n: rank_queues.RankRule(r.order, 0.0, r.worth) for n, r in RULES.items()}
    )
    for rank, deadline in (("late", 10), ("ordinary", 20), ("urgent", 30)):
        queue.offer(make_entry(rank, deadline=deadline), 0.0)
    order = serve_next(queue, held, 3)
    assert [e.rank for e in order] == ["urgent", "ordinary", "late"]


def test_the_earliest_deadline_of_a_caller_is_served_next():
    queue, held = make_busy_queue()
    for deadline in (30, 10, 20):
        queue.offer(make_entry(deadline=deadline), 0.0)
    order = serve_next(queue, held, 3)
    assert [e.deadline for e in order] == [10, 20, 30]


def test_a_caller_that_floods_a_rank_does_not_hold_up_the_others():
    queue, held = make_busy_queue(limit=40)
    for _ in range(20):
        queue.offer(make_entry(caller="flood", deadline=5), 0.0)
    queue.offer(make_entry(caller="b", deadline=9), 0.0)
    queue.offer(make_entry(caller="c", deadline=9), 0.0)
    callers = [e.caller for e in serve_next(queue, held, 4)]
    assert set(callers[:3]) == {"flood", "b", "c"}


def test_a_stream_of_new_callers_does_not_starve_an_old_one():
    queue, held = make_busy_queue(limit=40)
    for _ in range(10):
        queue.offer(make_entry(caller="old", deadline=100), 0.0)
    callers = []
    for number in range(12):
        queue.offer(make_entry(caller=f"new-{number}", deadline=5), 0.0)
        queue.offer(make_entry(caller=f"next-{number}", deadline=5), 0.0)
        held = serve_next(queue, held, 1)[0]
        callers.append(held.caller)
    assert callers.count("old") >= 2


def test_a_request_that_can_not_end_in_time_is_refused_at_once():
    queue, _ = make_busy_queue(limit=1000)
    for _ in range(100):
        queue.offer(make_entry(deadline=0.4), 0.0)
    doomed = make_entry(deadline=0.4)
    assert queue.offer(doomed, 0.0) is doomed
    assert doomed.refusal is calls.NotRunReason.DEADLINE


def test_less_urgent_requests_do_not_add_to_the_wait_of_urgent_ones():
    rules = RULES | {"urgent": rank_queues.RankRule(order=0, floor=0.0, worth=10)}
    queue, _ = make_busy_queue(limit=1000, rules=rules)
    for _ in range(500):
        queue.offer(make_entry("late"), 0.0)
    assert queue.offer(make_entry("urgent", deadline=0.1), 0.0) is None


def test_a_rank_below_its_floor_is_expected_to_be_served_next():
    queue = queueing.AdmissionQueue(9, 100, RULES)
    for _ in range(60):
        queue.offer(make_entry("urgent"), 0.0)
        queue.take(0.0)
    assert queue.offer(make_entry("late", deadline=0.02), 0.0) is None


def test_a_full_queue_sheds_the_lowest_worth_first():
    queue, _ = make_busy_queue(limit=10)
    for _ in range(10):
        queue.offer(make_entry("late"), 0.0)
    shed = queue.offer(make_entry("urgent"), 0.0)
    assert shed.rank == "late"
    assert shed.refusal is calls.NotRunReason.OVERLOADED
    assert queue.waiting_count == 10


def test_a_full_queue_keeps_places_for_each_floor():
    queue, _ = make_busy_queue(limit=10)
    for _ in range(10):
        queue.offer(make_entry("urgent"), 0.0)
    assert queue.offer(make_entry("late"), 0.0).rank == "urgent"
    refused = make_entry("late")
    assert queue.offer(refused, 0.0) is refused
    assert refused.refusal is calls.NotRunReason.QUEUE_FULL


def test_a_full_queue_sheds_from_the_caller_with_most_requests():
    queue, _ = make_busy_queue(limit=4)
    for deadline in (1, 2, 3, 4):
        queue.offer(make_entry(caller="flood", deadline=deadline), 0.0)
    shed = queue.offer(make_entry(caller="b"), 0.0)
    assert (shed.caller, shed.deadline) == ("flood", 4)


def test_a_lower_number_of_slots_applies_as_requests_end():
    queue = queueing.AdmissionQueue(2, 10, RULES)
    running = []
    for _ in range(4):
        queue.offer(make_entry(), 0.0)
    while (granted := queue.take(0.0)) is not None:
        running.append(granted)
    queue.resize(1)
    queue.release(running[0], 0.01, 0.01)
    assert queue.take(0.01) is None
    queue.release(running[1], 0.01, 0.01)
    assert queue.take(0.01) is not None
    queue.resize(0)
    refused = make_entry()
    assert queue.offer(refused, 0.01) is refused


def test_a_removed_rank_is_refused_and_its_waiting_requests_are_served():
    queue, held = make_busy_queue()
    waiting = make_entry("late")
    queue.offer(waiting, 0.0)
    queue.configure(10, {"urgent": RULES["urgent"]})
    refused = queue.offer(make_entry("late"), 0.0)
    assert refused.refusal is calls.NotRunReason.UNKNOWN_RANK
    assert serve_next(queue, held, 1) == [waiting]


@pytest.mark.parametrize("flooded", ["urgent", "ordinary", "late"])
def test_each_rank_keeps_its_floor_in_a_flood_of_any_other(flooded):
    # Each rank offers 1.2 times its floor, the flooded one three times the capacity.
    capacity = 9 / 0.04
    rates = {rank: capacity * rule.floor * 1.2 for rank, rule in RULES.items()}
    rates[flooded] = 3 * capacity
    shares, _, _ = run_flood(rates)
    assert sum(shares.values()) >= 0.95
    for rank, rule in RULES.items():
        assert shares[rank] >= rule.floor, rank


@pytest.mark.parametrize("service_s", [0.04, 0.2, 0.4])
def test_a_floor_is_kept_for_work_of_any_length(service_s):
    capacity = 9 / service_s
    rates = {rank: capacity * rule.floor * 1.5 for rank, rule in RULES.items()}
    rates["urgent"] = 3 * capacity
    # The estimated service time can reach twice the mean, so a deadline of five
    # times the mean leaves time to wait.
    shares, _, _ = run_flood(rates, service_s, 5 * service_s, duration_s=60.0)
    for rank, rule in RULES.items():
        assert shares[rank] >= 0.97 * rule.floor, rank


def test_a_flood_of_the_least_urgent_rank_does_not_delay_urgent_requests():
    capacity = 9 / 0.04
    rates = {"urgent": 0.4 * capacity, "late": 3 * capacity}
    shares, refused, waits = run_flood(rates)
    assert refused["urgent"] == 0
    assert sorted(waits["urgent"])[int(0.99 * len(waits["urgent"]))] < 0.04
    assert sum(shares.values()) >= 0.95


ARRIVALS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(sorted(RULES)),
        strategies.sampled_from("abc"),
        strategies.floats(0.001, 2.0),
        strategies.sampled_from(["offer", "release", "withdraw"]),
    ),
    max_size=60,
)


@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
@hypothesis.given(ARRIVALS, strategies.integers(1, 3), strategies.integers(0, 8))
def test_every_request_is_granted_or_refused_once(steps, slots, limit):
    queue = queueing.AdmissionQueue(slots, limit, RULES)
    now, running, waiting, decided_count_by_id = 0.0, [], {}, collections.Counter()

    def record_decision(refused_entry):
        if refused_entry is not None:
            assert refused_entry.refusal is not None
            decided_count_by_id[refused_entry.request_id] += 1
            waiting.pop(refused_entry.request_id, None)

    for rank, caller, span, step in steps:
        now += span / 10
        if step == "offer":
            new_entry = make_entry(rank, caller, now + span)
            waiting[new_entry.request_id] = new_entry
            record_decision(queue.offer(new_entry, now))
        elif step == "release" and running:
            queue.release(running.pop(0), span / 10, now)
        elif step == "withdraw" and waiting:
            chosen = next(iter(waiting.values()))
            assert queue.withdraw(chosen, calls.NotRunReason.CANCELLED)
            assert not queue.withdraw(chosen, calls.NotRunReason.CANCELLED)
            record_decision(chosen)
        while (granted := queue.take(now)) is not None:
            if granted.refusal is not None:
                record_decision(granted)
                continue
            decided_count_by_id[granted.request_id] += 1
            del waiting[granted.request_id]
            running.append(granted)
        assert queue.busy == len(running) <= slots
        assert queue.waiting_count == len(waiting) <= limit
        # No slot may stay free while a request waits.
        assert queue.busy == slots or not waiting
    assert all(count == 1 for count in decided_count_by_id.values())
