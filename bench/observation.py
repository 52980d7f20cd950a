"""Measure what observing costs: ``python -m bench.observation [--loaded]``.

Every figure is the best of several rounds in one process, next to the way that
was not taken. ``--loaded`` starts a small deployment as well, and compares the
response times of callers with and without operators that ask all the time.
"""

import collections.abc
import contextlib
import dataclasses
import os
import statistics
import subprocess
import sys
import threading
import time
import tracemalloc

import aioprometheus
import urllib3

from emulator import deployment, load, plans
from savoryhollow import calls
from savoryhollow.backend import client
from savoryhollow.daemon import dump
from savoryhollow.membership import table
from savoryhollow.observe import (
    events,
    metrics,
    placements,
    process_stats,
    requests,
    runs,
)
from savoryhollow.routing import evidence, placement, reasons
from savoryhollow.wire import messages

ROUNDS = 5
CALLS = 20_000
# Events written; below what the limiter lets through.
EVENTS = 1500
# The loaded deployment: calls a second, time of a phase in s, workers, seed.
RATE = 250.0
PHASE_S = 5.0
WORKERS = 400
SEED = 3
# Pause of an operator between two rounds of questions, in s.
ASK_INTERVAL_S = 0.2
# The size to design for.
SERVICES = 340
RANKS = 3
ENDPOINTS_PER_SERVICE = 26

LOAD = messages.LoadReport(3, 2, 9, 20_000, False)
ENDPOINT = table.Endpoint(
    "dispatch-0", "dispatch", "east", "a", "127.0.0.1", 1, table.EndpointState.LIVE
)
LOCATION = placement.Location("dispatch-1", "east", "a")


def main() -> None:
    """Run the measurements and print them."""
    print("data path, us a call (best of rounds)")
    for name, step in _steps().items():
        print(f"  {name:52}{_cost_us(step):8.2f}")
    print(f"  {'event of a placement written':52}{_event_us():8.2f}")
    print("operator port, ms (best of rounds)")
    for name, step in _answers().items():
        cost_ms, size = _answer_cost(step)
        print(f"  {name:52}{cost_ms:8.1f}{size:10,} bytes")
    print("memory, bytes a record kept")
    print(f"  {'placement record with its choice':52}{_record_bytes():8.0f}")
    print("resident memory, KB, after imports in a new interpreter")
    for name, modules in _IMPORTS.items():
        print(f"  {name:52}{_resident_kb(modules):8,}")
    if "--loaded" in sys.argv[1:]:
        print("callers' response times, ms, while operators ask")
        _compare_loaded()


# ---------------------------------------------------------------------------
#   Data path
# ---------------------------------------------------------------------------


def _steps() -> dict[str, collections.abc.Callable[[], None]]:
    call = calls.Call(
        "id", "dispatch", "lookup", "c", 1e9, True, 0, 3, "GET", "/", (), b""
    )
    message = messages.CallMessage(
        "id.0", "dispatch", "lookup", "c", 1000, True, 0, 3, "GET", "/", (), b""
    )
    served = calls.Served("id", "dispatch-0", 200, (), b"")
    answer = client.BackendAnswer(200, (), b"")
    run = runs.RunLog().observe(lambda call, deadline: answer)
    route = requests.RequestTotals().observe(lambda call: served)
    ring = placements.PlacementLog()
    held = evidence.EndpointEvidence(report=LOAD, reported_at=time.monotonic())
    candidate = placement.Candidate(ENDPOINT, held)
    counter, histogram = _collectors()
    labels = {"service": "dispatch", "rank": "lookup"}

    def count_in_collectors() -> None:
        counter.inc(labels)
        histogram.observe(labels, 0.02)

    return {
        "request counted by service and rank": lambda: _ignore(route(call)),
        "run at the gate recorded": lambda: _ignore(run(message, 1e9)),
        "choice explained": lambda: _ignore(
            reasons.explain(
                candidate,
                [candidate],
                LOCATION,
                placement.PlacementRequest(time.monotonic()),
            )
        ),
        "placement recorded": lambda: ring.add(_record(0)),
        "event below the level asked for": lambda: _ignore(
            events.is_logged(events.Event.REQUEST_PLACED)
        ),
        "not taken: a counter and a histogram of the library": count_in_collectors,
    }


def _collectors() -> tuple[aioprometheus.Counter, aioprometheus.Histogram]:
    registry = aioprometheus.Registry()
    counter = aioprometheus.Counter("requests_total", "-", registry=registry)
    histogram = aioprometheus.Histogram(
        "seconds", "-", registry=registry, buckets=requests.BUCKETS_S
    )
    return counter, histogram


def _cost_us(step: collections.abc.Callable[[], None]) -> float:
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for _ in range(CALLS):
            step()
        best = min(best, time.perf_counter() - started)
    return best / CALLS * 1e6


def _event_us() -> float:
    record = dump.to_json_value(_record(0))
    with open(os.devnull, "w") as nowhere, contextlib.redirect_stderr(nowhere):
        events.configure("dispatch-0", "info", "info")
        started = time.perf_counter()
        for _ in range(EVENTS):
            events.emit(events.Event.REQUEST_PLACED, placement=record)
        return (time.perf_counter() - started) / EVENTS * 1e6


def _ignore(_: object) -> None:
    return None


def _record(number: int) -> placements.PlacementRecord:
    request_id = f"{number:024x}"
    choice = placements.Choice(20.5 + number, 2, 3, 0, 12.5 + number, False)
    return placements.PlacementRecord(
        request_id,
        "dispatch",
        "lookup",
        0,
        "dispatch-0",
        "east",
        "served",
        21.5 + number,
        1.7e9 + number,
        f"{request_id}.0",
        "status 200",
        False,
        0,
        500,
        choice,
    )


