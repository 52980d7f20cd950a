"""Measure the latency that the system adds to a call.

One run alternates between three paths: directly to a backend server, through the
daemon beside it, and through the daemon of another instance.
"""

import collections.abc
import concurrent.futures
import dataclasses
import http.client
import multiprocessing
import threading
import time

import hdrh.histogram

from bench import report
from emulator import deployment, plans

__all__ = ["run"]

# Calls per second on each path while calls are paced.
CALLS_PER_S = 59.0
# Duration of the paced calls, in s.
PACED_S = 15.0
# Calls on each path before the first one that is counted.
WARM_UP_CALLS = 100
# Duration of one saturated run on one path, in s, and the number of runs per path.
SATURATED_S = 1.5
ROUNDS = 2
# Processes that saturate a path, and callers per process.
PROCESSES = 3
CALLERS = 3
# Range and precision of the histograms, in microseconds.
LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
# Target for the added latency at the 99th percentile, in ms.
MAX_ADDED_P99_MS = 0.55
PERCENTILES = (50, 99, 99.9)
HEADERS = {
    "Savoryhollow-Service": "near",
    "Savoryhollow-Rank": "lookup",
    "Savoryhollow-Deadline-Ms": "5000",
}
TIMEOUT_S = 10.0
PATHS = ("direct", "local", "remote")

FILES = {
    "10.json": """{"services": {
  "near": {"share": 0.5, "ranks": {"lookup": {"order": 0, "idempotent": true}}},
  "far": {"share": 0.5, "ranks": {"lookup": {"order": 0, "idempotent": true}}}
}}"""
}
PLAN = plans.DeploymentPlan(
    name="latency",
    regions=("east",),
    zones_per_region=1,
    services=(plans.ServicePlan("near", 1, 0.0), plans.ServicePlan("far", 1, 0.0)),
    store_region="east",
    files=FILES,
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Path:
    """One path to the backend server."""

    name: str
    host: str
    port: int
    headers: dict[str, str]


def run() -> report.PartReport:
    """Measure the added latency with paced calls and under saturation."""
    with deployment.Deployment(PLAN) as running:
        near = running.instances_by_id["near-0"]
        far = running.instances_by_id["far-0"]
        paths = [
            _Path("direct", near.host, deployment.BACKEND_PORT, {}),
            _Path("local", near.host, deployment.FRONT_PORT, HEADERS),
            _Path("remote", far.host, deployment.FRONT_PORT, HEADERS),
        ]
        paced = _run_paced(paths)
        saturated, rates = _run_saturated(paths)
    rows = [*_rows("59/s", paced), *_rows("saturated", saturated, rates)]
    columns = ("load", "path", "calls", "calls/s", "p50 ms", "p99 ms", "p99.9 ms")
    added = ("added p50 ms", "added p99 ms")
    return report.PartReport(
        "latency added to a call, by path",
        report.Table((*columns, *added), tuple(rows)),
        tuple(_target(name, paced) for name in PATHS[1:]),
        (
            f"saturated: {PROCESSES * CALLERS} callers, each back to back",
            "the paths share one backend server, and take turns",
        ),
    )


# ---------------------------------------------------------------------------
#   Paced calls
# ---------------------------------------------------------------------------


def _run_paced(paths: list[_Path]) -> dict[str, hdrh.histogram.HdrHistogram]:
    histograms = {path.name: _make_histogram() for path in paths}
    connections = {path.name: _connect(path) for path in paths}
    for _ in range(WARM_UP_CALLS):
        for path in paths:
            _call(connections[path.name], path)
    interval_s = 1 / (CALLS_PER_S * len(paths))
    started = time.monotonic() + interval_s
    for number in range(int(PACED_S / interval_s)):
        path = paths[number % len(paths)]
        due_at = started + number * interval_s
        time.sleep(max(0.0, due_at - time.monotonic()))
        _call(connections[path.name], path)
        elapsed_us = int((time.monotonic() - due_at) * 1e6)
        histograms[path.name].record_value(elapsed_us)
    for connection in connections.values():
        connection.close()
    return histograms


def _connect(path: _Path) -> http.client.HTTPConnection:
    return http.client.HTTPConnection(path.host, path.port, timeout=TIMEOUT_S)


def _call(connection: http.client.HTTPConnection, path: _Path) -> None:
    connection.request("GET", "/work", headers=path.headers)
    response = connection.getresponse()
    response.read()
    if response.status != 200:
        raise deployment.DeploymentError(
            f"{path.name} path: expected status 200, got {response.status}"
        )


def _make_histogram() -> hdrh.histogram.HdrHistogram:
    return hdrh.histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


# ---------------------------------------------------------------------------
#   Saturation
# ---------------------------------------------------------------------------


def _run_saturated(paths):
    histograms = {path.name: _make_histogram() for path in paths}
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(PROCESSES, context) as pool:
        _run_in_processes(pool, paths[0], 0.1)
        for path in paths * ROUNDS:
            for encoded in _run_in_processes(pool, path, SATURATED_S):
                histogram = hdrh.histogram.HdrHistogram.decode(encoded)
                histograms[path.name].add(histogram)
    duration_s = SATURATED_S * ROUNDS
    rates = {name: h.get_total_count() / duration_s for name, h in histograms.items()}
    return histograms, rates


def _run_in_processes(pool, path, duration_s) -> list[bytes]:
    futures = [pool.submit(_saturate, path, duration_s) for _ in range(PROCESSES)]
    return [future.result() for future in futures]


def _saturate(path: _Path, duration_s: float) -> bytes:
    histogram = _make_histogram()
    lock = threading.Lock()
    end = time.monotonic() + duration_s

    def call_back_to_back() -> None:
        connection = _connect(path)
        while (started := time.monotonic()) < end:
            _call(connection, path)
            with lock:
                histogram.record_value(int((time.monotonic() - started) * 1e6))
        connection.close()

    callers = [threading.Thread(target=call_back_to_back) for _ in range(CALLERS)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    return histogram.encode()


# ---------------------------------------------------------------------------
#   Results
# ---------------------------------------------------------------------------


def _rows(
    load: str, histograms, rates: dict[str, float] | None = None
) -> collections.abc.Iterator[tuple[report.Cell, ...]]:
    for name, histogram in histograms.items():
        percentiles_ms = [_ms(histogram, percentile) for percentile in PERCENTILES]
        direct_ms = [_ms(histograms["direct"], p) for p in PERCENTILES]
        rate = CALLS_PER_S if rates is None else rates[name]
        added_ms = (percentiles_ms[0] - direct_ms[0], percentiles_ms[1] - direct_ms[1])
        yield (
            load,
            name,
            histogram.get_total_count(),
            rate,
            *percentiles_ms,
            *added_ms,
        )


def _target(name: str, histograms) -> report.Target:
    added_ms = _ms(histograms[name], 99) - _ms(histograms["direct"], 99)
    return report.Target(
        f"p99 added by the {name} path, ms", added_ms, MAX_ADDED_P99_MS
    )


def _ms(histogram: hdrh.histogram.HdrHistogram, percentile: float) -> float:
    return histogram.get_value_at_percentile(percentile) / 1000
