"""The metrics of a daemon, in the text format of Prometheus.

The data path counts in plain counters. A scrape copies them into a
:class:`MetricsSnapshot`, and the metrics are made from that.
"""

import collections.abc
import dataclasses
import typing

import aioprometheus
import aioprometheus.formats.text
import aioprometheus.histogram

from savoryhollow.observe import placements, process_stats, requests, runs
from savoryhollow.wire import messages

__all__ = ["CONTENT_TYPE", "MetricsSnapshot", "render"]

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "savoryhollow_"

Labels: typing.TypeAlias = dict[str, str]
Samples: typing.TypeAlias = collections.abc.Iterable[tuple[Labels, float]]


@dataclasses.dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """Every count of a daemon at one instant.

    :param load: the load of the backend server.
    :param evidence_ages_s: the age of the last report of each endpoint that
        has given one.
    :param link_bytes_by_region: bytes exchanged with daemons of each region.
    :param revision: the configuration revision in force; -1 before the first.
    """

    endpoint_id: str
    region: str
    requests: list[requests.RequestTotal]
    runs: list[runs.RunTotal]
    placements: list[placements.PlacementTotal]
    retries_by_service: dict[str, int]
    retries_left_by_service: dict[str, float]
    load: messages.LoadReport
    outcome_records: int
    evidence_ages_s: list[float]
    link_bytes_by_region: dict[str, int]
    revision: int
    list_revision: int
    known_endpoints: int
    platform_calls: int
    platform_bytes: int
    relay_bytes: int
    is_reader: bool
    suppressed_by_event: dict[str, int]
    process_stats: process_stats.ProcessStats
    lag_s: float
    highest_lag_s: float


def render(snapshot: MetricsSnapshot) -> bytes:
    """Return the metrics of a snapshot.

    :param snapshot: the counts.
    :returns: the body of the answer to a scrape.
    """
    page = _Page()
    _add_requests(page, snapshot)
    _add_placements(page, snapshot)
    _add_gate(page, snapshot)
    _add_spending(page, snapshot)
    _add_process(page, snapshot)
    return page.text()


class _Page:
    """The collectors of one scrape."""

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()

    def counter(self, name: str, doc: str, samples: Samples) -> None:
        """Add a counter with its values."""
        self._fill(
            aioprometheus.Counter(PREFIX + name, doc, registry=self._registry), samples
        )

    def gauge(self, name: str, doc: str, samples: Samples) -> None:
        """Add a gauge with its values."""
        self._fill(
            aioprometheus.Gauge(PREFIX + name, doc, registry=self._registry), samples
        )

    def response_times(
        self, name: str, doc: str, totals: list[requests.RequestTotal]
    ) -> None:
        """Add a histogram of served requests."""
        histogram = aioprometheus.Histogram(
            PREFIX + name, doc, registry=self._registry, buckets=requests.BUCKETS_S
        )
        for total in totals:
            histogram.set_value(_pair(total), _histogram(total))

    def text(self) -> bytes:
        """Return the whole page."""
        return aioprometheus.formats.text.TextFormatter().marshall(self._registry)

    def _fill(self, collector, samples: Samples) -> None:
        for labels, value in samples:
            collector.set(labels, value)


# ---------------------------------------------------------------------------
#   Groups of metrics
# ---------------------------------------------------------------------------


def _add_requests(page: _Page, snapshot: MetricsSnapshot) -> None:
    totals = snapshot.requests
    page.response_times(
        "request_duration_seconds", "Response time of served requests.", totals
    )
    page.counter(
        "requests_total",
        "Requests of callers, by outcome.",
        (
            (_pair(total) | {"outcome": outcome}, count)
            for total in totals
            for outcome, count in total.outcomes.items()
        ),
    )
    page.counter(
        "refusals_total",
        "Requests that were not run, by reason.",
        (
            (_pair(total) | {"reason": reason}, count)
            for total in totals
            for reason, count in total.refusals.items()
        ),
    )


def _add_placements(page: _Page, snapshot: MetricsSnapshot) -> None:
    attempts: dict[tuple[str, str, str, str], int] = {}
    for total in snapshot.placements:
        key = (total.service, total.rank, total.region, total.outcome)
        attempts[key] = attempts.get(key, 0) + total.attempts
    names = ("service", "rank", "region", "outcome")
    page.counter(
        "attempts_total",
        "Attempts to place a request, by region and outcome.",
        ((_labels(names, key), count) for key, count in attempts.items()),
    )
    ages = snapshot.evidence_ages_s
    page.gauge(
        "evidence_endpoints",
        "Endpoints with a load report.",
        [({}, len(ages))],
    )
    if ages:
        page.gauge(
            "evidence_age_seconds",
            "Age of the load reports held.",
            [({"of": "newest"}, min(ages)), ({"of": "oldest"}, max(ages))],
        )


