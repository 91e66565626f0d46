"""HTTP endpoints for monitoring systems and load balancers: metrics, health and readiness."""

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
    """Body of ``/readyz``: whether the process accepts work, and the state of each part."""

    ready: bool
    parts: dict[str, bool]


class HealthApplication:
    """Serves ``/metrics``, ``/healthz`` and ``/readyz`` and forwards all other paths.

    Parameters
    ----------
    metrics
        Metrics exposed at ``/metrics``.
    checks
        Readiness checks by part of the process; all must pass for it to be ready.
    inner
        ASGI application for all other paths.
    """

    def __init__(self, metrics: Metrics, checks: Mapping[str, ReadinessCheck], inner: Any) -> None:
        self._metrics = metrics
        self._checks = checks
        self._inner = inner

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one ASGI request."""
        path = scope.get("path") if scope["type"] == "http" else None
        if path == METRICS_PATH:
            await _send_response(
                send, OK_STATUS, self._metrics.content_type(), self._metrics.expose()
            )
        elif path == HEALTH_PATH:
            await _send_response(send, OK_STATUS, _JSON, b'{"healthy":true}')
        elif path == READINESS_PATH:
            readiness = self.readiness()
            status = OK_STATUS if readiness.ready else UNAVAILABLE_STATUS
            await _send_response(send, status, _JSON, msgspec.json.encode(readiness))
        else:
            await self._inner(scope, receive, send)

    def readiness(self) -> Readiness:
        """Run the checks and return the result of each."""
        parts = {name: check() for name, check in self._checks.items()}
        return Readiness(ready=all(parts.values()), parts=parts)


class MetricsApplication:
    """Serves the metrics on every path, for an address used only by monitoring."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one ASGI request."""
        await _send_response(send, OK_STATUS, self._metrics.content_type(), self._metrics.expose())


async def _send_response(send: Any, status: int, content_type: str, body: bytes) -> None:
    headers = [
        (b"content-type", content_type.encode("latin-1")),
        (b"content-length", str(len(body)).encode("ascii")),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
