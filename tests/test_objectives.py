"""Who waits and who starts at a gate: order, slow spells, floods."""

import collections
import heapq
import random

from savoryhollow.admission import objectives

CALLED_S = 0.15


def entry(rank="lookup", order=1, objective=0.6, deadline=2.0, is_nested=False):
    return objectives.QueueEntry(rank, order, is_nested, objective, deadline)


def queue_that_knows(slots=1, nested_slots=0, **service_s_by_rank):
    queue = objectives.ObjectiveQueue(slots, nested_slots)
    for rank, work_s in service_s_by_rank.items():
        queue.busy += 1
        queue.release(rank, work_s)
    return queue


def drain(queue, now=0.0):
    found = []
    while (one := queue.take(now)) is not None:
        found.append(one)
    return found


def test_more_urgent_ranks_come_first():
    queue = queue_that_knows(slots=9, lookup=0.1, report=0.1)
    report, lookup = entry("report", order=2), entry(order=0)
    assert queue.offer(report, 0.0) == []
    assert queue.offer(lookup, 0.0) == []
    assert drain(queue) == [lookup, report]


def test_what_can_still_meet_its_objective_goes_before_what_cannot():
    queue = queue_that_knows(slots=9, lookup=0.1, report=0.1)
    late = entry(order=0, objective=0.05)
    report = entry("report", order=2, objective=2.0)
    queue.offer(late, 0.0)
    queue.offer(report, 0.0)
    assert drain(queue) == [report, late]


def test_a_request_that_could_not_end_in_time_is_refused_at_once():
    queue = queue_that_knows(slots=1, lookup=0.5)
    for _ in range(3):
        assert queue.offer(entry(deadline=5.0), 0.0) == []
    assert queue.take(0.0) is not None
    hopeless = entry(deadline=0.9)
    assert queue.offer(hopeless, 0.0) == [hopeless]
    assert hopeless.refusal is objectives.Refusal.TOO_LATE


def test_waiting_requests_expire_when_they_can_no_longer_end():
    queue = queue_that_knows(slots=1, lookup=0.5)
    queue.offer(entry(), 0.0)
    assert queue.take(0.0) is not None
    waiting = entry(deadline=1.0)
    queue.offer(waiting, 0.0)
    assert queue.expire(0.5) == []
    assert queue.expire(0.7) == [waiting]


def test_slots_beyond_the_knee_are_for_called_work_alone():
    queue = queue_that_knows(slots=1, nested_slots=1, lookup=0.1)
    first, second, nested = entry(), entry(), entry(is_nested=True)
    for one in (first, second, nested):
        queue.offer(one, 0.0)
    assert drain(queue) == [nested]
    queue.release("lookup", 0.1)
    assert drain(queue) == [first]


# ---------------------------------------------------------------------------
#   Slow spells: a quarter of the instances is slow for 0.3 s at a time
# ---------------------------------------------------------------------------


def test_long_work_waits_for_the_end_of_a_slow_spell():
    queue = queue_that_knows(slots=9, report=0.4)
    queue.record_pace(1.0, 0.0)
    queue.record_pace(4.0, 0.1)
    queue.offer(entry("report", objective=2.0, deadline=5.0), 0.1)
    assert queue.take(0.1) is None
    queue.record_pace(1.0, 0.3)
    assert queue.take(0.3) is not None


def test_short_work_does_not_wait_for_it():
    queue = queue_that_knows(slots=9, check=0.03)
    queue.record_pace(1.0, 0.0)
    queue.record_pace(4.0, 0.1)
    queue.offer(entry("check", objective=CALLED_S, deadline=0.5), 0.1)
    assert queue.take(0.1) is not None


def test_nothing_waits_for_a_slow_spell_that_lasts():
    queue = queue_that_knows(slots=9, report=0.4)
    queue.record_pace(1.0, 0.0)
    queue.record_pace(4.0, 0.1)
    queue.offer(entry("report", objective=2.0, deadline=5.0), 0.1)
    lasting = 0.1 + objectives.MAX_SPELL_S + 0.01
    # The pace is asked for while something waits.
    for step in range(1, 20):
        queue.record_pace(4.0, 0.1 + 0.04 * step)
    assert queue.take(lasting) is not None


def test_a_slow_spell_long_after_another_is_a_new_one():
    """Few requests come, so nothing was heard of the pace in between."""
    queue = queue_that_knows(slots=9, report=0.4)
    queue.record_pace(1.0, 0.0)
    queue.record_pace(4.0, 0.1)
    queue.record_pace(4.0, 1.0)
    queue.offer(entry("report", objective=2.0, deadline=5.0), 1.0)
    assert queue.take(1.0) is None


def test_slowness_that_lasts_is_not_forgotten_between_two_requests():
    queue = queue_that_knows(slots=9, report=0.4)
    queue.record_pace(1.0, 0.0)
    for step in range(1, 30):
        queue.record_pace(4.0, 0.04 * step)
    queue.record_pace(4.0, 2.0)
    queue.offer(entry("report", objective=3.0, deadline=5.0), 2.0)
    assert queue.take(2.0) is not None


