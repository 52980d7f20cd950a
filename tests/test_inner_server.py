"""What two daemons owe each other on one connection, over real sockets."""

import concurrent.futures
import random
import socket
import threading
import time

import pytest

from savoryhollow import calls, errors
from savoryhollow.recovery import register
from savoryhollow.wire import channel, messages, multiplexing, server

GATE = messages.HelloMessage(messages.PROTOCOL_VERSION, "gate", "1")
ROUTER = messages.HelloMessage(messages.PROTOCOL_VERSION, "router", "2", 1)
LOAD = messages.LoadReport(0, 0, 1, 0, False)
LIMIT_S = 10.0


def call(request_id):
    return messages.CallMessage(
        *(request_id, "s", "r", "c", 1, False, 0, 1, "GET", "/", (), b"")
    )


class Service:
    """Serves a call once the test lets it go on."""

    def __init__(self):
        self.outcomes = register.OutcomeRegister()
        self.begun = threading.Semaphore(0)
        self.go_on = threading.Event()
        self.open_connection = self.outcomes.open
        self.close_connection = self.outcomes.close
        self.stop_accepting = self.outcomes.stop_accepting

    def begin(self, message, connection):
        beginning = self.outcomes.begin(message.request_id, connection, 1e9)
        assert beginning is register.BeginResult.ACCEPTED
        self.begun.release()
        return lambda: self._serve(message)

    def _serve(self, message):
        self.go_on.wait(LIMIT_S)
        return messages.ServedMessage(message.request_id, 200, (), b"", LOAD)

    def answer_control_message(self, message, connection):
        return self.outcomes.resolve(message, connection, 0.0)


@pytest.fixture
def service():
    return Service()


@pytest.fixture
def listening(service):
    listening = server.InnerServer(
        "127.0.0.1", 0, GATE, service, service.answer_control_message
    )
    listening.start()
    yield listening
    service.go_on.set()
    listening.stop(time.monotonic() + LIMIT_S)


@pytest.fixture
def router(listening):
    opened, peer = channel.connect("127.0.0.1", listening.port, ROUTER)
    yield multiplexing.MultiplexedConnection(opened, ROUTER, peer)
    opened.close()


def wait_for(router, pending):
    return router.finish(pending, time.monotonic() + LIMIT_S)


def test_a_question_finds_every_call_sent_before_it(service, listening):
    opened, _ = channel.connect("127.0.0.1", listening.port, ROUTER)
    for number in range(1, 21):
        request_id = f"r{number}"
        opened.send(call(request_id))
        origin = calls.Origin(ROUTER.incarnation, ROUTER.connection, number)
        opened.send(messages.ResolveMessage(request_id, origin))
    for _ in range(20):
        told = opened.receive(time.monotonic() + LIMIT_S)
        assert told.state is messages.ResolutionState.RUNNING
    opened.close()


def test_a_stop_waits_until_the_last_answer_is_sent(service, listening, router):
    pending = router.start(call("r"))
    service.begun.acquire()
    threading.Timer(0.2, service.go_on.set).start()
    assert listening.stop(time.monotonic() + LIMIT_S)
    assert isinstance(wait_for(router, pending), messages.ServedMessage)


def test_a_stop_that_takes_too_long_says_so(service, listening, router):
    router.start(call("r"))
    service.begun.acquire()
    assert not listening.stop(time.monotonic() + 0.05)


def test_a_call_after_the_last_accepted_is_refused_and_others_are_not(
    service, listening, router
):
    before = router.start(call("before"))
    service.begun.acquire()
    listening.announce_leaving()
    service.begin = lambda message, connection: lambda: refusal(message)
    # The announcement is still unread here when this is sent.
    answer = wait_for(router, router.start(call("after")))
    assert isinstance(answer, messages.NotRunMessage)
    assert answer.reason is calls.NotRunReason.LEAVING
    assert answer.load.slots > 0
    assert router.leaving
    service.go_on.set()
    assert isinstance(wait_for(router, before), messages.ServedMessage)


def refusal(message):
    reason = calls.NotRunReason.BARRED
    return messages.NotRunMessage(message.request_id, reason, 0, LOAD)


def test_noise_ends_its_own_connection_and_no_other(service, listening, router):
    rng = random.Random(4)
    address = ("127.0.0.1", listening.port)
    for _ in range(30):
        with socket.create_connection(address, timeout=LIMIT_S) as sock:
            sock.sendall(rng.randbytes(rng.randrange(1, 4000)))
    opened, _ = channel.connect(*address, ROUTER)
    with opened._send_lock:
        opened._run_protocol_step(lambda: opened._protocol.send_binary(b"\x81\x18\xff"))
    with pytest.raises(errors.ChannelClosedError):
        opened.receive(time.monotonic() + LIMIT_S)
    service.go_on.set()
    answer = router.request(call("r"), time.monotonic() + LIMIT_S)
    assert isinstance(answer, messages.ServedMessage)


def test_a_peer_that_comes_while_the_server_stops_is_not_greeted(service, listening):
    entered, go_on = threading.Event(), threading.Event()
    open_connection = service.open_connection

    def open_late(*arguments):
        entered.set()
        go_on.wait(LIMIT_S)
        return open_connection(*arguments)

    service.open_connection = open_late
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        connected = pool.submit(channel.connect, "127.0.0.1", listening.port, ROUTER)
        assert entered.wait(LIMIT_S)
        listening.stop(time.monotonic() + LIMIT_S)
        go_on.set()
        with pytest.raises(errors.ChannelClosedError):
            connected.result(LIMIT_S)
