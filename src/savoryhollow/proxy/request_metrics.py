"""Counters, gauges and latency histograms of the event-loop daemon."""

import collections

import aioprometheus
import aioprometheus.collectors
import aioprometheus.formats.text

__all__ = ["RequestMetrics"]

# Upper bounds of the latency histogram's buckets, in s.
LATENCY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 1.6, 2.5, 5.0]
# Maximum number of route labels; further routes share OTHER_ROUTES.
MAX_ROUTES = 200
OTHER_ROUTES = "other"


class RequestMetrics:
    """Metrics of the requests handled by this daemon, labelled by route."""

    def __init__(self) -> None:
        self._registry = aioprometheus.collectors.Registry()
        self._answers = self._counter("answers_total", "Requests answered.")
        self._refusals = self._counter("refusals_total", "Requests refused, not run.")
        self._abandoned = self._counter(
            "abandoned_total", "Requests whose caller left first."
        )
        self._lost = self._counter(
            "lost_total", "Requests that were read and got no response."
        )
        # How requests ended, in words for the log.
        self.endings: collections.Counter[str] = collections.Counter()
        self._latency = aioprometheus.Histogram(
            "savoryhollow_answer_seconds",
            "Time from a request to its answer.",
            registry=self._registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._gauges: dict[str, aioprometheus.Gauge] = {}
        self._known_routes: set[str] = set()

    def record_response(self, route: str, status: int, took_s: float) -> None:
        """Count a response and record its latency."""
        self.endings[f"answered-{status}"] += 1
        name = self._route_label(route)
        self._answers.inc({"route": name, "status": str(status)})
        self._latency.observe({"route": name}, took_s)

    def record_refusal(self, route: str, reason: str) -> None:
        """Count a refused request."""
        self.endings[f"refused-{reason}"] += 1
        self._refusals.inc({"route": self._route_label(route), "reason": reason})

    def record_abandonment(self, route: str) -> None:
        """Count a request whose caller disconnected before the response."""
        self.endings["abandoned"] += 1
        self._abandoned.inc({"route": self._route_label(route)})

    def record_loss(self, stage: str, reason: str) -> None:
        """Count a request that was read and got no response."""
        self.endings[f"{stage}-{reason}"] += 1
        self._lost.inc({"stage": stage, "reason": reason})

    def set_gauge(self, name: str, text: str, value: float) -> None:
        """Set a gauge, creating it on first use."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = aioprometheus.Gauge(
                f"savoryhollow_{name}", text, registry=self._registry
            )
            self._gauges[name] = gauge
        gauge.set({}, value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return aioprometheus.formats.text.TextFormatter().marshall(self._registry)

    def _counter(self, name: str, text: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(
            f"savoryhollow_{name}", text, registry=self._registry
        )

    def _route_label(self, route: str) -> str:
        if route not in self._known_routes and len(self._known_routes) >= MAX_ROUTES:
            return OTHER_ROUTES
        self._known_routes.add(route)
        return route
