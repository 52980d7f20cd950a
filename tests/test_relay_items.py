"""Tests of the replica that readers and followers keep of the published items."""

import hypothesis
import pytest
from hypothesis import strategies

from savoryhollow.proxy import relay
from savoryhollow.wire import messages

# A change must be in force within 2.5 s of its confirmation; a read takes up to 0.5 s.
LATEST_DIRECT_READ_S = 2.5 - 0.5


def item(key, revision, content=b"x"):
    return messages.PublishedItem(key, revision, content)


class Follower:
    def __init__(self):
        self.items_by_key = {}
        self.contacts = []
        self.replica = relay.Replica(self.take, self.contacts.append)

    def take(self, items):
        for one in items:
            self.items_by_key[one.key] = one


def update(as_of, *items, since=-1, confirmed_age_us=0):
    return messages.ItemsMessage(since, as_of, confirmed_age_us, items)


def test_an_older_item_never_replaces_a_newer_one():
    follower = Follower()
    follower.replica.receive(update(9, item("a", 9, b"new")), 0.0)
    follower.replica.receive(update(5, item("a", 5, b"old")), 0.1)
    assert follower.items_by_key["a"].content == b"new"
    assert follower.replica.as_of == 9


def test_a_lagging_reader_does_not_bring_back_a_removed_item():
    follower = Follower()
    follower.replica.receive(update(4, item("a", 4)), 0.0)
    follower.replica.receive(update(6, item("a", 6, None)), 0.1)
    follower.replica.receive(update(4, item("a", 4)), 0.2)
    assert follower.items_by_key["a"].content is None


def test_a_snapshot_removes_items_that_it_lacks():
    follower = Follower()
    follower.replica.apply_snapshot([item("a", 1), item("b", 2)], 2)
    follower.replica.apply_snapshot([item("b", 2)], 5)
    assert follower.items_by_key["a"].content is None
    assert follower.items_by_key["b"].content == b"x"


def test_an_older_snapshot_does_not_remove_newer_items():
    follower = Follower()
    follower.replica.apply_snapshot([item("a", 7)], 7)
    follower.replica.apply_snapshot([], 5)
    assert follower.items_by_key["a"].content == b"x"


def test_a_follower_gets_only_items_after_its_known_revision():
    reader = Follower().replica
    reader.apply([item("a", 1), item("b", 2), item("c", 3, None)], 4)
    message = reader.message_since(1, 0.0)
    assert [one.key for one in message.items] == ["b", "c"]
    assert message.as_of == 4


def test_items_received_from_another_reader_are_passed_on():
    first, second, follower = Follower().replica, Follower().replica, Follower()
    for one in (first, second):
        one.apply([item("a", 1)], 1)
        follower.replica.receive(one.next_update(0.0), 0.0)
    first.apply([item("a", 2, b"leaving")], 2)
    second.receive(first.next_update(0.0), 0.1)
    # The follower has lost its link to the first reader.
    second.apply([item("a", 2, b"leaving")], 2)
    follower.replica.receive(second.next_update(0.0), 0.2)
    assert follower.items_by_key["a"].content == b"leaving"


def test_a_gap_is_detected_and_filled():
    reader, follower = Follower().replica, Follower()
    reader.apply([item("a", 1)], 1)
    assert follower.replica.receive(reader.next_update(0.0), 0.0)
    reader.apply([item("b", 2)], 2)
    reader.next_update(0.0)
    assert not follower.replica.receive(reader.next_update(0.0), 0.1)
    assert follower.replica.as_of == 1
    assert follower.replica.receive(
        reader.message_since(follower.replica.as_of, 0.2), 0.2
    )
    assert set(follower.items_by_key) == {"a", "b"}


def test_a_follower_reads_the_platform_when_its_readers_fall_silent():
    replica = Follower().replica
    replica.receive(update(1), 0.0)
    assert not replica.claim_direct_read(relay.FRESH_LIMIT_S)
    assert replica.claim_direct_read(LATEST_DIRECT_READ_S)


def test_a_daemon_waits_after_its_start_for_its_readers():
    """When a whole fleet restarts, only the readers call the platform."""
    replica = Follower().replica
    replica.apply_snapshot([item("a", 1)], 1)
    reads = [replica.claim_direct_read(0.1 * step) for step in range(30)]
    assert not any(reads[:10])
    assert any(reads)
    follower_replica = Follower().replica
    follower_replica.apply_snapshot([item("a", 1)], 1)
    assert not follower_replica.claim_direct_read(0.0)
    follower_replica.receive(update(1), 0.5)
    assert not follower_replica.claim_direct_read(1.5)


def test_followers_read_rarely_while_live_readers_can_not_read():
    """While the platform is down, followers don't all call it again and again."""
    replica = Follower().replica
    reads, now = 0, 10.0
    for _ in range(100):
        now += 0.1
        replica.receive(update(1, confirmed_age_us=None), now)
        reads += replica.claim_direct_read(now)
    assert 3 <= reads <= 4


