"""Counts relayed requests without holding up the start of a node.

The metrics library takes an eighth of a node's start to import. Until the metrics are first
asked for, or enough has been noted, what is to be counted waits in a list, which this module owns.
"""

import msgspec

from passlane.observability.metrics import Metrics

SUCCESSES = range(200, 300)
MOST_WAITING = 1_000
"""Ended requests that wait to be counted: some 100 KB, and seconds of a busy node. Not
measured; chosen."""


class _EndedRequest(msgspec.Struct, frozen=True):
    """Kind of route, status, seconds and wait for room of a request that has ended."""

    kind: str
    status: int
    elapsed_s: float
    room_wait_s: float


class RequestMetrics:
    """Counter and histogram of relayed requests."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._waiting: list[_EndedRequest] = []
        metrics.call_before_exposure(self._count_waiting)

    def note_end(self, kind: str, status: int, elapsed_s: float, room_wait_s: float = 0.0) -> None:
        """Count a request that has ended, now or later."""
        self._waiting.append(_EndedRequest(kind, status, elapsed_s, room_wait_s))
        if len(self._waiting) >= MOST_WAITING:
            self._count_waiting()

    def _count_waiting(self) -> None:
        requests = self._metrics.counter(
            "relayed_requests", "Relayed requests by kind of route and status", ("kind", "status")
        )
        latency = self._metrics.histogram(
            "relayed_request_seconds", "Time to the end of relayed requests", ("kind",)
        )
        room_wait = self._metrics.histogram(
            "relayed_request_room_wait_seconds",
            "Waits for room at back ends by kind of route and how they ended",
            ("kind", "outcome"),
        )
        for ended in self._waiting:
            requests.labels(ended.kind, str(ended.status)).inc()
            latency.labels(ended.kind).observe(ended.elapsed_s)
            if ended.room_wait_s > 0:
                outcome = "served" if ended.status in SUCCESSES else "unserved"
                room_wait.labels(ended.kind, outcome).observe(ended.room_wait_s)
        self._waiting.clear()
