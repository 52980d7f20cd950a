"""Tests of the backend client.

If the backend server gives no complete response, it may still have run the request.
The client must not report such a request as not started, and must not send it again.
"""

import socket
import threading
import time

import pytest

from savoryhollow import errors
from savoryhollow.backend import client
from savoryhollow.wire import messages

BODY = b"whole body"
ID_LINE = b"X-Request-Id: r.0\r\n"
COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\n" + ID_LINE + b"Content-Length: 4\r\n\r\nbody"
# One response of each framing; every prefix of one is an incomplete response.
WHOLE_RESPONSES = {
    "length": COMPLETE_RESPONSE,
    "empty": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + ID_LINE + b"\r\n",
    "no body": b"HTTP/1.1 204 No Content\r\n" + ID_LINE + b"\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\nX-Trailer: 1\r\n\r\n",
}


class ScriptedServer:
    """Accepts requests on one port and sends the next response to each.

    A response is the bytes to send, a list of byte strings to send with pauses, or
    None to close the connection without a response.
    """

    def __init__(self, *responses):
        self.requests = []
        self.connections = 0
        self._responses = iter(responses)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            sock, _ = self._listener.accept()
            self.connections += 1
            with sock:
                while request := self._receive(sock):
                    self.requests.append(request)
                    response = next(self._responses)
                    if response is None:
                        break
                    self._send(sock, response)
                    if response is not COMPLETE_RESPONSE:
                        break

    def _receive(self, sock):
        """Return a whole request; head and body may arrive separately."""
        request = b""
        while not request.endswith(BODY):
            data = sock.recv(1 << 16)
            if not data:
                break
            request += data
        return request

    def _send(self, sock, response):
        parts = response if isinstance(response, list) else [response]
        try:
            for part in parts:
                sock.sendall(part)
                time.sleep(0.05 if len(parts) > 1 else 0)
        except OSError:
            # The client may close the connection before everything is sent.
            pass


def send_call(port, timeout_s=5.0, backend_client=None):
    message = messages.CallMessage(
        *("r.0", "dispatch", "booking", "c", 1, False, 0, 1, "POST", "/work", (), BODY)
    )
    backend_client = backend_client or client.BackendClient("127.0.0.1", port, 100)
    return backend_client.run(message, time.monotonic() + timeout_s)


def test_a_refused_connection_proves_that_nothing_started():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    with pytest.raises(errors.BackendError) as caught:
        send_call(port)
    assert not caught.value.started


def test_a_call_is_not_sent_if_its_backend_server_leaves_while_it_connects():
    """Opening a connection may take as long as the call has left."""
    server = ScriptedServer(COMPLETE_RESPONSE)
    backend_client = client.BackendClient("127.0.0.1", server.port, 100)
    backend_client.may_send = lambda: False
    with pytest.raises(errors.BackendError) as caught:
        send_call(server.port, backend_client=backend_client)
    assert not caught.value.started
    backend_client.may_send = lambda: True
    assert send_call(server.port, backend_client=backend_client).body == b"body"
    assert len(server.requests) == 1


@pytest.mark.parametrize(
    "response",
    [
        None,
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + b"x" * 101,
        b"HTTP/1.1 200 OK\r\n\r\nno length",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
        b"nonsense\r\n\r\n",
    ],
)
def test_after_an_incomplete_response_the_request_may_have_started(response):
    server = ScriptedServer(response)
    with pytest.raises(errors.BackendError) as caught:
        send_call(server.port)
    assert caught.value.started
    assert len(server.requests) == 1


@pytest.mark.parametrize("whole", WHOLE_RESPONSES.values(), ids=WHOLE_RESPONSES.keys())
def test_a_response_that_breaks_off_at_any_byte_is_incomplete(whole):
    """The caller would get a success with an empty or short body, framed as whole."""
    server = ScriptedServer(*(whole[:length] for length in range(1, len(whole))))
    for _ in range(1, len(whole)):
        with pytest.raises(errors.BackendError):
            send_call(server.port)
    assert send_call(ScriptedServer(whole).port).status < 300


def test_a_late_copy_of_a_response_is_not_taken_for_the_next_one():
    """The next caller would get an answer to a request that isn't its own."""
    copy = COMPLETE_RESPONSE.replace(b"r.0", b"earlier")
    server = ScriptedServer(COMPLETE_RESPONSE, copy + COMPLETE_RESPONSE)
    backend_client = client.BackendClient("127.0.0.1", server.port, 100)
    assert send_call(server.port, backend_client=backend_client).body == b"body"
    with pytest.raises(errors.BackendError) as caught:
        send_call(server.port, backend_client=backend_client)
    assert caught.value.started
    assert len(server.requests) == 2


def test_a_connection_is_reused_only_if_the_server_repeats_the_request_id():
    """Otherwise a late copy of a response couldn't be told from the next one."""
    without_id = COMPLETE_RESPONSE.replace(ID_LINE, b"")
    server = ScriptedServer(without_id, COMPLETE_RESPONSE, COMPLETE_RESPONSE)
    backend_client = client.BackendClient("127.0.0.1", server.port, 100)
    for _ in range(3):
        assert send_call(server.port, backend_client=backend_client).body == b"body"
    assert server.connections == 2


def test_a_complete_chunked_response_is_returned():
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    server = ScriptedServer(head + b"2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n")
    assert send_call(server.port).body == b"body"


def test_a_request_is_not_sent_again_if_a_reused_connection_closes():
    server = ScriptedServer(COMPLETE_RESPONSE, None, COMPLETE_RESPONSE)
    backend_client = client.BackendClient("127.0.0.1", server.port, 100)
    assert send_call(server.port, backend_client=backend_client).body == b"body"
    with pytest.raises(errors.BackendError) as caught:
        send_call(server.port, backend_client=backend_client)
    assert caught.value.started
    assert len(server.requests) == 2


def test_a_slow_body_is_abandoned_at_the_deadline():
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n"
    server = ScriptedServer([head] + [b"x"] * 89 + [b"y"])
    with pytest.raises(errors.BackendError) as caught:
        send_call(server.port, timeout_s=0.3)
    assert caught.value.started
