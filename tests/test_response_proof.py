"""Tests of responses that don't prove to which request they belong, or what came of it.

A backend server in trouble writes an earlier response once more on a kept connection.
If the copy were believed, a request that runs would be answered "not run" or sent to a
second backend server, or its caller would get the answer to another request.
"""

import asyncio
import itertools

import pytest

from savoryhollow import calls
from savoryhollow.http1 import backends, messages
from savoryhollow.platform import headers
from savoryhollow.proxy import backend_responses, backend_runner
from savoryhollow.wire import messages as wire

DIALECT = headers.DIALECT
ID = DIALECT.request_id
MARK = f"{DIALECT.not_executed}: 1"
SIGNATURE = f"{DIALECT.signature}: s1"
STATUSES = (200, 204, 400, 408, 421, 429, 500, 502, 503, 504)


def header_line(line):
    name, _, value = line.partition(": ")
    return calls.Header(name, value)


def response(status, *lines):
    return messages.Response(status, tuple(map(header_line, lines)), b"body")


# ---------------------------------------------------------------------------
#   Whose response it is
# ---------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("request_id", "response_id", "expected"),
    [
        ("r1", "r1", True),
        ("r1", "r0", False),
        ("r1", None, False),
        # A probe has no id, and neither has its response.
        (None, None, True),
        (None, "r0", False),
    ],
)
def test_only_a_response_that_certainly_belongs_to_the_request_is_accepted(
    request_id, response_id, expected
):
    assert backends.is_response_to(request_id, response_id) is expected


# ---------------------------------------------------------------------------
#   What it proves
# ---------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("status", "marked", "signed"),
    list(itertools.product(STATUSES, (True, False), (True, False))),
)
def test_not_run_needs_the_mark_and_success_the_signature(status, marked, signed):
    lines = [MARK] * marked + [SIGNATURE] * signed
    result = backend_responses.interpret(response(status, *lines), DIALECT)
    if status == 421:
        assert result.reason is calls.NotRunReason.MISDIRECTED
    elif marked:
        assert result.reason is calls.NotRunReason.REJECTED
    else:
        assert result.reason is None
        may_have_run = status in (408, 429, 503)
        unproved_success = status < 300 and not signed
        assert (result.response is None) == (may_have_run or unproved_success)
        assert bool(result.detail) == (result.response is None)


# ---------------------------------------------------------------------------
#   A backend server that repeats a response
# ---------------------------------------------------------------------------


def render(status, *lines):
    return messages.render_response(response(status, *lines))


class RepeatingServer:
    """Answers probes and requests; sends a copy before the response to a request.

    :param copy: the copy.
    :param on_new: whether it is also sent before the first response on a connection.
    """

    def __init__(self, copy, on_new=False):
        self.copy = copy
        self.on_new = on_new
        self.run_ids = []
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            await self.answer_all(reader, writer)
        except asyncio.IncompleteReadError:
            return
        finally:
            writer.close()

    async def answer_all(self, reader, writer):
        is_first = True
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            request_id = head.partition(f"{ID}: ")[2].partition("\r\n")[0]
            if not request_id:
                writer.write(render(200, f"{DIALECT.endpoint_id}: e1"))
                is_first = False
                continue
            self.run_ids.append(request_id)
            if self.on_new or not is_first:
                writer.write(self.copy)
            is_first = False
            await asyncio.sleep(0.02)
            writer.write(render(200, f"{ID}: {request_id}", SIGNATURE))


def make_call(request_id="r1"):
    fields = dict.fromkeys(("service", "rank", "caller"), "x")
    return wire.CallMessage(
        **fields,
        request_id=request_id,
        remaining_us=5_000_000,
        idempotent=False,
        depth=0,
        attempts_left=1,
        method="GET",
        path="/",
        headers=(calls.Header(ID, request_id),) if request_id else (),
        body=b"",
    )


def run_against(server, *calls_to_run, probe=True):
    """Probe the server, run the calls one after the other, and return the results."""

    async def main():
        async with asyncio.timeout(10):
            listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
            pool = backends.Pool(*listener.sockets[0].getsockname())
            runner = backend_runner.BackendRunner(DIALECT, pool)
            if probe:
                await runner.probe()
            deadline = asyncio.get_running_loop().time() + 5
            results = [await runner.run(call, deadline) for call in calls_to_run]
            listener.close()
            pool.close()
            return results

    return asyncio.run(main())


COPIES = {
    "503 without id": render(503),
    "429 without id": render(429),
    "503 without id, with mark": render(503, MARK),
    "421 without id": render(421),
    "200 without id, signed": render(200, SIGNATURE),
    "503 of another request": render(503, MARK, f"{ID}: r0"),
    "421 of another request": render(421, f"{ID}: r0"),
    "200 of another request": render(200, SIGNATURE, f"{ID}: r0"),
}


@pytest.mark.parametrize("copy", COPIES.values(), ids=COPIES.keys())
def test_a_repeated_response_is_not_taken_for_that_of_a_request_that_runs(copy):
    server = RepeatingServer(copy)
    (result,) = run_against(server, make_call())
    assert server.run_ids == ["r1"]
    assert result.response is not None and result.response.status == 200
    found = messages.find_header(result.response.headers, ID)
    assert found == "r1"


@pytest.mark.parametrize("copy", COPIES.values(), ids=COPIES.keys())
def test_a_response_without_the_id_is_not_believed_on_a_new_connection(copy):
    """A server that repeats a refusal may do so on any connection (soak seed 7103)."""
    server = RepeatingServer(copy, on_new=True)
    (result,) = run_against(server, make_call(), probe=False)
    assert server.run_ids == ["r1"]
    assert result.response is not None and result.response.status == 200


@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_refusal_without_proof_is_an_unknown_outcome(status):
    """The backend server sends its own refusal, but has begun to run the request."""
    server = RepeatingServer(render(status, f"{ID}: r1"))
    (result,) = run_against(server, make_call())
    assert result.response is None and result.reason is None
    assert "doesn't prove" in result.detail


def test_a_connection_on_which_a_response_was_repeated_is_not_used_again():
    server = RepeatingServer(render(503, MARK))
    results = run_against(server, make_call("r1"), make_call("r2"))
    assert [result.response.status for result in results] == [200, 200]
    assert server.connections == 2


def test_a_request_without_id_gets_a_connection_of_its_own():
    """On a used one, its response can't be told from a copy of an earlier response."""

    class Rejecting(RepeatingServer):
        async def answer_all(self, reader, writer):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(render(400, MARK))

    server = Rejecting(b"")
    (result,) = run_against(server, make_call(""))
    assert result.reason is calls.NotRunReason.REJECTED
    assert server.connections == 2
