"""Relay the items that the platform publishes from a few daemons to the others.

Calls to the platform are expensive and limited in number, so a few daemons of each
region read it and the others follow these readers.

A reader can lose the platform without noticing it at once, so an update from a reader
doesn't prove that nothing else is new. Each update therefore carries the age of the
platform's last confirmation. When it gets too old, other readers take over, and a
daemon that still gets no newer confirmation reads the platform itself.

This module does no I/O; the caller passes the current time.
"""

import collections.abc
import math
import zlib

from savoryhollow.wire import messages

__all__ = ["Replica", "compress", "decompress"]

# Interval within which the platform confirms to each reader that its copy is complete,
# by a change or by the end of a watch, in s.
CONFIRMATION_INTERVAL_S = 1.0
# Age of its last confirmation beyond which a copy counts as outdated, in s.
FRESH_LIMIT_S = 1.5
# Time that other readers have to take over before a daemon with an outdated copy reads
# the platform itself, in s. With the limit above and the read, it must stay below the
# time in which a configuration has to be in force.
TAKEOVER_WAIT_S = 0.3
# Time that a daemon waits for the first update of its readers before it reads the
# platform itself, in s.
FIRST_MESSAGE_WAIT_S = 1.0
# Interval after a failed read by a daemon that isn't a reader, in s. It is doubled by
# each further failure up to the maximum, as most likely no daemon can read.
MIN_DIRECT_READ_INTERVAL_S = 0.75
MAX_DIRECT_READ_INTERVAL_S = 6.0
# Content that an update to all followers may contain, in bytes. Larger content is only
# announced, so that each follower requests it from one reader, and just the newest.
MAX_PUSHED_BYTES = 4096
# Time after which a follower that requested items may request them again, in s.
REQUEST_TIMEOUT_S = 0.5
# Number of items, removals included, above which the older half of the removals is
# dropped. Removals are kept so that an older update doesn't bring an item back.
MAX_ITEMS = 4096

# Takes the place of the revision since which an update has all changes if the update is
# a complete list: an item that it doesn't contain is gone.
COMPLETE_LIST = -2

Item = messages.PublishedItem


