"""A stand-in for a store of items by key, which daemons read and watch."""

import asyncio
import base64
import contextlib
import dataclasses
import json
import urllib.parse

import httptools

from emulator import http

__all__ = ["KeyValueStore"]

# Items of one page; small, so that pages are met in small deployments too.
PAGE_ITEMS = 8
GONE = 410


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A change of one item; no value for a removal."""

    revision: int
    key: str
    value: bytes | None


class KeyValueStore:
    """Holds items under rising revisions.

    It is ``busy`` (503), ``silent``, or it answers after ``delay_s``.

    :param host: the IP number on which it listens.
    """

    def __init__(self, host: str, port: int):
        self._host = host
        self._port = port
        self._events_by_key: dict[str, Event] = {}
        self._history: list[Event] = []
        self._forgotten = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.revision = 100
        self.busy = False
        self.silent = False
        self.delay_s = 0.0
        self.reads = 0

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self._host, self._port)

    def close(self) -> None:
        """Listen no more."""
        if self._server is not None:
            self._server.close()

    def put(self, key: str, value: object) -> None:
        """Write an item as JSON, or as the bytes that are given."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._note(key, data)

    def remove(self, key: str) -> None:
        """Remove an item, if it is there."""
        known = self._events_by_key.get(key)
        if known is not None and known.value is not None:
            self._note(key, None)

    def compact(self) -> None:
        """Drop the history of changes."""
        self._history.clear()
        self._forgotten = self.revision
        self._wake()

    def _note(self, key: str, value: bytes | None) -> None:
        self.revision += 1
        event = Event(self.revision, key, value)
        self._events_by_key[key] = event
        self._history.append(event)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # -----------------------------------------------------------------------
    #   Calls
    # -----------------------------------------------------------------------

    async def _serve(self, reader, writer) -> None:
        messages = http.MessageReader(reader, httptools.HttpRequestParser)
        try:
            while (message := await messages.read()) is not None:
                self.reads += 1
                status, document = await self._answer(message)
                while self.silent:
                    await asyncio.sleep(0.05)
                body = json.dumps(document).encode()
                writer.write(http.render(f"HTTP/1.1 {status} Status", {}, body))
                await writer.drain()
        except (OSError, httptools.HttpParserError, asyncio.CancelledError):
            # The reader left, and asks anew; or the run is over.
            pass
        finally:
            writer.close()

    async def _answer(self, message: http.Message) -> tuple[int, dict[str, object]]:
        await asyncio.sleep(self.delay_s)
        if self.busy:
            return 503, {}
        address = urllib.parse.urlsplit(message.target)
        query = dict(urllib.parse.parse_qsl(address.query))
        prefix = query.get("prefix", "")
        if address.path == "/api/kv-range":
            return 200, self._range(prefix, query.get("after", ""))
        if address.path == "/api/kv-watch":
            return await self._watch(prefix, query)
        return 404, {}

    def _range(self, prefix: str, after: str) -> dict[str, object]:
        found = sorted(
            key
            for key, event in self._events_by_key.items()
            if event.value is not None and key.startswith(prefix) and key > after
        )
        page = [_document(self._events_by_key[key]) for key in found[:PAGE_ITEMS]]
        more = len(found) > PAGE_ITEMS
        return {"items": page, "has_more": more, "as_of": self.revision}

    async def _watch(self, prefix: str, query) -> tuple[int, dict[str, object]]:
        after = int(query["after"])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                while after >= self._forgotten and not self._since(prefix, after):
                    await self._changed.wait()
        if self.busy:
            return 503, {}
        if after < self._forgotten:
            return GONE, {}
        events = [_document(event) for event in self._since(prefix, after)]
        return 200, {"events": events, "as_of": self.revision}

    def _since(self, prefix: str, revision: int) -> list[Event]:
        return [
            event
            for event in self._history
            if event.revision > revision and event.key.startswith(prefix)
        ]


def _document(event: Event) -> dict[str, object]:
    if event.value is None:
        return {"key": event.key, "revision": event.revision, "tombstone": True}
    return {
        "key": event.key,
        "value": base64.b64encode(event.value).decode(),
        "revision": event.revision,
        "created": event.revision,
        "lease": 0,
    }
