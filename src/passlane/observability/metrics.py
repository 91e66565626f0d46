"""Metrics of one process, in a registry of its own, in the format of Prometheus."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

CONTENT_TYPE = CONTENT_TYPE_LATEST
NAME_PREFIX = "passlane"
LATENCY_BUCKETS_S = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0)


class Metrics:
    """Makes and exposes metrics; asking twice for one name gives the same metric.

    Each process has its own instance, so that several simulated processes can live in
    one interpreter.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry(auto_describe=False)
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._histograms: dict[str, Histogram] = {}

    def counter(self, name: str, description: str, labels: tuple[str, ...] = ()) -> Counter:
        """Return the counter ``passlane_NAME``."""
        if name not in self._counters:
            self._counters[name] = Counter(
                name, description, labels, namespace=NAME_PREFIX, registry=self._registry
            )
        return self._counters[name]

    def gauge(self, name: str, description: str, labels: tuple[str, ...] = ()) -> Gauge:
        """Return the gauge ``passlane_NAME``."""
        if name not in self._gauges:
            self._gauges[name] = Gauge(
                name, description, labels, namespace=NAME_PREFIX, registry=self._registry
            )
        return self._gauges[name]

    def histogram(self, name: str, description: str, labels: tuple[str, ...] = ()) -> Histogram:
        """Return the histogram ``passlane_NAME`` of a time in seconds."""
        if name not in self._histograms:
            self._histograms[name] = Histogram(
                name,
                description,
                labels,
                namespace=NAME_PREFIX,
                registry=self._registry,
                buckets=LATENCY_BUCKETS_S,
            )
        return self._histograms[name]

    def expose(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self._registry)