class Replica:
    """This daemon's copy of the published items.

    The attribute ``as_of`` is the revision up to which the copy is complete, -1 before
    the first read, and ``confirmed_at`` the time at which the platform last confirmed
    that to any daemon. ``confirmed_at_by_source`` has the times that other daemons
    told, by their hosts. ``in_contact`` tells whether the platform answers this daemon,
    and ``source`` is the host of the daemon that sent the last update, empty if it was
    read from the platform.

    :param on_items: called with items that are new or changed.
    :param on_contact: called with True when the replica begins to keep up with the
        platform, and with False when it no longer does.
    """

    def __init__(
        self,
        on_items: collections.abc.Callable[[list[Item]], None],
        on_contact: collections.abc.Callable[[bool], None],
    ):
        self._on_items = on_items
        self._on_contact = on_contact
        self._items_by_key: dict[str, Item] = {}
        self._has_received = False
        self._direct_read_interval_s = MIN_DIRECT_READ_INTERVAL_S
        self._next_direct_read_at = float("-inf")
        self._next_request_at = float("-inf")
        self._waiting_since: float | None = None
        self._reported_contact: bool | None = None
        self._last_sent_revision = -1
        # Removals up to this revision may be unknown, as a list has only what is left.
        self._removals_known_since = -1
        self.as_of = -1
        self.confirmed_at = float("-inf")
        self.confirmed_at_by_source: dict[str, float] = {}
        self.source = ""
        self.in_contact = False

    # -----------------------------------------------------------------------
    #   Items
    # -----------------------------------------------------------------------

    def apply(self, items: list[Item], as_of: int) -> None:
        """Merge items into the replica, except those older than what it holds.

        :param as_of: the revision up to which the replica is complete with them.
        """
        newer = [item for item in items if self._is_newer(item, as_of)]
        for item in newer:
            self._items_by_key[item.key] = item
        self.as_of = max(self.as_of, as_of)
        self._prune_removals()
        if newer:
            self._on_items(newer)

    def apply_snapshot(self, items: list[Item], as_of: int) -> None:
        """Merge a complete list of the items; any other item is removed.

        Items newer than the list stay.

        :param as_of: the revision of the list.
        """
        if as_of > self.as_of:
            self._removals_known_since = as_of
        present_keys = {item.key for item in items if item.content is not None}
        gone = [
            Item(key, as_of, None)
            for key, known in self._items_by_key.items()
            if key not in present_keys and known.content is not None
        ]
        self.apply(gone + items, as_of)

    def confirm(self, at: float) -> None:
        """Record a time at which the platform confirmed that the copy is complete."""
        self.confirmed_at = max(self.confirmed_at, at)

    def confirmed_age_s(self, now: float) -> float:
        """Return the time since the last confirmation, in s; infinite without one."""
        return now - self.confirmed_at

    def confirmed_age_ms(self, now: float, source: str | None = None) -> int | None:
        """Return the age of the last confirmation for the log, in ms.

        :param source: the host of another daemon, for the last one that it told.
        :returns: the age; None without a confirmation.
        """
        confirmed_at = self.confirmed_at
        if source is not None:
            confirmed_at = self.confirmed_at_by_source.get(source, float("-inf"))
        return round(1000 * (now - confirmed_at)) if confirmed_at > -math.inf else None

    def set_own_contact(self, in_contact: bool) -> None:
        """Record whether the platform answers this daemon."""
        self.in_contact = in_contact
        self._report_contact(in_contact)

    def _is_newer(self, item: Item, as_of: int) -> bool:
        """Return whether an item of an update is newer than what is known of it.

        :param as_of: the revision of the update.
        """
        if as_of < self.as_of and item.revision <= self.as_of:
            # This copy is complete to a later revision: what it lacks was removed.
            return False
        known = self._items_by_key.get(item.key)
        return known is None or item.revision > known.revision

    def _prune_removals(self) -> None:
        if len(self._items_by_key) <= MAX_ITEMS:
            return
        removals = [
            item for item in self._items_by_key.values() if item.content is None
        ]
        removals.sort(key=lambda item: item.revision)
        for item in removals[: len(removals) // 2]:
            del self._items_by_key[item.key]
            self._removals_known_since = max(self._removals_known_since, item.revision)

    # -----------------------------------------------------------------------
    #   Following
    # -----------------------------------------------------------------------

    def receive(
        self, message: messages.ItemsMessage, now: float, source: str = ""
    ) -> bool:
        """Merge an update received from a reader.

        :param source: the host of the reader.
        :returns: False if items before the update are missing and not requested yet;
            the caller should then request those since the known revision.
        """
        self._has_received = True
        self.source = source
        is_list = message.since == COMPLETE_LIST
        is_complete = is_list or message.since <= self.as_of
        if message.confirmed_age_us is not None:
            confirmed_at = now - message.confirmed_age_us / 1e6
            self.confirmed_at_by_source[source] = confirmed_at
            if is_complete:
                self.confirm(confirmed_at)
        if is_complete and message.as_of > self.as_of:
            self._next_request_at = float("-inf")
        items = list(message.items)
        if is_list:
            self.apply_snapshot(items, message.as_of)
        else:
            self.apply(items, message.as_of if is_complete else self.as_of)
        if math.isfinite(self.confirmed_at):
            self._report_contact(self.is_fresh(now))
        return is_complete or not self._claim_request(now)

    def keep_sources(self, hosts: collections.abc.Container[str]) -> None:
        """Forget what daemons on other hosts told."""
        for host in tuple(self.confirmed_at_by_source):
            if host not in hosts:
                del self.confirmed_at_by_source[host]

    def _claim_request(self, now: float) -> bool:
        if now < self._next_request_at:
            return False
        self._next_request_at = now + REQUEST_TIMEOUT_S
        return True

    def is_fresh(self, now: float) -> bool:
        """Return True if the platform has recently confirmed the copy to any daemon."""
        return self.confirmed_age_s(now) <= FRESH_LIMIT_S

    def claim_direct_read(self, now: float) -> bool:
        """Return True if a daemon that isn't a reader should read the platform now.

        The read is recorded, to limit how often this daemon reads.
        """
        if self.is_fresh(now):
            self._direct_read_interval_s = MIN_DIRECT_READ_INTERVAL_S
            self._next_direct_read_at = float("-inf")
            return False
        is_too_early = self.confirmed_age_s(now) <= FRESH_LIMIT_S + TAKEOVER_WAIT_S
        if is_too_early or self._awaits_first_message(now):
            return False
        if now < self._next_direct_read_at:
            return False
        self._next_direct_read_at = now + self._direct_read_interval_s
        self._direct_read_interval_s = min(
            MAX_DIRECT_READ_INTERVAL_S, 2 * self._direct_read_interval_s
        )
        return True

    def _awaits_first_message(self, now: float) -> bool:
        if self._waiting_since is None:
            self._waiting_since = now
        waited_s = now - self._waiting_since
        return not self._has_received and waited_s < FIRST_MESSAGE_WAIT_S

    def message_since(self, revision: int, now: float) -> messages.ItemsMessage:
        """Return the update for a follower whose replica is complete to a revision.

        It is a complete list if this replica doesn't know all removals since then.
        """
        if revision < self._removals_known_since:
            revision = COMPLETE_LIST
        age_s = self.confirmed_age_s(now)
        age_us = int(1e6 * age_s) if math.isfinite(age_s) else None
        items = [
            item for item in self._items_by_key.values() if item.revision > revision
        ]
        return messages.ItemsMessage(revision, self.as_of, age_us, tuple(items))

    def next_update(self, now: float) -> messages.ItemsMessage:
        """Return the update for all followers, with the changes since the last one.

        It has no items if they are large; its ``since`` then tells that they exist.
        """
        message = self.message_since(self._last_sent_revision, now)
        self._last_sent_revision = self.as_of
        size = sum(len(item.content or b"") for item in message.items)
        if size > MAX_PUSHED_BYTES:
            return self.message_since(self.as_of, now)
        return message

    def _report_contact(self, in_contact: bool) -> None:
        if in_contact is not self._reported_contact:
            self._reported_contact = in_contact
            self._on_contact(in_contact)


def compress(content: bytes) -> bytes:
    """Compress the content of an item for transport."""
    return zlib.compress(content)


def decompress(content: bytes) -> bytes:
    """Decompress the content of an item."""
    return zlib.decompress(content)
