"""What the platform publishes, read by a few daemons and told to the others.

Calls to the platform are dear and limited, so in each region two daemons read it
and the others follow them. Each daemon knows by itself who reads: those that rank
first in a hash of the hosts and can be reached. A daemon that hears nothing fresh
reads for itself.

Pure computation: the caller passes the instant.
"""

import collections.abc
import math
import zlib

import xxhash

from savoryhollow.wire import messages

__all__ = ["READERS_PER_REGION", "Replica", "compress", "decompress", "rank_readers"]

# Daemons of a region that read the platform.
READERS_PER_REGION = 2
# Age up to which the word of a reader counts, in s.
FRESH_LIMIT_S = 1.3
# Time that readers have for their first word to a daemon that has started, in s.
FIRST_MESSAGE_WAIT_S = 1.0
# How often a daemon reads by itself while its readers can't, in s.
DIRECT_READ_INTERVAL_S = 3.0
# Removals that are remembered, so that no older entry comes back.
MAX_ITEMS = 4096

Item = messages.PublishedItem


def rank_readers(hosts: collections.abc.Iterable[str]) -> list[str]:
    """Return hosts in the order in which they become readers."""
    return sorted(hosts, key=lambda host: xxhash.xxh64_intdigest(host.encode()))


class Replica:
    """The items known here, and how fresh they are.

    :param on_items: takes in items that are new or changed.
    :param on_contact: told whether what is known keeps up with the platform.
    """

    def __init__(
        self,
        on_items: collections.abc.Callable[[list[Item]], None],
        on_contact: collections.abc.Callable[[bool], None],
    ):
        self._on_items = on_items
        self._on_contact = on_contact
        self._items_by_key: dict[str, Item] = {}
        self._confirmed_at = float("-inf")
        self._last_message_at = float("-inf")
        self._last_direct_read_at = float("-inf")
        self._waiting_since: float | None = None
        self._reported_contact: bool | None = None
        self._last_sent_revision = -1
        self.as_of = -1
        self.in_contact = False

    # -----------------------------------------------------------------------
    #   Reading for oneself
    # -----------------------------------------------------------------------

    def apply(self, items: list[Item], as_of: int) -> None:
        """Take in items.

        :param as_of: nothing up to this revision is missing, with what is known.
        """
        newer = [item for item in items if self._is_newer(item)]
        for item in newer:
            self._items_by_key[item.key] = item
        self.as_of = max(self.as_of, as_of)
        self._prune_tombstones()
        if newer:
            self._on_items(newer)

    def apply_snapshot(self, items: list[Item], as_of: int) -> None:
        """Take in a whole reading: what it doesn't have is gone."""
        present_keys = {item.key for item in items}
        removals = [
            Item(key, as_of, None)
            for key, known in self._items_by_key.items()
            if key not in present_keys and known.content is not None
        ]
        self.apply(items + removals, as_of)

    def set_own_contact(self, in_contact: bool) -> None:
        """Note whether the platform answers this daemon."""
        self.in_contact = in_contact
        self._report_contact(in_contact)

    def _is_newer(self, item: Item) -> bool:
        known = self._items_by_key.get(item.key)
        return known is None or item.revision > known.revision

    def _prune_tombstones(self) -> None:
        if len(self._items_by_key) <= MAX_ITEMS:
            return
        tombstones = [
            item for item in self._items_by_key.values() if item.content is None
        ]
        tombstones.sort(key=lambda item: item.revision)
        for item in tombstones[: len(tombstones) // 2]:
            del self._items_by_key[item.key]

    # -----------------------------------------------------------------------
    #   Following
    # -----------------------------------------------------------------------

    def receive(self, message: messages.ItemsMessage, now: float) -> bool:
        """Take in what a reader tells.

        :returns: whether nothing is missing before it; else ask the reader for
            what came since the revision that is known.
        """
        self._last_message_at = now
        is_complete = message.since <= self.as_of
        self.apply(list(message.items), message.as_of if is_complete else self.as_of)
        if message.in_contact:
            self._confirmed_at = now
        if message.in_contact or not self.is_fresh(now):
            self._report_contact(message.in_contact or self.in_contact)
        return is_complete

    def is_fresh(self, now: float) -> bool:
        """Say whether a reader vouches for what is known."""
        return now - self._confirmed_at <= FRESH_LIMIT_S

    def claim_direct_read(self, now: float) -> bool:
        """Say whether to read for oneself, though not a reader; counts as a try."""
        if self.is_fresh(now) or self._awaits_first_message(now):
            return False
        if now - self._last_message_at <= FRESH_LIMIT_S:
            # The readers live but can't read, so most likely nobody can.
            if now - self._last_direct_read_at < DIRECT_READ_INTERVAL_S:
                return False
        self._last_direct_read_at = now
        return True

    def _awaits_first_message(self, now: float) -> bool:
        if self._waiting_since is None:
            self._waiting_since = now
        never_heard = math.isinf(self._last_message_at)
        return never_heard and now < self._waiting_since + FIRST_MESSAGE_WAIT_S

    def message_since(self, revision: int) -> messages.ItemsMessage:
        """Return what a follower that knows a revision is told."""
        items = [
            item for item in self._items_by_key.values() if item.revision > revision
        ]
        return messages.ItemsMessage(
            revision, self.as_of, self.in_contact, tuple(items)
        )

    def next_update(self) -> messages.ItemsMessage:
        """Return what followers haven't been told yet; they count as told then."""
        message = self.message_since(self._last_sent_revision)
        self._last_sent_revision = self.as_of
        return message

    def _report_contact(self, in_contact: bool) -> None:
        if in_contact is not self._reported_contact:
            self._reported_contact = in_contact
            self._on_contact(in_contact)


def compress(content: bytes) -> bytes:
    """Return the content of an item as it travels."""
    return zlib.compress(content)


def decompress(content: bytes) -> bytes:
    """Return the content of an item that has travelled."""
    return zlib.decompress(content)
