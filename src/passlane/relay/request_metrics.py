"""Counts relayed requests without holding up the start of a node.

The metrics library takes an eighth of a node's start to import. Until the metrics are first
asked for, or enough has been noted, what is to be counted waits in a list.
"""

import msgspec

from passlane.observability.metrics import Metrics

MOST_WAITING = 1_000
"""Ended requests that wait to be counted: some 100 KB, and seconds of a busy node."""


class _EndedRequest(msgspec.Struct, frozen=True):
    """Kind of route, status and seconds of a request that has ended."""

    kind: str
    status: int
    elapsed_s: float


class RequestMetrics:
    """Counter and histogram of relayed requests."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._waiting: list[_EndedRequest] = []
        metrics.call_before_exposure(self._count_waiting)

    def note_end(self, kind: str, status: int, elapsed_s: float) -> None:
        """Count a request that has ended, now or later."""
        self._waiting.append(_EndedRequest(kind, status, elapsed_s))
        if len(self._waiting) >= MOST_WAITING:
            self._count_waiting()

    def _count_waiting(self) -> None:
        requests = self._metrics.counter(
            "relayed_requests", "Relayed requests by kind of route and status", ("kind", "status")
        )
        latency = self._metrics.histogram(
            "relayed_request_seconds", "Time to the end of relayed requests", ("kind",)
        )
        for ended in self._waiting:
            requests.labels(ended.kind, str(ended.status)).inc()
            latency.labels(ended.kind).observe(ended.elapsed_s)
        self._waiting.clear()
