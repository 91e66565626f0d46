"""Subscription of one caller to the events of one call.

Buffers the events until the caller reads them, and skips text that the caller already has.
"""

from collections import deque
from collections.abc import AsyncIterator

import anyio

from passlane.errors import PasslaneError
from passlane.messages.node import CallAnswered, CallEvent, CallRefused, TextChunk


class Subscription:
    """Buffered events of a call for one reader.

    Consecutive text chunks that are waiting are returned as one chunk. The buffer contains at
    most one answer, whose size is bounded by the call's ``max_tokens``.

    Parameters
    ----------
    resume_from
        Number of tokens that the caller already has.
    """

    def __init__(self, resume_from: int = 0) -> None:
        self._next_position = resume_from
        self._events: deque[CallEvent | PasslaneError] = deque()
        self._filled = anyio.Event()
        self.is_open = True

    def push(self, event: CallEvent) -> None:
        """Add an event; chunks of tokens that the caller already has are dropped."""
        if not self.is_open:
            return
        if isinstance(event, TextChunk):
            if event.position < self._next_position:
                return
            self._next_position = event.position + event.tokens
        self._append(event)
        if isinstance(event, CallAnswered | CallRefused):
            self.close()

    def fail(self, error: PasslaneError) -> None:
        """End the events with an exception, which a forwarding node handles."""
        if self.is_open:
            self._append(error)
            self.close()

    def _append(self, event: CallEvent | PasslaneError) -> None:
        self._events.append(event)
        self._filled.set()

    def close(self) -> None:
        """End the events after those already pushed."""
        self.is_open = False
        self._filled.set()

    def release(self) -> None:
        """Close the subscription and drop its events, because its reader has gone."""
        self.close()
        self._events.clear()

    def __aiter__(self) -> AsyncIterator[CallEvent]:
        """Iterate over the events until the last one."""
        return self

    async def __anext__(self) -> CallEvent:
        """Return the next event; raise the error passed to ``fail``."""
        while not self._events:
            if not self.is_open:
                raise StopAsyncIteration
            self._filled = anyio.Event()
            await self._filled.wait()
        event = self._events.popleft()
        if isinstance(event, PasslaneError):
            raise event
        if isinstance(event, TextChunk):
            return self._merge_following(event)
        return event

    def _merge_following(self, first: TextChunk) -> TextChunk:
        """Merge a chunk with the chunks that directly follow it."""
        if not self._events or not isinstance(self._events[0], TextChunk):
            return first
        texts = [first.text]
        tokens = first.tokens
        while self._events and isinstance(chunk := self._events[0], TextChunk):
            self._events.popleft()
            texts.append(chunk.text)
            tokens += chunk.tokens
        return TextChunk(first.position, "".join(texts), tokens, first.software_version)
