"""The client side of one connection between passlane processes.

It multiplexes requests, grants credit to streams and detects half-open connections.
"""

import itertools
import math
from collections.abc import AsyncIterator
from contextlib import aclosing, asynccontextmanager

import anyio
from anyio.abc import ByteStream

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.base import Message, encode_message
from passlane.messages.common import ErrorReply
from passlane.observability.logging import get_logger
from passlane.transport.channel import FrameChannel, decode_frame_body
from passlane.transport.credit import CREDIT_BATCH, STREAM_WINDOW
from passlane.transport.frames import MAX_VALUE, Frame, FrameKind

PING_AFTER_S = 1.0
"""A ping is sent on a busy connection that received nothing for this long."""
SILENCE_LIMIT_S = 3.0
"""A busy connection that received nothing for this long is closed as half-open."""

_STREAM_BUFFER = STREAM_WINDOW + 2
_log = get_logger("transport.client")


def timeout_in_milliseconds(timeout_s: float) -> int:
    """Return the timeout as it is sent in a request's frame."""
    return min(MAX_VALUE, max(1, math.ceil(timeout_s * 1000)))


class _PendingCall:
    """A pending request with one reply."""

    def __init__(self) -> None:
        self.reply: Message | None = None
        self.is_ended = False
        self.done = anyio.Event()

    def deliver(self, message: Message) -> None:
        """Set the reply and wake the caller."""
        if self.reply is None:
            self.reply = message
            self.done.set()

    def end(self) -> None:
        """Mark the end of the replies."""
        self.is_ended = True
        self.done.set()

    def close(self) -> None:
        """Wake the caller after the connection was closed."""
        self.done.set()


class _PendingStream:
    """A pending request with a stream of replies, which are buffered up to the stream's window."""

    def __init__(self) -> None:
        self.sender, self.receiver = anyio.create_memory_object_stream[Message](_STREAM_BUFFER)
        self.is_ended = False

    def deliver(self, message: Message) -> None:
        """Buffer one reply.

        Raises
        ------
        PasslaneError
            ``PROTOCOL_ERROR`` when the server exceeds its credit.
        """
        try:
            self.sender.send_nowait(message)
        except anyio.WouldBlock:
            raise PasslaneError(
                ErrorCode.PROTOCOL_ERROR, "the server sent more stream items than its credit allows"
            ) from None
        except anyio.BrokenResourceError:
            # The caller has left the stream; the reply is dropped.
            return

    def end(self) -> None:
        """Mark the end of the replies."""
        self.is_ended = True
        self.sender.close()

    def close(self) -> None:
        """Wake the reader after the connection was closed."""
        self.sender.close()


