"""The calling end of one connection between passlane's processes."""

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
from passlane.transport.channel import FrameChannel, message_in
from passlane.transport.credit import CREDIT_BATCH, STREAM_WINDOW
from passlane.transport.frames import MAX_VALUE, Frame, FrameKind

PING_AFTER_S = 1.0
"""A busy connection that was quiet for this long is pinged."""
SILENCE_LIMIT_S = 3.0
"""A busy connection that was quiet for this long is given up as half-open."""

_STREAM_BUFFER = STREAM_WINDOW + 2
_log = get_logger("transport.client")


def timeout_in_milliseconds(timeout_s: float) -> int:
    """Return the time-out as it travels in a request's frame."""
    return min(MAX_VALUE, max(1, math.ceil(timeout_s * 1000)))


class _PendingCall:
    """A request whose one reply is awaited."""

    def __init__(self) -> None:
        self.reply: Message | None = None
        self.is_ended = False
        self.is_over = anyio.Event()

    def deliver(self, message: Message) -> None:
        """Hand over the reply."""
        if self.reply is None:
            self.reply = message
            self.is_over.set()

    def end(self) -> None:
        """Mark the end of the replies."""
        self.is_ended = True
        self.is_over.set()

    def close(self) -> None:
        """Wake the caller: nothing more will come."""
        self.is_over.set()


class _PendingStream:
    """A request whose replies are awaited; its buffer holds at most a stream's window."""

    def __init__(self) -> None:
        self.sender, self.receiver = anyio.create_memory_object_stream[Message](_STREAM_BUFFER)
        self.is_ended = False

    def deliver(self, message: Message) -> None:
        """Hand over one reply; a server that overruns its credit breaks the protocol."""
        try:
            self.sender.send_nowait(message)
        except anyio.WouldBlock:
            raise PasslaneError(
                ErrorCode.PROTOCOL_ERROR, "the server sent more than it had credit for"
            ) from None
        except anyio.BrokenResourceError:
            # The caller has just given up; its answer goes nowhere.
            return

    def end(self) -> None:
        """Mark the end of the replies."""
        self.is_ended = True
        self.sender.close()

    def close(self) -> None:
        """Wake the reader: nothing more will come."""
        self.sender.close()


