"""Callers: they send requests to the daemon of their instance and keep account."""

import asyncio
import dataclasses
import random

import httptools

from emulator import http
from savoryhollow.platform import headers
from soak import layout, records

__all__ = ["Caller", "call_once"]

NAMES = headers.DIALECT
HOST = "callers.example"
# What requests take, in s, and the share of them that calls another service.
WORK_S = 0.08
WORK_S_BY_PREFIX = {"/lookup/": 0.06, "/report/": 0.15, "/order/": 0.05, "/spec/": 0.02}
CALLING_SHARE_BY_PREFIX = {"/lookup/": 0.3}
# Paths that callers ask for, with their methods.
PATHS = (
    ("/lookup/", "GET"),
    ("/book/", "POST"),
    ("/report/", "GET"),
    ("/order/", "DELETE"),
)
CALL_PATH = "/spec/"
IDEMPOTENT_METHODS = frozenset(("GET",))
# Time that callers wait, in s, and how much longer before they close.
PATIENCE_S = 2.0
CLOSE_S = 1.0
CALL_PATIENCE_S = 0.6
# Requests sent at one time by those that don't wait for answers.
PIPELINED = 3
PAUSE_S = 0.15
CONNECT_S = 1.0
# Share of callers that leave before their answer, and after how long, in s.
LEAVING_SHARE = 0.05
LEAVING_S = 0.1


@dataclasses.dataclass(slots=True)
class _Connection:
    reader: http.MessageReader
    writer: asyncio.StreamWriter
    boot: int
    used: bool = False


class Caller:
    """One caller; it keeps its connection for as long as the daemon does.

    :param place: the instance.
    :param boot: returns how often its daemon was started.
    :param added_prefixes: returns paths that came with later configurations.
    """

    def __init__(self, place, history: records.History, rng, boot, added_prefixes):
        self._place = place
        self._history = history
        self._rng: random.Random = rng
        self._boot = boot
        self._added_prefixes = added_prefixes
        self._connection: _Connection | None = None
        self.pause_s = PAUSE_S

    async def run(self) -> None:
        """Send requests for ever."""
        while True:
            await asyncio.sleep(self.pause_s * self._rng.uniform(0.5, 1.5))
            count = PIPELINED if self._rng.random() < 0.2 else 1
            batch = [self._next() for _ in range(count)]
            if count > 1:
                batch = [one for one in batch if one.idempotent] or batch[:1]
            await self._exchange(batch)

    def _next(self) -> records.Sent:
        path, method = self._rng.choice(PATHS)
        added = self._added_prefixes()
        if added and self._rng.random() < 0.25:
            path, method = self._rng.choice(added), "GET"
        body = b""
        if method == "POST":
            body = self._rng.randbytes(self._rng.choice((20, 3000)))
        return _new_request(self._place, self._rng, path, method, body, PATIENCE_S)

    # -----------------------------------------------------------------------
    #   Exchanges
    # -----------------------------------------------------------------------

    async def _exchange(self, batch: list[records.Sent]) -> None:
        connection = self._connection
        if connection is None:
            connection = await _connect(self._place, self._boot())
            if connection is None:
                return
        kept = await _send_all(connection, batch, self._history, self._rng)
        self._connection = connection if kept else None
        if not kept:
            connection.writer.transport.abort()


async def call_once(place: layout.Place, history: records.History, rng) -> bool:
    """Make the call of a backend server; return whether it was served."""
    connection = await _connect(place, 0)
    if connection is None:
        return False
    sent = _new_request(place, rng, CALL_PATH, "GET", b"", CALL_PATIENCE_S)
    try:
        await _send_all(connection, [sent], history, None)
    finally:
        connection.writer.transport.abort()
    return sent.status == 200


def _new_request(place, rng, path, method, body, patience_s) -> records.Sent:
    request_id = f"{rng.getrandbits(64):016x}"
    return records.Sent(
        request_id=request_id,
        place=place.number,
        boot=0,
        path=f"{path}{request_id}",
        method=method,
        idempotent=method in IDEMPOTENT_METHODS,
        fresh=False,
        sent_at=0.0,
        deadline=patience_s,
        body=body,
    )


async def _connect(place: layout.Place, boot: int) -> _Connection | None:
    opening = asyncio.open_connection(place.published, layout.FRONT_PORT)
    try:
        reader, writer = await asyncio.wait_for(opening, CONNECT_S)
    except (OSError, TimeoutError):
        # Its daemon is down; the caller comes again.
        return None
    parsed = http.MessageReader(reader, httptools.HttpResponseParser)
    return _Connection(parsed, writer, boot)


async def _send_all(
    connection: _Connection, batch: list[records.Sent], history: records.History, rng
) -> bool:
    """Send requests and take their answers; return whether the connection stays."""
    for sent in batch:
        _send(connection, sent, history)
    for index, sent in enumerate(batch):
        leaves = rng is not None and rng.random() < LEAVING_SHARE
        limit = history.now + LEAVING_S if leaves else sent.deadline + CLOSE_S
        try:
            async with asyncio.timeout_at(limit):
                answer = await connection.reader.read()
        except TimeoutError:
            _leave(batch[index:], history)
            return False
        except (OSError, httptools.HttpParserError) as error:
            sent.sound = isinstance(error, OSError)
            _end(batch[index:], history, repr(error))
            return False
        except asyncio.CancelledError:
            _leave(batch[index:], history)
            raise
        if answer is None:
            _end(batch[index:], history, "closed")
            return False
        _take(sent, answer, history)
        if answer.headers.get("connection", "").lower() == "close":
            _end(batch[index + 1 :], history, "not read")
            return False
    return True


def _send(
    connection: _Connection, sent: records.Sent, history: records.History
) -> None:
    now = history.now
    fields = {
        "Host": HOST,
        NAMES.request_id: sent.request_id,
        NAMES.deadline_ms: str(round(1000 * sent.deadline)),
    }
    first = f"{sent.method} {sent.path} HTTP/1.1"
    sent.boot = connection.boot
    sent.fresh = not connection.used
    sent.sent_at = now
    sent.deadline = now + sent.deadline
    connection.used = True
    history.sent_by_id[sent.request_id] = sent
    connection.writer.write(http.render(first, fields, sent.body))


def _take(sent: records.Sent, answer: http.Message, history: records.History) -> None:
    sent.ended_at = history.now
    sent.status = answer.status
    proof = answer.headers.get(NAMES.signature.lower())
    sent.signed = proof is not None
    wanted = records.sign(sent.request_id, answer.status, answer.body)
    sent.sound = proof == wanted if sent.signed else not 200 <= answer.status < 300


def _leave(batch: list[records.Sent], history: records.History) -> None:
    for sent in batch:
        sent.left_at = history.now
        sent.ended_at = history.now
        sent.detail = "left"


def _end(batch: list[records.Sent], history: records.History, detail: str) -> None:
    for sent in batch:
        sent.ended_at = history.now
        sent.detail = detail
