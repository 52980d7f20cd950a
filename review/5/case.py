"""An endpoint's entry is removed without `draining` while requests wait there."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

YARD = "joinery-yard"
DRAIN_S = standins.BOUNDS["drain_s"]
# How long a report runs: usually, and the longest that the site file allows.
USUAL_S = 0.4
LONG_S = 3.0
# How long the endpoint serves on after its entry is gone: a little over drain_s.
SERVES_ON_S = DRAIN_S + 0.8


def work(path):
    return LONG_S if "/long/" in path else USUAL_S, b"a" * 400


async def play(world):
    ips = [world.ip(number) for number in (1, 2, 3)]
    endpoints = []
    for number, ip in enumerate(ips):
        world.zones[ip] = ("bne-a", "bne-b")[number % 2]
        endpoint = standins.Endpoint(world, ip, YARD, work)
        await endpoint.start()
        world.store.put(f"servers/{endpoint.endpoint_id}", endpoint.entry())
        world.write_settings(ip, YARD)
        endpoints.append(endpoint)
    world.configure([("archive", "/archive/", "safe", YARD, 4, 2, 2)])
    for ip in ips:
        world.start_daemon(ip)
    await world.ready(ips)
    await asyncio.sleep(5.0)

    async def usual(number):
        consumer = standins.Consumer(world, ips[number % len(ips)])
        await consumer.send("GET", f"/archive/{number}", 8.0)

    async def long(number):
        consumer = standins.Consumer(world, ips[number % len(ips)])
        await consumer.send("GET", f"/archive/long/{number}", 8.0)

    # An ordinary time, then many long reports, behind which usual ones wait.
    await standins.every(0.05, 80, usual)
    flood = asyncio.create_task(standins.every(0.005, 24, long))
    await asyncio.sleep(0.15)
    queue = asyncio.create_task(standins.every(0.005, 30, usual))
    await asyncio.sleep(0.2)
    leaving = endpoints[0]
    removed_at = float("inf")
    if standins.TROUBLE:
        world.store.remove(f"servers/{leaving.endpoint_id}")
        removed_at = world.now
        world.note(f"entry of {leaving.endpoint_id} removed and confirmed", leaving.ip)
    await asyncio.sleep(SERVES_ON_S)
    if standins.TROUBLE:
        leaving.crash()
    await asyncio.gather(flood, queue)
    late = [
        run
        for run in world.runs
        if run.endpoint_id == leaving.endpoint_id
        and run.request_id
        and run.at > removed_at + DRAIN_S
    ]
    sent_at = {sent.request_id: sent.at for sent in world.sent}
    for run in late:
        world.note(
            f"DRAIN: {run.request_id}, sent at "
            f"{sent_at[run.request_id] - removed_at:+.3f} s, reaches "
            f"{run.endpoint_id} {run.at - removed_at:.3f} s after its removal"
        )
    outcomes = [sent.outcome for sent in world.sent]
    world.note(f"outcomes: { {o: outcomes.count(o) for o in set(outcomes)} }")
    return bool(late)


standins.main(FOLDER, play)
