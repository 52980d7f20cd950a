"""Measure the slopes from which docs/CAPACITY.md is calculated.

    python -m bench.slopes bench/results/spread.jsonl bench/results/call_cost.jsonl

The two files contain the output of ``python -m bench.spread 10 30 60`` and
``python -m bench.call_cost``. The slopes are written to bench/results/slopes.json.
"""

import functools
import gc
import json
import pathlib
import subprocess
import sys
import time
import tracemalloc
import typing

import msgspec

from savoryhollow import errors
from savoryhollow.configuration import acceptance
from savoryhollow.membership import table
from savoryhollow.store import documents, topology
from savoryhollow.wire import codec, messages

__all__ = ["RESULTS_PATH", "Slope", "fit"]

RESULTS_PATH = pathlib.Path(__file__).parent / "results" / "slopes.json"
COMMAND = "python -m bench.slopes"
SPREAD_COMMAND = "python -m bench.spread 10 30 60"
COST_COMMAND = "python -m bench.call_cost"
# Measured sizes: endpoints in the list, services, daemons in a zone.
LIST_SIZES = (1_100, 2_200, 4_400, 8_800)
SERVICE_SIZES = (42, 85, 170, 340)
ZONE_SIZES = (60, 240, 733)
ROUNDS = 5
# Imports of a daemon in order: the part that needs them and the modules.
IMPORT_STEPS = (
    ("interpreter", "json, re, logging, threading, socket, typing"),
    ("control", "msgspec, cbor2, xxhash"),
    ("control", "savoryhollow.wire.channel"),
    ("control", "savoryhollow.store.following"),
    ("data path", "savoryhollow.webserver, savoryhollow.backend.client"),
    ("data path", "savoryhollow.routing.router, savoryhollow.front.service"),
    ("observation", "savoryhollow.daemon.process"),
)


class Slope(msgspec.Struct):
    """A quantity as a linear function of a size.

    :param per: the unit of the size.
    :param command: the command that measured the points.
    :param points: pairs of size and quantity.
    :param r2: the coefficient of determination of the fitted line.
    """

    name: str
    unit: str
    per: str
    command: str
    points: list[tuple[float, float]]
    intercept: float
    slope: float
    r2: float

    def value_at(self, size: float) -> float:
        """Return the quantity that the fitted line gives at a size."""
        return self.intercept + self.slope * size


