"""Tests of how a link decides that its peer is gone."""

import asyncio

import pytest

from savoryhollow import errors
from savoryhollow.proxy import links
from savoryhollow.wire import codec, messages

LOAD = messages.LoadReport(0, 0, 7, 100_000, False)


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
        self.received = []

    async def send(self, data):
        self.received.append(codec.decode(data))

    async def ping(self):
        return asyncio.get_running_loop().create_future()


def make_link(host="127.0.0.1"):
    settings = links.LinkSettings(
        messages.HelloMessage(messages.PROTOCOL_VERSION, "one", "1"),
        1 << 20,
        lambda endpoint_id, report: None,
        lambda message: True,
        lambda: -1,
    )
    return links.Link("e", host, 1, settings)


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


# ---------------------------------------------------------------------------
#   A peer that is only paused, cut off or slow for a while
# ---------------------------------------------------------------------------


def make_call(request_id, idempotent):
    return messages.CallMessage(
        *(request_id, "s", "r", "c", 1, idempotent, 0, 1, "POST", "/", (), b"")
    )


async def fall_silent(monkeypatch, *requests):
    """Send requests to a peer that falls silent; return the link and their tasks."""
    monkeypatch.setattr(links, "PING_TIMEOUT_S", 0.01)
    link, connection = make_link(), SilentConnection()
    link._connection = connection
    sent = [asyncio.create_task(link.call(request)) for request in requests]
    await asyncio.sleep(0)
    link.check_liveness(links.PING_AFTER_SILENCE_S)
    await link._ping_task
    await asyncio.sleep(0)
    return link, connection, sent


def test_a_request_that_can_not_be_repeated_gets_its_answer_after_a_pause(monkeypatch):
    """Its work would be given up, though the paused instance still does it."""

    async def main():
        request = make_call("r1", idempotent=False)
        link, connection, (sent,) = await fall_silent(monkeypatch, request)
        assert not sent.done() and not connection.transport.aborted
        answer = messages.ServedMessage("r1", 200, (), b"", LOAD)
        link._handle_message(codec.encode(answer))
        assert await sent == answer
        assert connection.transport.aborted
        link.close()

    asyncio.run(main())


def test_a_silent_peer_is_asked_for_nothing_more(monkeypatch):
    async def main():
        request = make_call("r1", idempotent=False)
        link, connection, (sent,) = await fall_silent(monkeypatch, request)
        assert link.failing
        with pytest.raises(errors.PeerUnreachableError):
            await link.call(make_call("r2", idempotent=True))
        assert connection.received == [request]
        link.close()
        with pytest.raises(errors.ChannelClosedError):
            await sent

    asyncio.run(main())


def test_idempotent_requests_leave_a_silent_peer_at_once(monkeypatch):
    """They can be sent elsewhere, and the peer needn't work on them any longer."""

    async def main():
        requests = [make_call("r1", idempotent=True), make_call("r2", idempotent=False)]
        link, connection, (first, second) = await fall_silent(monkeypatch, *requests)
        with pytest.raises(errors.ChannelSilentError):
            await first
        assert connection.received == [*requests, messages.CancelMessage("r1")]
        assert not second.done()
        link.close()

    asyncio.run(main())


def test_the_connection_to_a_silent_peer_is_closed_after_the_last_deadline(monkeypatch):
    async def main():
        request = make_call("r1", idempotent=False)
        link, connection, (sent,) = await fall_silent(monkeypatch, request)
        sent.cancel()
        await asyncio.wait({sent})
        assert connection.transport.aborted
        assert not link.has_open_requests
        link.close()

    asyncio.run(main())
