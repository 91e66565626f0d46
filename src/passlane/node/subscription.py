"""The flow of one call's events to one caller."""

from collections import deque
from collections.abc import AsyncIterator

import anyio

from passlane.errors import PasslaneError
from passlane.messages.node import CallAnswered, CallEvent, CallRefused, TextChunk


class Subscription:
    """Events for one caller, who has ``resume_from`` tokens already; has one reader.

    Tokens that have gathered while the reader was busy are given as one chunk. The buffer
    holds one answer at most, which the call's ``max_tokens`` bounds.
    """

    def __init__(self, resume_from: int = 0) -> None:
        self._next_position = resume_from
        self._events: deque[CallEvent | PasslaneError] = deque()
        self._filled = anyio.Event()
        self.is_open = True

    def push(self, event: CallEvent) -> None:
        """Give an event to the caller; tokens that it has already are left out."""
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
        """End the flow by an exception, which a forwarding node acts on."""
        if self.is_open:
            self._append(error)
            self.close()

    def _append(self, event: CallEvent | PasslaneError) -> None:
        self._events.append(event)
        self._filled.set()

    def close(self) -> None:
        """End the flow after what was pushed."""
        self.is_open = False
        self._filled.set()

    def release(self) -> None:
        """Free the flow when its reader has gone."""
        self.close()
        self._events.clear()

    def __aiter__(self) -> AsyncIterator[CallEvent]:
        """Give the events until the last one."""
        return self

    async def __anext__(self) -> CallEvent:
        """Return the next event; raise what ``fail`` was given."""
        while not self._events:
            if not self.is_open:
                raise StopAsyncIteration
            self._filled = anyio.Event()
            await self._filled.wait()
        event = self._events.popleft()
        if isinstance(event, PasslaneError):
            raise event
        if isinstance(event, TextChunk):
            return self._with_following(event)
        return event

    def _with_following(self, first: TextChunk) -> TextChunk:
        """Return a chunk together with those right behind it."""
        if not self._events or not isinstance(self._events[0], TextChunk):
            return first
        texts = [first.text]
        tokens = first.tokens
        while self._events and isinstance(chunk := self._events[0], TextChunk):
            self._events.popleft()
            texts.append(chunk.text)
            tokens += chunk.tokens
        return TextChunk(first.position, "".join(texts), tokens)
