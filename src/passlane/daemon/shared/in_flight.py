"""Counts the HTTP requests in flight, so that a planned stop can wait for their last byte.

For: the servers for callers of both kinds of nodes.
Owns: the count.
Relies on: the ASGI application that does the work.
"""

from typing import Any

import anyio

from passlane.runtime.interfaces import AsgiApplication


class InFlightRequests:
    """An ASGI application around another one that knows how many requests it serves.

    A call's work is over before the last part of its answer is written; who stops the
    process must wait for the writing too.
    """

    def __init__(self, inner: AsgiApplication) -> None:
        self._inner = inner
        self._count = 0
        self._is_idle = anyio.Event()
        self._is_idle.set()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
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
