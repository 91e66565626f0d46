"""The flow of one call's events to one caller."""

import math
from collections.abc import AsyncIterator

import anyio

from passlane.errors import PasslaneError
from passlane.messages.node import CallAnswered, CallEvent, CallRefused, TextChunk


class Subscription:
    """Events for one caller, who has ``resume_from`` tokens already.

    Its buffer holds one answer at most, which the call's ``max_tokens`` bounds.
    """

    def __init__(self, resume_from: int = 0) -> None:
        self._next_position = resume_from
        send, receive = anyio.create_memory_object_stream[CallEvent | PasslaneError](math.inf)
        self._send = send
        self._receive = receive
        self.is_open = True

    def push(self, event: CallEvent) -> None:
        """Give an event to the caller; tokens that it has already are left out."""
        if not self.is_open:
            return
        if isinstance(event, TextChunk):
            if event.position < self._next_position:
                return
            self._next_position = event.position + 1
        self._send.send_nowait(event)
        if isinstance(event, CallAnswered | CallRefused):
            self.close()

    def fail(self, error: PasslaneError) -> None:
        """End the flow by an exception, which a forwarding node acts on."""
        if self.is_open:
            self._send.send_nowait(error)
            self.close()

    def close(self) -> None:
        """End the flow after what was pushed."""
        if self.is_open:
            self.is_open = False
            self._send.close()

    def __aiter__(self) -> AsyncIterator[CallEvent]:
        """Give the events until the last one."""
        return self

    async def __anext__(self) -> CallEvent:
        """Return the next event; raise what ``fail`` was given."""
        try:
            event = await self._receive.receive()
        except anyio.EndOfStream:
            raise StopAsyncIteration from None
        if isinstance(event, PasslaneError):
            raise event
        return event

    def release(self) -> None:
        """Free the flow when its reader has gone."""
        self.close()
        self._receive.close()