def _add_gate(page: _Page, snapshot: MetricsSnapshot) -> None:
    load = snapshot.load
    page.gauge("slots", "Slots of the backend server.", [({}, load.slots)])
    page.gauge("slots_busy", "Slots in use.", [({}, load.busy)])
    page.gauge("queue_length", "Requests waiting at the gate.", [({}, load.queued)])
    page.gauge("leaving", "1 while the daemon drains.", [({}, int(load.leaving))])
    page.gauge(
        "outcome_records",
        "Request ids whose outcome is remembered.",
        [({}, snapshot.outcome_records)],
    )
    names = ("service", "rank", "outcome")
    keyed = [(_labels(names, (r.service, r.rank, r.outcome)), r) for r in snapshot.runs]
    page.counter(
        "runs_total",
        "Requests sent to the backend server.",
        ((labels, run.runs) for labels, run in keyed),
    )
    page.counter(
        "gate_wait_seconds_total",
        "Time that requests waited for a slot.",
        ((labels, run.waited_s) for labels, run in keyed),
    )
    page.counter(
        "run_seconds_total",
        "Time that requests held a slot.",
        ((labels, run.ran_s) for labels, run in keyed),
    )


def _add_spending(page: _Page, snapshot: MetricsSnapshot) -> None:
    page.counter(
        "retries_total",
        "Attempts after the first of a request; the retry budget spent.",
        _by("service", snapshot.retries_by_service),
    )
    page.gauge(
        "retry_budget_left",
        "Retries that may be made now.",
        _by("service", snapshot.retries_left_by_service),
    )
    page.counter(
        "peer_bytes_total",
        "Bytes exchanged with daemons, by their region.",
        (
            (labels | {"crosses_link": _flag(labels["region"] != snapshot.region)}, n)
            for labels, n in _by("region", snapshot.link_bytes_by_region)
        ),
    )
    page.counter(
        "platform_calls_total",
        "Calls to the platform, a watch counted as one.",
        [({}, snapshot.platform_calls)],
    )
    page.counter(
        "platform_bytes_total",
        "Bytes read from the platform.",
        [({}, snapshot.platform_bytes)],
    )
    page.counter(
        "relay_bytes_total",
        "Bytes exchanged with neighbours to pass on what the platform publishes.",
        [({}, snapshot.relay_bytes)],
    )


def _add_process(page: _Page, snapshot: MetricsSnapshot) -> None:
    page.gauge(
        "configuration_revision",
        "The configuration revision in force.",
        [({}, snapshot.revision)],
    )
    page.gauge(
        "instance_list_revision",
        "The revision of the list of instances in use.",
        [({}, snapshot.list_revision)],
    )
    page.gauge(
        "known_endpoints",
        "Endpoints in that list.",
        [({}, snapshot.known_endpoints)],
    )
    page.gauge(
        "store_reader",
        "1 where the daemon reads the store for its zone.",
        [({}, int(snapshot.is_reader))],
    )
    page.counter(
        "events_suppressed_total",
        "Repeated events that were counted and not logged.",
        _by("event", snapshot.suppressed_by_event),
    )
    page.gauge(
        "thread_lag_seconds",
        "How late a sleeping thread woke.",
        [
            ({"of": "last"}, snapshot.lag_s),
            ({"of": "highest_since_scrape"}, snapshot.highest_lag_s),
        ],
    )
    used = snapshot.process_stats
    page.counter("cpu_seconds_total", "Processor time used.", [({}, used.cpu_s)])
    page.gauge("resident_memory_bytes", "Memory held.", [({}, used.resident_bytes)])
    page.gauge("threads", "Threads that run.", [({}, used.threads)])


# ---------------------------------------------------------------------------
#   Labels and values
# ---------------------------------------------------------------------------


def _labels(names: tuple[str, ...], values: tuple[str, ...]) -> Labels:
    return {name: _escaped(value) for name, value in zip(names, values, strict=True)}


def _pair(total: requests.RequestTotal) -> Labels:
    return _labels(("service", "rank"), (total.service, total.rank))


def _by(name: str, values: collections.abc.Mapping[str, float]) -> Samples:
    return [({name: _escaped(key)}, value) for key, value in sorted(values.items())]


def _escaped(value: str) -> str:
    # The formatter writes label values as they are.
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def _flag(value: bool) -> str:
    return "true" if value else "false"


def _histogram(total: requests.RequestTotal) -> aioprometheus.histogram.Histogram:
    histogram = aioprometheus.histogram.Histogram(*requests.BUCKETS_S)
    below = 0
    for bound, count in zip(histogram.buckets, total.served_by_bucket, strict=True):
        below += count
        histogram.buckets[bound] = below
    histogram.observations = below
    histogram.sum = total.served_s
    return histogram
