"""Forwards a backend's answer to the caller, either buffered or event by event.

Owns the state of one answer, or of one stream over several attempts. Whether an answer is
forwarded at all is decided earlier (``decisions.failure.answer_verdicts``).
"""

from collections.abc import Awaitable, Callable, Sequence
from contextlib import aclosing

import anyio

from passlane.decisions.admission.answer_room import HeldPart
from passlane.decisions.admission.event_pace import EventPace
from passlane.decisions.backends.health import AttemptWatch
from passlane.decisions.failure.answer_verdicts import FIRST_SERVER_ERROR
from passlane.decisions.inputs.answer_head import AnswerHead, BodyFraming
from passlane.event_streams.whole_events import (
    EVENT_STREAM_TYPE,
    EventSplitter,
    EventTooLongError,
    StreamEvent,
)
from passlane.relay.backends import AnswerWriter, BackendAnswer
from passlane.relay.end_reasons import BreakReason, RequestEnd, RequestEndReason
from passlane.relay.request_errors import AnswerAbortedError
from passlane.runtime.interfaces import MAX_ANSWER_BYTES, HttpConnectionError

MAX_BUFFERED_BYTES = 256_000
"""Bytes; longer bodies are forwarded as they arrive."""

BeforeEnd = Callable[["StreamDelivery"], Awaitable[None]]
"""Called when a stream is complete, before the caller receives its end."""
OnEvents = Callable[[int, Sequence[StreamEvent]], None]
"""Called with the number of events before, and the events that are about to be forwarded."""


class BufferedDelivery:
    """Buffers an answer until it is complete, so that a broken one can still be retried.

    Parameters
    ----------
    held
        Counts the bytes that are buffered.
    """

    def __init__(self, writer: AnswerWriter, held: HeldPart) -> None:
        self._writer = writer
        self._held = held
        self.status: int | None = None

    async def deliver(self, answer: BackendAnswer, watch: AttemptWatch) -> None:
        """Read an answer and write it; raise ``HttpConnectionError`` when it breaks off.

        An answer that exceeds ``MAX_BUFFERED_BYTES``, or for which the node has no room, is
        forwarded as it arrives.
        """
        try:
            await self._deliver(answer, watch)
        finally:
            self._held.release()

    async def _deliver(self, answer: BackendAnswer, watch: AttemptWatch) -> None:
        _check_length(answer)
        body = bytearray()
        splitter = EventSplitter() if answer.head.media_type == EVENT_STREAM_TYPE else None
        async with aclosing(answer.chunks()) as chunks:
            async for chunk in chunks:
                watch.progressed(anyio.current_time())
                body += chunk
                if splitter is not None:
                    _feed(splitter, chunk)
                await self._forward_if_long(answer, body, splitter)
        if splitter is not None:
            _check_end(splitter)
        _record_complete(answer, watch)
        if self.status is None:
            await self._start(answer, len(body))
            await self._writer.write(bytes(body))
        await self._writer.finish()

    async def _forward_if_long(
        self, answer: BackendAnswer, body: bytearray, splitter: EventSplitter | None
    ) -> None:
        """Forward what was received of a body that is too long to be buffered."""
        unfinished_bytes = len(splitter.pending) if splitter is not None else 0
        has_room = self._held.hold(len(body) + unfinished_bytes)
        if self.status is None and (len(body) > MAX_BUFFERED_BYTES or not has_room):
            # The end of a stream is checked after its last byte, so its length is not promised.
            is_stream = answer.head.media_type == EVENT_STREAM_TYPE
            await self._start(answer, None if is_stream else answer.head.length)
        if self.status is not None:
            await self._writer.write(bytes(body))
            body.clear()
            _hold_unfinished(self._held, unfinished_bytes)

    async def _start(self, answer: BackendAnswer, length: int | None) -> None:
        self.status = answer.head.status
        await self._writer.start(answer.head.status, answer.head.headers, length)