def test_contact_is_lost_and_restored_with_the_readers():
    follower = Follower()
    follower.replica.receive(update(1), 0.0)
    follower.replica.receive(update(1, confirmed_age_us=None), 0.5)
    assert follower.contacts == [True]
    follower.replica.receive(update(1, confirmed_age_us=None), 2.0)
    follower.replica.receive(update(2), 5.0)
    assert follower.contacts == [True, False, True]


def test_an_earlier_read_of_its_own_does_not_hide_that_contact_is_lost():
    """Else entries that lapse in an outage are dropped as if their servers had left."""
    follower = Follower()
    follower.replica.set_own_contact(True)
    follower.replica.confirm(0.0)
    follower.replica.receive(update(1, confirmed_age_us=500_000), 0.5)
    assert follower.contacts == [True]
    follower.replica.receive(update(1, confirmed_age_us=5_000_000), 5.0)
    assert follower.contacts == [True, False]


def test_content_is_compressed_and_restored():
    content = b'{"prefix": "/a/"}' * 100
    assert len(relay.compress(content)) < len(content) / 5
    assert relay.decompress(relay.compress(content)) == content


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.sampled_from("abc"), strategies.booleans()),
        max_size=30,
    ),
    strategies.randoms(use_true_random=False),
)
def test_any_order_of_delivery_converges_to_the_newest_items(changes, rng):
    items = [
        item(key, revision, None if removed else str(revision).encode())
        for revision, (key, removed) in enumerate(changes, 1)
    ]

    def update_to(as_of):
        """Return an update as a reader sends it, from any revision on."""
        since = rng.randrange(-1, as_of)
        newest = {one.key: one for one in items if since < one.revision <= as_of}
        return update(as_of, *newest.values(), since=since)

    follower = Follower()
    delivered = [update_to(one.revision) for one in items + items]
    rng.shuffle(delivered)
    for one in delivered:
        follower.replica.receive(one, 0.0)
    assert follower.items_by_key == {one.key: one for one in items}


def first_direct_read_at(reader, follower):
    """Let a reader send heartbeats; return when the follower claims its first read."""
    for step in range(1, 60):
        now = step / 10
        if step % 5 == 0:
            follower.receive(reader.next_update(now), now)
        if follower.claim_direct_read(now):
            return now
    return float("inf")


def test_a_follower_reads_the_platform_itself_though_its_readers_still_send():
    """A reader that is cut off from the platform notices that late."""
    reader, follower = Follower().replica, Follower().replica
    reader.apply([item("a", 1)], 1)
    reader.set_own_contact(True)
    reader.confirm(0.0)
    follower.receive(reader.next_update(0.0), 0.0)
    assert first_direct_read_at(reader, follower) <= LATEST_DIRECT_READ_S


def test_a_reader_that_has_read_only_stale_items_confirms_nothing():
    """A daemon that has just started knows items that may be seconds old."""
    reader, follower = Follower().replica, Follower().replica
    reader.apply_snapshot([item("a", 1)], 1)
    reader.set_own_contact(True)
    follower.receive(reader.next_update(0.0), 0.0)
    assert first_direct_read_at(reader, follower) <= LATEST_DIRECT_READ_S


def test_an_update_after_a_gap_confirms_nothing():
    """The missing items may be the ones that matter."""
    reader, follower = Follower().replica, Follower().replica
    follower.receive(update(1, item("a", 1)), 0.0)
    reader.apply([item("a", 1), item("b", 5)], 5)
    reader.set_own_contact(True)
    reader.next_update(0.0)
    for step in range(1, 30):
        reader.confirm(step / 10)
        follower.receive(reader.next_update(step / 10), step / 10)
    assert follower.claim_direct_read(3.0)


LARGE = b"x" * 30_000


def test_large_items_are_sent_once_to_a_follower_of_two_readers():
    """Two readers that push a large configuration to all fill their links with it."""
    readers, follower = [Follower().replica, Follower().replica], Follower().replica
    sent_bytes = 0
    for reader in readers:
        reader.apply([item("a", 1, LARGE)], 1)
        reader.confirm(1.0)
        updates = [reader.next_update(1.0)]
        if not follower.receive(updates[0], 1.0):
            updates.append(reader.message_since(follower.as_of, 1.0))
            follower.receive(updates[1], 1.0)
        sent_bytes += sum(len(one.content) for u in updates for one in u.items)
    assert follower.as_of == 1
    assert sent_bytes == len(LARGE)


def test_a_follower_requests_missing_items_again_if_they_do_not_come():
    """The reader that it asked may be gone."""
    reader, follower = Follower().replica, Follower().replica
    reader.apply([item("a", 1, LARGE)], 1)
    assert not follower.receive(reader.next_update(0.0), 0.0)
    assert follower.receive(reader.next_update(0.1), 0.1)
    assert not follower.receive(reader.next_update(0.6), 0.6)


