"""The readiness probe, by which the platform decides whether to route clients to a node."""

from collections.abc import Callable

from passlane.api.asgi import Receive, Scope, Send
from passlane.platform import names

OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503


class ReadinessApplication:
    """ASGI application for the readiness address."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one probe."""
        status = NOT_FOUND
        if scope["path"] == names.READINESS_PATH:
            status = OK if self._is_ready() else UNAVAILABLE
        headers = [(b"content-length", b"0")]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": b""})
