import time

import msgspec
import pytest

from savoryhollow import errors
from savoryhollow.membership import table
from savoryhollow.routing import peers
from savoryhollow.wire import messages, server

# How long a server may take to stop, in s.
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


def test_a_list_is_returned_unchanged():
    published = listing(
        1, instance("a", 0), instance("a", 1, "leaving"), instance("b", 0)
    )
    members = table.MemberTable()
    assert members.update(published)
    found = [*members.endpoints("a"), *members.endpoints("b")]
    plain = [msgspec.to_builtins(endpoint) for endpoint in found]
    assert plain == [msgspec.to_builtins(model) for model in published.instances]
    assert members.services == ("a", "b")
    assert members.size == 3


def test_an_older_list_is_ignored():
    members = table.MemberTable()
    members.update(listing(5, instance("a", 0)))
    assert not members.update(listing(4, instance("a", 1)))
    assert [e.endpoint_id for e in members.endpoints("a")] == ["a-0"]


def test_a_newer_list_updates_services_that_are_already_decoded():
    members = table.MemberTable()
    members.update(listing(1, instance("a", 0)))
    assert members.endpoints("a")[0].state is table.EndpointState.LIVE
    members.update(listing(2, instance("a", 0, "leaving"), instance("a", 1)))
    assert [e.state.value for e in members.endpoints("a")] == ["leaving", "live"]
    members.update(listing(3, instance("b", 0)))
    assert members.endpoints("a") == ()
    assert len(members.endpoints("b")) == 1


def test_only_requested_services_are_kept_decoded():
    members = table.MemberTable()
    instances = [instance(f"s{number}", 0) for number in range(50)]
    members.update(listing(1, *instances))
    members.endpoints("s7")
    members.endpoints("unknown")
    list(members.all_endpoints())
    assert set(members._endpoints_by_service) == {"s7"}


def test_an_invalid_text_leaves_the_list_unchanged():
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
    """A service for connections that carry no calls."""

    def open_connection(self, session, number, close):
        return session

    def close_connection(self, connection):
        pass

    def stop_accepting(self, connection):
        return None

    def begin(self, call, connection):
        raise AssertionError("no call is expected on these connections")


def serve(endpoint_id, incarnation):
    hello_message = hello(endpoint_id, incarnation)
    inner_server = server.InnerServer(
        "127.0.0.1", 0, hello_message, NoCalls(), lambda message, connection: None
    )
    inner_server.start()
    return inner_server


def endpoint_at(port, endpoint_id):
    return table.Endpoint(
        endpoint_id, "a", "east", "z", "127.0.0.1", port, table.EndpointState.LIVE
    )


def test_an_instance_at_the_address_of_another_is_rejected():
    other_server = serve("a-9", "new")
    connections = peers.PeerConnections(hello("a-1", "one"))
    try:
        with pytest.raises(
            errors.ChannelClosedError, match="a-9 answered at the address of a-0"
        ):
            connections.open(endpoint_at(other_server.port, "a-0"))
    finally:
        connections.close()
        other_server.stop(time.monotonic() + STOP_LIMIT_S)


def test_a_restarted_instance_has_another_incarnation():
    first, second = serve("a-0", "old"), serve("a-0", "new")
    connections = peers.PeerConnections(hello("a-1", "one"))
    try:
        channel = connections.open(endpoint_at(first.port, "a-0"))
        assert channel.peer.incarnation == "old"
        channel.close()
        channel = connections.open(endpoint_at(second.port, "a-0"))
        assert channel.peer.incarnation == "new"
    finally:
        connections.close()
        first.stop(time.monotonic() + STOP_LIMIT_S)
        second.stop(time.monotonic() + STOP_LIMIT_S)
