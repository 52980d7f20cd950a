"""An unreadable entry lies in the store when all daemons are killed."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

DESK, YARD = "parish-desk", "joinery-yard"
RECOVERY_S = standins.BOUNDS["recovery_s"]
# What another writer left: 4 kB that no reader of JSON takes as an entry.
UNREADABLE = b'{"note":' + 4000 * b"["


def work(path):
    return 0.13, b"done"


def served_share(world, since, until):
    """Return the share of the requests of a time that were served, and their number."""
    sent = [one for one in world.sent if since <= one.at < until and one.outcome]
    served = sum(one.outcome == "200" for one in sent)
    return (served / len(sent) if sent else 0.0), len(sent)


async def play(world):
    ips = [world.ip(number) for number in range(1, 5)]
    routes = [
        ("place", "/place/", "unsafe", DESK, 2.5, 1, 0.5),
        ("cart", "/cart/", "unsafe", YARD, 1.5, 0, 0.4),
    ]
    world.configure(routes, version=7)
    for number, ip in enumerate(ips):
        world.zones[ip] = ("bne-a", "bne-b")[number % 2]
        service = (DESK, YARD)[number // 2]
        endpoint = standins.Endpoint(world, ip, service, work)
        await endpoint.start()
        world.store.put(f"servers/{endpoint.endpoint_id}", endpoint.entry())
        world.write_settings(ip, service)
    for ip in ips:
        world.start_daemon(ip)
    await world.ready(ips)

    async def usual(ip, path):
        consumer = standins.Consumer(world, ip)
        while True:
            if await consumer.send("POST", path, 3.0, b"x" * 4000) is None:
                await asyncio.sleep(0.2)
            await asyncio.sleep(0.2)

    consumers = [
        asyncio.create_task(usual(ip, path))
        for ip in ips
        for path in ("/place/1", "/cart/1")
    ]
    await asyncio.sleep(4.0)
    if standins.TROUBLE:
        world.store.put_bytes("servers/i-00000000ff", UNREADABLE)
        world.note("another writer's entry is in the store")
    await asyncio.sleep(4.0)
    world.configure([*routes, ("new", "/new/", "safe", YARD, 2, 2, 1)], version=9)
    world.note("version 9 is confirmed")
    fault_at = world.now
    for ip in ips:
        world.signal_daemon(ip, signal.SIGKILL)
    await asyncio.sleep(standins.RESTART_DELAY_S)
    for ip in ips:
        world.start_daemon(ip)
    back_at = world.now
    await asyncio.sleep(RECOVERY_S + 10.0)
    for task in consumers:
        task.cancel()
    before, count_before = served_share(world, fault_at - 6, fault_at)
    after, count_after = served_share(world, back_at + RECOVERY_S, world.now)
    world.note(f"served before: {before:.3f} of {count_before}")
    world.note(f"served {RECOVERY_S} s after: {after:.3f} of {count_after}")
    if before < 0.25 or not count_after:
        raise standins.Unable("too little was served before, or asked after")
    return after < 0.25


standins.main(FOLDER, play)
