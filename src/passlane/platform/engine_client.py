"""Sends requests to the platform's engines and applications."""

from collections.abc import AsyncGenerator, AsyncIterator, Mapping
from contextlib import aclosing, asynccontextmanager

import anyio
import msgspec

from passlane.decisions.failure.answer_verdicts import ANSWER_STATUSES
from passlane.decisions.inputs.answer_head import AnswerHead, BodyFraming, Refusal
from passlane.decisions.inputs.relayed_call import Header, RelayedCall
from passlane.messages.listing import BackendRecord
from passlane.observability.logging import get_logger
from passlane.platform import names
from passlane.relay.backends import BackendRequest
from passlane.runtime.interfaces import (
    HttpClient,
    HttpConnectionError,
    HttpRequest,
    HttpResponse,
)
from passlane.runtime.reach import BackendReach, check_reach

WRONG_INSTANCE_STATUS = 421
MIN_FAILURE_STATUS = 300
MIN_REFUSAL_STATUS = 400
STATUSES_WITHOUT_BODY = frozenset({204, 304})
MAX_REFUSAL_BYTES = 4_096
"""Maximum size of a refusal's body that is read in order to reuse the connection."""
REFUSAL_READ_TIMEOUT_S = 0.03
"""Timeout for reading a refusal's body, which delays the request's next attempt."""
MILLISECONDS_PER_SECOND = 1_000
INSTANCE_CHECK_TIMEOUT_S = 1.0
"""Timeout of a check, which waits for a slot as a request does."""

_log = get_logger(__name__)


class EngineAnswer:
    """An engine's answer; implements ``relay.backends.BackendAnswer``."""

    def __init__(self, response: HttpResponse, call: RelayedCall) -> None:
        self._response = response
        self.head = _head_of(response, call)

    def chunks(self) -> AsyncGenerator[bytes, None]:
        """Return the chunks of the body as they arrive."""
        return self._response.chunks()


class EngineClient:
    """Implements ``relay.backends.RelayBackends``."""

    def __init__(self, http_client: HttpClient) -> None:
        self._http_client = http_client

    def has_idle_connection(self, backend: BackendRecord) -> bool:
        """Whether a request can be sent without opening a connection."""
        return self._http_client.has_idle_connection(backend.address)

    async def check_reach(self, backend: BackendRecord) -> BackendReach:
        """Try to open a connection to a backend; return what came of it."""
        return await check_reach(self._http_client, backend.address)

    async def check_instance(self, backend: BackendRecord, health_path: str) -> BackendReach:
        """Ask a backend for its health; return whether it answered, another one, or none."""
        request = HttpRequest(
            method="GET",
            address=backend.address,
            path=health_path,
            headers={names.TARGET_INSTANCE: backend.instance_id},
            server=backend.incarnation,
        )
        with anyio.move_on_after(INSTANCE_CHECK_TIMEOUT_S):
            reach = await self._exchange_check(request, backend)
            if reach is not BackendReach.NO_ANSWER:
                return reach
            # An idle connection may have been closed long before the check.
            fresh = msgspec.structs.replace(request, fresh_connection=True)
            return await self._exchange_check(fresh, backend)
        return BackendReach.NO_ANSWER

    async def _exchange_check(self, request: HttpRequest, backend: BackendRecord) -> BackendReach:
        try:
            async with self._http_client.exchange(request) as response:
                reach = _reach_shown_by(response, backend)
                await _read_refusal_body(response, names.INSTANCE_ID)
                return reach
        except HttpConnectionError as error:
            return BackendReach.REFUSED if error.is_refused else BackendReach.NO_ANSWER

    @asynccontextmanager
    async def exchange(
        self, backend: BackendRecord, request: BackendRequest
    ) -> AsyncIterator[EngineAnswer]:
        """Send a request and yield its answer; read a refusal to its end afterwards."""
        call = request.call
        http_request = HttpRequest(
            method=call.method,
            address=backend.address,
            path=call.target,
            headers=_headers_for(backend, request),
            body=request.body,
            host=call.host,
            answer_key=call.request_id,
            server=backend.incarnation,
            held=request.held,
        )
        async with self._http_client.exchange(http_request) as response:
            answer = EngineAnswer(response, call)
            yield answer
            if answer.head.refusal is not None:
                await _read_refusal_body(response, call.request_id)


