import random
import time
import types

import pytest

from savoryhollow import calls, errors
from savoryhollow.configuration import models
from savoryhollow.membership import table
from savoryhollow.routing import placement, router
from savoryhollow.wire import messages

IDLE = messages.LoadReport(1, 0, 9, 40_000, False)
RANKS = {
    "lookup": models.RankModel(order=0, idempotent=True),
    "search": models.RankModel(order=1, idempotent=True),
}


class Peer:
    """A stub daemon whose answers are set by the test."""

    def __init__(self):
        self.peer = types.SimpleNamespace(incarnation="one")
        self.answer = self.serve
        self.seen = []

    def start(self, message):
        self.seen.append(message)
        origin = calls.Origin("me", 1, len(self.seen))
        return types.SimpleNamespace(message=message, origin=origin)

    def finish(self, pending, deadline):
        return self.answer(pending.message)

    def send_best_effort(self, message):
        pass

    def serve(self, message, status=200):
        return messages.ServedMessage(message.request_id, status, (), b"", IDLE)

    def fail(self, message):
        return self.serve(message, 500)

    def refuse(self, message):
        reason = calls.NotRunReason.LEAVING
        return messages.NotRunMessage(message.request_id, reason, 1, IDLE)


class Peers:
    def __init__(self, peers_by_id):
        self.peers_by_id = peers_by_id
        self.unreachable = set()

    def open(self, endpoint):
        if endpoint.endpoint_id in self.unreachable:
            raise errors.ChannelClosedError("down; start it")
        return self.peers_by_id[endpoint.endpoint_id]


@pytest.fixture
def peers():
    return Peers({f"e{number}": Peer() for number in range(3)})


@pytest.fixture
def router_under_test(peers):
    listing = table.InstanceList(
        1,
        [
            table.InstanceModel(
                name, "s", "east", "a", "127.0.0.1", 1, table.EndpointState.LIVE
            )
            for name in peers.peers_by_id
        ],
    )
    members = table.MemberTable()
    members.update(listing)
    location = placement.Location("elsewhere", "east", "a")
    policy = placement.make_policy("evidence", location, random.Random(3))
    router_under_test = router.Router(
        location, "me", members, peers, None, policy, lambda record: None
    )
    router_under_test.configure(
        models.Configuration({"s": models.ServiceModel(share=1.0, ranks=RANKS)})
    )
    return router_under_test


def route_call(router_under_test, rank="search", **fields):
    call_fields = {"depth": 0, "attempts_left": 6, "idempotent": True} | fields
    deadline = time.monotonic() + 5
    return router_under_test.route(
        calls.Call(
            calls.new_request_id(),
            service="s",
            rank=rank,
            caller="c",
            deadline=deadline,
            method="GET",
            path="/",
            headers=(),
            body=b"",
            **call_fields,
        )
    )


@pytest.mark.parametrize("fault", ["unreachable", "leaving"])
def test_an_endpoint_that_refuses_calls_is_distrusted_at_once(
    peers, router_under_test, fault
):
    if fault == "unreachable":
        peers.unreachable.add("e0")
    peers.peers_by_id["e0"].answer = peers.peers_by_id["e0"].refuse
    outcomes = [route_call(router_under_test) for _ in range(40)]
    assert all(isinstance(outcome, calls.Served) for outcome in outcomes)
    assert not router_under_test.evidence_by_id()["e0"].trusted
    assert len(peers.peers_by_id["e0"].seen) <= 2


def test_a_failing_endpoint_gets_few_requests(peers, router_under_test):
    peers.peers_by_id["e0"].answer = peers.peers_by_id["e0"].fail
    statuses = [route_call(router_under_test).status for _ in range(200)]
    assert statuses.count(500) <= 2


def test_a_failed_trial_request_is_retried_elsewhere(peers, router_under_test):
    peer = peers.peers_by_id["e0"]
    peer.answer = peer.fail
    while (
        route_call(router_under_test).status != 500
        or router_under_test.evidence_by_id()["e0"].trusted
    ):
        pass
    before = len(peer.seen)
    router_under_test.evidence_by_id()["e0"].failing_until = 0.0
    assert route_call(router_under_test).status == 200
    assert len(peer.seen) == before + 1


def test_measurements_across_a_pause_are_discarded(peers, router_under_test):
    route_call(router_under_test)
    (endpoint_evidence,) = [
        e for e in router_under_test.evidence_by_id().values() if e.report is not None
    ]
    before = endpoint_evidence.response_s

    def wake(message):
        router_under_test.pauses.tick(time.monotonic() + 60)
        return answering.serve(message)

    for answering in peers.peers_by_id.values():
        answering.answer = wake
    for _ in range(10):
        route_call(router_under_test)
    assert endpoint_evidence.response_s in (None, before)
    assert all(
        e.response_s is None for e in router_under_test.evidence_by_id().values()
    )


def test_a_nested_call_passes_on_its_depth_and_attempts_left(peers, router_under_test):
    route_call(router_under_test, depth=3, attempts_left=2)
    seen = [m for peer in peers.peers_by_id.values() for m in peer.seen]
    assert [(m.depth, m.attempts_left) for m in seen] == [(3, 2)]