def fit(name: str, unit: str, per: str, command: str, points) -> Slope:
    """Fit a least-squares line to points."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    x_variation = sum((x - mean_x) ** 2 for x, _ in points)
    slope = 0.0
    if x_variation:
        slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / x_variation
    intercept = mean_y - slope * mean_x
    y_variation = sum((y - mean_y) ** 2 for _, y in points)
    residual = sum((y - intercept - slope * x) ** 2 for x, y in points)
    r2 = 1 - residual / y_variation if y_variation else 1.0
    pairs = [(float(x), float(y)) for x, y in points]
    return Slope(name, unit, per, command, pairs, intercept, slope, r2)


# ---------------------------------------------------------------------------
#   Measured objects and helpers
# ---------------------------------------------------------------------------


def make_instance_list(size: int, revision: int = 1) -> table.InstanceList:
    """Return an instance list with 12 zones and 26 endpoints per service.

    These are the proportions of the design size.
    """
    return table.InstanceList(
        revision,
        [
            table.InstanceModel(
                endpoint_id=f"service-{n // 26}-{n % 26}",
                service=f"service-{n // 26}",
                region=f"region-{n % 4}",
                zone=f"region-{n % 4}-{'abc'[n // 4 % 3]}",
                host=f"10.{n % 12}.{n // 250 % 250}.{n % 250}",
                port=7081,
                state=table.EndpointState.LIVE,
            )
            for n in range(size)
        ],
    )


def make_files(services: int, queue_limit: int = 64) -> dict[str, str]:
    """Return the files of a configuration folder by name, one file per service."""
    ranks = {
        "lookup": {"order": 0, "floor": 0.3, "worth": 20, "idempotent": True},
        "booking": {"order": 1, "floor": 0.2, "worth": 10},
        "search": {"order": 2, "floor": 0.1, "worth": 1, "idempotent": True},
    }
    budgets = {"link_bytes_per_s": 1_000_000, "retry_ratio": 0.1}
    return {
        f"10-service-{n}.json": json.dumps(
            {
                "services": {
                    f"service-{n}": {
                        "share": 1 / services,
                        "queue_limit": queue_limit if n == 0 else 64,
                        "ranks": ranks,
                        "budgets": budgets,
                    }
                }
            }
        )
        for n in range(services)
    }


def _min_cpu_ms(function: typing.Callable[[], typing.Any]) -> float:
    times_s = []
    for _ in range(ROUNDS):
        started = time.process_time()
        function()
        times_s.append(time.process_time() - started)
    return min(times_s) * 1e3


def _memory_kb(build: typing.Callable[[], typing.Any]) -> float:
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return size_bytes / 1e3


# ---------------------------------------------------------------------------
#   Slopes
# ---------------------------------------------------------------------------


def _list_slopes() -> list[Slope]:
    texts_kb, decoded_kb, change_ms, neighbours_ms = [], [], [], []
    platform_bytes, relayed_bytes = [], []
    for size in LIST_SIZES:
        data = msgspec.json.encode(make_instance_list(size))
        platform_bytes.append((size, len(data)))
        texts_kb.append((size, _memory_kb(lambda data=data: _make_list_document(data))))
        entries = _encode_entries(data)
        member_table = table.MemberTable()
        member_table.replace(1, entries)
        decoded_kb.append(
            (size, _memory_kb(functools.partial(_decode_endpoints, member_table)))
        )
        changed_entries = entries | {
            next(iter(entries)): '["r","z","10.0.0.1",7081,"leaving"]'
        }
        change = functools.partial(
            _change_entry, member_table, entries, changed_entries
        )
        change_ms.append((size, _min_cpu_ms(change)))
        neighbours_ms.append(
            (size, _min_cpu_ms(lambda m=member_table: _find_neighbours(m)))
        )
        delta = _full_delta(entries)
        relayed_bytes.append(
            (size, len(codec.encode(messages.RelayMessage((), (delta,)))))
        )
    per = "endpoint"
    return [
        fit("list, held as texts", "kB", per, COMMAND, texts_kb),
        fit("list, held in detail", "kB", per, COMMAND, decoded_kb),
        fit("list, one entry changed", "ms of processor", per, COMMAND, change_ms),
        fit("list, places worked out", "ms of processor", per, COMMAND, neighbours_ms),
        fit("list, as the platform tells it", "bytes", per, COMMAND, platform_bytes),
        fit("list, sent whole", "bytes", per, COMMAND, relayed_bytes),
    ]


def _encode_entries(data: bytes) -> dict[str, str]:
    return table.encode_entries(msgspec.json.decode(data, type=table.InstanceList))


def _decode_endpoints(member_table: table.MemberTable) -> list[table.Endpoint]:
    return list(member_table.all_endpoints())


def _change_entry(member_table, entries, changed_entries) -> None:
    documents.make_document(2, changed_entries)
    member_table.replace(2, changed_entries)
    member_table.replace(1, entries)


def _make_list_document(data: bytes) -> documents.Document:
    return documents.make_document(1, _encode_entries(data))


def _find_neighbours(member_table: table.MemberTable) -> None:
    location = topology.Location("service-1-1", "region-1", "region-1-a")
    topology.neighbours(location, tuple(member_table.all_endpoints()))


def _full_delta(entries: dict[str, str]) -> messages.RevisionDelta:
    replica = documents.Replica("instances/region-0", lambda document: None)
    replica.offer(documents.make_document(1, entries))
    peer_version = messages.DocumentVersion("instances/region-0", -1, b"", b"")
    delta = replica.delta_for(peer_version)
    if delta is None:
        raise errors.WireError("the replica is empty; offer a document first")
    return delta


def _configuration_slopes() -> list[Slope]:
    accept_ms, memory_kb, total_bytes, change_bytes = [], [], [], []
    for size in SERVICE_SIZES:
        files = make_files(size)
        accept_ms.append((size, _min_cpu_ms(lambda f=files: acceptance.accept(f))))
        memory_kb.append((size, _memory_kb(lambda n=size: _load_configuration(n))))
        total_bytes.append((size, sum(len(text) for text in files.values())))
        change_bytes.append((size, _change_bytes(size)))
    per = "service"
    return [
        fit("configuration, accepted", "ms of processor", per, COMMAND, accept_ms),
        fit("configuration, held", "kB", per, COMMAND, memory_kb),
        fit("configuration, whole", "bytes", per, COMMAND, total_bytes),
        fit("configuration, one file changed", "bytes", per, COMMAND, change_bytes),
    ]


def _load_configuration(size: int) -> tuple:
    files = make_files(size)
    return documents.make_document(1, files), acceptance.accept(files)


def _change_bytes(size: int) -> int:
    replica = documents.Replica("configuration", lambda document: None)
    replica.offer(documents.make_document(1, make_files(size)))
    old_version = replica.advertised_version
    replica.offer(documents.make_document(2, make_files(size, queue_limit=65)))
    delta = replica.delta_for(old_version)
    versions = (old_version, replica.advertised_version)
    return len(codec.encode(messages.RelayMessage(versions, (delta,))))


def _relay_depth_slope() -> Slope:
    points = [(size, _relay_depth(size)) for size in ZONE_SIZES]
    return fit("relay, hops through a zone", "hops", "daemon", COMMAND, points)


def _relay_depth(size: int) -> int:
    endpoints = [
        table.Endpoint(f"e-{n}", "s", "r", "z", "h", 1, table.EndpointState.LIVE)
        for n in range(size)
    ]
    locations_by_id = {
        e.endpoint_id: topology.Location(e.endpoint_id, "r", "z") for e in endpoints
    }
    reached = {
        i
        for i, location in locations_by_id.items()
        if topology.is_reader(location, endpoints)
    }
    frontier, depth = set(reached), 0
    while frontier:
        frontier = {
            neighbour.endpoint_id
            for endpoint_id in frontier
            for neighbour in topology.neighbours(
                locations_by_id[endpoint_id], endpoints
            )
        } - reached
        reached |= frontier
        depth += bool(frontier)
    return depth


def _import_slopes() -> list[Slope]:
    code = "import sys\n" + _RSS_CODE
    for _, modules in IMPORT_STEPS:
        code += f"import {modules}\nprint(rss())\n"
    command = [sys.executable, "-c", code]
    output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    sizes_mb = [int(line) / 1024 for line in output.split()]
    return [
        fit(f"imports, {part}: {modules}", "MB resident", "", COMMAND, [(0, size_mb)])
        for (part, modules), size_mb in zip(IMPORT_STEPS, sizes_mb, strict=True)
    ]


_RSS_CODE = """
def rss():
    with open('/proc/self/status') as status:
        return next(l for l in status if l.startswith('VmRSS')).split()[1]
