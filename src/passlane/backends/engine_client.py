"""Client of a model engine: token streams, load reports, cache events and fenced orders."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import anyio
import msgspec

from passlane.backends.failures import (
    BackendError,
    error_from_connection,
    error_from_response,
    error_from_timeout,
    read_body,
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

STREAM_END = b"[DONE]"
JSON_HEADERS = {"content-type": "application/json"}
STALE_ORDER_STATUS = 409
MAX_REPLY_BYTES = 16_000_000
DEADLINE_STEP_S = 0.25
"""Steps in which the deadline of a stream is moved."""

BODY_END_TIMEOUT_S = 0.1
"""Maximum time from the last event of an answer to the end of the body."""

_chunk_decoder = msgspec.json.Decoder(EngineChunk)

ReplyBody = TypeVar("ReplyBody")
ChunkHandler = Callable[[EngineChunk], None]


@dataclass(frozen=True, slots=True)
class EngineTimeouts:
    """Timeouts of requests to an engine, in seconds.

    Attributes
    ----------
    first_token_s
        Maximum time from the request to the first token, including the engine's queue.
    next_token_s
        Maximum time between two tokens; after it the engine is assumed to hang.
    control_s
        Timeout of load reports, cache requests, orders and cancels.
    """

    first_token_s: float = 30.0
    next_token_s: float = 5.0
    control_s: float = 2.0


class _ChatReader:
    """Parses the bytes of one answer's stream into chunks.

    Attributes
    ----------
    final
        The last event of the answer; ``None`` before it is received.
    """

    def __init__(self, attempt_id: str, on_chunk: ChunkHandler) -> None:
        self.final: EngineChunk | None = None
        self._attempt_id = attempt_id
        self._on_chunk = on_chunk
        self._lines = EventDataParser()

    def feed(self, data: bytes) -> None:
        """Parse more bytes; raise ``BackendError`` when they are invalid."""
        try:
            for line in self._lines.feed(data):
                if line != STREAM_END:
                    self._process(_chunk_decoder.decode(line))
        except (ValueError, msgspec.MsgspecError, RecursionError) as error:
            raise _invalid_answer(error) from error

    def _process(self, chunk: EngineChunk) -> None:
        if chunk.attempt_id != self._attempt_id or self.final is not None:
            return
        if chunk.finish_reason is not None:
            self.final = chunk
        else:
            self._on_chunk(chunk)


def _move_deadline(scope: anyio.CancelScope, limit_s: float) -> None:
    """Set the deadline of ``scope`` to ``limit_s`` from now, or up to ``DEADLINE_STEP_S`` later.

    Setting a deadline is slower than reading a token, so it is moved in steps.
    """
    deadline = anyio.current_time() + limit_s
    if not deadline <= scope.deadline <= deadline + DEADLINE_STEP_S:
        scope.deadline = deadline + DEADLINE_STEP_S


class EngineClient:
    """Sends requests to one engine; the HTTP client owns the connections."""

    def __init__(
        self, http: HttpClient, address: Address, timeouts: EngineTimeouts | None = None
    ) -> None:
        self._http = http
        self._address = address
        self._timeouts = timeouts or EngineTimeouts()

    async def stream_chat(self, request: EngineChatRequest, on_chunk: ChunkHandler) -> EngineChunk:
        """Run a chat request, pass each token to ``on_chunk`` and return the last event.

        Chunks with another attempt's id are ignored. An error or a cancellation closes the
        connection, which also frees the engine's slot.

        Raises
        ------
        BackendError
            With the verdict that follows from the failure.
        """
        http_request = self._post("/v1/chat/completions", request)
        reader = _ChatReader(request.attempt_id, on_chunk)
        timeout_s = self._timeouts.first_token_s
        try:
            with anyio.move_on_after(timeout_s) as scope:
                async with self._http.exchange(http_request) as response:
                    if response.status != 200:
                        raise await error_from_response(response)
                    await self._read_stream(response, reader, scope)
        except HttpConnectionError as error:
            if reader.final is None:
                raise error_from_connection(error) from error
        if reader.final is not None:
            return reader.final
        if scope.cancelled_caught:
            raise error_from_timeout(timeout_s)
        raise BackendError(
            ErrorCode.BACKEND_FAILED,
            "the engine's stream ended before the answer",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    async def _read_stream(
        self, response: HttpResponse, reader: "_ChatReader", scope: anyio.CancelScope
    ) -> None:
        """Read to the end of the body, so that the connection can be reused."""
        async for data in response.chunks():
            reader.feed(data)
            limit_s = self._timeouts.next_token_s if reader.final is None else BODY_END_TIMEOUT_S
            _move_deadline(scope, limit_s)

    async def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt at the engine; raise ``BackendError`` if the request fails."""
        await self._fetch(self._post("/v1/cancel", EngineCancel(attempt_id)))

    async def read_load(self) -> EngineLoad:
        """Return the engine's load report; raise ``BackendError``."""
        return _decode(await self._fetch(self._get("/v1/load")), EngineLoad)

    async def read_cache_events(self, after: int) -> CacheEvents:
        """Return the cache events after number ``after``; raise ``BackendError``."""
        body = await self._fetch(self._get(f"/v1/cache/events?after={after}"))
        return _decode(body, CacheEvents)

    async def read_cache(self) -> CacheSnapshot:
        """Return a snapshot of the engine's cache; raise ``BackendError``."""
        return _decode(await self._fetch(self._get("/v1/cache")), CacheSnapshot)

    async def order(self, order: EngineOrder) -> OrderReply:
        """Send a fenced order.

        Raises
        ------
        BackendError
            ``STALE_FENCING_TOKEN`` when the engine has received a higher token.
        """
        try:
            body = await self._fetch(self._post("/v1/orders", order))
        except BackendError as error:
            if error.status != STALE_ORDER_STATUS:
                raise
            raise BackendError(
                ErrorCode.STALE_FENCING_TOKEN,
                "the engine has received a higher fencing token",
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

    async def _fetch(self, request: HttpRequest) -> bytes:
        return await fetch_body(self._http, request, self._timeouts.control_s)


async def fetch_body(http: HttpClient, request: HttpRequest, timeout_s: float) -> bytes:
    """Send a request and return the body of its successful response.

    Raises
    ------
    BackendError
        For a broken connection, a timeout or an error status, with the verdict that follows.
    """
    body = b""
    try:
        with anyio.move_on_after(timeout_s) as scope:
            async with http.exchange(request) as response:
                if not 200 <= response.status < 300:
                    raise await error_from_response(response)
                body = await read_body(response, MAX_REPLY_BYTES)
    except HttpConnectionError as error:
        raise error_from_connection(error) from error
    if scope.cancelled_caught:
        raise error_from_timeout(timeout_s)
    return body


def _decode(body: bytes, reply_type: type[ReplyBody]) -> ReplyBody:
    try:
        return msgspec.json.decode(body, type=reply_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise _invalid_answer(error) from error


def _invalid_answer(error: Exception) -> BackendError:
    return BackendError(
        ErrorCode.BACKEND_FAILED,
        f"the backend's answer is invalid: {error}",
        verdict=Verdict.MAY_HAVE_RUN,
    )
