"""Tests of the objective queue: order, slow spells, lasting slowdowns, floods."""

import collections
import heapq
import random

from savoryhollow.admission import objectives

CHECK_OBJECTIVE_S = 0.15
# Time at which the overloaded queues of the tests are full.
FULL_AT = 10.0


def make_entry(rank="lookup", order=1, objective=0.6, deadline=2.0, is_nested=False):
    return objectives.QueueEntry(rank, order, is_nested, objective, deadline)


def make_queue(slots=1, nested_slots=0, **service_s_by_rank):
    """Return a queue that has one service time sample of each given rank, in s."""
    queue = objectives.ObjectiveQueue(slots, nested_slots)
    for rank, service_s in service_s_by_rank.items():
        queue.busy += 1
        queue.release(rank, service_s)
    return queue


def drain(queue, now=0.0):
    """Return the entries that get a slot now, in order."""
    found = []
    while (entry := queue.take(now)) is not None:
        found.append(entry)
    return found


def test_more_urgent_ranks_are_served_first():
    queue = make_queue(slots=9, lookup=0.1, report=0.1)
    report, lookup = make_entry("report", order=2), make_entry(order=0)
    assert queue.offer(report, 0.0) == []
    assert queue.offer(lookup, 0.0) == []
    assert drain(queue) == [lookup, report]


def test_requests_that_can_meet_their_objective_are_served_first():
    queue = make_queue(slots=9, lookup=0.1, report=0.1)
    late = make_entry(order=0, objective=0.05)
    report = make_entry("report", order=2, objective=2.0)
    queue.offer(late, 0.0)
    queue.offer(report, 0.0)
    assert drain(queue) == [report, late]


def test_a_request_that_could_not_end_in_time_is_refused_at_once():
    queue = make_queue(slots=1, lookup=0.5)
    for _ in range(3):
        assert queue.offer(make_entry(deadline=5.0), 0.0) == []
    assert queue.take(0.0) is not None
    hopeless = make_entry(deadline=0.9)
    assert queue.offer(hopeless, 0.0) == [hopeless]
    assert hopeless.refusal is objectives.Refusal.TOO_LATE


def test_waiting_requests_expire_when_they_can_no_longer_end():
    queue = make_queue(slots=1, lookup=0.5)
    queue.offer(make_entry(), 0.0)
    assert queue.take(0.0) is not None
    waiting = make_entry(deadline=1.0)
    queue.offer(waiting, 0.0)
    assert queue.expire(0.5) == []
    assert queue.expire(0.7) == [waiting]


def test_nested_slots_are_for_nested_requests_only():
    queue = make_queue(slots=1, nested_slots=1, lookup=0.1)
    first, second, nested = make_entry(), make_entry(), make_entry(is_nested=True)
    for entry in (first, second, nested):
        queue.offer(entry, 0.0)
    assert drain(queue) == [nested]
    queue.release("lookup", 0.1)
    assert drain(queue) == [first]


# ---------------------------------------------------------------------------
#   Restarts: every gate starts without samples, and all callers return at once
# ---------------------------------------------------------------------------


def test_one_sample_is_enough_to_estimate_waits_after_a_restart():
    """Otherwise work is let in for seconds that can't end in time."""
    queue = make_queue(slots=1, lookup=0.4)
    assert queue.service_s == 0.4
    queue.busy = 1
    hopeless = make_entry(deadline=0.7)
    assert queue.offer(hopeless, 0.0) == [hopeless]


def test_without_a_sample_nothing_is_refused_for_the_load():
    queue = make_queue(slots=1)
    queue.busy = 1
    waiting = make_entry(deadline=0.7)
    assert queue.offer(waiting, 0.0) == []
    assert queue.expire(0.0) == []


# ---------------------------------------------------------------------------
#   Lasting overload: requests that meet their objective take every slot
# ---------------------------------------------------------------------------


def make_full_queue(timely_per_s):
    """Return a queue that can start 20 requests a second, and whose slots are taken.

    :param timely_per_s: the starts in the last second of requests that meet their
        objective.
    """
    queue = make_queue(slots=2, lookup=0.1)
    queue.busy = 2
    for step in range(1, timely_per_s + 1):
        at = FULL_AT - 1 + step / timely_per_s
        timely = make_entry(order=0, objective=at + 9, deadline=at + 9)
        queue.waiting.append(timely)
        queue.busy -= 1
        assert queue.take(at) is timely
    return queue


