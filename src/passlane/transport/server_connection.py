"""The server side of one connection between passlane processes.

It runs requests concurrently, applies flow control to streams and limits the requests
and one-way messages in flight.
"""

from collections import deque
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing

import anyio
import msgspec
from anyio.abc import ByteStream

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.base import Message, encode_message
from passlane.messages.common import ErrorReply, error_with_verdict
from passlane.observability.logging import get_logger
from passlane.transport.channel import FrameChannel, decode_frame_body
from passlane.transport.credit import CreditGate
from passlane.transport.frames import Frame, FrameKind
from passlane.transport.large_replies import LargeReplies, LargeReply
from passlane.transport.request_workers import RequestWorkers
from passlane.transport.router import MessageRouter

MAX_REQUESTS_IN_FLIGHT = 4_096
"""Limit for one connection; further requests are refused as not run."""
MAX_QUEUED_ONE_WAY = 4_096
"""Limit for one connection; further messages are dropped, which their senders tolerate."""
OVERLOAD_RETRY_AFTER_S = 0.5

_log = get_logger("transport.server")


class _Request(msgspec.Struct, eq=False):
    """A request in flight; its scope ends at its deadline or when the client cancels it."""

    request_id: int
    message: Message
    scope: anyio.CancelScope


class ServerConnection:
    """Answers the requests that arrive on one connection.

    Requests run concurrently, each in a task. One-way messages are handled sequentially
    in the order of arrival, as pipelined replication needs.
    """

    def __init__(
        self, stream: ByteStream, router: MessageRouter, large_replies: LargeReplies
    ) -> None:
        self._channel = FrameChannel(stream)
        self._router = router
        self._large_replies = large_replies
        self._scopes: dict[int, anyio.CancelScope] = {}
        self._credits: dict[int, CreditGate] = {}
        self._one_way_messages: deque[Message] = deque()
        self._one_way_arrived = anyio.Event()

    async def run(self) -> None:
        """Serve until the connection ends."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write)
                tasks.start_soon(self._handle_one_way_messages)
                await self._read(RequestWorkers(tasks, self._serve_request))
                tasks.cancel_scope.cancel()
        finally:
            await self._channel.close()

    async def _write(self) -> None:
        try:
            await self._channel.run_writer()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            # The reader detects the lost connection too and ends ``run``.
            await self._channel.close()

    async def _read(self, workers: RequestWorkers[_Request]) -> None:
        try:
            async with aclosing(self._channel.frames()) as frames:
                async for frame in frames:
                    self._receive(frame, workers)
        except PasslaneError as error:
            _log.warning("connection_closed", code=error.code.value, reason=error.message)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            _log.debug("connection_lost")

    def _receive(self, frame: Frame, workers: RequestWorkers[_Request]) -> None:
        match frame.kind:
            case FrameKind.REQUEST:
                self._start_request(frame, workers)
            case FrameKind.ONE_WAY:
                self._queue_one_way(decode_frame_body(frame))
            case FrameKind.CANCEL:
                if scope := self._scopes.get(frame.request_id):
                    scope.cancel()
            case FrameKind.CREDIT:
                if gate := self._credits.get(frame.request_id):
                    gate.grant(frame.value)
            case FrameKind.PING:
                self._send(Frame(FrameKind.PONG))
            case _:
                raise PasslaneError(
                    ErrorCode.PROTOCOL_ERROR, f"a client must not send {frame.kind.name}"
                )

    def _start_request(self, frame: Frame, workers: RequestWorkers[_Request]) -> None:
        request = decode_frame_body(frame)
        if frame.request_id in self._scopes:
            raise PasslaneError(
                ErrorCode.PROTOCOL_ERROR, f"request id {frame.request_id} is in use"
            )
        if len(self._scopes) >= MAX_REQUESTS_IN_FLIGHT:
            self._send_error(frame.request_id, self._overload_error())
            return
        scope = anyio.CancelScope(deadline=anyio.current_time() + frame.value / 1000)
        self._scopes[frame.request_id] = scope
        workers.submit(_Request(frame.request_id, request, scope))

    @staticmethod
    def _overload_error() -> PasslaneError:
        return PasslaneError(
            ErrorCode.QUEUE_FULL,
            "too many requests in flight on this connection",
            verdict=Verdict.NOT_RUN,
            retry_after_s=OVERLOAD_RETRY_AFTER_S,
        )

    async def _serve_request(self, request: _Request) -> None:
        request_id = request.request_id
        try:
            with request.scope:
                await self._answer(request_id, request.message)
        except PasslaneError as error:
            self._send_error(request_id, error)
        except Exception:
            _log.exception("handler_failed", request=type(request.message).__name__)
            self._send_error(
                request_id,
                PasslaneError(
                    ErrorCode.INTERNAL, "the handler failed", verdict=Verdict.MAY_HAVE_RUN
                ),
            )
        finally:
            self._scopes.pop(request_id, None)
            self._credits.pop(request_id, None)
        if request.scope.cancelled_caught:
            self._send_error(
                request_id,
                PasslaneError(
                    ErrorCode.TIMEOUT,
                    "cancelled or past its deadline",
                    verdict=Verdict.MAY_HAVE_RUN,
                ),
            )

    async def _answer(self, request_id: int, request: Message) -> None:
        if large := self._router.large_handler(request):
            await self._send_when_there_is_room(request_id, await large(request))
        elif unary := self._router.unary_handler(request):
            self._send_message(request_id, await unary(request))
        elif stream := self._router.stream_handler(request):
            await self._answer_stream(request_id, stream(request))
        else:
            raise self._router.not_served_error(request)

    def _send_message(self, request_id: int, reply: Message) -> None:
        self._send_reply(FrameKind.REPLY, request_id, reply)

    async def _send_when_there_is_room(self, request_id: int, reply: Message | LargeReply) -> None:
        """Send a reply; build a large one once the connection and the process have room."""
        if not isinstance(reply, LargeReply):
            self._send_message(request_id, reply)
            return
        try:
            await self._channel.wait_until_uncongested()
            async with self._large_replies.room(reply.size_bytes):
                self._send_message(request_id, reply.build())
                await self._channel.wait_until_uncongested()
        finally:
            reply.ended()

    async def _answer_stream(self, request_id: int, items: AsyncIterator[Message]) -> None:
        gate = CreditGate()
        self._credits[request_id] = gate
        async with aclosing(_as_generator(items)) as generator:
            async for item in generator:
                await gate.take()
                await self._channel.wait_until_uncongested()
                self._send_reply(FrameKind.STREAM_ITEM, request_id, item)
        self._send(Frame(FrameKind.STREAM_END, request_id))

    def _send_reply(self, kind: FrameKind, request_id: int, reply: Message) -> None:
        """Send a handler's reply; errors say that the request may have run."""
        try:
            self._send(Frame(kind, request_id, body=encode_message(reply)))
        except PasslaneError as error:
            raise error_with_verdict(error, Verdict.MAY_HAVE_RUN) from error

    def _send(self, frame: Frame) -> None:
        if not self._channel.is_closed:
            self._channel.enqueue(frame)

    def _send_error(self, request_id: int, error: PasslaneError) -> None:
        try:
            body = encode_message(ErrorReply.from_exception(error))
        except PasslaneError as encoding_error:
            _log.warning("error_not_sent", code=error.code.value, reason=encoding_error.message)
            unsent = PasslaneError(error.code, "its message can't be sent", verdict=error.verdict)
            body = encode_message(ErrorReply.from_exception(unsent))
        self._send(Frame(FrameKind.ERROR, request_id, body=body))

    def _queue_one_way(self, message: Message) -> None:
        if len(self._one_way_messages) >= MAX_QUEUED_ONE_WAY:
            _log.warning("one_way_dropped", message=type(message).__name__)
            return
        self._one_way_messages.append(message)
        self._one_way_arrived.set()

    async def _handle_one_way_messages(self) -> None:
        """Handle messages in order, without waiting between queued ones."""
        while True:
            if not self._one_way_messages:
                self._one_way_arrived = anyio.Event()
                await self._one_way_arrived.wait()
            await self._handle_one_way(self._one_way_messages.popleft())

    async def _handle_one_way(self, message: Message) -> None:
        handler = self._router.one_way_handler(message)
        if handler is None:
            return
        try:
            await handler(message)
        except Exception:
            _log.exception("handler_failed", request=type(message).__name__)


async def _as_generator(items: AsyncIterator[Message]) -> AsyncGenerator[Message, None]:
    """Yield from ``items`` and close it when this generator is closed."""
    try:
        async for item in items:
            yield item
    finally:
        close = getattr(items, "aclose", None)
        if close is not None:
            await close()