def test_a_slow_follower_gets_only_the_newest_of_several_large_items():
    """Else a link that is slower than the changes never catches up."""
    reader, follower = Follower().replica, Follower().replica
    pushed = []
    for revision in range(1, 9):
        reader.apply([item("a", revision, LARGE)], revision)
        pushed += reader.next_update(0.0).items
        follower.receive(reader.next_update(0.0), 0.0)
    answer = reader.message_since(follower.as_of, 0.0)
    assert pushed == []
    assert [one.revision for one in answer.items] == [8]


# ---------------------------------------------------------------------------
#   Removals that a new reader doesn't know
# ---------------------------------------------------------------------------


def make_pair():
    """Return a follower that knows two items, and a reader that has just started.

    The reader's list lacks an item that was removed before it started.
    """
    follower = relay.Replica(lambda items: None, lambda in_contact: None)
    follower.apply_snapshot(
        [relay.Item("kept", 1, b"x"), relay.Item("removed", 2, b"y")], 2
    )
    reader = relay.Replica(lambda items: None, lambda in_contact: None)
    reader.apply_snapshot([relay.Item("kept", 1, b"x")], 3)
    return follower, reader


@pytest.mark.parametrize("asks", [False, True], ids=["pushed", "asked for"])
def test_an_update_of_a_new_reader_hides_no_removal(asks):
    """Its followers went on using an endpoint that had left (soak seed 502)."""
    follower, reader = make_pair()
    message = reader.message_since(follower.as_of, 0.0) if asks else None
    follower.receive(message or reader.next_update(0.0), 0.0)
    assert follower.as_of == 3
    assert follower._items_by_key["removed"].content is None
    assert follower._items_by_key["kept"].content == b"x"


def test_a_follower_passes_on_what_it_learned_from_a_list():
    follower, reader = make_pair()
    middle = relay.Replica(lambda items: None, lambda in_contact: None)
    middle.receive(reader.next_update(0.0), 0.0)
    follower.receive(middle.message_since(follower.as_of, 0.0), 0.0)
    assert follower._items_by_key["removed"].content is None


def test_an_older_list_removes_nothing_that_is_newer():
    follower, reader = make_pair()
    follower.apply([relay.Item("new", 5, b"z")], 5)
    follower.receive(reader.next_update(0.0), 0.0)
    assert follower.as_of == 5
    assert follower._items_by_key["new"].content == b"z"


def test_an_older_read_does_not_bring_back_what_a_list_lacks():
    """A daemon that starts reads several times, each time as old as the store likes.

    It used a backend server again that had left, and never learned of it: it held that
    removal for known.
    """
    follower = Follower()
    follower.replica.receive(update(9, item("b", 2), since=relay.COMPLETE_LIST), 0.0)
    follower.replica.apply_snapshot([item("a", 1), item("b", 2)], 5)
    assert "a" not in follower.items_by_key
    assert follower.items_by_key["b"].content == b"x"


def test_an_older_list_of_another_reader_does_not_bring_back_what_a_list_lacks():
    """Two readers of a region may have been restarted, one of them with an old list."""
    follower = Follower()
    follower.replica.apply_snapshot([item("b", 2)], 9)
    older = Follower().replica
    older.apply_snapshot([item("a", 1), item("b", 2), item("c", 10)], 5)
    follower.replica.receive(older.next_update(0.0), 0.0)
    assert set(follower.items_by_key) == {"b", "c"}
    assert follower.replica.as_of == 9


def test_a_list_removes_what_its_reader_saw_removed_only_earlier():
    """An endpoint may come back under its id, and leave again.

    A reader that missed both still lists the first removal, so its followers took the
    endpoint for listed.
    """
    reader, follower = Follower().replica, Follower()
    reader.apply([item("a", 5, None)], 5)
    reader.apply_snapshot([item("b", 1)], 13)
    follower.replica.apply([item("a", 11)], 11)
    follower.replica.receive(reader.message_since(11, 0.0), 0.0)
    assert follower.items_by_key["a"].content is None
    assert follower.items_by_key["b"].content == b"x"


def test_an_update_since_a_list_has_only_what_changed():
    follower, reader = make_pair()
    follower.receive(reader.next_update(0.0), 0.0)
    reader.apply([relay.Item("later", 4, b"z")], 4)
    message = reader.message_since(follower.as_of, 0.0)
    assert [item.key for item in message.items] == ["later"]


def test_dropped_removals_are_made_up_for_by_a_complete_list(monkeypatch):
    monkeypatch.setattr(relay, "MAX_ITEMS", 4)
    follower = relay.Replica(lambda items: None, lambda in_contact: None)
    follower.apply([relay.Item(f"k{n}", n, b"x") for n in range(1, 5)], 4)
    reader = relay.Replica(lambda items: None, lambda in_contact: None)
    reader.apply([relay.Item(f"k{n}", n, b"x") for n in range(1, 5)], 4)
    reader.apply([relay.Item(f"k{n}", n + 4, None) for n in range(1, 5)], 8)
    reader.apply([relay.Item("new", 9, b"x")], 9)
    assert len(reader._items_by_key) < 5
    follower.receive(reader.message_since(4, 0.0), 0.0)
    left = [k for k, item in follower._items_by_key.items() if item.content is not None]
    assert left == ["new"]