class StreamDelivery:
    """Forwards the complete events of a stream as they arrive.

    Attributes
    ----------
    events
        Number of events written to the caller.
    output
        The data of each event, each followed by a line feed; empty without ``max_output_bytes``.
    is_whole
        Whether the stream is complete.
    unfinished_bytes
        Bytes behind the last complete event of the answer that was read last.

    Parameters
    ----------
    max_output_bytes
        Most output that is needed at the end; ``None`` if none is.
    is_resumed
        Whether the caller has events of the stream from an earlier request.
    held
        Counts the output, and the bytes of an event that is not complete.
    on_events
        Called before events are forwarded; ``None`` for nothing.
    """

    def __init__(
        self,
        writer: AnswerWriter,
        before_end: BeforeEnd,
        held: HeldPart,
        *,
        max_output_bytes: int | None = None,
        is_resumed: bool = False,
        on_events: OnEvents | None = None,
    ) -> None:
        self._held = held
        self._on_events = on_events
        self._is_resumed = is_resumed
        self._has_events = True
        self._writer = writer
        self._before_end = before_end
        self._max_output_bytes = max_output_bytes
        self.status: int | None = None
        self.events = 0
        self.output = bytearray()
        self.last_event_id: str | None = None
        self.is_whole = False
        self.unfinished_bytes = 0

    async def deliver(self, answer: BackendAnswer, watch: AttemptWatch) -> None:
        """Read a stream and write it; raise ``HttpConnectionError`` when it breaks off.

        When a second engine resumes the stream, the head of the first answer stays in effect.

        Raises
        ------
        AnswerAbortedError
            When the output is larger than what can be kept.
        """
        if not self._writer.has_started:
            self.status = answer.head.status
            await self._writer.start(answer.head.status, answer.head.headers, None)
            self._has_events = _is_event_stream(answer.head)
        elif answer.head.status != self.status or _is_event_stream(answer.head) != self._has_events:
            raise HttpConnectionError(BreakReason.STREAM_DID_NOT_GO_ON.value, bytes_left=True)
        splitter = EventSplitter()
        pace = EventPace(anyio.current_time())
        try:
            async with aclosing(answer.chunks()) as chunks:
                async for chunk in chunks:
                    now = anyio.current_time()
                    watch.progressed(now)
                    wait_s = pace.wait_s(await self._forward(splitter, chunk), now)
                    if wait_s > 0:
                        # An engine that sends events without pause must not occupy the process.
                        await anyio.sleep(wait_s)
        finally:
            self.unfinished_bytes = len(splitter.pending)
            self._held.hold(len(self.output))
        if self._has_events:
            _check_end(splitter)
            self._check_events(answer)
        _record_complete(answer, watch)
        if splitter.pending:
            await self._writer.write(splitter.pending)
        self.is_whole = True
        await self._before_end(self)
        await self._writer.finish()

    def _check_events(self, answer: BackendAnswer) -> None:
        """Raise ``HttpConnectionError`` if an empty stream ends only with its connection.

        A run generates at least one event, unless the caller already has the last one.
        """
        is_empty = self.events == 0 and not self._is_resumed
        if is_empty and answer.head.framing is BodyFraming.CONNECTION:
            raise HttpConnectionError(BreakReason.NO_EVENT.value, bytes_left=True)

    async def _forward(self, splitter: EventSplitter, chunk: bytes) -> int:
        """Forward the events that are now complete; return their number."""
        events = _feed(splitter, chunk)
        if not events:
            _hold_unfinished(self._held, len(self.output) + len(splitter.pending))
            return 0
        if self._on_events is not None:
            self._on_events(self.events, events)
        self.events += len(events)
        for event in events:
            if self._max_output_bytes is not None:
                self.output += event.data + b"\n"
            if event.event_id is not None:
                self.last_event_id = event.event_id
        self._check_output(len(splitter.pending))
        await self._writer.write(b"".join(event.raw for event in events))
        return len(events)

    def _check_output(self, unfinished_bytes: int) -> None:
        """Raise ``AnswerAbortedError`` if the output is larger than what can be kept or held."""
        if not self._held.hold(len(self.output) + unfinished_bytes):
            raise AnswerAbortedError(RequestEnd(RequestEndReason.ANSWERS_FULL))
        if self._max_output_bytes is None or len(self.output) <= self._max_output_bytes:
            return
        raise AnswerAbortedError(RequestEnd(RequestEndReason.TURN_OUTGREW_BOUND))


def _is_event_stream(head: AnswerHead) -> bool:
    """Whether an answer on a stream route has events, by its type if one is declared."""
    return head.media_type in ("", EVENT_STREAM_TYPE)


def _check_length(answer: BackendAnswer) -> None:
    """Raise ``HttpConnectionError`` if an answer states a length above the bound."""
    length = answer.head.length
    if length is not None and length > MAX_ANSWER_BYTES:
        raise HttpConnectionError(BreakReason.ANSWER_TOO_LONG.value, bytes_left=True)


def _hold_unfinished(held: HeldPart, size_bytes: int) -> None:
    """Hold bytes that can't be forwarded yet.

    Raises ``HttpConnectionError`` if the node has no room for them.
    """
    if not held.hold(size_bytes):
        raise HttpConnectionError(BreakReason.NO_ROOM.value, bytes_left=True)


def _feed(splitter: EventSplitter, chunk: bytes) -> list[StreamEvent]:
    """Return the events that are now complete.

    Raises ``HttpConnectionError`` if an event has too many bytes.
    """
    try:
        return splitter.feed(chunk)
    except EventTooLongError as error:
        raise HttpConnectionError(BreakReason.EVENT_TOO_LONG.value, bytes_left=True) from error


def _check_end(splitter: EventSplitter) -> None:
    """Raise ``HttpConnectionError`` if a stream ended inside an event, however it is framed."""
    if splitter.is_inside_event:
        raise HttpConnectionError(BreakReason.ENDED_INSIDE_EVENT.value, bytes_left=True)


def _record_complete(answer: BackendAnswer, watch: AttemptWatch) -> None:
    """Record the end of an answer before later steps add time of other components."""
    now = anyio.current_time()
    if answer.head.status >= FIRST_SERVER_ERROR:
        watch.failed(now)
    else:
        watch.succeeded(now)
