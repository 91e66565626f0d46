"""The engines' HTTP protocol over an engine service, as an ASGI application."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import msgspec

from passlane.emulator.answer_text import Answer, count_tokens
from passlane.emulator.asgi import (
    STATUS_ACCEPTED,
    STATUS_BAD_REQUEST,
    STATUS_CONFLICT,
    STATUS_NOT_FOUND,
    STATUS_OK,
    STATUS_OTHER_VERSION,
    STATUS_UNAVAILABLE,
    Exchange,
    Route,
    build_application,
)
from passlane.emulator.engine_outputs import (
    FinishedRequest,
    FinishReason,
    RefusalReason,
    Submission,
)
from passlane.emulator.engine_service import EngineService, RequestRefusedError, StreamItem
from passlane.emulator.engine_settings import EngineModelSettings
from passlane.errors import ErrorCode
from passlane.messages.backends import (
    EngineCancel,
    EngineChatRequest,
    EngineChunk,
    EngineOrder,
    OrderKind,
)
from passlane.messages.common import Address
from passlane.runtime.interfaces import AsgiApplication

FINISH_STOP = "stop"
FINISH_LENGTH = "length"
EVENT_PREFIX = b"data: "
EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
UNFINISHED_EVENT = b'data: {"attempt_id":'
ENDLESS_PART = b"data: " + b"x" * 20_000
"""What an engine sends that breaks off inside an event."""

CacheReader = Callable[[Address, str], Awaitable[int]]
"""Asks the engine at an address how many tokens it holds for a program."""

RETRY_AFTER_S = 0.5
"""When to come back to an engine whose queue is full."""


@dataclass(frozen=True)
class _Refusal:
    """How a reason to take no request looks in HTTP."""

    status: int
    code: ErrorCode
    retry_after_s: float | None = None


_REFUSALS = {
    RefusalReason.QUEUE_FULL: _Refusal(STATUS_UNAVAILABLE, ErrorCode.QUEUE_FULL, RETRY_AFTER_S),
    RefusalReason.MODEL_NOT_LOADED: _Refusal(STATUS_NOT_FOUND, ErrorCode.UNKNOWN_MODEL),
    RefusalReason.STALE_EPOCH: _Refusal(STATUS_CONFLICT, ErrorCode.STALE_FENCING_TOKEN),
    RefusalReason.TOO_LONG: _Refusal(STATUS_BAD_REQUEST, ErrorCode.LIMIT_EXCEEDED),
    RefusalReason.OTHER_VERSION: _Refusal(STATUS_OTHER_VERSION, ErrorCode.BACKEND_REFUSED),
    RefusalReason.DUPLICATE_ATTEMPT: _Refusal(STATUS_CONFLICT, ErrorCode.BACKEND_REFUSED),
}


class CancelReply(msgspec.Struct, frozen=True):
    """Answer to a cancel: whether the attempt was waiting or running."""

    cancelled: bool


def build_engine_application(
    service: EngineService,
    read_remote_cache: CacheReader | None = None,
    one_way_delay_s: float = 0.0,
) -> AsgiApplication:
    """Return the application that serves an engine.

    Parameters
    ----------
    service
        The engine; its ``run`` must be under way.
    read_remote_cache
        How to ask another engine before importing from it; without it imports are empty.
    one_way_delay_s
        Added to requests and to answers, as if the engine stood this far away.
    """
    handlers = _EngineHandlers(service, read_remote_cache, one_way_delay_s)
    return build_application(
        (
            Route("POST", "/v1/chat/completions", handlers.chat),
            Route("POST", "/v1/cancel", handlers.cancel),
            Route("GET", "/v1/load", handlers.load),
            Route("GET", "/v1/cache/events", handlers.cache_events),
            Route("GET", "/v1/cache", handlers.cache),
            Route("POST", "/v1/orders", handlers.order),
            Route("POST", "/v1/test/restart", handlers.restart),
            Route("GET", "/v1/test/quiet", handlers.quiet),
        )
    )


class EngineQuiet(msgspec.Struct, frozen=True):
    """Seconds since an engine's last request; ``None`` if there never was one."""

    quiet_s: float | None