def test_a_late_request_is_refused_at_once_if_timely_ones_take_every_slot():
    """Otherwise its caller would wait until its deadline and be refused then."""
    queue = make_full_queue(timely_per_s=20)
    late = make_entry(objective=FULL_AT, deadline=FULL_AT + 2)
    assert queue.offer(late, FULL_AT) == []
    assert queue.expire(FULL_AT) == [late]
    assert late.refusal is objectives.Refusal.TOO_LATE


def test_late_requests_wait_for_the_slots_that_timely_ones_leave():
    queue = make_full_queue(timely_per_s=15)
    # Five starts per second are left, and almost a second remains to start.
    late = [make_entry(objective=FULL_AT, deadline=FULL_AT + 1.06) for _ in range(8)]
    for entry in late:
        queue.offer(entry, FULL_AT)
    assert len(queue.expire(FULL_AT)) == 3
    assert len(queue.waiting) == 5


def test_a_late_request_keeps_its_place_while_no_timely_one_overtakes_it():
    queue = make_full_queue(timely_per_s=0)
    late = make_entry(objective=FULL_AT, deadline=FULL_AT + 2)
    queue.offer(late, FULL_AT)
    assert queue.expire(FULL_AT) == []


def test_a_request_that_can_meet_its_objective_is_never_starved():
    queue = make_full_queue(timely_per_s=40)
    timely = make_entry(order=2, objective=FULL_AT + 0.5, deadline=FULL_AT + 2)
    queue.offer(timely, FULL_AT)
    assert queue.expire(FULL_AT) == []


# ---------------------------------------------------------------------------
#   Slow spells: a quarter of the instances is slow, each for 0.3 s at a time
# ---------------------------------------------------------------------------


def test_long_requests_wait_for_the_end_of_a_slow_spell():
    queue = make_queue(slots=9, report=0.4)
    queue.record_pace(1.0, 0.0)
    queue.record_pace(4.0, 0.1)
    queue.offer(make_entry("report", objective=2.0, deadline=5.0), 0.1)
    assert queue.take(0.1) is None
    queue.record_pace(1.0, 0.3)
    assert queue.take(0.3) is not None


def test_short_requests_do_not_wait_for_the_end_of_a_slow_spell():
    queue = make_queue(slots=9, check=0.03)
    queue.record_pace(1.0, 0.0)
    queue.record_pace(4.0, 0.1)
    queue.offer(make_entry("check", objective=CHECK_OBJECTIVE_S, deadline=0.5), 0.1)
    assert queue.take(0.1) is not None


def test_no_request_waits_for_the_end_of_a_lasting_slowdown():
    queue = make_queue(slots=9, report=0.4)
    queue.record_pace(1.0, 0.0)
    queue.record_pace(4.0, 0.1)
    queue.offer(make_entry("report", objective=2.0, deadline=5.0), 0.1)
    lasting = 0.1 + objectives.MAX_SPELL_S + 0.01
    # The gate polls the pace while requests wait.
    for step in range(1, 20):
        queue.record_pace(4.0, 0.1 + 0.04 * step)
    assert queue.take(lasting) is not None


def test_a_slow_spell_long_after_another_is_a_new_one():
    """With few requests there are no pace readings between the two spells."""
    queue = make_queue(slots=9, report=0.4)
    queue.record_pace(1.0, 0.0)
    queue.record_pace(4.0, 0.1)
    queue.record_pace(4.0, 1.0)
    queue.offer(make_entry("report", objective=2.0, deadline=5.0), 1.0)
    assert queue.take(1.0) is None


def test_a_lasting_slowdown_is_remembered_between_two_requests():
    queue = make_queue(slots=9, report=0.4)
    queue.record_pace(1.0, 0.0)
    for step in range(1, 30):
        queue.record_pace(4.0, 0.04 * step)
    queue.record_pace(4.0, 2.0)
    queue.offer(make_entry("report", objective=3.0, deadline=5.0), 2.0)
    assert queue.take(2.0) is not None


def test_a_cold_backend_server_is_in_no_slow_spell():
    queue = make_queue(slots=9, report=0.4)
    queue.record_pace(2.0, 0.0)
    queue.offer(make_entry("report", objective=2.0, deadline=5.0), 0.1)
    assert queue.take(0.1) is not None


# ---------------------------------------------------------------------------
#   Lasting slowdowns: an instance is twelve times as slow for several seconds
# ---------------------------------------------------------------------------


def slow_queue(pace=12.0):
    queue = make_queue(slots=9, lookup=0.2)
    for step in range(1, 30):
        queue.record_pace(pace, 0.04 * step)
    return queue


