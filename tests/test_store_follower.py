"""Tests of the store follower against a fake store that implements its protocol."""

import asyncio
import base64
import contextlib
import json
import urllib.parse

from savoryhollow.http1 import callers
from savoryhollow.http1 import messages as http
from savoryhollow.platform import store
from savoryhollow.proxy import relay
from savoryhollow.settings import models


class FakeStore:
    """A store whose history can be compacted and whose stale reads can lag behind."""

    def __init__(self):
        self.revision = 1
        self.history = []
        self.compacted_revision = 0
        self.stale_as_of = None
        self.unavailable = False
        self.repeats_pages = False
        self.calls = []
        self.watch_waits_ms = []

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
        self.compacted_revision = self.revision

    async def handle(self, request):
        address = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(address.query))
        name = address.path.rpartition("/")[2]
        self.calls.append((name, "stale" if "stale_ok" in query else "exact"))
        if self.unavailable:
            return http.Response(503)
        if name == "kv-range":
            return self._range("stale_ok" in query)
        self.watch_waits_ms.append(int(query["wait_ms"]))
        return await self._watch(int(query["after"]))

    def _range(self, stale):
        as_of = self.revision
        if stale and self.stale_as_of is not None:
            as_of = self.stale_as_of
        newest = {}
        for change in self.history:
            if change["revision"] <= as_of:
                newest[change["key"]] = change
        items = [item for item in newest.values() if "value" in item]
        page = {"items": items, "has_more": self.repeats_pages, "as_of": as_of}
        return self._json(page)

    async def _watch(self, after):
        for _ in range(20):
            if after < self.compacted_revision:
                return http.Response(410)
            changes = [change for change in self.history if change["revision"] > after]
            if changes:
                return self._json({"events": changes, "as_of": self.revision})
            await asyncio.sleep(0.001)
        return self._json({"events": [], "as_of": self.revision})

    @staticmethod
    def _json(document):
        return http.Response(200, (), json.dumps(document).encode())


class FakeReaders:
    """Readers of which this daemon is always one."""

    reads_platform = True
    are_known = True

    def __init__(self):
        self.content_by_key = {}
        self.contacts = []
        self.replica = relay.Replica(self.apply_items, self.contacts.append)

    def apply_items(self, items):
        for item in items:
            content = None if item.content is None else relay.decompress(item.content)
            self.content_by_key[item.key] = content

    def update_followers(self):
        return

    def follow_seeds(self):
        return


def run_scenario(scenario):
    async def main():
        fake_store = FakeStore()
        server = callers.Server(fake_store.handle)
        await server.start("127.0.0.1", 0)
        port = server._server.sockets[0].getsockname()[1]
        readers = FakeReaders()
        follower = store.StoreFollower(models.Target("127.0.0.1", port), readers)
        task = None

        async def wait_until(condition):
            nonlocal task
            task = task or asyncio.create_task(follower.run())
            while not condition():
                await asyncio.sleep(0.001)

        async with asyncio.timeout(20):
            await scenario(fake_store, readers, wait_until)
        if task is not None:
            task.cancel()
        server.close()

    asyncio.run(main())


def test_items_are_read_once_and_then_changes_are_watched():
    async def scenario(fake_store, readers, wait_until):
        fake_store.put("a", b"1")
        await wait_until(lambda: readers.content_by_key.get("a") == b"1")
        fake_store.put("b", b"2")
        fake_store.remove("a")
        await wait_until(lambda: readers.content_by_key == {"a": None, "b": b"2"})
        assert [name for name, _ in fake_store.calls].count("kv-range") == 1

    run_scenario(scenario)


def test_daemons_use_stale_reads_until_they_are_listed(monkeypatch):
    """Otherwise, when all daemons start, each would watch every other one register."""
    monkeypatch.setattr(store, "STALE_READ_INTERVAL_S", 0.001)

    async def scenario(fake_store, readers, wait_until):
        readers.are_known = False
        fake_store.put("a", b"1")
        await wait_until(lambda: "a" in readers.content_by_key)
        fake_store.put("b", b"2")
        await wait_until(lambda: "b" in readers.content_by_key)
        assert set(fake_store.calls) == {("kv-range", "stale")}
        readers.are_known = True
        fake_store.put("c", b"3")
        await wait_until(lambda: "c" in readers.content_by_key)
        assert "kv-watch" in {name for name, _ in fake_store.calls}

    run_scenario(scenario)


def test_a_discarded_history_leads_to_an_exact_read():
    """A stale read may lag by seconds and would restore the old state."""

    async def scenario(fake_store, readers, wait_until):
        fake_store.put("a", b"old")
        await wait_until(lambda: readers.content_by_key.get("a") == b"old")
        fake_store.stale_as_of = fake_store.revision
        fake_store.put("a", b"new")
        fake_store.remove("absent")
        fake_store.compact()
        await wait_until(lambda: readers.content_by_key.get("a") == b"new")
        assert ("kv-range", "exact") in fake_store.calls

    run_scenario(scenario)