class _EngineHandlers:
    """One method for each path of the engines' protocol."""

    def __init__(
        self,
        service: EngineService,
        read_remote_cache: CacheReader | None,
        one_way_delay_s: float,
    ) -> None:
        self._service = service
        self._read_remote_cache = read_remote_cache
        self._delay_s = one_way_delay_s

    async def chat(self, exchange: Exchange) -> None:
        """Serve ``POST /v1/chat/completions`` as a stream of server-sent events."""
        request = msgspec.json.decode(exchange.request.body, type=EngineChatRequest)
        # The way back is waited for here too, which spares a timer for each token.
        await anyio.sleep(2 * self._delay_s)
        settings = self._service.settings
        answer = Answer(
            request.model,
            request.messages,
            request.seed,
            settings.answer_tokens_min,
            settings.answer_tokens_max,
            settings.software_version,
        )
        try:
            if _is_of_other_version(request, settings):
                raise RequestRefusedError(RefusalReason.OTHER_VERSION)
            async with (
                self._service.stream(_submission(request, answer)) as items,
                anyio.create_task_group() as watchers,
            ):
                watchers.start_soon(_cancel_on_disconnect, exchange, watchers.cancel_scope)
                await exchange.start_events(ends_with_connection=settings.ends_with_connection)
                is_complete = False
                if self._is_endless():
                    await _send_without_end(exchange, settings.step_base_s)
                async for item in items:
                    await self._send_item(exchange, request, answer, item)
                    is_complete = _is_complete_with(item)
                    if not _holds_text(request, settings.ends_under):
                        continue
                    if settings.ends_after_s:
                        self._service.end_later(settings.ends_after_s)
                        break
                    # Closes this stream and all others.
                    self._service.restart()
                if settings.breaks_inside_event and not is_complete:
                    await exchange.send_part(UNFINISHED_EVENT)
                watchers.cancel_scope.cancel()
        except* RequestRefusedError as group:
            await self._refuse(exchange, group)

    def _is_endless(self) -> bool:
        share = self._service.settings.endless_probability
        return share > 0 and self._service.generator.random() < share

    async def cancel(self, exchange: Exchange) -> None:
        """Serve ``POST /v1/cancel``."""
        request = msgspec.json.decode(exchange.request.body, type=EngineCancel)
        await self._answer(exchange, CancelReply(self._service.cancel(request.attempt_id)))

    async def load(self, exchange: Exchange) -> None:
        """Serve ``GET /v1/load``."""
        self._service.settle()
        await self._answer(exchange, self._service.model.load_report(anyio.current_time()))

    async def cache_events(self, exchange: Exchange) -> None:
        """Serve ``GET /v1/cache/events?after=N``."""
        after = exchange.request.query.get("after", "0")
        if not after.isdigit():
            await exchange.refuse(
                STATUS_BAD_REQUEST, ErrorCode.BAD_REQUEST, "after must be a number"
            )
            return
        self._service.settle()
        events = self._service.model.cache_events(int(after), anyio.current_time())
        await self._answer(exchange, events)

    async def cache(self, exchange: Exchange) -> None:
        """Serve ``GET /v1/cache``."""
        self._service.settle()
        await self._answer(exchange, self._service.model.cache_snapshot())

    async def order(self, exchange: Exchange) -> None:
        """Serve ``POST /v1/orders``: 200 done, 202 in progress, 409 stale token."""
        order = msgspec.json.decode(exchange.request.body, type=EngineOrder)
        stale = self._service.model.is_stale(order)
        available = 0
        if order.kind is OrderKind.IMPORT_CACHE and not stale:
            available = await self._tokens_elsewhere(order)
        reply = self._service.order(order, available)
        status = STATUS_OK if reply.done else STATUS_ACCEPTED
        if reply.highest_token > order.fencing_token:
            status = STATUS_CONFLICT
        await self._answer(exchange, reply, status)

    async def restart(self, exchange: Exchange) -> None:
        """Serve ``POST /v1/test/restart``, for tests only: lose all memory."""
        self._service.restart()
        await self._answer(exchange, self._service.model.current_load())

    async def quiet(self, exchange: Exchange) -> None:
        """Serve ``GET /v1/test/quiet``, for tests only: how long nobody asked for tokens."""
        await exchange.answer(STATUS_OK, EngineQuiet(self._service.quiet_s()))

    async def _tokens_elsewhere(self, order: EngineOrder) -> int:
        """Ask the engine named by an import order what it holds; 0 if it can't be asked."""
        if self._read_remote_cache is None or order.program_id is None:
            return 0
        try:
            address = Address.parse(order.argument)
            return await self._read_remote_cache(address, order.program_id)
        except (ValueError, OSError):
            return 0

    async def _answer(
        self, exchange: Exchange, body: msgspec.Struct, status: int = STATUS_OK
    ) -> None:
        """Send a whole answer after the way there and back."""
        await anyio.sleep(2 * self._delay_s)
        await exchange.answer(status, body)

    async def _send_item(
        self, exchange: Exchange, request: EngineChatRequest, answer: Answer, item: StreamItem
    ) -> None:
        """Send the events for one item of the stream."""
        if isinstance(item, FinishedRequest):
            if _is_complete_with(item):
                await self._send_end(exchange, request, answer, item)
            return
        chunks = (
            EngineChunk(
                request.attempt_id,
                position,
                answer.token(position),
                software_version=self._service.settings.software_version,
            )
            for position in range(item.first_position, item.end_position)
        )
        await exchange.send_part(b"".join(_event(chunk) for chunk in chunks))

    async def _send_end(
        self,
        exchange: Exchange,
        request: EngineChatRequest,
        answer: Answer,
        item: FinishedRequest,
    ) -> None:
        """Send the event with the usage, the closing event and the end of the body."""
        was_cut = answer.natural_tokens > request.max_tokens
        chunk = EngineChunk(
            attempt_id=request.attempt_id,
            position=_answer_tokens(request, answer),
            finish_reason=FINISH_LENGTH if was_cut else FINISH_STOP,
            prompt_tokens=item.prompt_tokens,
            cached_tokens=item.cached_tokens,
            generated_tokens=item.generated_tokens,
            incarnation=self._service.incarnation,
        )
        await exchange.send_part(_event(chunk) + DONE_EVENT, last=True)

    async def _refuse(
        self, exchange: Exchange, group: BaseExceptionGroup[RequestRefusedError]
    ) -> None:
        """Answer a request that the engine did not take."""
        error = group.exceptions[0]
        if not isinstance(error, RequestRefusedError):
            raise group
        refusal = _REFUSALS[error.reason]
        await exchange.refuse(
            refusal.status, refusal.code, error.reason.value, refusal.retry_after_s
        )