"""

_SPREAD_FIELDS = {
    "all_p50_ms": "ms",
    "all_max_ms": "ms",
    "one_p99_ms": "ms",
    "platform_calls_per_s": "calls/s",
    "idle_cpu_share": "of a core",
    "busy_cpu_share": "of a core",
    "idle_bytes_per_s": "bytes/s",
    "revision_bytes": "bytes",
    "store_bytes_per_s": "bytes/s",
    "rss_mb": "MB resident",
}


def _spread_slopes(path: pathlib.Path) -> list[Slope]:
    runs = [json.loads(line) for line in path.read_text().splitlines()]
    return [
        fit(
            f"spread, {field}",
            unit,
            "daemon",
            SPREAD_COMMAND,
            [(run["daemons"], run[field]) for run in runs],
        )
        for field, unit in _SPREAD_FIELDS.items()
    ]


def _cost_slopes(path: pathlib.Path) -> list[Slope]:
    runs = [json.loads(line) for line in path.read_text().splitlines()]
    router_points = [(run["rate"], run["router_cpu_s_per_s"]) for run in runs]
    gate_points = [(run["rate"] / 2, run["gate_cpu_s_per_s"]) for run in runs]
    per = "call/s"
    return [
        fit(
            "call, routed and half served here",
            "of a core",
            per,
            COST_COMMAND,
            router_points,
        ),
        fit("call, served for another", "of a core", per, COST_COMMAND, gate_points),
    ]


def main() -> None:
    """Measure and record every slope."""
    slopes = _list_slopes() + _configuration_slopes() + [_relay_depth_slope()]
    slopes += _import_slopes()
    slopes += _spread_slopes(pathlib.Path(sys.argv[1]))
    slopes += _cost_slopes(pathlib.Path(sys.argv[2]))
    RESULTS_PATH.parent.mkdir(exist_ok=True)
    text = msgspec.json.format(msgspec.json.encode(slopes), indent=1)
    RESULTS_PATH.write_bytes(text + b"\n")


if __name__ == "__main__":
    main()