async def _read_refusal_body(response: HttpResponse, request_id: str) -> None:
    """Read a refusal to its end, so that its connection can be reused.

    A body that is too long, incomplete or too slow is abandoned, which closes the connection.
    """
    size = 0
    try:
        with anyio.move_on_after(REFUSAL_READ_TIMEOUT_S):
            async with aclosing(response.chunks()) as chunks:
                async for chunk in chunks:
                    size += len(chunk)
                    if size > MAX_REFUSAL_BYTES:
                        return
    except HttpConnectionError as error:
        _log.info("refusal_broke_off", request_id=request_id, error=str(error))


def _headers_for(backend: BackendRecord, request: BackendRequest) -> dict[str, str]:
    headers: dict[str, str] = {}
    for header in request.call.headers:
        previous = headers.get(header.name)
        headers[header.name] = f"{previous}, {header.value}" if previous else header.value
    headers[names.DEADLINE_MS] = str(int(request.remaining_s * MILLISECONDS_PER_SECOND))
    headers[names.TARGET_INSTANCE] = backend.instance_id
    if request.engine_priority is not None:
        headers[names.REQUEST_PRIORITY] = str(request.engine_priority)
    if request.tenant_name:
        headers[names.TENANT] = request.tenant_name
    if request.last_event_id is not None:
        headers[names.LAST_EVENT_ID] = request.last_event_id
    return headers


def _reach_shown_by(response: HttpResponse, backend: BackendRecord) -> BackendReach:
    """Return which instance answered; one that refuses names itself only as another one."""
    if response.status not in ANSWER_STATUSES:
        return BackendReach.NO_ANSWER
    named = response.headers.get(names.INSTANCE_ID)
    if response.status == WRONG_INSTANCE_STATUS or named not in (None, backend.instance_id):
        return BackendReach.OTHER_INSTANCE
    if named is not None or names.NOT_EXECUTED in response.headers:
        return BackendReach.SAME_INSTANCE
    return BackendReach.NO_ANSWER


def _echoes_request_id(headers: Mapping[str, str], request_id: str) -> bool:
    """Return whether an answer belongs to this request; engines echo the id in every answer."""
    return headers.get(names.ATTEMPT_ID) == request_id


def _head_of(response: HttpResponse, call: RelayedCall) -> AnswerHead:
    headers = response.headers
    is_matching = _echoes_request_id(headers, call.request_id)
    has_body = call.method != "HEAD" and response.status not in STATUSES_WITHOUT_BODY
    length = headers.get("content-length")
    return AnswerHead(
        status=response.status,
        headers=tuple(
            Header(name, value)
            for name, value in headers.items()
            if name not in names.CONNECTION_HEADERS
        ),
        refusal=_refusal_of(response) if is_matching else None,
        is_authentic=is_matching and _has_required_headers(response.status, headers),
        length=int(length) if length is not None else None,
        framing=_framing_of(headers) if has_body else BodyFraming.LENGTH,
        media_type=_media_type_of(headers),
    )


def _media_type_of(headers: Mapping[str, str]) -> str:
    media_type, _, _ = headers.get("content-type", "").partition(";")
    return media_type.strip().lower()


def _framing_of(headers: Mapping[str, str]) -> BodyFraming:
    if "transfer-encoding" in headers:
        return BodyFraming.CHUNKS
    return BodyFraming.LENGTH if "content-length" in headers else BodyFraming.CONNECTION


def _refusal_of(response: HttpResponse) -> Refusal | None:
    if response.status == WRONG_INSTANCE_STATUS:
        return Refusal.WRONG_INSTANCE
    if response.status < MIN_REFUSAL_STATUS:
        return None
    return Refusal.NOT_EXECUTED if names.NOT_EXECUTED in response.headers else None


def _has_required_headers(status: int, headers: Mapping[str, str]) -> bool:
    """Return whether a success has the engine's signature and an unencoded body.

    A success with the header ``NOT_EXECUTED`` is contradictory and doesn't count. Other statuses
    require no headers.
    """
    if status >= MIN_FAILURE_STATUS:
        return True
    is_consistent = "content-encoding" not in headers and names.NOT_EXECUTED not in headers
    return is_consistent and names.SIGNATURE in headers