async def _send_without_end(exchange: Exchange, pause_s: float) -> None:
    """Send parts of one line until cancelled, as it is when the client leaves."""
    while True:
        await exchange.send_part(ENDLESS_PART)
        await anyio.sleep(pause_s)


def _is_complete_with(item: StreamItem) -> bool:
    """Whether this item ends an answer as whole."""
    return isinstance(item, FinishedRequest) and item.reason is FinishReason.STOP


def _holds_text(request: EngineChatRequest, text: str) -> bool:
    """Return whether the last message of a request holds a text; never an empty one."""
    last = request.messages[-1].content if request.messages else ""
    return bool(text) and text in last


def _is_of_other_version(request: EngineChatRequest, settings: EngineModelSettings) -> bool:
    """Whether the engine must refuse to continue an answer, as another version began it."""
    own = settings.software_version
    is_checked = settings.checks_version and bool(own)
    return is_checked and request.resume_from > 0 and request.resume_version != own


def _submission(request: EngineChatRequest, answer: Answer) -> Submission:
    """Return the request as numbers."""
    return Submission(
        attempt_id=request.attempt_id,
        program_id=request.program_id,
        model=request.model,
        prompt_tokens=count_tokens(request.messages),
        answer_tokens=_answer_tokens(request, answer),
        epoch=request.epoch,
        priority=request.priority,
        resume_from=request.resume_from,
    )


def _answer_tokens(request: EngineChatRequest, answer: Answer) -> int:
    """Return the length of the whole answer, as cut by the request."""
    return min(answer.natural_tokens, request.max_tokens)


def _event(chunk: EngineChunk) -> bytes:
    """Return a server-sent event."""
    return EVENT_PREFIX + msgspec.json.encode(chunk) + EVENT_END


async def _cancel_on_disconnect(exchange: Exchange, scope: anyio.CancelScope) -> None:
    """Cancel ``scope`` when the client leaves."""
    await exchange.wait_for_disconnect()
    scope.cancel()
