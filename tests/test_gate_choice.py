"""Tests of which gate gets a call next in a fleet that is full.

A burst fills all gates of a region at once. Asking gate after gate whether it can start
a call at once, or one that can't start it before its deadline, costs the caller time
and carries the whole request between zones and regions for nothing.
"""

import random

import test_nearby
import test_proxy

from savoryhollow import calls
from savoryhollow.proxy import attempts, gate_choice
from savoryhollow.routing import nearby

NOW = test_nearby.NOW
# One slot is free.
SOME = {"busy": 6}
FULL = {"busy": 7, "queued": 2}


def choose(*candidates, progress=None, left_s=0.6, timeout_s=2.0, order=1):
    """Return the id of the chosen endpoint and whether its gate may queue the call."""
    progress = progress or attempts.Progress()
    policy = nearby.LocalityPolicy(test_nearby.LOCATION, random.Random(3))
    requirements = nearby.Requirements(NOW, NOW + left_s, order, NOW + timeout_s)
    decision = gate_choice.choose(policy, candidates, requirements, progress)
    chosen = decision and decision.candidate.endpoint.endpoint_id
    return chosen, progress.patient


def make(name, zone="east-a", **load):
    return test_nearby.make_candidate(name, zone, **load)


def test_a_gate_with_a_free_slot_may_not_queue_the_call():
    assert choose(make("1", **SOME), make("2", **FULL)) == ("1", False)


def test_a_gate_without_a_report_may_not_queue_the_call():
    assert choose(make("1"), make("2", **FULL)) == ("1", False)


def test_where_all_gates_are_full_the_call_waits_at_the_shortest_queue():
    longer = FULL | {"queued": 9}
    gates = [make("1", **longer), make("2", **FULL), make("3", **longer)]
    assert choose(*gates) == ("2", True)


def test_after_a_bounce_full_gates_are_not_asked_and_the_call_waits_where_it_was():
    progress = attempts.Progress(bounced={"1"}, full=1)
    gates = [make("1", busy=7), make("2", "east-b", **FULL)]
    assert choose(*gates, progress=progress) == ("1", True)


def test_after_a_bounce_a_gate_with_a_free_slot_is_asked():
    progress = attempts.Progress(bounced={"1"}, full=1)
    gates = [make("1", **FULL), make("2", "east-b", busy=1)]
    assert choose(*gates, progress=progress) == ("2", False)


def test_a_gate_in_a_slow_spell_may_not_queue_the_call():
    """The spell may have ended since its last report."""
    assert choose(make("1", busy=2, spell_us=150_000)) == ("1", False)


def test_a_call_waits_for_the_end_of_a_spell_if_all_gates_have_bounced_it():
    progress = attempts.Progress(bounced={"1", "2"})
    gates = [make("1", busy=2, spell_us=150_000), make("2", busy=3, spell_us=150_000)]
    assert choose(*gates, progress=progress) == ("1", True)


def test_gates_that_would_let_the_call_expire_are_not_asked_after_a_refusal():
    hopeless = {"busy": 7, "queued": 80}
    progress = attempts.Progress(tried={"1"}, asked=1)
    gates = [make("2", **hopeless), make("3", "east-b", **hopeless)]
    assert choose(*gates, progress=progress)[0] is None
    assert choose(*gates, make("4", "west-a", **hopeless), progress=progress)[0] is None
    assert choose(*gates, make("4", "west-a", busy=1), progress=progress)[0] == "4"


def test_the_first_gate_is_asked_though_its_report_shows_no_hope():
    """Its queue may have emptied since, and only the gate itself knows."""
    assert choose(make("1", busy=7, queued=80))[0] == "1"


def test_another_region_without_hope_is_never_asked():
    """Sixty milliseconds there and back, to be refused."""
    gates = [make("1", busy=7, queued=20), make("2", "west-a", busy=7, queued=80)]
    assert choose(*gates, left_s=0.5, order=0)[0] == "1"


def test_waits_of_less_urgent_calls_are_not_counted():
    gate = make("1", busy=7, queued=80, queued_by_order=(0, 2, 80))
    progress = attempts.Progress(tried={"2"}, asked=1)
    assert choose(gate, progress=progress, order=1)[0] == "1"
    assert choose(gate, progress=progress, order=2)[0] is None


# ---------------------------------------------------------------------------
#   Calls that the router sends from gate to gate
# ---------------------------------------------------------------------------


def test_few_gates_of_a_large_service_are_asked_before_a_request_waits():
    busy = test_proxy.make_refusal(calls.NotRunReason.NOT_NOW, test_proxy.FULL)
    links = [test_proxy.Link(busy, test_proxy.SERVED) for _ in range(10)]
    assert isinstance(test_proxy.route_call(*links), calls.Served)
    asked = sum(len(link.calls) for link in links)
    assert asked == gate_choice.MAX_FULL_BOUNCES + 1


def test_gates_in_slow_spells_are_tried_one_after_the_other():
    """A third of the instances are slow at a time, so another is soon found."""
    slow = test_proxy.make_refusal(calls.NotRunReason.NOT_NOW, test_proxy.IN_SPELL)
    links = [test_proxy.Link(slow) for _ in range(gate_choice.MAX_FULL_BOUNCES + 2)]
    assert isinstance(
        test_proxy.route_call(*links, test_proxy.Link(test_proxy.SERVED)), calls.Served
    )
    assert not any(one.patient for link in links for one in link.calls)


def test_if_all_gates_are_in_slow_spells_a_request_waits_instead_of_failing():
    slow = test_proxy.make_refusal(calls.NotRunReason.NOT_NOW, test_proxy.IN_SPELL)
    links = [
        test_proxy.Link(slow, test_proxy.SERVED),
        test_proxy.Link(slow, test_proxy.SERVED),
    ]
    assert isinstance(test_proxy.route_call(*links), calls.Served)
    sent = [one.patient for link in links for one in link.calls]
    assert sorted(sent) == [False, False, True]