class ClientConnection:
    """Sends requests on one connection, many at a time, and hands out the replies."""

    def __init__(self, stream: ByteStream) -> None:
        self._channel = FrameChannel(stream)
        self._pending: dict[int, _PendingCall | _PendingStream] = {}
        self._request_ids = itertools.count(1)
        self._sent_since_receipt = False

    @property
    def is_closed(self) -> bool:
        """Whether nothing more can be sent."""
        return self._channel.is_closed

    @property
    def is_idle(self) -> bool:
        """Whether no request waits for an answer."""
        return not self._pending

    async def run(self) -> None:
        """Read replies until the connection ends; then fail what still waits."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write)
                tasks.start_soon(self._watch_silence)
                await self._read()
                tasks.cancel_scope.cancel()
        finally:
            await self.close()

    async def close(self) -> None:
        """Close the connection; requests under way fail with ``CONNECTION_LOST``."""
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
                    self._sent_since_receipt = False
                    self._receive(frame)
        except PasslaneError as error:
            _log.warning("connection_closed", code=error.code.value, reason=error.message)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            _log.debug("connection_lost")

    async def _watch_silence(self) -> None:
        """Close a connection on which an answer is due but nothing arrives."""
        while True:
            await anyio.sleep(PING_AFTER_S)
            if self.is_idle and not self._sent_since_receipt:
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
            # Late replies of a request that was given up are dropped.
            return
        match frame.kind:
            case FrameKind.REPLY | FrameKind.ERROR:
                pending.deliver(message_in(frame))
                pending.end()
            case FrameKind.STREAM_ITEM:
                pending.deliver(message_in(frame))
            case FrameKind.STREAM_END:
                pending.end()
            case _:
                raise PasslaneError(
                    ErrorCode.PROTOCOL_ERROR, f"a server must not send {frame.kind.name}"
                )

    def _note_use(self) -> None:
        now = anyio.current_time()
        if self.is_idle and not self._sent_since_receipt:
            # Silence counts from the first message after a quiet time, not from before.
            self._channel.last_received = now
        self._sent_since_receipt = True

    def send_one_way(self, message: Message) -> bool:
        """Queue a one-way message; return ``False`` when it was dropped."""
        if self.is_closed or self._channel.is_congested:
            return False
        self._note_use()
        self._channel.enqueue(Frame(FrameKind.ONE_WAY, body=encode_message(message)))
        return True

    async def call(self, request: Message, timeout_s: float) -> Message:
        """Send a request and return its one reply; errors are raised."""
        pending = _PendingCall()
        request_id = self._send_request(request, timeout_s, pending)
        try:
            with anyio.move_on_after(timeout_s) as scope:
                await pending.is_over.wait()
        finally:
            self._forget(request_id, pending)
        if scope.cancelled_caught:
            raise _no_whole_answer(timeout_s)
        if pending.reply is None:
            raise _no_reply() if pending.is_ended else _connection_broken()
        if isinstance(pending.reply, ErrorReply):
            raise pending.reply.to_exception()
        return pending.reply

    @asynccontextmanager
    async def stream(
        self, request: Message, timeout_s: float
    ) -> AsyncIterator[AsyncIterator[Message]]:
        """Send a request and give its replies; leaving early cancels it at the server."""
        pending = _PendingStream()
        request_id = self._send_request(request, timeout_s, pending)
        try:
            with anyio.move_on_after(timeout_s) as scope:
                yield _Replies(self._channel, request_id, pending)
        finally:
            self._forget(request_id, pending)
            pending.sender.close()
            pending.receiver.close()
        if scope.cancelled_caught:
            raise _no_whole_answer(timeout_s)

    def _send_request(
        self, request: Message, timeout_s: float, pending: _PendingCall | _PendingStream
    ) -> int:
        """Queue a request and return its id, under which its replies will come."""
        request_id = next(self._request_ids)
        frame = Frame(
            FrameKind.REQUEST,
            request_id,
            timeout_in_milliseconds(timeout_s),
            encode_message(request),
        )
        self._note_use()
        self._channel.enqueue(frame)
        self._pending[request_id] = pending
        return request_id

    def _forget(self, request_id: int, pending: _PendingCall | _PendingStream) -> None:
        self._pending.pop(request_id, None)
        if not pending.is_ended and not self.is_closed:
            self._channel.enqueue(Frame(FrameKind.CANCEL, request_id))


class _Replies(AsyncIterator[Message]):
    """The replies of one request, in order; grants credit as they are taken."""

    def __init__(self, channel: FrameChannel, request_id: int, pending: _PendingStream) -> None:
        self._channel = channel
        self._request_id = request_id
        self._pending = pending
        self._taken = 0

    async def __anext__(self) -> Message:
        """Return the next reply; raise the error that the server answered with."""
        try:
            message = await self._pending.receiver.receive()
        except anyio.EndOfStream:
            raise self._end() from None
        if isinstance(message, ErrorReply):
            raise message.to_exception()
        self._taken += 1
        if self._taken % CREDIT_BATCH == 0 and not self._channel.is_closed:
            self._channel.enqueue(Frame(FrameKind.CREDIT, self._request_id, CREDIT_BATCH))
        return message

    def _end(self) -> Exception:
        if self._pending.is_ended:
            return StopAsyncIteration()
        return _connection_broken()


def _no_whole_answer(timeout_s: float) -> PasslaneError:
    return PasslaneError(
        ErrorCode.TIMEOUT,
        f"no whole answer within {timeout_s:g} s",
        verdict=Verdict.MAY_HAVE_RUN,
    )


def _no_reply() -> PasslaneError:
    return PasslaneError(
        ErrorCode.PROTOCOL_ERROR,
        "the server ended its answer without a reply",
        verdict=Verdict.MAY_HAVE_RUN,
    )


def _connection_broken() -> PasslaneError:
    return PasslaneError(
        ErrorCode.CONNECTION_LOST,
        "the connection broke before the answer was whole",
        verdict=Verdict.MAY_HAVE_RUN,
    )
