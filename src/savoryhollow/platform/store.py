"""Read all items of the platform's store, then watch for changes."""

import asyncio
import random
import urllib.parse

from savoryhollow import calls, errors
from savoryhollow.http1 import backends, messages
from savoryhollow.observe import events
from savoryhollow.platform import documents
from savoryhollow.proxy import readers as readers_module
from savoryhollow.proxy import relay
from savoryhollow.settings import models

__all__ = ["StoreFollower"]

# Delay before the next watch, so that it returns several changes at once, in s.
CHANGE_BATCH_DELAY_S = 0.4
# Interval of reads that may return stale items, in s.
STALE_READ_INTERVAL_S = 0.8
# Interval at which a daemon that follows readers checks if a read is due, in s.
DUE_CHECK_INTERVAL_S = 0.1
# Timeout for a response or its next part, in addition to the requested wait, in s. Each
# timeout increases it up to the maximum, to allow for a slow store.
INITIAL_RESPONSE_TIMEOUT_S = 0.8
MAX_RESPONSE_TIMEOUT_S = 3.0
# Timeout for a whole response, in addition to the requested wait, in s.
TRANSFER_TIMEOUT_S = 8.0
# Limits of the backoff after a failed call, in s.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5
# HTTP status if the store has discarded the history that a watch needs.
HISTORY_GONE_STATUS = 410


class StoreFollower:
    """Copies the items of the store to the replica of a daemon when a read is due.

    :param target: the address of the store.
    :param readers: determines whether this daemon is a reader; has the replica.
    """

    def __init__(self, target: models.Target, readers: readers_module.Readers):
        self._pool = backends.Pool(target.host, target.port)
        self._host = f"{target.host}:{target.port}"
        self._readers = readers
        self._replica = readers.replica
        self._clock = asyncio.get_running_loop().time
        self._response_timeout_s = INITIAL_RESPONSE_TIMEOUT_S
        self._last_answer_at = float("-inf")
        self._in_contact: bool | None = None

    async def run(self) -> None:
        """Follow the store; never return."""
        backoff_s = MIN_BACKOFF_S
        while True:
            if not self._is_due():
                await asyncio.sleep(DUE_CHECK_INTERVAL_S)
                continue
            try:
                await self._read()
                backoff_s = MIN_BACKOFF_S
            except errors.SavoryhollowError as error:
                self._report_contact(False, str(error))
                if self._replica.as_of < 0:
                    self._readers.follow_seeds()
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    def change_address(self, target: models.Target) -> None:
        """Change the address of the store."""
        self._pool.close()
        self._pool = backends.Pool(target.host, target.port)
        self._host = f"{target.host}:{target.port}"

    def _is_due(self) -> bool:
        if self._replica.as_of < 0:
            return True
        if not self._readers.are_known:
            return not self._replica.is_fresh(self._clock())
        return self._readers.reads_platform or self._replica.claim_direct_read(
            self._clock()
        )

    async def _read(self) -> None:
        # After a failure the items are read again, as a read detects sooner than a
        # watch that the store is available.
        known_revision = self._replica.as_of
        if known_revision < 0 or not self._readers.are_known:
            # A stale result is corrected by the watch that follows.
            await self._read_all({"stale_ok": "1"})
            if not self._readers.are_known:
                await asyncio.sleep(STALE_READ_INTERVAL_S)
        elif self._in_contact is False or not await self._watch(known_revision):
            await self._read_all({})
        self._response_timeout_s = INITIAL_RESPONSE_TIMEOUT_S

    async def _read_all(self, parameters: dict[str, str]) -> None:
        started = self._clock()
        items: list[documents.Change] = []
        as_of: int | None = None
        after = ""
        while True:
            query = {"prefix": ""} | parameters | ({"after": after} if after else {})
            body = await self._get("kv-range", query)
            if body is None:
                raise errors.StoreError(
                    "the store returned 410 to a read of all items; check it"
                )
            page = documents.decode_page(body)
            # The pages aren't a consistent snapshot, so the next watch starts at the
            # lowest revision of them.
            as_of = page.as_of if as_of is None else min(as_of, page.as_of)
            items += page.items
            if not page.has_more or not page.items:
                break
            if page.items[-1].key <= after:
                # Else the same page would be read, and kept, without end.
                raise errors.StoreError(
                    "the store repeats a page of its items; check it"
                )
            after = page.items[-1].key
        self._report_contact(True)
        self._replica.source = ""
        if not parameters:
            self._last_answer_at = self._clock()
            self._replica.confirm(started)
        self._replica.apply_snapshot(
            [documents.to_published_item(change) for change in items], as_of
        )
        self._readers.update_followers()

    async def _watch(self, revision: int) -> bool:
        """Apply the next changes; return False if the history was discarded."""
        wait_s = self._watch_wait_s()
        wait_ms = round(1000 * wait_s)
        query = {"prefix": "", "after": str(revision), "wait_ms": str(wait_ms)}
        body = await self._get("kv-watch", query, wait_s)
        if body is None:
            return False
        self._report_contact(True)
        changes = documents.decode_changes(body)
        self._last_answer_at = self._clock()
        self._replica.source = ""
        self._replica.confirm(self._last_answer_at)
        items = [documents.to_published_item(change) for change in changes.events]
        self._replica.apply(items, changes.as_of)
        self._readers.update_followers()
        if items:
            # Changes come in bursts, and calls to the store are expensive.
            await asyncio.sleep(CHANGE_BATCH_DELAY_S)
        return True

    def _watch_wait_s(self) -> float:
        """Return how long the store may wait for a change, in s.

        It answers at once if this daemon has no recent confirmation.
        """
        now = self._clock()
        if not self._replica.is_fresh(now):
            return 0.0
        due_at = self._last_answer_at + relay.CONFIRMATION_INTERVAL_S
        return min(relay.CONFIRMATION_INTERVAL_S, max(0.0, due_at - now))

    async def _get(
        self, operation: str, query: dict[str, str], wait_s: float = 0.0
    ) -> bytes | None:
        """Return the body of a response, or None if the history was discarded."""
        target = f"/api/{operation}?{urllib.parse.urlencode(query)}"
        headers = (calls.Header("Host", self._host),)
        data = messages.render_request(messages.Request("GET", target, headers, b""))
        pool = self._pool
        latest = self._clock() + wait_s + TRANSFER_TIMEOUT_S
        try:
            async with asyncio.timeout(wait_s + self._response_timeout_s) as timeout:

                def extend_timeout() -> None:
                    if not timeout.expired():
                        due_at = self._clock() + self._response_timeout_s
                        timeout.reschedule(min(latest, due_at))

                connection, _ = await pool.acquire()
                response = await connection.exchange(data, on_data=extend_timeout)
        except TimeoutError as error:
            self._response_timeout_s = min(
                MAX_RESPONSE_TIMEOUT_S, 1.5 * self._response_timeout_s
            )
            message = f"the store didn't answer {operation} in time; check it"
            raise errors.StoreError(message) from error
        pool.release(connection)
        if response.status == HISTORY_GONE_STATUS:
            return None
        if response.status != 200:
            message = f"the store returned {response.status} to {operation}; check it"
            raise errors.StoreError(message)
        return response.body

    def _report_contact(self, in_contact: bool, detail: str = "") -> None:
        self._replica.set_own_contact(in_contact)
        if self._in_contact is in_contact:
            return
        self._in_contact = in_contact
        if in_contact:
            events.emit(events.Event.STORE_REGAINED)
        else:
            events.emit(events.Event.STORE_UNREACHABLE, detail=detail)
            self._readers.update_followers()
