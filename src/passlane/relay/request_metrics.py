"""Counts relayed requests without importing the metrics library during a node's start.

Owns a list of ended requests that are not counted yet. They are counted when the metrics are
exposed, or when the list has reached its maximum size.
"""

import msgspec

from passlane.observability.metrics import Metrics

SUCCESS_STATUSES = range(200, 300)
MAX_UNCOUNTED = 1_000
"""Maximum number of ended requests that are buffered before they are counted."""


class _EndedRequest(msgspec.Struct, frozen=True):
    """Route kind, status, duration and capacity wait of a request that has ended."""

    kind: str
    status: int
    elapsed_s: float
    room_wait_s: float


class RequestMetrics:
    """Counter and histogram of relayed requests."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._uncounted: list[_EndedRequest] = []
        metrics.call_before_exposure(self._count_ended)

    def record_end(
        self, kind: str, status: int, elapsed_s: float, room_wait_s: float = 0.0
    ) -> None:
        """Record a request that has ended; it is counted now or later.

        Parameters
        ----------
        kind
            Kind of its route.
        status
            Status of the answer; 0 without one.
        elapsed_s
            Seconds from its arrival to its end.
        room_wait_s
            Seconds that it waited for backend capacity; 0 without such a wait.
        """
        self._uncounted.append(_EndedRequest(kind, status, elapsed_s, room_wait_s))
        if len(self._uncounted) >= MAX_UNCOUNTED:
            self._count_ended()

    def _count_ended(self) -> None:
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
        for ended in self._uncounted:
            requests.labels(ended.kind, str(ended.status)).inc()
            latency.labels(ended.kind).observe(ended.elapsed_s)
            if ended.room_wait_s > 0:
                outcome = "served" if ended.status in SUCCESS_STATUSES else "unserved"
                room_wait.labels(ended.kind, outcome).observe(ended.room_wait_s)
        self._uncounted.clear()
