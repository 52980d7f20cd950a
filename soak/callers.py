"""Callers that send requests to the daemon of their instance and record the results."""

import asyncio
import dataclasses
import random

import httptools

from emulator import http
from savoryhollow.platform import headers
from soak import layout, records

__all__ = ["Caller", "EagerCaller", "make_nested_call"]

DIALECT = headers.DIALECT
HOST = "callers.example"
# Mean time that a backend server works on a request, by path prefix.
SERVICE_S = 0.08
SERVICE_S_BY_PREFIX = {
    "/lookup/": 0.06,
    "/report/": 0.15,
    "/order/": 0.05,
    "/spec/": 0.02,
}
# Share of requests for which the backend server calls another service.
NESTED_CALL_SHARE_BY_PREFIX = {"/lookup/": 0.3}
# Path prefixes and methods of requests.
ROUTES = (
    ("/lookup/", "GET"),
    ("/book/", "POST"),
    ("/report/", "GET"),
    ("/order/", "DELETE"),
)
NESTED_CALL_PATH = "/spec/"
IDEMPOTENT_METHODS = frozenset(("GET",))
TIMEOUT_S = 2.0
# A caller closes its connection if there is no response this long after the deadline.
CLOSE_DELAY_S = 1.0
NESTED_CALL_TIMEOUT_S = 0.6
# Lengths of most bodies, and of the few that take much of a daemon's memory, in bytes.
BODY_BYTES = (20, 3000)
LONG_BODY_BYTES = 3_000_000
LONG_BODY_SHARE = 0.03
# Requests that a caller sends before it waits for the first response.
PIPELINE_DEPTH = 3
PAUSE_S = 0.15
CONNECT_TIMEOUT_S = 1.0
# Share of requests that the caller abandons early, and after how long.
ABANDON_SHARE = 0.05
ABANDON_AFTER_S = 0.1
# Share of requests whose caller reads nothing at first, and for how long.
SLOW_READ_SHARE = 0.1
SLOW_READ_S = 1.4
# Interval at which such a caller checks whether its connection has ended, in s.
POLL_INTERVAL_S = 0.02


@dataclasses.dataclass(slots=True)
class _Connection:
    stream: asyncio.StreamReader
    reader: http.MessageReader
    writer: asyncio.StreamWriter
    boot: int


class Caller:
    """A caller that reuses its connection while the daemon keeps it open.

    :param spec: the instance of the caller.
    :param history: the records of the run.
    :param rng: the source of randomness.
    :param boot: returns the number of starts of the daemon.
    :param added_prefixes: returns the path prefixes that later configurations added.
    """

    def __init__(self, spec, history: records.History, rng, boot, added_prefixes):
        self._spec = spec
        self._history = history
        self._rng: random.Random = rng
        self._get_boot = boot
        self._get_added_prefixes = added_prefixes
        self._connection: _Connection | None = None
        self.pause_s = PAUSE_S

    async def run(self) -> None:
        """Send requests until cancelled."""
        try:
            while True:
                await asyncio.sleep(self.pause_s * self._rng.uniform(0.5, 1.5))
                await self._exchange(self._new_batch())
        finally:
            if self._connection is not None:
                self._connection.writer.transport.abort()

    def _new_batch(self) -> list[records.Sent]:
        count = PIPELINE_DEPTH if self._rng.random() < 0.2 else 1
        batch = [self._new_request() for _ in range(count)]
        if count > 1:
            batch = [sent for sent in batch if sent.idempotent] or batch[:1]
        return batch

    def _new_request(self) -> records.Sent:
        path, method = self._rng.choice(ROUTES)
        prefixes = self._get_added_prefixes()
        if prefixes and self._rng.random() < 0.25:
            path, method = self._rng.choice(prefixes), "GET"
        body = b""
        if method == "POST":
            is_long = self._rng.random() < LONG_BODY_SHARE
            length = LONG_BODY_BYTES if is_long else self._rng.choice(BODY_BYTES)
            body = self._rng.randbytes(length)
        return _make_sent(self._spec, self._rng, path, method, body, TIMEOUT_S)

    # -----------------------------------------------------------------------
    #   Exchanges
    # -----------------------------------------------------------------------

    async def _exchange(self, batch: list[records.Sent]) -> None:
        connection = self._connection
        if connection is None:
            connection = await _connect(self._spec, self._get_boot())
            if connection is None:
                return
            self._connection = connection
        reusable = await _send_all(connection, batch, self._history, self._rng)
        self._connection = connection if reusable else None
        if not reusable:
            connection.writer.transport.abort()


class EagerCaller(Caller):
    """A caller that sends the next request right behind each response.

    It uses its connection until that ends, whatever a response says, and connects again
    at once.
    """

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            connection = await _connect(self._spec, self._get_boot())
            if connection is None:
                await asyncio.sleep(self.pause_s)
                continue
            try:
                while await self._exchange_one(connection):
                    pass
            finally:
                connection.writer.transport.abort()

    async def _exchange_one(self, connection: _Connection) -> bool:
        """Send a request and read its response; return False if there is none."""
        sent = self._new_request()
        await _send_all(connection, [sent], self._history, None)
        if sent.status != 200:
            # It doesn't try again faster than a daemon can start.
            await asyncio.sleep(self.pause_s)
        return sent.status is not None


