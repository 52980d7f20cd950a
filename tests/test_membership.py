import time

import msgspec
import pytest

from savoryhollow import errors
from savoryhollow.membership import table
from savoryhollow.routing import peers
from savoryhollow.wire import messages, server

# Limit for a server to stop, in s.
STOP_LIMIT_S = 2.0


def instance(service, number, state="live", host="10.0.0.1"):
    return table.InstanceModel(
        endpoint_id=f"{service}-{number}",
        service=service,
        region="east",
        zone="east-a",
        host=host,
        port=7081,
        state=table.EndpointState(state),
    )


def listing(revision, *instances):
    return table.InstanceList(revision, list(instances))


def test_a_list_comes_back_as_it_was_told():
    told = listing(1, instance("a", 0), instance("a", 1, "leaving"), instance("b", 0))
    members = table.MemberTable()
    assert members.update(told)
    found = [*members.endpoints("a"), *members.endpoints("b")]
    plain = [msgspec.to_builtins(endpoint) for endpoint in found]
    assert plain == [msgspec.to_builtins(model) for model in told.instances]
    assert members.services == ("a", "b")
    assert members.size == 3


def test_an_older_list_is_left_alone():
    members = table.MemberTable()
    members.update(listing(5, instance("a", 0)))
    assert not members.update(listing(4, instance("a", 1)))
    assert [e.endpoint_id for e in members.endpoints("a")] == ["a-0"]


def test_a_newer_list_changes_services_that_are_held_in_detail():
    members = table.MemberTable()
    members.update(listing(1, instance("a", 0)))
    assert members.endpoints("a")[0].state is table.EndpointState.LIVE
    members.update(listing(2, instance("a", 0, "leaving"), instance("a", 1)))
    assert [e.state.value for e in members.endpoints("a")] == ["leaving", "live"]
    members.update(listing(3, instance("b", 0)))
    assert members.endpoints("a") == ()
    assert len(members.endpoints("b")) == 1


def test_services_that_are_not_asked_for_are_held_as_texts_only():
    members = table.MemberTable()
    told = [instance(f"s{number}", 0) for number in range(50)]
    members.update(listing(1, *told))
    members.endpoints("s7")
    members.endpoints("unknown")
    list(members.all_endpoints())
    assert set(members._endpoints_by_service) == {"s7"}


def test_a_text_that_is_no_entry_leaves_the_list_as_it_was():
    members = table.MemberTable()
    members.update(listing(1, instance("a", 0)))
    with pytest.raises(errors.ConfigurationError, match="matching versions"):
        members.replace(2, {"a/a-0": '["east"]'})
    assert members.revision == 1
    assert len(members.endpoints("a")) == 1


# ---------------------------------------------------------------------------
#   Incarnations
# ---------------------------------------------------------------------------


def hello(endpoint_id, incarnation):
    return messages.HelloMessage(messages.PROTOCOL_VERSION, endpoint_id, incarnation)


class NoCalls:
    """Serves connections that carry no calls."""

    def open_connection(self, session, number, close):
        return session

    def close_connection(self, connection):
        pass

    def stop_accepting(self, connection):
        return None

    def begin(self, call, connection):
        raise AssertionError("no call is made here")


def serve(endpoint_id, incarnation):
    greeting = hello(endpoint_id, incarnation)
    started = server.InnerServer(
        "127.0.0.1", 0, greeting, NoCalls(), lambda message, connection: None
    )
    started.start()
    return started


def endpoint_at(port, endpoint_id):
    return table.Endpoint(
        endpoint_id, "a", "east", "z", "127.0.0.1", port, table.EndpointState.LIVE
    )


def test_another_instance_at_a_listed_address_is_not_taken_for_the_listed_one():
    newcomer = serve("a-9", "new")
    connections = peers.PeerConnections(hello("a-1", "one"))
    try:
        with pytest.raises(
            errors.ChannelClosedError, match="a-9 answered at the address of a-0"
        ):
            connections.open(endpoint_at(newcomer.port, "a-0"))
    finally:
        connections.close()
        newcomer.stop(time.monotonic() + STOP_LIMIT_S)


def test_a_restarted_instance_is_told_apart_by_its_incarnation():
    first, second = serve("a-0", "old"), serve("a-0", "new")
    connections = peers.PeerConnections(hello("a-1", "one"))
    try:
        opened = connections.open(endpoint_at(first.port, "a-0"))
        assert opened.peer.incarnation == "old"
        opened.close()
        opened = connections.open(endpoint_at(second.port, "a-0"))
        assert opened.peer.incarnation == "new"
    finally:
        connections.close()
        first.stop(time.monotonic() + STOP_LIMIT_S)
        second.stop(time.monotonic() + STOP_LIMIT_S)
