"""Replicas under random histories of restarts, old reads, lost links and updates.

A replica that claims a revision must list what the store held then, or held later. Else
a backend server that has left stays in use, as nothing tells of its removal again.
"""

import collections
import random

import pytest

from savoryhollow.proxy import relay
from savoryhollow.wire import messages

HISTORIES = 300
KEYS = [f"k{number}" for number in range(9)]
# Pages of a read don't show the same revision.
FIRST_KEY_OF_SECOND_PAGE = "k4"


class Store:
    """The changes of a few items; ``changes`` holds the key, revision and content."""

    def __init__(self, rng):
        self.rng = rng
        self.changes = []
        for _ in range(4):
            self.change()

    @property
    def revision(self):
        return len(self.changes)

    def change(self):
        content = None if self.rng.random() < 0.4 else b"content"
        key = self.rng.choice(KEYS)
        self.changes.append(messages.PublishedItem(key, self.revision + 1, content))

    def items(self, revision, after=0):
        """Return the newest change of each item up to a revision."""
        return {one.key: one for one in self.changes[after:revision]}

    def read(self):
        """Return the items of a read that may be old, and its revision."""
        first = max(0, self.revision - self.rng.choice((0, 0, 1, 4)))
        second = self.rng.randint(first, self.revision)
        pages = [
            one
            for page, is_second in ((first, False), (second, True))
            for one in self.items(page).values()
            if (one.key >= FIRST_KEY_OF_SECOND_PAGE) is is_second and one.content
        ]
        return pages, first

    def may_hold(self, key, revision):
        """Return the contents of an item at a revision and since then."""
        known = self.items(revision).get(key)
        later = [c.content for c in self.changes[revision:] if c.key == key]
        return [known and known.content, *later]


def new_replica():
    return relay.Replica(lambda items: None, lambda in_contact: None)


class History:
    """Replicas that read, watch, follow each other and restart at random."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.store = Store(self.rng)
        self.replicas = [new_replica() for _ in range(self.rng.randint(2, 4))]
        self.messages_by_link = collections.defaultdict(list)
        self.now = 0.0

    def step(self):
        self.now += self.rng.choice((0.01, 0.2, 0.7))
        number, other = self.rng.sample(range(len(self.replicas)), 2)
        actions = [self.read, self.watch, self.update, self.subscribe, self.deliver]
        weights = [10, 18, 20, 7, 18]
        actions += [lambda *_: self.store.change(), self.restart]
        self.rng.choices(actions, [*weights, 20, 7])[0](number, other)

    def read(self, number, _):
        self.replicas[number].apply_snapshot(*self.store.read())

    def watch(self, number, _):
        replica = self.replicas[number]
        if replica.as_of >= 0:
            changes = self.store.items(self.store.revision, replica.as_of)
            replica.apply(list(changes.values()), self.store.revision)

    def update(self, number, _):
        if self.replicas[number].as_of >= 0:
            message = self.replicas[number].next_update(self.now)
            for link, waiting in self.messages_by_link.items():
                if link[0] == number:
                    waiting.append(message)

    def subscribe(self, number, other):
        known = self.replicas[other].as_of
        message = self.replicas[number].message_since(known, self.now)
        self.messages_by_link[number, other].append(message)

    def deliver(self, number, other):
        waiting = self.messages_by_link.get((number, other))
        if waiting and not self.replicas[other].receive(waiting.pop(0), self.now):
            self.subscribe(number, other)

    def restart(self, number, _):
        self.replicas[number] = new_replica()
        for link in tuple(self.messages_by_link):
            if number in link:
                del self.messages_by_link[link]

    def check(self):
        for replica in self.replicas:
            for key in KEYS if replica.as_of >= 0 else ():
                known = replica._items_by_key.get(key)
                if known is None or known.revision <= replica.as_of:
                    content = known and known.content
                    assert content in self.store.may_hold(key, replica.as_of)


@pytest.mark.parametrize("seed", range(HISTORIES))
def test_a_replica_lists_nothing_that_was_removed_by_its_revision(seed, monkeypatch):
    monkeypatch.setattr(relay, "MAX_ITEMS", 12)
    monkeypatch.setattr(relay, "MAX_PUSHED_BYTES", 12)
    history = History(seed)
    for _ in range(history.rng.randint(10, 120)):
        history.step()
        history.check()
