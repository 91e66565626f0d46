"""Credit-based flow control of streams.

A server may send as many items of a stream as it has credit for; the client grants more
credit as it consumes items.
"""

import anyio

STREAM_WINDOW = 64
"""Maximum items of one stream that are sent but not yet consumed by the client."""
CREDIT_BATCH = STREAM_WINDOW // 2
"""The client grants new credit each time it has consumed this many items."""


class CreditGate:
    """Tracks the credit of one stream at the server."""

    def __init__(self) -> None:
        self._credit = STREAM_WINDOW
        self._granted = anyio.Event()

    def grant(self, items: int) -> None:
        """Add credit for this many items."""
        self._credit += items
        self._granted.set()

    async def take(self) -> None:
        """Wait for credit and use it for one item."""
        while self._credit <= 0:
            self._granted = anyio.Event()
            await self._granted.wait()
        self._credit -= 1
