"""Client of a model engine: streams of tokens, load, cache events, fenced orders."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import anyio
import msgspec

from passlane.backends.failures import (
    BackendError,
    error_of_connection,
    error_of_response,
    error_of_timeout,
    read_whole,
)
from passlane.errors import ErrorCode, Verdict
from passlane.event_streams.event_data import EventDataParser
from passlane.messages.backends import (
    CacheEvents,
    CacheSnapshot,
    EngineCancel,
    EngineChatRequest,
    EngineChunk,
    EngineLoad,
    EngineOrder,
    OrderReply,
)
from passlane.messages.common import Address
from passlane.runtime.interfaces import (
    HttpClient,
    HttpConnectionError,
    HttpRequest,
    HttpResponse,
)

END_OF_STREAM = b"[DONE]"
JSON_HEADERS = {"content-type": "application/json"}
STALE_ORDER_STATUS = 409
MAX_REPLY_BYTES = 16_000_000
DEADLINE_STEP_S = 0.25
END_OF_BODY_S = 0.1
"""How long an engine may take to end the body after the answer; then it is cut off."""

_chunk_decoder = msgspec.json.Decoder(EngineChunk)

ReplyBody = TypeVar("ReplyBody")
ChunkHandler = Callable[[EngineChunk], None]


@dataclass(frozen=True, slots=True)
class EngineTimeouts:
    """How long an engine may stay silent, in seconds.

    Attributes
    ----------
    first_token_s
        From the request to the first token; the engine may queue the request meanwhile.
    next_token_s
        Between two tokens; longer means that the engine hangs.
    control_s
        For load reports, cache events, orders and cancels.
    """

    first_token_s: float = 30.0
    next_token_s: float = 5.0
    control_s: float = 2.0


class _ChatReader:
    """Takes the bytes of one answer's stream apart.

    Attributes
    ----------
    final
        The event that ended the answer, once it has come.
    """

    def __init__(self, attempt_id: str, on_chunk: ChunkHandler) -> None:
        self.final: EngineChunk | None = None
        self._attempt_id = attempt_id
        self._on_chunk = on_chunk
        self._lines = EventDataParser()

    def feed(self, data: bytes) -> None:
        """Take more bytes; raise ``BackendError`` when they can't be read."""
        try:
            for line in self._lines.feed(data):
                if line != END_OF_STREAM:
                    self._take(_chunk_decoder.decode(line))
        except (ValueError, msgspec.MsgspecError) as error:
            raise _unreadable(error) from error

    def _take(self, chunk: EngineChunk) -> None:
        if chunk.attempt_id != self._attempt_id or self.final is not None:
            return
        if chunk.finish_reason is not None:
            self.final = chunk
        else:
            self._on_chunk(chunk)


def _move_deadline(scope: anyio.CancelScope, limit_s: float) -> None:
    """Let ``scope`` end after ``limit_s`` of silence, or up to ``DEADLINE_STEP_S`` later.

    Setting a deadline costs more than reading a token, so it is moved in steps.
    """
    deadline = anyio.current_time() + limit_s
    if not deadline <= scope.deadline <= deadline + DEADLINE_STEP_S:
        scope.deadline = deadline + DEADLINE_STEP_S


