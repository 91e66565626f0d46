"""Credit of streams: how many items a server may send before the client took some."""

import anyio

STREAM_WINDOW = 64
"""Items of one stream that may be on their way or waiting at the client."""
CREDIT_BATCH = STREAM_WINDOW // 2
"""The client grants new credit after it took this many items."""


class CreditGate:
    """Counts the credit of one stream at the server."""

    def __init__(self) -> None:
        self._credit = STREAM_WINDOW
        self._granted = anyio.Event()

    def grant(self, items: int) -> None:
        """Allow that many further items."""
        self._credit += items
        self._granted.set()

    async def take(self) -> None:
        """Wait for credit and use up one item of it."""
        while self._credit <= 0:
            self._granted = anyio.Event()
            await self._granted.wait()
        self._credit -= 1
