"""Prometheus metrics of one process, in a registry of its own.

``prometheus_client`` is imported with the first metric. Replicas define their metrics at
the first scrape, so they start without the import.
"""

from collections.abc import Callable
from functools import cached_property
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

NAME_PREFIX = "passlane"
LATENCY_BUCKETS_S = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0)


class Metrics:
    """Creates and exposes metrics; the same name always returns the same metric.

    Each process has its own instance, so that several simulated processes can run in
    one interpreter.
    """

    def __init__(self) -> None:
        self._deferred: list[Callable[[Metrics], None]] = []
        self._before_exposure: list[Callable[[], None]] = []
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._histograms: dict[str, Histogram] = {}

    @cached_property
    def _registry(self) -> "CollectorRegistry":
        from prometheus_client import CollectorRegistry

        return CollectorRegistry(auto_describe=False)

    def define_when_exposed(self, define: "Callable[[Metrics], None]") -> None:
        """Defer ``define``, which creates metrics, until metrics are first exposed."""
        self._deferred.append(define)

    def call_before_exposure(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` before each exposure, to update metrics."""
        self._before_exposure.append(callback)

    def counter(self, name: str, description: str, labels: tuple[str, ...] = ()) -> "Counter":
        """Return the counter ``passlane_NAME``, creating it on first use."""
        from prometheus_client import Counter

        if name not in self._counters:
            self._counters[name] = Counter(
                name, description, labels, namespace=NAME_PREFIX, registry=self._registry
            )
        return self._counters[name]

    def gauge(self, name: str, description: str, labels: tuple[str, ...] = ()) -> "Gauge":
        """Return the gauge ``passlane_NAME``, creating it on first use."""
        from prometheus_client import Gauge

        if name not in self._gauges:
            self._gauges[name] = Gauge(
                name, description, labels, namespace=NAME_PREFIX, registry=self._registry
            )
        return self._gauges[name]

    def histogram(self, name: str, description: str, labels: tuple[str, ...] = ()) -> "Histogram":
        """Return the histogram ``passlane_NAME`` of seconds, creating it on first use."""
        from prometheus_client import Histogram

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
        """Return all metrics in the Prometheus text format."""
        from prometheus_client.exposition import generate_latest

        while self._deferred:
            self._deferred.pop(0)(self)
        for callback in self._before_exposure:
            callback()
        return generate_latest(self._registry)

    @staticmethod
    def content_type() -> str:
        """Return the media type of the output of ``expose``."""
        from prometheus_client.exposition import CONTENT_TYPE_LATEST

        return CONTENT_TYPE_LATEST
