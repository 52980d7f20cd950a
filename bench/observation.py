"""Measure the cost of observation: ``python -m bench.observation [--loaded]``.

Calls and operator port responses are timed in one process; each time is the best of
several rounds. The collectors of aioprometheus are measured for comparison; the data
path updates plain counters instead. ``--loaded`` also starts a small deployment and
compares the response times of callers with and without operators that query it all
the time.
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
CALLS_PER_ROUND = 20_000
# Events written; fewer than the event limiter allows.
EVENT_COUNT = 1500
# The deployment under load: calls per second, duration of a phase in s, workers, seed.
CALLS_PER_S = 250.0
PHASE_S = 5.0
WORKERS = 400
SEED = 3
# Time between two rounds of queries by an operator, in s.
QUERY_INTERVAL_S = 0.2
# The design size.
SERVICES = 340
RANKS = 3
ENDPOINTS_PER_SERVICE = 26

LOAD = messages.LoadReport(3, 2, 9, 20_000, False)
ENDPOINT = table.Endpoint(
    "dispatch-0", "dispatch", "east", "a", "127.0.0.1", 1, table.EndpointState.LIVE
)
LOCATION = placement.Location("dispatch-1", "east", "a")


def main() -> None:
    """Run the measurements and print the results."""
    print("data path, us per call (best of rounds)")
    for name, function in _data_path_functions().items():
        print(f"  {name:52}{_call_cost_us(function):8.2f}")
    print(f"  {'event of a placement written':52}{_event_cost_us():8.2f}")
    print("operator port, ms (best of rounds)")
    for name, function in _operator_port_functions().items():
        cost_ms, size = _response_cost(function)
        print(f"  {name:52}{cost_ms:8.1f}{size:10,} bytes")
    print("memory, bytes per stored record")
    print(f"  {'placement record with its choice':52}{_record_bytes():8.0f}")
    print("resident memory, KB, after imports in a new interpreter")
    for name, modules in _MODULES_BY_NAME.items():
        print(f"  {name:52}{_resident_kb(modules):8,}")
    if "--loaded" in sys.argv[1:]:
        print("callers' response times, ms, with and without queries")
        _compare_loaded()


# ---------------------------------------------------------------------------
#   Data path
# ---------------------------------------------------------------------------


def _data_path_functions() -> dict[str, collections.abc.Callable[[], None]]:
    call = calls.Call(
        "id", "dispatch", "lookup", "c", 1e9, True, 0, 3, "GET", "/", (), b""
    )
    message = messages.CallMessage(
        "id.0", "dispatch", "lookup", "c", 1000, True, 0, 3, "GET", "/", (), b""
    )
    served = calls.Served("id", "dispatch-0", 200, (), b"")
    answer = client.BackendAnswer(200, (), b"")
    observed_run = runs.RunLog().observe(lambda call, deadline: answer)
    observed_route = requests.RequestTotals().observe(lambda call: served)
    log = placements.PlacementLog()
    endpoint_evidence = evidence.EndpointEvidence(
        report=LOAD, reported_at=time.monotonic()
    )
    candidate = placement.Candidate(ENDPOINT, endpoint_evidence)
    counter, histogram = _make_collectors()
    labels = {"service": "dispatch", "rank": "lookup"}

    def count_in_collectors() -> None:
        counter.inc(labels)
        histogram.observe(labels, 0.02)

    return {
        "request counted by service and rank": lambda: _discard(observed_route(call)),
        "run at the gate recorded": lambda: _discard(observed_run(message, 1e9)),
        "choice explained": lambda: _discard(
            reasons.explain(
                candidate,
                [candidate],
                LOCATION,
                placement.PlacementRequest(time.monotonic()),
            )
        ),
        "placement recorded": lambda: log.add(_make_record(0)),
        "event below the logged level": lambda: _discard(
            events.is_logged(events.Event.REQUEST_PLACED)
        ),
        "alternative: counter and histogram of aioprometheus": count_in_collectors,
    }


def _make_collectors() -> tuple[aioprometheus.Counter, aioprometheus.Histogram]:
    registry = aioprometheus.Registry()
    counter = aioprometheus.Counter("requests_total", "-", registry=registry)
    histogram = aioprometheus.Histogram(
        "seconds", "-", registry=registry, buckets=requests.BUCKETS_S
    )
    return counter, histogram


def _call_cost_us(function: collections.abc.Callable[[], None]) -> float:
    best_s = float("inf")
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for _ in range(CALLS_PER_ROUND):
            function()
        best_s = min(best_s, time.perf_counter() - started)
    return best_s / CALLS_PER_ROUND * 1e6


def _event_cost_us() -> float:
    record = dump.to_json_value(_make_record(0))
    with open(os.devnull, "w") as null_device, contextlib.redirect_stderr(null_device):
        events.configure("dispatch-0", "info", "info")
        started = time.perf_counter()
        for _ in range(EVENT_COUNT):
            events.emit(events.Event.REQUEST_PLACED, placement=record)
        return (time.perf_counter() - started) / EVENT_COUNT * 1e6


def _discard(_: object) -> None:
    return None


def _make_record(number: int) -> placements.PlacementRecord:
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


def _operator_port_functions() -> dict[str, collections.abc.Callable[[], bytes]]:
    evidence_by_id = {
        f"e-{number}": evidence.EndpointEvidence(report=LOAD, reported_at=number)
        for number in range(SERVICES * ENDPOINTS_PER_SERVICE)
    }
    return {
        "metrics, 1 service": lambda: metrics.render(_make_snapshot(1)),
        f"metrics, {SERVICES} services": lambda: metrics.render(
            _make_snapshot(SERVICES)
        ),
        f"evidence of {len(evidence_by_id):,} endpoints in a dump": lambda: str(
            dump._newest_evidence(evidence_by_id)
        ).encode(),
    }


def _make_snapshot(services: int) -> metrics.MetricsSnapshot:
    names = [f"service-{number}" for number in range(services)]
    ranks = [f"rank-{number}" for number in range(RANKS)]
    outcomes = {"served": 900, "not-run": 90, "unknown": 1}
    request_totals = [
        requests.RequestTotal(
            name, rank, outcomes=outcomes, refusals={"queue-full": 80, "deadline": 10}
        )
        for name in names
        for rank in ranks
    ]
    placement_totals = [
        placements.PlacementTotal(name, rank, "east", f"e-{number}", "served", 9)
        for name in names
        for rank in ranks
        for number in range(ENDPOINTS_PER_SERVICE)
    ]
    return metrics.MetricsSnapshot(
        endpoint_id="e-0",
        region="east",
        requests=request_totals,
        runs=[],
        placements=placement_totals,
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


def _response_cost(function: collections.abc.Callable[[], bytes]) -> tuple[float, int]:
    best_s = float("inf")
    size_bytes = 0
    for _ in range(ROUNDS):
        started = time.perf_counter()
        size_bytes = len(function())
        best_s = min(best_s, time.perf_counter() - started)
    return best_s * 1e3, size_bytes


# ---------------------------------------------------------------------------
#   Memory
# ---------------------------------------------------------------------------

_DATA_PATH_MODULES = (
    "urllib3.connection",
    "cheroot.server",
    "msgspec",
    "cbor2",
    "absl.logging",
)
_DATA_PATH_MODULES += ("websockets.sync.client",)
_MODULES_BY_NAME = {
    "interpreter": (),
    "libraries of the data path": _DATA_PATH_MODULES,
    "and aioprometheus": _DATA_PATH_MODULES + ("aioprometheus",),
    "a daemon": ("savoryhollow.daemon.process",),
    "a daemon and typer, which it doesn't import": (
        "savoryhollow.daemon.process",
        "typer",
    ),
}


def _record_bytes() -> float:
    log = placements.PlacementLog()
    tracemalloc.start()
    bytes_before = tracemalloc.get_traced_memory()[0]
    for number in range(placements.DEFAULT_MAX_RECORDS):
        log.add(_make_record(number))
    used_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
    tracemalloc.stop()
    return used_bytes / placements.DEFAULT_MAX_RECORDS


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
        addresses = [running.operator_address(instance) for instance in instances]
        stream = load.Stream("lookup", urls, "dispatch", "lookup", CALLS_PER_S)
        for with_queries in (False, True, False, True):
            _run_phase(stream, addresses if with_queries else [])


def _run_phase(stream: load.Stream, addresses: list[str]) -> None:
    stop = threading.Event()
    times_ms: list[float] = []
    threads = [
        threading.Thread(target=_query_operator_port, args=(address, stop, times_ms))
        for address in addresses
    ]
    for thread in threads:
        thread.start()
    result = load.run([stream], PHASE_S, WORKERS, SEED)[stream.name]
    stop.set()
    for thread in threads:
        thread.join()
    p50_ms, p99_ms = result.percentile_ms(50), result.percentile_ms(99)
    line = (
        f"  {'queried' if addresses else 'not queried':12}"
        f"p50 {p50_ms:6.1f} p99 {p99_ms:6.1f}"
    )
    if times_ms:
        median_ms, max_ms = statistics.median(times_ms), max(times_ms)
        line += f"; {len(times_ms)} answers, p50 {median_ms:.1f}, longest {max_ms:.1f}"
    print(f"{line}; {dict(result.outcomes)}")


def _query_operator_port(
    address: str, stop: threading.Event, times_ms: list[float]
) -> None:
    http = urllib3.PoolManager()
    while not stop.wait(QUERY_INTERVAL_S):
        for path in ("/dump", "/metrics"):
            started = time.perf_counter()
            http.request("GET", f"http://{address}{path}", timeout=5.0)
            times_ms.append((time.perf_counter() - started) * 1e3)


if __name__ == "__main__":
    main()