async def make_nested_call(
    spec: layout.InstanceSpec, history: records.History, rng
) -> bool:
    """Make a nested call for a backend server.

    :param spec: the instance of the backend server.
    :param history: the records of the run.
    :param rng: the source of randomness.
    :returns: True if the call was served.
    """
    connection = await _connect(spec, 0)
    if connection is None:
        return False
    sent = _make_sent(spec, rng, NESTED_CALL_PATH, "GET", b"", NESTED_CALL_TIMEOUT_S)
    try:
        await _send_all(connection, [sent], history, None)
    finally:
        connection.writer.transport.abort()
    return sent.status == 200


def _make_sent(spec, rng, path, method, body, timeout_s) -> records.Sent:
    request_id = f"{rng.getrandbits(64):016x}"
    return records.Sent(
        request_id=request_id,
        place=spec.number,
        boot=0,
        path=f"{path}{request_id}",
        method=method,
        idempotent=method in IDEMPOTENT_METHODS,
        sent_at=0.0,
        deadline=timeout_s,
        body=body,
    )


async def _connect(spec: layout.InstanceSpec, boot: int) -> _Connection | None:
    connecting = asyncio.open_connection(spec.published_ip, layout.FRONT_PORT)
    try:
        reader, writer = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
    except (OSError, TimeoutError):
        # The daemon is down; the caller tries again with its next request.
        return None
    message_reader = http.MessageReader(reader, httptools.HttpResponseParser)
    return _Connection(reader, message_reader, writer, boot)


async def _send_all(
    connection: _Connection, batch: list[records.Sent], history: records.History, rng
) -> bool:
    """Send requests and read responses; return True if the connection is reusable."""
    for sent in batch:
        _send(connection, sent, history)
    for index, sent in enumerate(batch):
        abandons_at = history.now + ABANDON_AFTER_S
        abandons = rng is not None and rng.random() < ABANDON_SHARE
        # A caller that has paused may be too late to leave early.
        abandons = abandons and abandons_at < sent.deadline
        limit = abandons_at if abandons else sent.deadline + CLOSE_DELAY_S
        try:
            async with asyncio.timeout_at(limit):
                if not abandons and rng is not None:
                    await _pause_reading(connection.stream, sent, history, rng)
                response = await connection.reader.read()
        except TimeoutError:
            _record_abandonment(batch[index:], history)
            return False
        except (OSError, httptools.HttpParserError) as error:
            sent.sound = isinstance(error, OSError)
            _record_connection_end(batch[index:], history, repr(error))
            return False
        except asyncio.CancelledError:
            _record_abandonment(batch[index:], history)
            raise
        if response is None:
            _record_connection_end(batch[index:], history, "closed")
            return False
        _record_response(sent, response, history)
        if response.headers.get("connection", "").lower() == "close":
            _record_connection_end(batch[index + 1 :], history, "not read")
            return False
    return True


async def _pause_reading(
    stream: asyncio.StreamReader,
    sent: records.Sent,
    history: records.History,
    rng: random.Random,
) -> None:
    """Read slowly now and then, within the deadline, so that responses wait.

    The stream stops to receive once its buffer is full. If the connection ends, that is
    noticed at once.
    """
    until = history.now + SLOW_READ_S
    if rng.random() >= SLOW_READ_SHARE or until >= sent.deadline:
        return
    while history.now < until and not stream.at_eof() and stream.exception() is None:
        await asyncio.sleep(POLL_INTERVAL_S)


def _send(
    connection: _Connection, sent: records.Sent, history: records.History
) -> None:
    now = history.now
    header_fields = {
        "Host": HOST,
        DIALECT.request_id: sent.request_id,
        DIALECT.deadline_ms: str(round(1000 * sent.deadline)),
    }
    request_line = f"{sent.method} {sent.path} HTTP/1.1"
    sent.boot = connection.boot
    sent.sent_at = now
    sent.deadline = now + sent.deadline
    history.sent_by_id[sent.request_id] = sent
    connection.writer.write(http.render(request_line, header_fields, sent.body))


def _record_response(
    sent: records.Sent, response: http.Message, history: records.History
) -> None:
    sent.ended_at = history.now
    sent.status = response.status
    signature = response.headers.get(DIALECT.signature.lower())
    sent.signed = signature is not None
    expected = records.sign(sent.request_id, response.status, response.body)
    sent.sound = (
        signature == expected if sent.signed else not 200 <= response.status < 300
    )


def _record_abandonment(batch: list[records.Sent], history: records.History) -> None:
    for sent in batch:
        sent.left_at = history.now
        sent.ended_at = history.now
        sent.detail = "left"


def _record_connection_end(
    batch: list[records.Sent], history: records.History, detail: str
) -> None:
    for sent in batch:
        sent.ended_at = history.now
        sent.detail = detail
