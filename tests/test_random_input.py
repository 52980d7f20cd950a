"""Tests of the parsers of the event-loop path with damaged and random input.

One malformed message must cost at most its own connection, and no error other than the
typed ones may escape: it would end a task, or the whole process.

The number of inputs a parser and the seed can be set by the environment variables
``RANDOM_INPUTS`` and ``RANDOM_SEED``.
"""

import asyncio
import dataclasses
import os
import random

import pytest

from savoryhollow import errors
from savoryhollow.http1 import backends, caller_connection, callers, messages
from savoryhollow.platform import documents
from savoryhollow.proxy import gate as gate_module
from savoryhollow.proxy import inner, relay
from savoryhollow.wire import codec, packing
from savoryhollow.wire import messages as wire

INPUTS = int(os.environ.get("RANDOM_INPUTS", "1500"))
SEED = int(os.environ.get("RANDOM_SEED", "1"))
DICTIONARY = packing.make_dictionary(("X-Attempt-Id",))
MAX_MUTATIONS = 4
MAX_PIECES = 4
# Bytes that mean something to one of the parsers.
SPECIAL = (
    b"\r\n",
    b"\r\n\r\n",
    b":",
    b" ",
    b"\0",
    b"\xff",
    b"0",
    b"9" * 20,
    b";",
    b"{",
)

REQUESTS = (
    b"GET /a?b=c HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: r1\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody",
    b"PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\nX-Trailer: 1\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
    b"Content-Length: 2\r\n\r\nok",
    b"GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
)
RESPONSES = (
    b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 4\r\n\r\nbody",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nX-Id: r1\r\n\r\n",
    b"HTTP/1.1 503 Busy\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"4\r\nbody\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5, max=9\r\n\r\nuntil the end",
    b"HTTP/1.1 101 Switching\r\nUpgrade: h2c\r\n\r\n",
)
LOAD = wire.LoadReport(1, 2, 7, 100_000, False, (1, 2))
MESSAGES = (
    wire.HelloMessage(wire.PROTOCOL_VERSION, "e1", "i1", report_interval_ms=100),
    wire.CallMessage(
        *("r1", "s", "r", "c", 1000, False, 0, 1, "GET", "/", (), b"x"), patient=False
    ),
    wire.CancelMessage("r1"),
    wire.SubscribeMessage(7),
    wire.ServedMessage("r1", 200, (), b"body", LOAD),
    wire.ItemsMessage(1, 2, 3, (wire.PublishedItem("k", 2, b"v"),)),
)
DOCUMENTS = (
    b'{"items": [{"key": "servers/a", "value": "e30=", "revision": 3}], "as_of": 4}',
    b'{"events": [{"key": "servers/a", "revision": 5, "tombstone": true}], "as_of": 5}',
)


def damage(rng, data):
    """Return data with a few bytes changed, removed, repeated or put in."""
    for _ in range(rng.randrange(MAX_MUTATIONS + 1)):
        start = rng.randrange(len(data) + 1)
        end = min(len(data), start + rng.choice((0, 1, 1, 8)))
        replacement = rng.choice(
            (b"", rng.randbytes(rng.randrange(9)), rng.choice(SPECIAL), data[start:])
        )
        data = data[:start] + replacement + data[end:]
    return data


def damaged_inputs(samples):
    rng = random.Random(SEED)
    for number in range(INPUTS):
        data = damage(rng, rng.choice(samples))
        yield number, rng, rng.randbytes(40) if number % 10 == 0 else data


def pieces(rng, data):
    cuts = sorted(
        rng.randrange(len(data) + 1) for _ in range(rng.randrange(MAX_PIECES))
    )
    return [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True)]


class Transport(asyncio.Transport):
    """A transport that keeps nothing and is closed once its user says so."""

    def __init__(self):
        super().__init__()
        self.written = b""
        self.closed = False

    def write(self, data):
        self.written += data

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def close(self):
        self.closed = True

    abort = close

    def get_write_buffer_size(self):
        return 0

    def write_eof(self):
        pass

    def is_closing(self):
        return self.closed

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


