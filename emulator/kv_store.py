"""An emulated key-value store, which daemons read and watch over HTTP."""

import asyncio
import base64
import contextlib
import dataclasses
import json
import urllib.parse

import httptools

from emulator import http

__all__ = ["KeyValueStore"]

# Items per page; small, so that small deployments read several pages too.
PAGE_SIZE = 8
HTTP_GONE = 410


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A change of one item.

    :param value: the new value; None if the item was removed.
    """

    revision: int
    key: str
    value: bytes | None


class KeyValueStore:
    """Stores items under increasing revisions and serves reads and watches.

    A test can make it refuse requests with status 503 (``busy``), withhold
    responses (``silent``) or delay them (``delay_s``).

    :param host: the IP address to listen on.
    :param port: the port to listen on.
    """

    def __init__(self, host: str, port: int):
        self._host = host
        self._port = port
        self._events_by_key: dict[str, Event] = {}
        self._history: list[Event] = []
        self._compacted_revision = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.revision = 100
        self.busy = False
        self.silent = False
        self.delay_s = 0.0
        self.reads = 0

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(
            self._serve_connection, self._host, self._port
        )

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def put(self, key: str, value: object) -> None:
        """Write an item.

        :param key: the key of the item.
        :param value: the value; stored unchanged if bytes, else encoded as JSON.
        """
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._record_event(key, data)

    def remove(self, key: str) -> None:
        """Remove an item if it exists."""
        current = self._events_by_key.get(key)
        if current is not None and current.value is not None:
            self._record_event(key, None)

    def compact(self) -> None:
        """Drop the history, so that watches of older revisions get status 410."""
        self._history.clear()
        self._compacted_revision = self.revision
        self._notify_watchers()

    def _record_event(self, key: str, value: bytes | None) -> None:
        self.revision += 1
        event = Event(self.revision, key, value)
        self._events_by_key[key] = event
        self._history.append(event)
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # -----------------------------------------------------------------------
    #   Requests
    # -----------------------------------------------------------------------

    async def _serve_connection(self, reader, writer) -> None:
        messages = http.MessageReader(reader, httptools.HttpRequestParser)
        try:
            while (message := await messages.read()) is not None:
                self.reads += 1
                status, document = await self._respond(message)
                while self.silent:
                    await asyncio.sleep(0.05)
                body = json.dumps(document).encode()
                writer.write(http.render(f"HTTP/1.1 {status} Status", {}, body))
                await writer.drain()
        except (OSError, httptools.HttpParserError, asyncio.CancelledError):
            # The client disconnected and will reconnect, or the test has ended.
            pass
        finally:
            writer.close()

    async def _respond(self, message: http.Message) -> tuple[int, dict[str, object]]:
        await asyncio.sleep(self.delay_s)
        if self.busy:
            return 503, {}
        url = urllib.parse.urlsplit(message.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        prefix = query.get("prefix", "")
        if url.path == "/api/kv-range":
            return 200, self._range(prefix, query.get("after", ""))
        if url.path == "/api/kv-watch":
            return await self._watch(prefix, query)
        return 404, {}

    def _range(self, prefix: str, after: str) -> dict[str, object]:
        keys = sorted(
            key
            for key, event in self._events_by_key.items()
            if event.value is not None and key.startswith(prefix) and key > after
        )
        page = [_encode_event(self._events_by_key[key]) for key in keys[:PAGE_SIZE]]
        has_more = len(keys) > PAGE_SIZE
        return {"items": page, "has_more": has_more, "as_of": self.revision}

    async def _watch(self, prefix: str, query) -> tuple[int, dict[str, object]]:
        after = int(query["after"])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                while after >= self._compacted_revision and not self._events_after(
                    prefix, after
                ):
                    await self._changed.wait()
        if self.busy:
            return 503, {}
        if after < self._compacted_revision:
            return HTTP_GONE, {}
        events = [_encode_event(event) for event in self._events_after(prefix, after)]
        return 200, {"events": events, "as_of": self.revision}

    def _events_after(self, prefix: str, revision: int) -> list[Event]:
        return [
            event
            for event in self._history
            if event.revision > revision and event.key.startswith(prefix)
        ]


def _encode_event(event: Event) -> dict[str, object]:
    if event.value is None:
        return {"key": event.key, "revision": event.revision, "tombstone": True}
    return {
        "key": event.key,
        "value": base64.b64encode(event.value).decode(),
        "revision": event.revision,
        "created": event.revision,
        "lease": 0,
    }