def test_a_lasting_slowdown_affects_only_requests_that_it_would_make_late():
    queue = slow_queue()
    urgent = make_entry(objective=2.0, deadline=4.0)
    patient = make_entry("report", objective=9.0, deadline=12.0)
    for entry in (urgent, patient):
        entry.expected_service_s = 0.2
    assert queue.would_miss_objective(urgent, 1.2)
    assert not queue.would_miss_objective(patient, 1.2)
    assert not slow_queue(pace=2.0).would_miss_objective(urgent, 1.9)


def test_a_request_that_can_not_end_in_time_on_a_slow_instance_is_refused():
    queue = slow_queue()
    late = make_entry(objective=2.0, deadline=2.5)
    assert queue.offer(late, 1.2) == [late]
    assert late.refusal is objectives.Refusal.TOO_LATE
    assert queue.offer(make_entry(objective=2.0, deadline=4.0), 1.2) == []


def test_a_rank_without_samples_is_accepted_despite_a_long_objective():
    """A rank without samples must not be refused by its assumed service time.

    Refusals give no samples, so the rank would be refused permanently.
    """
    queue = objectives.ObjectiveQueue(4, 0)
    queue.busy = 4
    first = make_entry("new", objective=100.0, deadline=1.0)
    assert queue.offer(first, 0.0) == []


def test_no_request_is_refused_for_the_pace_of_a_slow_spell():
    queue = make_queue(slots=9, lookup=0.2)
    queue.record_pace(1.0, 1.0)
    queue.record_pace(12.0, 1.1)
    assert queue.offer(make_entry(objective=2.0, deadline=2.5), 1.2) == []


# ---------------------------------------------------------------------------
#   Load
# ---------------------------------------------------------------------------


def share_in_time_with_spells(defer: bool, seed: int = 7) -> float:
    """Return the share of requests that end in time in 60 s with slow spells.

    The pace changes every 0.3 s and is 4 for a quarter of the time.

    :param defer: whether the queue learns the pace and can defer requests.
    """
    rng = random.Random(seed)
    queue = objectives.ObjectiveQueue(7, 0)
    paces = [4.0 if rng.random() < 0.25 else 1.0 for _ in range(400)]
    events = [(i * 0.3, 0, i, None) for i in range(len(paces))]
    now = 0.0
    while now < 60:
        now += rng.expovariate(25)
        events.append((now, 1, len(events), None))
    heapq.heapify(events)
    counts = collections.Counter()
    pace = 1.0
    while events:
        now, event_type, number, entry = heapq.heappop(events)
        if event_type == 0:
            pace = paces[number]
            queue.record_pace(pace if defer else 1.0, now)
        elif event_type == 1:
            counts["asked"] += 1
            queue.offer(make_entry("lookup", 1, now + 0.6, now + 2.0), now)
        else:
            queue.release("lookup", 0.16)
            counts["in time"] += now <= entry.objective
        queue.expire(now)
        while (entry := queue.take(now)) is not None:
            held_s = 0.16 * pace * rng.uniform(0.7, 1.3)
            heapq.heappush(events, (now + held_s, 2, counts["asked"], entry))
            counts["started"] += 1
    return counts["in time"] / counts["asked"]


def test_waiting_for_slow_spells_to_end_serves_more_in_time():
    without_defer, with_defer = (
        share_in_time_with_spells(False),
        share_in_time_with_spells(True),
    )
    assert with_defer > without_defer + 0.1


def test_a_flood_of_the_least_urgent_leaves_the_most_urgent_in_time():
    """Reports arrive at twice the capacity, while orders still end in time."""
    rng = random.Random(11)
    queue = make_queue(slots=7, report=0.4, order=0.13)
    events, now = [], 0.0
    while now < 30:
        now += rng.expovariate(39)
        rank = "order" if rng.random() < 0.1 else "report"
        events.append((now, len(events), rank, None))
    heapq.heapify(events)
    counts = collections.Counter()
    while events:
        now, _, rank, entry = heapq.heappop(events)
        if entry is None:
            counts[rank, "asked"] += 1
            wait_s, order = (0.4, 0) if rank == "order" else (2.0, 2)
            queue.offer(make_entry(rank, order, now + wait_s, now + 2.5 * wait_s), now)
        else:
            service_s = 0.4 if rank == "report" else 0.13
            queue.release(rank, service_s)
            counts[rank, "in time"] += now <= entry.objective
        queue.expire(now)
        while (entry := queue.take(now)) is not None:
            service_s = 0.4 if entry.rank == "report" else 0.13
            number = sum(counts.values())
            heapq.heappush(events, (now + service_s, number, entry.rank, entry))
            counts["started"] += 1
    orders = counts["order", "in time"] / counts["order", "asked"]
    reports = counts["report", "in time"] / counts["report", "asked"]
    assert orders > 0.99
    assert reports > 0.3
