"""Render the metrics of a daemon in the Prometheus text format.

The data path updates plain counters. A scrape copies them into a
:class:`MetricsSnapshot`, from which the metrics are rendered.
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
    """The values of a daemon at one point in time.

    :param load: the load of the backend server.
    :param evidence_ages_s: the age of the last load report of each endpoint that
        has sent one, in s.
    :param link_bytes_by_region: bytes exchanged with the daemons of each region.
    :param revision: the applied configuration revision; -1 if there is none.
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
    """Return the metrics of a snapshot in the Prometheus text format.

    :param snapshot: the values.
    :returns: the body of the response to a scrape.
    """
    page = _MetricsPage()
    _add_requests(page, snapshot)
    _add_placements(page, snapshot)
    _add_gate(page, snapshot)
    _add_traffic(page, snapshot)
    _add_process(page, snapshot)
    return page.render()


class _MetricsPage:
    """The collectors for one scrape."""

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()

    def add_counter(self, name: str, help_text: str, samples: Samples) -> None:
        """Add a counter with its values."""
        self._set_samples(
            aioprometheus.Counter(PREFIX + name, help_text, registry=self._registry),
            samples,
        )

    def add_gauge(self, name: str, help_text: str, samples: Samples) -> None:
        """Add a gauge with its values."""
        self._set_samples(
            aioprometheus.Gauge(PREFIX + name, help_text, registry=self._registry),
            samples,
        )

    def add_response_times(
        self, name: str, help_text: str, totals: list[requests.RequestTotal]
    ) -> None:
        """Add a histogram of the response times of served requests."""
        histogram = aioprometheus.Histogram(
            PREFIX + name,
            help_text,
            registry=self._registry,
            buckets=requests.BUCKETS_S,
        )
        for total in totals:
            histogram.set_value(_rank_labels(total), _make_histogram(total))

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return aioprometheus.formats.text.TextFormatter().marshall(self._registry)

    def _set_samples(self, collector, samples: Samples) -> None:
        for labels, value in samples:
            collector.set(labels, value)


# ---------------------------------------------------------------------------
#   Groups of metrics
# ---------------------------------------------------------------------------


def _add_requests(page: _MetricsPage, snapshot: MetricsSnapshot) -> None:
    totals = snapshot.requests
    page.add_response_times(
        "request_duration_seconds", "Response time of served requests.", totals
    )
    page.add_counter(
        "requests_total",
        "Requests of callers, by outcome.",
        (
            (_rank_labels(total) | {"outcome": outcome}, count)
            for total in totals
            for outcome, count in total.outcomes.items()
        ),
    )
    page.add_counter(
        "refusals_total",
        "Requests that were not run, by reason.",
        (
            (_rank_labels(total) | {"reason": reason}, count)
            for total in totals
            for reason, count in total.refusals.items()
        ),
    )


def _add_placements(page: _MetricsPage, snapshot: MetricsSnapshot) -> None:
    attempts: dict[tuple[str, str, str, str], int] = {}
    for total in snapshot.placements:
        key = (total.service, total.rank, total.region, total.outcome)
        attempts[key] = attempts.get(key, 0) + total.attempts
    names = ("service", "rank", "region", "outcome")
    page.add_counter(
        "attempts_total",
        "Attempts to place a request, by region and outcome.",
        ((_labels(names, key), count) for key, count in attempts.items()),
    )
    ages = snapshot.evidence_ages_s
    page.add_gauge(
        "evidence_endpoints",
        "Endpoints with a load report.",
        [({}, len(ages))],
    )
    if ages:
        page.add_gauge(
            "evidence_age_seconds",
            "Age of the load reports held.",
            [({"of": "newest"}, min(ages)), ({"of": "oldest"}, max(ages))],
        )


def _add_gate(page: _MetricsPage, snapshot: MetricsSnapshot) -> None:
    load = snapshot.load
    page.add_gauge("slots", "Slots of the backend server.", [({}, load.slots)])
    page.add_gauge("slots_busy", "Slots in use.", [({}, load.busy)])
    page.add_gauge("queue_length", "Requests waiting at the gate.", [({}, load.queued)])
    page.add_gauge("leaving", "1 while the daemon drains.", [({}, int(load.leaving))])
    page.add_gauge(
        "outcome_records",
        "Request ids whose outcome is remembered.",
        [({}, snapshot.outcome_records)],
    )
    names = ("service", "rank", "outcome")
    labelled_runs = [
        (_labels(names, (r.service, r.rank, r.outcome)), r) for r in snapshot.runs
    ]
    page.add_counter(
        "runs_total",
        "Requests sent to the backend server.",
        ((labels, run.runs) for labels, run in labelled_runs),
    )
    page.add_counter(
        "gate_wait_seconds_total",
        "Time that requests waited for a slot.",
        ((labels, run.waited_s) for labels, run in labelled_runs),
    )
    page.add_counter(
        "run_seconds_total",
        "Time that requests held a slot.",
        ((labels, run.ran_s) for labels, run in labelled_runs),
    )


