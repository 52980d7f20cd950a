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
    """A daemon whose answers a test decides."""

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

    def post(self, message):
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
def routes(peers):
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
    routes = router.Router(
        location, "me", members, peers, None, policy, lambda record: None
    )
    routes.configure(
        models.Configuration({"s": models.ServiceModel(share=1.0, ranks=RANKS)})
    )
    return routes


def ask(routes, rank="search", **fields):
    named = {"depth": 0, "attempts_left": 6, "idempotent": True} | fields
    deadline = time.monotonic() + 5
    return routes.route(
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
            **named,
        )
    )


@pytest.mark.parametrize("fault", ["unreachable", "leaving"])
def test_an_endpoint_that_takes_no_work_is_left_at_once(peers, routes, fault):
    if fault == "unreachable":
        peers.unreachable.add("e0")
    peers.peers_by_id["e0"].answer = peers.peers_by_id["e0"].refuse
    outcomes = [ask(routes) for _ in range(40)]
    assert all(isinstance(outcome, calls.Served) for outcome in outcomes)
    assert not routes.evidence_by_id()["e0"].trusted
    assert len(peers.peers_by_id["e0"].seen) <= 2


def test_a_failing_endpoint_gets_few_requests_beyond_trials(peers, routes):
    peers.peers_by_id["e0"].answer = peers.peers_by_id["e0"].fail
    statuses = [ask(routes).status for _ in range(200)]
    assert statuses.count(500) <= 2


def test_a_request_that_was_used_to_try_an_endpoint_is_placed_again(peers, routes):
    known = peers.peers_by_id["e0"]
    known.answer = known.fail
    while ask(routes).status != 500 or routes.evidence_by_id()["e0"].trusted:
        pass
    before = len(known.seen)
    routes.evidence_by_id()["e0"].failing_until = 0.0
    assert ask(routes).status == 200
    assert len(known.seen) == before + 1


def test_what_was_measured_across_a_pause_is_dropped(peers, routes):
    ask(routes)
    (known,) = [e for e in routes.evidence_by_id().values() if e.report is not None]
    before = known.response_s

    def wake(message):
        routes.pauses.tick(time.monotonic() + 60)
        return answering.serve(message)

    for answering in peers.peers_by_id.values():
        answering.answer = wake
    for _ in range(10):
        ask(routes)
    assert known.response_s in (None, before)
    assert all(e.response_s is None for e in routes.evidence_by_id().values())


def test_a_nested_call_carries_no_more_than_it_was_left(peers, routes):
    ask(routes, depth=3, attempts_left=2)
    seen = [m for peer in peers.peers_by_id.values() for m in peer.seen]
    assert [(m.depth, m.attempts_left) for m in seen] == [(3, 2)]
