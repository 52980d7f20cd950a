"""Follow the platform's store: read all once, then watch what changes."""

import asyncio
import collections.abc
import random
import urllib.parse

from savoryhollow import calls, errors
from savoryhollow.http1 import backends, messages
from savoryhollow.observe import events
from savoryhollow.platform import documents
from savoryhollow.settings import models

__all__ = ["StoreFollower"]

# Time for which a watch waits for a change, in ms.
WATCH_MS = 3000
# Time that the store has for an answer, beyond the wait that was asked for, in s;
# longer with each call that fails, for a store that is slow.
FIRST_ANSWER_LIMIT_S = 1.0
MAX_ANSWER_LIMIT_S = 3.0
# Shortest and longest pause after a call that failed, in s.
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 0.5
# The history that a watch wants is no longer there.
GONE = 410


class StoreFollower:
    """Hands on everything that the store holds, and each change of it.

    :param target: the address of the store.
    :param on_items: takes in all items at once.
    :param on_change: takes in one change.
    :param on_contact: told True where the store answers, False where it fails.
    """

    def __init__(
        self,
        target: models.Target,
        on_items: collections.abc.Callable[[list[documents.Change]], None],
        on_change: collections.abc.Callable[[documents.Change], None],
        on_contact: collections.abc.Callable[[bool], None],
    ):
        self._pool = backends.Pool(target.host, target.port)
        self._host = f"{target.host}:{target.port}"
        self._on_items = on_items
        self._on_change = on_change
        self._on_contact = on_contact
        self._in_contact: bool | None = None
        self._answer_limit_s = FIRST_ANSWER_LIMIT_S
        self.calls = 0

    async def run(self) -> None:
        """Follow the store for ever."""
        pause_s = MIN_PAUSE_S
        revision: int | None = None
        while True:
            try:
                if revision is None or not self._in_contact:
                    # A read tells sooner than a watch whether the store is back.
                    revision = await self._read_all()
                revision = await self._watch(revision)
                pause_s = MIN_PAUSE_S
                self._answer_limit_s = FIRST_ANSWER_LIMIT_S
            except errors.SavoryhollowError as error:
                self._note_contact(False, str(error))
                await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))
                pause_s = min(MAX_PAUSE_S, 2 * pause_s)

    async def _read_all(self) -> int:
        items: list[documents.Change] = []
        first: int | None = None
        after = ""
        while True:
            query = {"prefix": ""} | ({"after": after} if after else {})
            page = documents.decode_page(await self._get("kv-range", query))
            # Pages are no snapshot: what changed meanwhile is watched from the first.
            first = page.as_of if first is None else first
            items += page.items
            if not page.has_more or not page.items:
                break
            after = page.items[-1].key
        self._note_contact(True)
        self._on_items(items)
        return first

    async def _watch(self, revision: int) -> int | None:
        query = {"prefix": "", "after": str(revision), "wait_ms": str(WATCH_MS)}
        body = await self._get("kv-watch", query, WATCH_MS / 1000)
        self._note_contact(True)
        if body is None:
            return None
        changes = documents.decode_changes(body)
        for change in changes.events:
            self._on_change(change)
        return max(revision, changes.as_of)

    async def _get(
        self, call: str, query: dict[str, str], wait_s: float = 0.0
    ) -> bytes | None:
        """Return the body of an answer, or None where the history is gone."""
        target = f"/api/{call}?{urllib.parse.urlencode(query)}"
        headers = (calls.Header("Host", self._host),)
        data = messages.render_request(messages.Request("GET", target, headers, b""))
        self.calls += 1
        try:
            async with asyncio.timeout(wait_s + self._answer_limit_s):
                connection, _ = await self._pool.acquire()
                response = await connection.exchange(data)
        except TimeoutError as error:
            self._answer_limit_s = min(MAX_ANSWER_LIMIT_S, 1.5 * self._answer_limit_s)
            text = f"the store gave no answer to {call} in time; see to the platform"
            raise errors.StoreError(text) from error
        self._pool.release(connection)
        if response.status == GONE:
            return None
        if response.status != 200:
            text = f"the store answered {response.status} to {call}; see to it"
            raise errors.StoreError(text)
        return response.body

    def _note_contact(self, good: bool, detail: str = "") -> None:
        if self._in_contact is good:
            return
        self._in_contact = good
        self._on_contact(good)
        if good:
            events.emit(events.Event.STORE_REGAINED)
        else:
            events.emit(events.Event.STORE_UNREACHABLE, detail=detail)