class ClientConnection:
    """Sends concurrent requests on one connection and delivers their replies."""

    def __init__(self, stream: ByteStream) -> None:
        self._channel = FrameChannel(stream)
        self._pending: dict[int, _PendingCall | _PendingStream] = {}
        self._request_ids = itertools.count(1)
        self._sent_since_last_received = False

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed."""
        return self._channel.is_closed

    @property
    def is_idle(self) -> bool:
        """Whether no request is pending."""
        return not self._pending

    async def run(self) -> None:
        """Read replies until the connection ends; then fail the pending requests."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write)
                tasks.start_soon(self._watch_silence)
                await self._read()
                tasks.cancel_scope.cancel()
        finally:
            await self.close()

    async def close(self) -> None:
        """Close the connection; pending requests fail with ``CONNECTION_LOST``."""
        await self._channel.close()
        for pending in self._pending.values():
            pending.close()
        self._pending.clear()

    async def _write(self) -> None:
        try:
            await self._channel.run_writer()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            await self._channel.close()

    async def _read(self) -> None:
        try:
            async with aclosing(self._channel.frames()) as frames:
                async for frame in frames:
                    self._sent_since_last_received = False
                    self._receive(frame)
        except PasslaneError as error:
            _log.warning("connection_closed", code=error.code.value, reason=error.message)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            _log.debug("connection_lost")

    async def _watch_silence(self) -> None:
        """Close the connection when it is busy but nothing is received."""
        while True:
            await anyio.sleep(PING_AFTER_S)
            if self.is_idle and not self._sent_since_last_received:
                continue
            quiet_s = anyio.current_time() - self._channel.last_received
            if quiet_s >= SILENCE_LIMIT_S:
                _log.info("connection_silent", quiet_s=quiet_s)
                await self._channel.close()
                return
            if quiet_s >= PING_AFTER_S and not self.is_closed:
                self._channel.enqueue(Frame(FrameKind.PING))

    def _receive(self, frame: Frame) -> None:
        if frame.kind is FrameKind.PONG:
            return
        pending = self._pending.get(frame.request_id)
        if pending is None:
            # The request timed out or was cancelled; its reply is dropped.
            return
        match frame.kind:
            case FrameKind.REPLY | FrameKind.ERROR:
                pending.deliver(decode_frame_body(frame))
                pending.end()
            case FrameKind.STREAM_ITEM:
                pending.deliver(decode_frame_body(frame))
            case FrameKind.STREAM_END:
                pending.end()
            case _:
                raise PasslaneError(
                    ErrorCode.PROTOCOL_ERROR, f"a server must not send {frame.kind.name}"
                )

    def _record_use(self) -> None:
        now = anyio.current_time()
        if self.is_idle and not self._sent_since_last_received:
            # Silence is measured from the first message sent after an idle time.
            self._channel.last_received = now
        self._sent_since_last_received = True

    def send_one_way(self, message: Message) -> bool:
        """Queue a one-way message; return ``False`` if it was dropped.

        A message that can't be encoded, or is larger than a frame, is dropped and logged.
        """
        if self.is_closed or self._channel.is_congested:
            return False
        self._record_use()
        try:
            self._channel.enqueue(Frame(FrameKind.ONE_WAY, body=encode_message(message)))
        except PasslaneError as error:
            _log.warning(
                "one_way_not_sent",
                message=type(message).__name__,
                code=error.code.value,
                reason=error.message,
            )
            return False
        return True

    async def call(self, request: Message, timeout_s: float) -> Message:
        """Send a request and return its reply; raise the error that the server replied with."""
        pending = _PendingCall()
        request_id = self._send_request(request, timeout_s, pending)
        try:
            with anyio.move_on_after(timeout_s) as scope:
                await pending.done.wait()
        finally:
            self._discard_request(request_id, pending)
        if scope.cancelled_caught:
            raise _timeout_error(timeout_s)
        if pending.reply is None:
            raise _missing_reply_error() if pending.is_ended else _connection_lost_error()
        if isinstance(pending.reply, ErrorReply):
            raise pending.reply.to_exception()
        return pending.reply

    @asynccontextmanager
    async def stream(
        self, request: Message, timeout_s: float
    ) -> AsyncIterator[AsyncIterator[Message]]:
        """Send a request and iterate over its replies; leaving early cancels it at the server."""
        pending = _PendingStream()
        request_id = self._send_request(request, timeout_s, pending)
        try:
            with anyio.move_on_after(timeout_s) as scope:
                yield _Replies(self._channel, request_id, pending)
        finally:
            self._discard_request(request_id, pending)
            pending.sender.close()
            pending.receiver.close()
        if scope.cancelled_caught:
            raise _timeout_error(timeout_s)

    def _send_request(
        self, request: Message, timeout_s: float, pending: _PendingCall | _PendingStream
    ) -> int:
        """Queue a request and return its id, which its replies will have."""
        request_id = next(self._request_ids)
        frame = Frame(
            FrameKind.REQUEST,
            request_id,
            timeout_in_milliseconds(timeout_s),
            encode_message(request),
        )
        self._record_use()
        self._channel.enqueue(frame)
        self._pending[request_id] = pending
        return request_id

    def _discard_request(self, request_id: int, pending: _PendingCall | _PendingStream) -> None:
        self._pending.pop(request_id, None)
        if not pending.is_ended and not self.is_closed:
            self._channel.enqueue(Frame(FrameKind.CANCEL, request_id))


class _Replies(AsyncIterator[Message]):
    """Iterates over the replies of one request; grants credit as they are consumed."""

    def __init__(self, channel: FrameChannel, request_id: int, pending: _PendingStream) -> None:
        self._channel = channel
        self._request_id = request_id
        self._pending = pending
        self._consumed = 0

    async def __anext__(self) -> Message:
        """Return the next reply; raise the error that the server replied with."""
        try:
            message = await self._pending.receiver.receive()
        except anyio.EndOfStream:
            raise self._end() from None
        if isinstance(message, ErrorReply):
            raise message.to_exception()
        self._consumed += 1
        if self._consumed % CREDIT_BATCH == 0 and not self._channel.is_closed:
            self._channel.enqueue(Frame(FrameKind.CREDIT, self._request_id, CREDIT_BATCH))
        return message

    def _end(self) -> Exception:
        if self._pending.is_ended:
            return StopAsyncIteration()
        return _connection_lost_error()


def _timeout_error(timeout_s: float) -> PasslaneError:
    return PasslaneError(
        ErrorCode.TIMEOUT,
        f"no complete reply within {timeout_s:g} s",
        verdict=Verdict.MAY_HAVE_RUN,
    )


def _missing_reply_error() -> PasslaneError:
    return PasslaneError(
        ErrorCode.PROTOCOL_ERROR,
        "the server ended the request without a reply",
        verdict=Verdict.MAY_HAVE_RUN,
    )


def _connection_lost_error() -> PasslaneError:
    return PasslaneError(
        ErrorCode.CONNECTION_LOST,
        "the connection was lost before the reply was complete",
        verdict=Verdict.MAY_HAVE_RUN,
    )