def test_items_are_read_when_the_store_is_available_again():
    async def scenario(fake_store, readers, wait_until):
        fake_store.put("a", b"1")
        await wait_until(lambda: "a" in readers.content_by_key)
        fake_store.unavailable = True
        await wait_until(lambda: readers.contacts[-1] is False)
        fake_store.put("a", b"2")
        fake_store.unavailable = False
        await wait_until(lambda: readers.content_by_key["a"] == b"2")
        assert readers.contacts[-1] is True

    run_scenario(scenario)


def test_a_reader_watches_no_longer_than_its_confirmation_interval():
    """Else its followers would read the platform though nothing is wrong."""

    async def scenario(fake_store, readers, wait_until):
        fake_store.put("a", b"1")
        await wait_until(lambda: len(fake_store.watch_waits_ms) > 2)
        limit_ms = 1000 * relay.CONFIRMATION_INTERVAL_S
        assert all(wait_ms <= limit_ms for wait_ms in fake_store.watch_waits_ms)
        assert relay.CONFIRMATION_INTERVAL_S < relay.FRESH_LIMIT_S

    run_scenario(scenario)


def test_a_daemon_without_a_recent_confirmation_gets_one_at_once():
    """A watch that waits for a change would confirm nothing until it ends."""

    async def scenario(fake_store, readers, wait_until):
        fake_store.put("a", b"1")
        await wait_until(lambda: fake_store.watch_waits_ms)
        assert fake_store.watch_waits_ms[0] == 0

    run_scenario(scenario)


def test_stale_reads_confirm_nothing(monkeypatch):
    """A daemon that isn't listed yet would vouch for what may be seconds old."""
    monkeypatch.setattr(store, "STALE_READ_INTERVAL_S", 0.001)

    async def scenario(fake_store, readers, wait_until):
        readers.are_known = False
        fake_store.put("a", b"1")
        await wait_until(lambda: "a" in readers.content_by_key)
        assert readers.replica.message_since(-1, 0.0).confirmed_age_us is None

    run_scenario(scenario)


def test_a_page_that_is_repeated_ends_the_read():
    """It was read and kept again and again, without end."""

    async def scenario(fake_store, readers, wait_until):
        fake_store.put("a", b"1")
        fake_store.repeats_pages = True
        await wait_until(lambda: False in readers.contacts)
        fake_store.repeats_pages = False
        await wait_until(lambda: "a" in readers.content_by_key)

    run_scenario(scenario)


def test_a_large_response_on_a_slow_link_is_read_to_its_end(monkeypatch):
    """A timeout for the whole response would start it again and again from its head."""
    monkeypatch.setattr(store, "INITIAL_RESPONSE_TIMEOUT_S", 1.0)
    body = json.dumps({"items": [], "has_more": False, "as_of": 7}).encode()

    async def main():
        async def serve(reader, writer):
            with contextlib.closing(writer):
                await reader.readuntil(b"\r\n\r\n")
                length = f"Content-Length: {len(body)}\r\n\r\n"
                writer.write(b"HTTP/1.1 200 OK\r\n" + length.encode())
                for byte in body:
                    await asyncio.sleep(0.03)
                    writer.write(bytes([byte]))
                await reader.read()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        readers = FakeReaders()
        port = server.sockets[0].getsockname()[1]
        follower = store.StoreFollower(models.Target("127.0.0.1", port), readers)
        task = asyncio.create_task(follower.run())
        async with asyncio.timeout(10):
            while readers.replica.as_of < 7:
                await asyncio.sleep(0.01)
        task.cancel()
        server.close()
        assert False not in readers.contacts

    asyncio.run(main())


def test_a_changed_address_of_the_store_is_used_after_the_watch_in_progress():
    """Else the former store would be read for as long as it keeps the connection."""

    async def main():
        stores, servers, ports = [FakeStore(), FakeStore()], [], []
        for one in stores:
            servers.append(callers.Server(one.handle))
            await servers[-1].start("127.0.0.1", 0)
            ports.append(servers[-1]._server.sockets[0].getsockname()[1])
        readers = FakeReaders()
        stores[0].put("a", b"former")
        stores[1].revision = 100
        stores[1].put("a", b"new")
        follower = store.StoreFollower(models.Target("127.0.0.1", ports[0]), readers)
        task = asyncio.create_task(follower.run())
        async with asyncio.timeout(10):
            while len(stores[0].watch_waits_ms) < 2:
                await asyncio.sleep(0)
            follower.change_address(models.Target("127.0.0.1", ports[1]))
            while readers.content_by_key.get("a") != b"new":
                await asyncio.sleep(0.001)
        task.cancel()
        for server in servers:
            server.close()

    asyncio.run(main())