# ---------------------------------------------------------------------------
#   Operator port
# ---------------------------------------------------------------------------


def _answers() -> dict[str, collections.abc.Callable[[], bytes]]:
    held = {
        f"e-{number}": evidence.EndpointEvidence(report=LOAD, reported_at=number)
        for number in range(SERVICES * ENDPOINTS_PER_SERVICE)
    }
    return {
        "metrics, 1 service": lambda: metrics.render(_snapshot(1)),
        f"metrics, {SERVICES} services": lambda: metrics.render(_snapshot(SERVICES)),
        f"evidence of {len(held):,} endpoints in a dump": lambda: str(
            dump._newest_evidence(held)
        ).encode(),
    }


def _snapshot(services: int) -> metrics.MetricsSnapshot:
    names = [f"service-{number}" for number in range(services)]
    ranks = [f"rank-{number}" for number in range(RANKS)]
    outcomes = {"served": 900, "not-run": 90, "unknown": 1}
    totals = [
        requests.RequestTotal(
            name, rank, outcomes=outcomes, refusals={"queue-full": 80, "deadline": 10}
        )
        for name in names
        for rank in ranks
    ]
    placed = [
        placements.PlacementTotal(name, rank, "east", f"e-{number}", "served", 9)
        for name in names
        for rank in ranks
        for number in range(ENDPOINTS_PER_SERVICE)
    ]
    return metrics.MetricsSnapshot(
        endpoint_id="e-0",
        region="east",
        requests=totals,
        runs=[],
        placements=placed,
        retries_by_service=dict.fromkeys(names, 3),
        retries_left_by_service=dict.fromkeys(names, 3.0),
        load=LOAD,
        outcome_records=0,
        evidence_ages_s=[1.0],
        link_bytes_by_region={"east": 1, "west": 1},
        revision=1,
        list_revision=1,
        known_endpoints=1,
        platform_calls=1,
        platform_bytes=1,
        relay_bytes=1,
        is_reader=True,
        suppressed_by_event={},
        process_stats=process_stats.read_process_stats(),
        lag_s=0.0,
        highest_lag_s=0.0,
    )


def _answer_cost(step: collections.abc.Callable[[], bytes]) -> tuple[float, int]:
    best = float("inf")
    size = 0
    for _ in range(ROUNDS):
        started = time.perf_counter()
        size = len(step())
        best = min(best, time.perf_counter() - started)
    return best * 1e3, size


# ---------------------------------------------------------------------------
#   Memory
# ---------------------------------------------------------------------------

_DATA_PATH = (
    "urllib3.connection",
    "cheroot.server",
    "msgspec",
    "cbor2",
    "absl.logging",
)
_DATA_PATH += ("websockets.sync.client",)
_IMPORTS = {
    "interpreter": (),
    "libraries of the data path": _DATA_PATH,
    "and aioprometheus": _DATA_PATH + ("aioprometheus",),
    "a daemon": ("savoryhollow.daemon.process",),
    "a daemon and typer, which it doesn't import": (
        "savoryhollow.daemon.process",
        "typer",
    ),
}


def _record_bytes() -> float:
    ring = placements.PlacementLog()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(placements.DEFAULT_MAX_RECORDS):
        ring.add(_record(number))
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / placements.DEFAULT_MAX_RECORDS


def _resident_kb(modules: tuple[str, ...]) -> int:
    program = "".join(f"import {name}\n" for name in modules)
    program += "print(open('/proc/self/status').read().split('VmRSS:')[1].split()[0])"
    return int(subprocess.check_output([sys.executable, "-c", program], timeout=30))


# ---------------------------------------------------------------------------
#   Under load
# ---------------------------------------------------------------------------


def _compare_loaded() -> None:
    services = (plans.ServicePlan("dispatch", 3, 40.0),)
    plan = dataclasses.replace(plans.COULEE, services=services)
    with deployment.Deployment(plan) as running:
        instances = list(running.instances_by_id.values())
        urls = tuple(running.front_url(instance) for instance in instances)
        operators = [running.operator_address(instance) for instance in instances]
        stream = load.Stream("lookup", urls, "dispatch", "lookup", RATE)
        for asked in (False, True, False, True):
            _phase(stream, operators if asked else [])


def _phase(stream: load.Stream, operators: list[str]) -> None:
    stop = threading.Event()
    times_ms: list[float] = []
    threads = [
        threading.Thread(target=_ask, args=(operator, stop, times_ms))
        for operator in operators
    ]
    for thread in threads:
        thread.start()
    result = load.run([stream], PHASE_S, WORKERS, SEED)[stream.name]
    stop.set()
    for thread in threads:
        thread.join()
    p50, p99 = result.percentile_ms(50), result.percentile_ms(99)
    line = f"  {'asked' if operators else 'not asked':12}p50 {p50:6.1f} p99 {p99:6.1f}"
    if times_ms:
        median, longest = statistics.median(times_ms), max(times_ms)
        line += f"; {len(times_ms)} answers, p50 {median:.1f}, longest {longest:.1f}"
    print(f"{line}; {dict(result.outcomes)}")


def _ask(operator: str, stop: threading.Event, times_ms: list[float]) -> None:
    http = urllib3.PoolManager()
    while not stop.wait(ASK_INTERVAL_S):
        for path in ("/dump", "/metrics"):
            started = time.perf_counter()
            http.request("GET", f"http://{operator}{path}", timeout=5.0)
            times_ms.append((time.perf_counter() - started) * 1e3)


if __name__ == "__main__":
    main()
