"""Tests that any request gets a correct response and the server keeps serving."""

import random
import socket
import threading
import time

import hypothesis
import pytest
from hypothesis import strategies

from emulator import plans
from savoryhollow import calls, errors, webserver
from savoryhollow.configuration import acceptance
from savoryhollow.front import parsing

CONFIGURATION = acceptance.accept(plans.COULEE.files)
NOW = 100.0
LIMIT_S = 10.0
SEED = 11
VALID = (
    b"POST /work HTTP/1.1\r\nHost: a\r\nSavoryhollow-Service: dispatch\r\n"
    b"Savoryhollow-Rank: lookup\r\nContent-Length: 3\r\n\r\nabc"
)
NAMES = strategies.sampled_from((*sorted(parsing.KNOWN_HEADERS), "Accept", "X-Other"))
VALUES = strategies.one_of(
    strategies.sampled_from(("dispatch", "lookup", "true", "7", "0", "a/b/c", "-1")),
    strategies.text(max_size=12),
)
HEADERS = strategies.dictionaries(NAMES, VALUES, max_size=8)
REQUESTS = strategies.builds(
    webserver.HttpRequest,
    strategies.one_of(strategies.sampled_from(("GET", "POST")), strategies.text()),
    strategies.one_of(strategies.just("/work"), strategies.text(max_size=20)),
    HEADERS.map(lambda h: tuple(calls.Header(n, v) for n, v in h.items())),
    strategies.binary(max_size=20),
)


@hypothesis.given(REQUESTS)
def test_any_request_gives_a_valid_call_or_a_typed_error(request):
    try:
        call = parsing.parse(request, CONFIGURATION, NOW).call
    except errors.BadRequestError as error:
        assert str(error)
        return
    assert NOW < call.deadline <= NOW + parsing.MAX_DEADLINE_MS / 1000
    assert 0 <= call.depth <= parsing.MAX_DEPTH
    assert 1 <= call.attempts_left <= parsing.MAX_ATTEMPTS
    assert not any(h.name.startswith(parsing.HEADER_PREFIX) for h in call.headers)
    assert call.path.isascii() and not set(call.path) & set(" \r\n")


@pytest.fixture
def server():
    response = webserver.HttpResponse(200, (), b"ok")
    web_server = webserver.WebServer("127.0.0.1", 0, 4, 1000, lambda request: response)
    web_server.start()
    yield web_server
    web_server.stop()


def send(server, data):
    """Send bytes, close the sending side, and return everything received."""
    with socket.create_connection(("127.0.0.1", server.port), LIMIT_S) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        received = b""
        try:
            while chunk := sock.recv(65536):
                received += chunk
        except ConnectionResetError:
            pass
        return received


def test_corrupted_requests_do_not_disturb_the_server(server):
    rng = random.Random(SEED)
    for _ in range(300):
        data = bytearray(VALID)
        for _ in range(rng.randint(1, 6)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        send(server, bytes(data[: rng.randint(0, len(data))]))
    assert send(server, VALID).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (VALID.replace(b"Host: a", b"X: 1\r\nX: 2"), b"400"),
        (VALID.replace(b"Length: 3", b"Length: 5000"), b"413"),
        (VALID.replace(b"Host: a", b"X: " + b"y" * 40_000), b"413"),
        (VALID.replace(b"Length: 3", b"Length: -3"), b"400"),
        (VALID.replace(b"HTTP/1.1", b"HTTP/9.1"), b"505"),
    ],
    ids=["twice", "large body", "large head", "negative length", "version"],
)
def test_an_invalid_request_is_rejected(server, data, status):
    assert send(server, data)[9:12] == status
    assert send(server, VALID).startswith(b"HTTP/1.1 200")


def test_an_incomplete_body_is_not_passed_to_the_handler(server):
    handled_requests = []
    handler = server._handler
    server._handler = lambda request: (
        handled_requests.append(request),
        handler(request),
    )[1]
    send(server, VALID[:-1])
    assert handled_requests == []


# ---------------------------------------------------------------------------
#   Closed connections
# ---------------------------------------------------------------------------

LONG_BODY = 8_000_000 * b"r"


@pytest.mark.parametrize("stops", [False, True], ids=["asks to close", "stop"])
def test_a_caller_that_sends_on_gets_the_whole_response_before_it_is_closed(stops):
    """A socket that is closed with data unread is reset; the response lost its end."""
    server = webserver.WebServer(
        "127.0.0.1",
        0,
        2,
        100,
        lambda request: webserver.HttpResponse(200, (), LONG_BODY),
    )
    server.start()
    stopping = threading.Thread(target=server.stop)
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        caller.connect(("127.0.0.1", server.port))
        caller.settimeout(20)
        ending = "" if stops else "Connection: close\r\n"
        caller.sendall(f"GET /a HTTP/1.1\r\nHost: x\r\n{ending}\r\n".encode())
        received = caller.recv(1)
        if stops:
            stopping.start()
            time.sleep(0.1)
        caller.sendall(b"GET /more HTTP/1.1\r\nHost: x\r\n\r\n")
        while len(received) < len(LONG_BODY):
            data = caller.recv(1 << 16)
            assert data, f"the connection ended after {len(received)} bytes"
            received += data
    if not stops:
        stopping.start()
    stopping.join(20)
    assert received.startswith(b"HTTP/1.1 200 ")
