"""Tests of the connections between two daemons, over loopback sockets."""

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


def make_call(request_id):
    return messages.CallMessage(
        *(request_id, "s", "r", "c", 1, False, 0, 1, "GET", "/", (), b"")
    )


class Service:
    """Serves each call once the test has set ``proceed``."""

    def __init__(self):
        self.outcomes = register.OutcomeRegister()
        self.started = threading.Semaphore(0)
        self.proceed = threading.Event()
        self.open_connection = self.outcomes.open
        self.close_connection = self.outcomes.close
        self.stop_accepting = self.outcomes.stop_accepting

    def begin(self, message, connection):
        begin_result = self.outcomes.begin(message.request_id, connection, 1e9)
        assert begin_result is register.BeginResult.ACCEPTED
        self.started.release()
        return lambda: self._serve(message)

    def _serve(self, message):
        self.proceed.wait(LIMIT_S)
        return messages.ServedMessage(message.request_id, 200, (), b"", LOAD)

    def answer_control_message(self, message, connection):
        return self.outcomes.resolve(message, connection, 0.0)


@pytest.fixture
def service():
    return Service()


@pytest.fixture
def inner_server(service):
    inner_server = server.InnerServer(
        "127.0.0.1", 0, GATE, service, service.answer_control_message
    )
    inner_server.start()
    yield inner_server
    service.proceed.set()
    inner_server.stop(time.monotonic() + LIMIT_S)


@pytest.fixture
def router(inner_server):
    opened, peer = channel.connect("127.0.0.1", inner_server.port, ROUTER)
    yield multiplexing.MultiplexedConnection(opened, ROUTER, peer)
    opened.close()


def wait_for(router, pending):
    return router.finish(pending, time.monotonic() + LIMIT_S)


def test_a_resolve_message_finds_every_call_sent_before_it(service, inner_server):
    opened, _ = channel.connect("127.0.0.1", inner_server.port, ROUTER)
    for number in range(1, 21):
        request_id = f"r{number}"
        opened.send(make_call(request_id))
        origin = calls.Origin(ROUTER.incarnation, ROUTER.connection, number)
        opened.send(messages.ResolveMessage(request_id, origin))
    for _ in range(20):
        resolution = opened.receive(time.monotonic() + LIMIT_S)
        assert resolution.state is messages.ResolutionState.RUNNING
    opened.close()


def test_stop_waits_until_all_answers_are_sent(service, inner_server, router):
    pending = router.start(make_call("r"))
    service.started.acquire()
    threading.Timer(0.2, service.proceed.set).start()
    assert inner_server.stop(time.monotonic() + LIMIT_S)
    assert isinstance(wait_for(router, pending), messages.ServedMessage)


def test_stop_returns_false_if_a_call_is_unanswered_at_the_deadline(
    service, inner_server, router
):
    router.start(make_call("r"))
    service.started.acquire()
    assert not inner_server.stop(time.monotonic() + 0.05)


def test_only_calls_after_the_last_accepted_one_are_refused(
    service, inner_server, router
):
    earlier = router.start(make_call("before"))
    service.started.acquire()
    inner_server.announce_leaving()
    service.begin = lambda message, connection: lambda: make_refusal(message)
    # The router hasn't read the go-away message yet when it sends this call.
    answer = wait_for(router, router.start(make_call("after")))
    assert isinstance(answer, messages.NotRunMessage)
    assert answer.reason is calls.NotRunReason.LEAVING
    assert answer.load.slots > 0
    assert router.leaving
    service.proceed.set()
    assert isinstance(wait_for(router, earlier), messages.ServedMessage)


def make_refusal(message):
    reason = calls.NotRunReason.BARRED
    return messages.NotRunMessage(message.request_id, reason, 0, LOAD)


def test_invalid_data_closes_only_its_own_connection(service, inner_server, router):
    rng = random.Random(4)
    address = ("127.0.0.1", inner_server.port)
    for _ in range(30):
        with socket.create_connection(address, timeout=LIMIT_S) as sock:
            sock.sendall(rng.randbytes(rng.randrange(1, 4000)))
    opened, _ = channel.connect(*address, ROUTER)
    with opened._send_lock:
        opened._run_protocol_step(lambda: opened._protocol.send_binary(b"\x81\x18\xff"))
    with pytest.raises(errors.ChannelClosedError):
        opened.receive(time.monotonic() + LIMIT_S)
    service.proceed.set()
    answer = router.request(make_call("r"), time.monotonic() + LIMIT_S)
    assert isinstance(answer, messages.ServedMessage)


def test_a_peer_that_connects_while_the_server_stops_gets_no_hello_message(
    service, inner_server
):
    entered, proceed = threading.Event(), threading.Event()
    open_connection = service.open_connection

    def open_delayed(*arguments):
        entered.set()
        proceed.wait(LIMIT_S)
        return open_connection(*arguments)

    service.open_connection = open_delayed
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        connecting = pool.submit(
            channel.connect, "127.0.0.1", inner_server.port, ROUTER
        )
        assert entered.wait(LIMIT_S)
        inner_server.stop(time.monotonic() + LIMIT_S)
        proceed.set()
        with pytest.raises(errors.ChannelClosedError):
            connecting.result(LIMIT_S)
