"""Counts the HTTP requests in flight, so that a planned stop can wait until all are answered.

For: the HTTP servers for callers, in nodes of a fleet and of ``passlaned``.
Owns: the count.
Relies on: the wrapped ASGI application.
"""

from typing import Any

import anyio

from passlane.runtime.interfaces import AsgiApplication


class InFlightRequests:
    """ASGI middleware that counts the requests in flight.

    A call is complete before the last part of its answer is written, so a planned stop has to
    wait for the HTTP request as well.
    """

    def __init__(self, inner: AsgiApplication) -> None:
        self._inner = inner
        self._count = 0
        self._is_idle = anyio.Event()
        self._is_idle.set()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request through the wrapped application."""
        if self._count == 0:
            self._is_idle = anyio.Event()
        self._count += 1
        try:
            await self._inner(scope, receive, send)
        finally:
            self._count -= 1
            if self._count == 0:
                self._is_idle.set()

    async def wait_until_idle(self) -> None:
        """Return once no request is in flight."""
        while self._count > 0:
            await self._is_idle.wait()
