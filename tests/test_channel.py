"""Tests of channels and their pings, over loopback sockets."""

import socket
import threading
import time

import pytest

from savoryhollow import errors
from savoryhollow.wire import channel, messages

HELLO = messages.HelloMessage(messages.PROTOCOL_VERSION, "here", "0")


@pytest.fixture
def pair():
    """Return the two channels of one connection."""
    accepted = []

    def accept_and_send_hello():
        accepted.append(channel.accept(listener.accept()[0])[0])
        accepted[0].send(HELLO)

    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(target=accept_and_send_hello)
        thread.start()
        opened, _ = channel.connect(*listener.getsockname(), HELLO)
        thread.join()
    yield opened, accepted[0]
    opened.close()
    accepted[0].close()


def test_a_request_on_an_idle_connection_causes_no_ping(pair, monkeypatch):
    monkeypatch.setattr(channel, "PING_AFTER_SILENCE_S", 1.0)
    opened, accepted = pair
    time.sleep(1.1)
    bytes_before = opened.bytes_sent
    opened.send(messages.CancelMessage("id"))
    message_bytes = opened.bytes_sent - bytes_before

    def answer_late():
        time.sleep(0.02)
        accepted.send(accepted.receive_idle())

    threading.Thread(target=answer_late).start()
    assert opened.receive(time.monotonic() + 5) == messages.CancelMessage("id")
    assert opened.bytes_sent == bytes_before + message_bytes


def test_sending_more_does_not_hide_a_peer_that_answers_no_ping(pair):
    opened, _ = pair
    for _ in range(3):
        opened.send(messages.CancelMessage("id"))
    with pytest.raises(errors.ChannelSilentError, match="resolve"):
        opened.receive(time.monotonic() + 30)


def test_a_silent_peer_is_detected_over_many_short_waits(pair):
    opened, _ = pair
    with pytest.raises(errors.ChannelSilentError):
        for _ in range(1000):
            opened.receive(time.monotonic() + 0.03)


def test_a_message_without_an_answer_causes_no_ping(pair, monkeypatch):
    monkeypatch.setattr(channel, "PING_AFTER_SILENCE_S", 1.0)
    opened, accepted = pair
    opened.send(messages.CancelMessage("no answer"))
    time.sleep(1.1)
    opened.send(messages.CancelMessage("id"))
    bytes_before = opened.bytes_sent
    accepted.receive_idle()
    threading.Timer(0.02, accepted.send, [accepted.receive_idle()]).start()
    assert opened.receive(time.monotonic() + 5) == messages.CancelMessage("id")
    assert opened.bytes_sent == bytes_before


def test_receive_returns_none_at_the_deadline(pair):
    opened, _ = pair
    assert opened.receive(time.monotonic() + 0.01) is None
