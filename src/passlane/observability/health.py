"""HTTP endpoints for machines that watch the process: metrics, health and readiness."""

from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from passlane.observability.metrics import Metrics

ReadinessCheck = Callable[[], bool]

METRICS_PATH = "/metrics"
HEALTH_PATH = "/healthz"
READINESS_PATH = "/readyz"
OK_STATUS = 200
UNAVAILABLE_STATUS = 503
_JSON = "application/json"


class Readiness(msgspec.Struct, frozen=True):
    """Body of ``/readyz``: whether the process takes work, and each part of it."""

    ready: bool
    parts: dict[str, bool]


class HealthApplication:
    """Answers ``/metrics``, ``/healthz`` and ``/readyz`` and passes on all other paths.

    Parameters
    ----------
    metrics
        What ``/metrics`` shows.
    checks
        Parts of the process by name; all must be true for the process to be ready.
    inner
        ASGI application for all other paths.
    """

    def __init__(self, metrics: Metrics, checks: Mapping[str, ReadinessCheck], inner: Any) -> None:
        self._metrics = metrics
        self._checks = checks
        self._inner = inner

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request."""
        path = scope.get("path") if scope["type"] == "http" else None
        if path == METRICS_PATH:
            await _answer(send, OK_STATUS, self._metrics.content_type(), self._metrics.expose())
        elif path == HEALTH_PATH:
            await _answer(send, OK_STATUS, _JSON, b'{"healthy":true}')
        elif path == READINESS_PATH:
            readiness = self.readiness()
            status = OK_STATUS if readiness.ready else UNAVAILABLE_STATUS
            await _answer(send, status, _JSON, msgspec.json.encode(readiness))
        else:
            await self._inner(scope, receive, send)

    def readiness(self) -> Readiness:
        """Return whether each part is ready."""
        parts = {name: check() for name, check in self._checks.items()}
        return Readiness(ready=all(parts.values()), parts=parts)


class MetricsApplication:
    """Answers every path with the metrics; for an address that serves nothing else."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request."""
        await _answer(send, OK_STATUS, self._metrics.content_type(), self._metrics.expose())


async def _answer(send: Any, status: int, content_type: str, body: bytes) -> None:
    headers = [
        (b"content-type", content_type.encode("latin-1")),
        (b"content-length", str(len(body)).encode("ascii")),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
