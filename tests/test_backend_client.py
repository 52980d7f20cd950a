"""What a gate may claim when its backend server gives no whole answer."""

import socket
import threading
import time

import pytest

from savoryhollow import errors
from savoryhollow.backend import client
from savoryhollow.wire import messages

BODY = b"whole body"
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"


class Scripted:
    """Takes requests on one port and answers each with the next text."""

    def __init__(self, *answers):
        self.requests = []
        self._answers = iter(answers)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            sock, _ = self._listener.accept()
            with sock:
                while request := self._receive(sock):
                    self.requests.append(request)
                    answer = next(self._answers)
                    if answer is None:
                        break
                    self._send(sock, answer)
                    if answer is not WHOLE:
                        break

    def _receive(self, sock):
        """Return a whole request, as head and body may come apart."""
        request = b""
        while not request.endswith(BODY):
            data = sock.recv(1 << 16)
            if not data:
                break
            request += data
        return request

    def _send(self, sock, answer):
        parts = answer if isinstance(answer, list) else [answer]
        try:
            for part in parts:
                sock.sendall(part)
                time.sleep(0.05 if len(parts) > 1 else 0)
        except OSError:
            # The client has gone away, as it may.
            pass


def run(port, limit_s=5.0, opened=None):
    message = messages.CallMessage(
        *("r.0", "dispatch", "booking", "c", 1, False, 0, 1, "POST", "/work", (), BODY)
    )
    opened = opened or client.BackendClient("127.0.0.1", port, 100)
    return opened.run(message, time.monotonic() + limit_s)


def test_a_refused_connection_proves_that_nothing_started():
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
    with pytest.raises(errors.BackendError) as caught:
        run(port)
    assert not caught.value.started


@pytest.mark.parametrize(
    "answer",
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
def test_an_answer_that_is_not_whole_leaves_the_outcome_open(answer):
    server = Scripted(answer)
    with pytest.raises(errors.BackendError) as caught:
        run(server.port)
    assert caught.value.started
    assert len(server.requests) == 1


def test_a_whole_chunked_answer_is_passed_on():
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    server = Scripted(head + b"2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n")
    assert run(server.port).body == b"body"


def test_a_request_is_never_sent_again_when_a_kept_connection_ends():
    server = Scripted(WHOLE, None, WHOLE)
    opened = client.BackendClient("127.0.0.1", server.port, 100)
    assert run(server.port, opened=opened).body == b"body"
    with pytest.raises(errors.BackendError) as caught:
        run(server.port, opened=opened)
    assert caught.value.started
    assert len(server.requests) == 2


def test_a_body_that_drips_is_cut_off_at_the_deadline():
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n"
    server = Scripted([head] + [b"x"] * 89 + [b"y"])
    with pytest.raises(errors.BackendError) as caught:
        run(server.port, limit_s=0.3)
    assert caught.value.started
