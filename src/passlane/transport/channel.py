"""Frames over one byte stream: a queue of outgoing frames and an iterator of incoming ones."""

from collections import deque
from collections.abc import AsyncGenerator

import anyio
import msgspec
from anyio.abc import ByteStream

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.base import Message
from passlane.messages.registry import decode_any_message
from passlane.transport.frames import Frame, FrameDecoder, encode_frame

RECEIVE_BYTES = 65_536
WRITE_BATCH_BYTES = 262_144
"""Queued frames are joined up to this size into one write."""
HIGH_WATER_BYTES = 1_000_000
"""With more queued than this, senders that can wait do so."""


def message_in(frame: Frame) -> Message:
    """Return the message that a frame carries.

    Raises
    ------
    PasslaneError
        ``PROTOCOL_ERROR`` when the body is no message.
    """
    try:
        message: Message = decode_any_message(frame.body)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise PasslaneError(ErrorCode.PROTOCOL_ERROR, f"malformed body: {error}") from error
    return message


class FrameChannel:
    """Sends and receives frames on one connection.

    One task runs ``run_writer``; any task may ``enqueue``. Many small frames queued in
    one turn of the loop leave in one write.
    """

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._decoder = FrameDecoder()
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._queue_filled = anyio.Event()
        self._queue_lowered = anyio.Event()
        self.is_closed = False
        self.last_received = anyio.current_time()

    @property
    def is_congested(self) -> bool:
        """Whether more is queued than the high-water mark."""
        return self._queued_bytes > HIGH_WATER_BYTES

    def enqueue(self, frame: Frame) -> None:
        """Queue a frame without waiting.

        Raises
        ------
        PasslaneError
            ``CONNECTION_LOST`` with ``not_run`` when the channel is closed,
            ``FRAME_TOO_LARGE`` when the frame is above the limit.
        """
        if self.is_closed:
            raise PasslaneError(
                ErrorCode.CONNECTION_LOST, "the connection is closed", verdict=Verdict.NOT_RUN
            )
        data = encode_frame(frame)
        self._queue.append(data)
        self._queued_bytes += len(data)
        self._queue_filled.set()

    async def wait_until_uncongested(self) -> None:
        """Return once less than the high-water mark is queued, or the channel is closed."""
        while self.is_congested and not self.is_closed:
            await self._queue_lowered.wait()

    async def run_writer(self) -> None:
        """Write queued frames until cancelled or the connection breaks."""
        while True:
            if not self._queue:
                self._queue_filled = anyio.Event()
                await self._queue_filled.wait()
            await self._stream.send(self._take_batch())

    def _take_batch(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while self._queue and size < WRITE_BATCH_BYTES:
            part = self._queue.popleft()
            parts.append(part)
            size += len(part)
        self._queued_bytes -= size
        if not self.is_congested:
            self._queue_lowered.set()
            self._queue_lowered = anyio.Event()
        return b"".join(parts)

    async def frames(self) -> AsyncGenerator[Frame, None]:
        """Yield incoming frames until the other side ends the connection.

        Raises
        ------
        PasslaneError
            ``PROTOCOL_ERROR`` or ``FRAME_TOO_LARGE`` when the bytes are no frames.
        anyio.BrokenResourceError
            When the connection breaks.
        """
        while True:
            try:
                data = await self._stream.receive(RECEIVE_BYTES)
            except anyio.EndOfStream:
                # The ordinary end of a connection; who still waits on it is told by its owner.
                return
            self.last_received = anyio.current_time()
            for frame in self._decoder.feed(data):
                yield frame

    async def close(self) -> None:
        """Close the connection and wake all who wait for it."""
        self.is_closed = True
        self._queue.clear()
        self._queued_bytes = 0
        self._queue_lowered.set()
        with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
            await anyio.aclose_forcefully(self._stream)
