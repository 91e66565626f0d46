"""Frames over one byte stream.

Outgoing frames pass through a queue with a high-water mark for backpressure; incoming
frames are read from an iterator.
"""

from collections import deque
from collections.abc import AsyncGenerator

import anyio
import msgspec
from anyio.abc import ByteStream

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.base import Message
from passlane.messages.registry import decode_any_message
from passlane.transport.frames import Frame, FrameDecoder, frame_parts

RECEIVE_BYTES = 65_536
WRITE_BATCH_BYTES = 262_144
"""Frames are added to one write until it has this size."""
HIGH_WATER_MARK_BYTES = 1_000_000
"""Backpressure: senders of streams wait, and one-way messages are dropped, above this."""


def decode_frame_body(frame: Frame) -> Message:
    """Return the message in a frame's body.

    Raises
    ------
    PasslaneError
        ``PROTOCOL_ERROR`` when the body is not a valid message.
    """
    try:
        message: Message = decode_any_message(frame.body)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise PasslaneError(ErrorCode.PROTOCOL_ERROR, f"malformed body: {error}") from error
    return message


class FrameChannel:
    """Sends and receives frames on one connection.

    One task runs ``run_writer``; any task may ``enqueue``. Small frames that are queued
    in one pass of the event loop are sent in one write.
    """

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._decoder = FrameDecoder()
        self._queue: deque[bytes | memoryview] = deque()
        self._queued_bytes = 0
        self._queue_filled = anyio.Event()
        self._queue_drained = anyio.Event()
        self.is_closed = False
        self.last_received = anyio.current_time()

    @property
    def is_congested(self) -> bool:
        """Whether the queued bytes are above the high-water mark."""
        return self._queued_bytes > HIGH_WATER_MARK_BYTES

    def enqueue(self, frame: Frame) -> None:
        """Queue a frame without waiting.

        Raises
        ------
        PasslaneError
            ``CONNECTION_LOST`` with ``not_run`` when the channel is closed,
            ``FRAME_TOO_LARGE`` when the body is above the limit.
        """
        if self.is_closed:
            raise PasslaneError(
                ErrorCode.CONNECTION_LOST, "the connection is closed", verdict=Verdict.NOT_RUN
            )
        for part in frame_parts(frame):
            self._queue.append(part)
            self._queued_bytes += len(part)
        self._queue_filled.set()

    async def wait_until_uncongested(self) -> None:
        """Wait until the queue is not above the high-water mark, or the channel is closed."""
        while self.is_congested and not self.is_closed:
            await self._queue_drained.wait()

    async def run_writer(self) -> None:
        """Write queued frames until cancelled or the connection breaks."""
        while True:
            if not self._queue:
                self._queue_filled = anyio.Event()
                await self._queue_filled.wait()
            await self._stream.send(self._take_batch())

    def _take_batch(self) -> bytes:
        parts: list[bytes | memoryview] = []
        size = 0
        while self._queue and size < WRITE_BATCH_BYTES:
            part = self._queue.popleft()
            if len(part) > WRITE_BATCH_BYTES:
                # The transport would copy what the operating system doesn't accept at once.
                self._queue.appendleft(memoryview(part)[WRITE_BATCH_BYTES:])
                part = memoryview(part)[:WRITE_BATCH_BYTES]
            parts.append(part)
            size += len(part)
        self._queued_bytes -= size
        if not self.is_congested:
            self._queue_drained.set()
            self._queue_drained = anyio.Event()
        return b"".join(parts)

    async def frames(self) -> AsyncGenerator[Frame, None]:
        """Yield incoming frames until the peer closes the connection.

        Raises
        ------
        PasslaneError
            ``PROTOCOL_ERROR`` or ``FRAME_TOO_LARGE`` when the bytes are not valid frames.
        anyio.BrokenResourceError
            When the connection breaks.
        """
        while True:
            try:
                data = await self._stream.receive(RECEIVE_BYTES)
            except anyio.EndOfStream:
                # The peer closed the connection; the channel's owner fails pending requests.
                return
            self.last_received = anyio.current_time()
            for frame in self._decoder.feed(data):
                yield frame

    async def close(self) -> None:
        """Close the connection and wake all waiting senders."""
        self.is_closed = True
        self._queue.clear()
        self._queued_bytes = 0
        self._queue_drained.set()
        with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
            await anyio.aclose_forcefully(self._stream)