def _add_traffic(page: _MetricsPage, snapshot: MetricsSnapshot) -> None:
    page.add_counter(
        "retries_total",
        "Attempts after the first of a request; the retry budget spent.",
        _samples_by("service", snapshot.retries_by_service),
    )
    page.add_gauge(
        "retry_budget_left",
        "Retries that may be made now.",
        _samples_by("service", snapshot.retries_left_by_service),
    )
    page.add_counter(
        "peer_bytes_total",
        "Bytes exchanged with daemons, by their region.",
        (
            (
                labels
                | {"crosses_link": _format_bool(labels["region"] != snapshot.region)},
                n,
            )
            for labels, n in _samples_by("region", snapshot.link_bytes_by_region)
        ),
    )
    page.add_counter(
        "platform_calls_total",
        "Calls to the platform, a watch counted as one.",
        [({}, snapshot.platform_calls)],
    )
    page.add_counter(
        "platform_bytes_total",
        "Bytes read from the platform.",
        [({}, snapshot.platform_bytes)],
    )
    page.add_counter(
        "relay_bytes_total",
        "Bytes exchanged with neighbours to pass on what the platform publishes.",
        [({}, snapshot.relay_bytes)],
    )


def _add_process(page: _MetricsPage, snapshot: MetricsSnapshot) -> None:
    page.add_gauge(
        "configuration_revision",
        "The configuration revision in force.",
        [({}, snapshot.revision)],
    )
    page.add_gauge(
        "instance_list_revision",
        "The revision of the list of instances in use.",
        [({}, snapshot.list_revision)],
    )
    page.add_gauge(
        "known_endpoints",
        "Endpoints in that list.",
        [({}, snapshot.known_endpoints)],
    )
    page.add_gauge(
        "store_reader",
        "1 where the daemon reads the store for its zone.",
        [({}, int(snapshot.is_reader))],
    )
    page.add_counter(
        "events_suppressed_total",
        "Repeated events that were counted and not logged.",
        _samples_by("event", snapshot.suppressed_by_event),
    )
    page.add_gauge(
        "thread_lag_seconds",
        "How late a sleeping thread woke.",
        [
            ({"of": "last"}, snapshot.lag_s),
            ({"of": "highest_since_scrape"}, snapshot.highest_lag_s),
        ],
    )
    stats = snapshot.process_stats
    page.add_counter("cpu_seconds_total", "Processor time used.", [({}, stats.cpu_s)])
    page.add_gauge(
        "resident_memory_bytes", "Memory held.", [({}, stats.resident_bytes)]
    )
    page.add_gauge("threads", "Threads that run.", [({}, stats.threads)])


# ---------------------------------------------------------------------------
#   Labels and values
# ---------------------------------------------------------------------------


def _labels(names: tuple[str, ...], values: tuple[str, ...]) -> Labels:
    return {name: _escape(value) for name, value in zip(names, values, strict=True)}


def _rank_labels(total: requests.RequestTotal) -> Labels:
    return _labels(("service", "rank"), (total.service, total.rank))


def _samples_by(name: str, values: collections.abc.Mapping[str, float]) -> Samples:
    return [({name: _escape(key)}, value) for key, value in sorted(values.items())]


def _escape(value: str) -> str:
    # The formatter of aioprometheus does not escape label values.
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def _format_bool(value: bool) -> str:
    return "true" if value else "false"


def _make_histogram(total: requests.RequestTotal) -> aioprometheus.histogram.Histogram:
    histogram = aioprometheus.histogram.Histogram(*requests.BUCKETS_S)
    cumulative = 0
    for bound, count in zip(histogram.buckets, total.served_by_bucket, strict=True):
        cumulative += count
        histogram.buckets[bound] = cumulative
    histogram.observations = cumulative
    histogram.sum = total.served_s
    return histogram
