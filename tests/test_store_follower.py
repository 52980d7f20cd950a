"""The follower of the store, against a small stand-in that speaks its protocol."""

import asyncio
import base64
import json
import urllib.parse

from savoryhollow.http1 import callers
from savoryhollow.http1 import messages as http
from savoryhollow.platform import store
from savoryhollow.proxy import relay
from savoryhollow.settings import models


class Store:
    """Items with a history that can be dropped; stale reads lag behind."""

    def __init__(self):
        self.revision = 1
        self.history = []
        self.first = 0
        self.stale_as_of = None
        self.down = False
        self.calls = []

    def put(self, key, value):
        self.revision += 1
        text = base64.b64encode(value).decode()
        change = {"key": key, "value": text, "revision": self.revision}
        self.history.append(change | {"created": self.revision, "lease": 0})

    def remove(self, key):
        self.revision += 1
        change = {"key": key, "revision": self.revision, "tombstone": True}
        self.history.append(change)

    def compact(self):
        self.first = self.revision

    async def handle(self, request):
        address = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(address.query))
        name = address.path.rpartition("/")[2]
        self.calls.append((name, "stale" if "stale_ok" in query else "exact"))
        if self.down:
            return http.Response(503)
        if name == "kv-range":
            return self._range("stale_ok" in query)
        return await self._watch(int(query["after"]))

    def _range(self, stale):
        as_of = self.revision
        if stale and self.stale_as_of is not None:
            as_of = self.stale_as_of
        newest = {}
        for change in self.history:
            if change["revision"] <= as_of:
                newest[change["key"]] = change
        items = [one for one in newest.values() if "value" in one]
        return self._json({"items": items, "has_more": False, "as_of": as_of})

    async def _watch(self, after):
        for _ in range(20):
            if after < self.first:
                return http.Response(410)
            changes = [one for one in self.history if one["revision"] > after]
            if changes:
                return self._json({"events": changes, "as_of": self.revision})
            await asyncio.sleep(0.001)
        return self._json({"events": [], "as_of": self.revision})

    @staticmethod
    def _json(document):
        return http.Response(200, (), json.dumps(document).encode())


class Readers:
    """Takes the place of the readers: this daemon always reads."""

    reads_platform = True
    are_known = True

    def __init__(self):
        self.content_by_key = {}
        self.contacts = []
        self.replica = relay.Replica(self.take, self.contacts.append)

    def take(self, items):
        for one in items:
            content = None if one.content is None else relay.decompress(one.content)
            self.content_by_key[one.key] = content

    def update_followers(self):
        return


def play(steps):
    async def main():
        held = Store()
        server = callers.Server(held.handle)
        await server.start("127.0.0.1", 0)
        port = server._server.sockets[0].getsockname()[1]
        readers = Readers()
        follower = store.StoreFollower(models.Target("127.0.0.1", port), readers)
        task = None

        async def until(condition):
            nonlocal task
            task = task or asyncio.create_task(follower.run())
            while not condition():
                await asyncio.sleep(0.001)

        async with asyncio.timeout(20):
            await steps(held, readers, until)
        if task is not None:
            task.cancel()
        server.close()

    asyncio.run(main())


def test_all_is_read_once_and_changes_are_watched():
    async def steps(held, readers, until):
        held.put("a", b"1")
        await until(lambda: readers.content_by_key.get("a") == b"1")
        held.put("b", b"2")
        held.remove("a")
        await until(lambda: readers.content_by_key == {"a": None, "b": b"2"})
        assert [name for name, _ in held.calls].count("kv-range") == 1

    play(steps)


def test_a_fleet_that_starts_reads_what_may_be_old_until_it_is_listed(monkeypatch):
    """Each daemon would else watch every other one register."""
    monkeypatch.setattr(store, "STALE_READ_INTERVAL_S", 0.001)

    async def steps(held, readers, until):
        readers.are_known = False
        held.put("a", b"1")
        await until(lambda: "a" in readers.content_by_key)
        held.put("b", b"2")
        await until(lambda: "b" in readers.content_by_key)
        assert set(held.calls) == {("kv-range", "stale")}
        readers.are_known = True
        held.put("c", b"3")
        await until(lambda: "c" in readers.content_by_key)
        assert "kv-watch" in {name for name, _ in held.calls}

    play(steps)


def test_a_history_that_is_gone_is_made_good_by_an_exact_reading():
    """Stale readings may lag for seconds: they would bring the old state back."""

    async def steps(held, readers, until):
        held.put("a", b"old")
        await until(lambda: readers.content_by_key.get("a") == b"old")
        held.stale_as_of = held.revision
        held.put("a", b"new")
        held.remove("gone")
        held.compact()
        await until(lambda: readers.content_by_key.get("a") == b"new")
        assert ("kv-range", "exact") in held.calls

    play(steps)


def test_a_store_that_was_away_is_read_when_it_is_back():
    async def steps(held, readers, until):
        held.put("a", b"1")
        await until(lambda: "a" in readers.content_by_key)
        held.down = True
        await until(lambda: readers.contacts[-1] is False)
        held.put("a", b"2")
        held.down = False
        await until(lambda: readers.content_by_key["a"] == b"2")
        assert readers.contacts[-1] is True

    play(steps)
