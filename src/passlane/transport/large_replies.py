"""Bounds the replies of a process that are too large to be queued without limit.

A handler returns such a reply before it is built. The connection builds it once there is room, and
gives the room back when the reply was written. Replies wait in the order in which they were ready.
"""

from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import msgspec

from passlane.messages.base import Message
from passlane.observability.logging import get_logger
from passlane.observability.metrics import Metrics

DEFAULT_UNSENT_BYTES = 34_000_000
"""Two replies of the largest size."""
LONG_WAIT_S = 0.5
"""Waits for room from this length on are logged."""

_log = get_logger(__name__)


class LargeReply(msgspec.Struct, frozen=True):
    """A reply to be built when there is room for it.

    Attributes
    ----------
    size_bytes
        About its size.
    build
        Returns the reply.
    ended
        Called once when it was written, or will not be.
    """

    size_bytes: int
    build: Callable[[], Message]
    ended: Callable[[], None]


def built_at_once(
    handler: Callable[[Any], Awaitable[Message | LargeReply]],
) -> Callable[[Any], Awaitable[Message]]:
    """Return a handler for callers in this process, which need no room for a reply."""

    async def handle(request: Message) -> Message:
        reply = await handler(request)
        if not isinstance(reply, LargeReply):
            return reply
        try:
            return reply.build()
        finally:
            reply.ended()

    return handle


class _Waiting(msgspec.Struct, eq=False):
    size_bytes: int
    granted: anyio.Event


class LargeReplies:
    """The large replies of a process that are built and not written yet.

    Parameters
    ----------
    max_unsent_bytes
        Bound of their sizes together. One that is alone has room whatever its size.
    """

    def __init__(self, max_unsent_bytes: int = DEFAULT_UNSENT_BYTES) -> None:
        self._max_unsent_bytes = max_unsent_bytes
        self._waiting: deque[_Waiting] = deque()
        self.unsent_bytes = 0

    @property
    def waiting(self) -> int:
        """Number of replies that wait for room."""
        return len(self._waiting)

    @asynccontextmanager
    async def room(self, size_bytes: int) -> AsyncIterator[None]:
        """Wait for room for one reply and hold it."""
        began_at = anyio.current_time()
        await self._take(size_bytes)
        waited_s = anyio.current_time() - began_at
        if waited_s >= LONG_WAIT_S:
            _log.info(
                "large_reply_waited",
                size_bytes=size_bytes,
                waited_s=round(waited_s, 3),
                waiting=self.waiting,
                unsent_bytes=self.unsent_bytes,
            )
        try:
            yield
        finally:
            self.unsent_bytes -= size_bytes
            self._grant()

    async def _take(self, size_bytes: int) -> None:
        waiting = _Waiting(size_bytes, anyio.Event())
        self._waiting.append(waiting)
        self._grant()
        try:
            await waiting.granted.wait()
        except BaseException:
            if waiting.granted.is_set():
                self.unsent_bytes -= size_bytes
            else:
                self._waiting.remove(waiting)
            self._grant()
            raise

    def _grant(self) -> None:
        """Give room to those that wait and fit, in their order."""
        while self._waiting and self._has_room(self._waiting[0].size_bytes):
            first = self._waiting.popleft()
            self.unsent_bytes += first.size_bytes
            first.granted.set()

    def _has_room(self, size_bytes: int) -> bool:
        return not self.unsent_bytes or self.unsent_bytes + size_bytes <= self._max_unsent_bytes

    def expose(self, metrics: Metrics) -> None:
        """Keep the metrics of large replies up to date."""
        metrics.call_before_exposure(lambda: self._expose(metrics))

    def _expose(self, metrics: Metrics) -> None:
        unsent = metrics.gauge("large_replies_unsent_bytes", "large replies not written yet")
        unsent.set(self.unsent_bytes)
        bound = metrics.gauge(
            "large_replies_unsent_bytes_bound", "bound of passlane_large_replies_unsent_bytes"
        )
        bound.set(self._max_unsent_bytes)
        waiting = metrics.gauge("large_replies_waiting", "large replies that wait for room")
        waiting.set(self.waiting)