class EngineClient:
    """Speaks to one engine. Holds no connection itself: the HTTP client owns them."""

    def __init__(
        self, http: HttpClient, address: Address, timeouts: EngineTimeouts | None = None
    ) -> None:
        self._http = http
        self._address = address
        self._timeouts = timeouts or EngineTimeouts()

    async def stream_chat(self, request: EngineChatRequest, on_chunk: ChunkHandler) -> EngineChunk:
        """Run a chat request, give each token to ``on_chunk`` and return the last event.

        Chunks that carry another attempt's id are dropped. Leaving early, by an error or
        by cancellation, closes the connection, which frees the engine's slot too.

        Raises
        ------
        BackendError
            With the verdict that the failure proves.
        """
        http_request = self._post("/v1/chat/completions", request)
        reader = _ChatReader(request.attempt_id, on_chunk)
        silence_s = self._timeouts.first_token_s
        try:
            with anyio.move_on_after(silence_s) as silence:
                async with self._http.exchange(http_request) as response:
                    if response.status != 200:
                        raise await error_of_response(response)
                    await self._read_stream(response, reader, silence)
        except HttpConnectionError as error:
            if reader.final is None:
                raise error_of_connection(error) from error
        if reader.final is not None:
            return reader.final
        if silence.cancelled_caught:
            raise error_of_timeout(silence_s)
        raise BackendError(
            ErrorCode.BACKEND_FAILED,
            "the engine's stream ended before the answer",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    async def _read_stream(
        self, response: HttpResponse, reader: "_ChatReader", silence: anyio.CancelScope
    ) -> None:
        """Read to the end of the body, so that the connection can be used again."""
        async for data in response.chunks():
            reader.feed(data)
            limit_s = self._timeouts.next_token_s if reader.final is None else END_OF_BODY_S
            _move_deadline(silence, limit_s)

    async def cancel(self, attempt_id: str) -> None:
        """Ask the engine to stop an attempt; raise ``BackendError`` if it cannot be asked."""
        await self._exchange(self._post("/v1/cancel", EngineCancel(attempt_id)))

    async def read_load(self) -> EngineLoad:
        """Return the engine's load report; raise ``BackendError``."""
        return _decode(await self._exchange(self._get("/v1/load")), EngineLoad)

    async def read_cache_events(self, after: int) -> CacheEvents:
        """Return the cache events after number ``after``; raise ``BackendError``."""
        body = await self._exchange(self._get(f"/v1/cache/events?after={after}"))
        return _decode(body, CacheEvents)

    async def read_cache(self) -> CacheSnapshot:
        """Return what the whole cache holds; raise ``BackendError``."""
        return _decode(await self._exchange(self._get("/v1/cache")), CacheSnapshot)

    async def order(self, order: EngineOrder) -> OrderReply:
        """Give a fenced order.

        Raises
        ------
        BackendError
            ``STALE_FENCING_TOKEN`` when the engine has seen a higher token.
        """
        try:
            body = await self._exchange(self._post("/v1/orders", order))
        except BackendError as error:
            if error.status != STALE_ORDER_STATUS:
                raise
            raise BackendError(
                ErrorCode.STALE_FENCING_TOKEN,
                "the engine has seen a newer fencing token",
                verdict=Verdict.NOT_RUN,
            ) from error
        return _decode(body, OrderReply)

    def _get(self, path: str) -> HttpRequest:
        return HttpRequest(method="GET", address=self._address, path=path)

    def _post(self, path: str, body: msgspec.Struct) -> HttpRequest:
        return HttpRequest(
            method="POST",
            address=self._address,
            path=path,
            headers=JSON_HEADERS,
            body=msgspec.json.encode(body),
        )

    async def _exchange(self, request: HttpRequest) -> bytes:
        return await exchange_whole(self._http, request, self._timeouts.control_s)


async def exchange_whole(http: HttpClient, request: HttpRequest, timeout_s: float) -> bytes:
    """Send a request and return the body of its successful answer.

    Raises
    ------
    BackendError
        For a broken connection, a time-out or an error status, with its verdict.
    """
    body = b""
    try:
        with anyio.move_on_after(timeout_s) as scope:
            async with http.exchange(request) as response:
                if not 200 <= response.status < 300:
                    raise await error_of_response(response)
                body = await read_whole(response, MAX_REPLY_BYTES)
    except HttpConnectionError as error:
        raise error_of_connection(error) from error
    if scope.cancelled_caught:
        raise error_of_timeout(timeout_s)
    return body


def _decode(body: bytes, reply_type: type[ReplyBody]) -> ReplyBody:
    try:
        return msgspec.json.decode(body, type=reply_type)
    except msgspec.MsgspecError as error:
        raise _unreadable(error) from error


def _unreadable(error: Exception) -> BackendError:
    return BackendError(
        ErrorCode.BACKEND_FAILED,
        f"the back end's answer cannot be read: {error}",
        verdict=Verdict.MAY_HAVE_RUN,
    )