def run_and_collect_failures(main):
    """Run a coroutine function; return what the event loop reported meanwhile."""
    failures = []

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: failures.append(context))
        async with asyncio.timeout(3600):
            await main()

    asyncio.run(run())
    return failures


def test_damaged_requests_cost_at_most_their_own_connection():
    async def handle(request):
        return messages.Response(200, (), request.body)

    async def main():
        server = callers.Server(handle)
        for _, rng, data in damaged_inputs(REQUESTS):
            connection = caller_connection.CallerConnection(server)
            transport = Transport()
            connection.connection_made(transport)
            for piece in pieces(rng, data):
                connection.data_received(piece)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            connection.connection_lost(None)
        assert not server.connections

    assert run_and_collect_failures(main) == []


def test_a_damaged_response_is_complete_or_a_typed_error():
    async def main():
        for number, rng, data in damaged_inputs(RESPONSES):
            connection = backends.Connection()
            connection.connection_made(Transport())
            exchange = asyncio.create_task(connection.exchange(b"", "X-Id", "r1"))
            await asyncio.sleep(0)
            for piece in pieces(rng, data):
                connection.data_received(piece)
            if number % 2:
                connection.eof_received()
            connection.connection_lost(None)
            try:
                response = await exchange
            except errors.BackendError:
                assert not connection.usable
            else:
                assert response.status >= 200

    assert run_and_collect_failures(main) == []


def encoded_messages():
    plain = [codec.encode(message) for message in MESSAGES]
    return plain + [codec.encode_packed(message, DICTIONARY) for message in MESSAGES]


def test_a_damaged_message_of_a_peer_is_a_typed_error():
    for _, _, data in damaged_inputs(encoded_messages()):
        try:
            codec.decode(data, DICTIONARY)
        except errors.MalformedMessageError:
            continue


@pytest.mark.parametrize("decode", [documents.decode_page, documents.decode_changes])
def test_a_damaged_answer_of_the_store_is_a_typed_error(decode):
    for _, _, data in damaged_inputs(DOCUMENTS):
        try:
            decode(data)
        except errors.StoreError:
            continue


class Peer:
    """The connection of a peer, as the inner port uses it."""

    def __init__(self, received):
        self.received = received

    async def __aiter__(self):
        for data in self.received:
            yield data

    async def send(self, data):
        codec.decode(data, DICTIONARY)


class Runner:
    """Answers each request at once."""

    load = None
    load_received_at = float("-inf")

    async def refresh_load(self, max_age_s):
        pass

    async def run(self, call, deadline):
        raise AssertionError("no request of these tests may run")


def test_damaged_messages_cost_at_most_the_connection_of_their_peer():
    async def main():
        loop = asyncio.get_running_loop()
        gate = gate_module.Gate(Runner(), loop.time, lambda service: None)
        gate.leave()
        replica = relay.Replica(lambda items: None, lambda in_contact: None)
        port = inner.InnerPort(gate, 1 << 20, replica, loop.time, DICTIONARY)
        samples = encoded_messages()
        for _, rng, data in damaged_inputs(samples):
            received = [*rng.sample(samples, 2), data, rng.choice(samples)]
            await port._serve_peer(Peer(received))
        assert not port.report_intervals_by_listener

    assert run_and_collect_failures(main) == []


def test_an_unexpected_error_of_the_gate_is_an_unknown_outcome():
    """Its peer would wait until the deadline for an answer that never comes."""
    sent = []

    class Collecting(Peer):
        async def send(self, data):
            sent.append(codec.decode(data, DICTIONARY))

    async def main():
        loop = asyncio.get_running_loop()
        gate = gate_module.Gate(Runner(), loop.time, lambda service: None)
        replica = relay.Replica(lambda items: None, lambda in_contact: None)
        port = inner.InnerPort(gate, 1 << 20, replica, loop.time, DICTIONARY)
        call = dataclasses.replace(MESSAGES[1], remaining_us=5_000_000, patient=True)
        await port._serve_call(Collecting([]), call, is_packed=True)

    assert run_and_collect_failures(main) == []
    assert isinstance(sent[0], wire.UnknownMessage)
    assert sent[0].request_id == "r1"
