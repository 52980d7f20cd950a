"""Tests of how a link decides that its peer is gone."""

import asyncio

from savoryhollow.proxy import links
from savoryhollow.wire import messages


class Transport:
    def __init__(self):
        self.aborted = False

    def abort(self):
        self.aborted = True


class SilentConnection:
    """A connection that never answers a ping."""

    def __init__(self):
        self.transport = Transport()
        self.last_data_at = 0.0

    async def ping(self):
        return asyncio.get_running_loop().create_future()


def make_link():
    settings = links.LinkSettings(
        messages.HelloMessage(messages.PROTOCOL_VERSION, "one", "1"),
        1 << 20,
        lambda endpoint_id, report: None,
        lambda message: True,
        lambda: -1,
    )
    return links.Link("e", "127.0.0.1", 1, settings)


async def was_aborted(connection, receive_data):
    link = make_link()
    link._connection = connection
    link.check_liveness(links.PING_AFTER_SILENCE_S)
    await asyncio.sleep(0)
    receive_data()
    await link._ping_task
    link.close()
    return connection.transport.aborted


def test_a_peer_that_still_sends_a_large_message_is_not_given_up(monkeypatch):
    """Its answer to the ping waits behind the message, as do answers to requests."""
    monkeypatch.setattr(links, "PING_TIMEOUT_S", 0.01)
    connection = SilentConnection()

    def receive_data():
        connection.last_data_at = 0.6

    assert not asyncio.run(was_aborted(connection, receive_data))


def test_a_peer_that_sends_nothing_at_all_is_given_up(monkeypatch):
    """A link without a peer must not hold requests until their deadlines."""
    monkeypatch.setattr(links, "PING_TIMEOUT_S", 0.01)
    assert asyncio.run(was_aborted(SilentConnection(), lambda: None))
