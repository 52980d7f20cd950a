"""Callers that come back after an outage: who can still be in time goes first."""

from savoryhollow.admission import objectives, returning

USUAL_S = 4.0
OBJECTIVE_S = 0.6


def waits_that_know(route="lookup", usual_s=USUAL_S):
    waits = returning.Waits()
    for _ in range(returning.MIN_SAMPLES):
        waits.spent_s(route, usual_s)
    return waits


def test_a_caller_with_less_time_left_has_tried_before():
    waits = waits_that_know()
    assert waits.spent_s("lookup", USUAL_S) == 0.0
    assert waits.spent_s("lookup", USUAL_S - 0.001) == 0.0
    assert waits.spent_s("lookup", 2.5) == 1.5


def test_nothing_is_concluded_from_a_few_requests_or_of_another_route():
    waits = returning.Waits()
    waits.spent_s("lookup", USUAL_S)
    assert waits.spent_s("lookup", 1.0) == 0.0
    assert waits_that_know().spent_s("report", 1.0) == 0.0


def test_nothing_is_concluded_where_callers_differ():
    waits = returning.Waits()
    for step in range(200):
        waits.spent_s("lookup", 1.0 + 0.1 * (step % 20))
    assert waits.spent_s("lookup", 1.0) == 0.0


def test_what_is_known_follows_a_route_whose_callers_change():
    waits = waits_that_know()
    for _ in range(returning.SAMPLE_SIZE):
        waits.spent_s("lookup", 1.0)
    assert waits.spent_s("lookup", 1.0) == 0.0


def test_routes_that_are_gone_are_forgotten():
    waits = waits_that_know()
    waits.keep_only({"report"})
    assert waits.spent_s("lookup", 1.0) == 0.0


def served_in_time(knows_return: bool) -> int:
    """Play the seconds after an outage, in which callers come back and new ones come.

    Half of the requests were sent while nothing ran and have spent most of their
    objective; the gate has room for half of all requests.
    """
    queue = objectives.ObjectiveQueue(4, 0)
    queue.busy = 1
    queue.release("lookup", 0.2)
    in_time = 0
    true_objective_by_entry: dict[objectives.Waiting, float] = {}
    ends: list[tuple[float, objectives.Waiting, float]] = []
    for step in range(400):
        now = step * 0.01
        for _, entry, objective in [one for one in ends if one[0] <= now]:
            queue.release(entry.kind, 0.2)
            in_time += now <= objective
        ends = [one for one in ends if one[0] > now]
        if step < 200 and step % 3 == 0:
            for spent_s in (1.5, 0.0):
                objective = now - spent_s + OBJECTIVE_S
                seen = objective if knows_return else now + OBJECTIVE_S
                entry = objectives.Waiting(
                    "lookup", 1, False, seen, now - spent_s + USUAL_S
                )
                queue.offer(entry, now)
                true_objective_by_entry[entry] = objective
        while (entry := queue.take(now)) is not None:
            ends.append((now + 0.2, entry, true_objective_by_entry[entry]))
    return in_time


def test_after_an_outage_more_is_served_in_time_by_who_can_still_make_it():
    assert served_in_time(True) >= 1.5 * served_in_time(False)