def test_a_cold_backend_server_is_in_no_slow_spell():
    queue = queue_that_knows(slots=9, report=0.4)
    queue.record_pace(2.0, 0.0)
    queue.offer(entry("report", objective=2.0, deadline=5.0), 0.1)
    assert queue.take(0.1) is not None


# ---------------------------------------------------------------------------
#   Lasting slowness: an instance is twelve times as slow for seconds
# ---------------------------------------------------------------------------


def slow_queue(pace=12.0):
    queue = queue_that_knows(slots=9, lookup=0.2)
    for step in range(1, 30):
        queue.record_pace(pace, 0.04 * step)
    return queue


def test_a_slow_instance_is_told_from_others_by_who_would_be_late_there():
    queue = slow_queue()
    urgent = entry(objective=2.0, deadline=4.0)
    patient = entry("report", objective=9.0, deadline=12.0)
    for one in (urgent, patient):
        one.expected_service_s = 0.2
    assert queue.would_miss_objective(urgent, 1.2)
    assert not queue.would_miss_objective(patient, 1.2)
    assert not slow_queue(pace=2.0).would_miss_objective(urgent, 1.9)


def test_what_can_not_end_in_time_on_a_slow_instance_is_refused_at_once():
    queue = slow_queue()
    late = entry(objective=2.0, deadline=2.5)
    assert queue.offer(late, 1.2) == [late]
    assert late.refusal is objectives.Refusal.TOO_LATE
    assert queue.offer(entry(objective=2.0, deadline=4.0), 1.2) == []


def test_work_that_nobody_has_seen_yet_is_tried_though_its_objective_is_long():
    """It would else be refused for ever, as nothing is learned from a refusal."""
    queue = objectives.ObjectiveQueue(4, 0)
    queue.busy = 4
    first = entry("new", objective=100.0, deadline=1.0)
    assert queue.offer(first, 0.0) == []


def test_in_a_short_spell_nothing_is_refused_for_its_pace():
    queue = queue_that_knows(slots=9, lookup=0.2)
    queue.record_pace(1.0, 1.0)
    queue.record_pace(12.0, 1.1)
    assert queue.offer(entry(objective=2.0, deadline=2.5), 1.2) == []


# ---------------------------------------------------------------------------
#   Load
# ---------------------------------------------------------------------------


def in_time_under_noise(hold: bool, seed: int = 7) -> float:
    """Play 60 s of work at a gate whose pace is four times as long at times."""
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
        now, what, number, one = heapq.heappop(events)
        if what == 0:
            pace = paces[number]
            queue.record_pace(pace if hold else 1.0, now)
        elif what == 1:
            counts["asked"] += 1
            queue.offer(entry("lookup", 1, now + 0.6, now + 2.0), now)
        else:
            queue.release("lookup", 0.16)
            counts["in time"] += now <= one.objective
        queue.expire(now)
        while (one := queue.take(now)) is not None:
            held_s = 0.16 * pace * rng.uniform(0.7, 1.3)
            heapq.heappush(events, (now + held_s, 2, counts["asked"], one))
            counts["started"] += 1
    return counts["in time"] / counts["asked"]


def test_waiting_for_slow_spells_to_end_serves_more_in_time():
    eager, patient = in_time_under_noise(False), in_time_under_noise(True)
    assert patient > eager + 0.1


def test_a_flood_of_the_least_urgent_leaves_the_most_urgent_in_time():
    """Reports arrive at twice what the gate can take; orders stay in time."""
    rng = random.Random(11)
    queue = queue_that_knows(slots=7, report=0.4, order=0.13)
    events, now = [], 0.0
    while now < 30:
        now += rng.expovariate(39)
        rank = "order" if rng.random() < 0.1 else "report"
        events.append((now, len(events), rank, None))
    heapq.heapify(events)
    counts = collections.Counter()
    while events:
        now, _, rank, one = heapq.heappop(events)
        if one is None:
            counts[rank, "asked"] += 1
            wait_s, order = (0.4, 0) if rank == "order" else (2.0, 2)
            queue.offer(entry(rank, order, now + wait_s, now + 2.5 * wait_s), now)
        else:
            work_s = 0.4 if rank == "report" else 0.13
            queue.release(rank, work_s)
            counts[rank, "in time"] += now <= one.objective
        queue.expire(now)
        while (one := queue.take(now)) is not None:
            work_s = 0.4 if one.rank == "report" else 0.13
            number = sum(counts.values())
            heapq.heappush(events, (now + work_s, number, one.rank, one))
            counts["started"] += 1
    orders = counts["order", "in time"] / counts["order", "asked"]
    reports = counts["report", "in time"] / counts["report", "asked"]
    assert orders > 0.99
    assert reports > 0.3
