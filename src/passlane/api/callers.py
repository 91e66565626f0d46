"""The callers' HTTP interface: programs, chat completions and tools."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from passlane.api.answers import BufferedAnswer, Emit, StreamedAnswer, run_until_disconnect
from passlane.api.asgi import (
    Receive,
    Request,
    Response,
    Scope,
    Send,
    json_response,
    read_request,
    request_headers,
    request_path,
    send_response,
)
from passlane.api.caller_input import (
    ChatBody,
    ProgramBody,
    check_chat,
    check_program,
    checked_json,
    checked_program_id,
    decode_body,
    parse_key_header,
    parse_program_header,
    parse_sequence_header,
    parse_timeout_header,
    program_id_from_key,
)
from passlane.api.caller_output import CompletionWriter, program_view, tool_result
from passlane.api.problems import problem_response
from passlane.api.routing import PathRouter
from passlane.api.tokens import require_token
from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.identifiers import ProgramId, TenantId
from passlane.messages.common import Amounts
from passlane.messages.node import (
    CallRequest,
    CreateProgramRequest,
    EndProgramRequest,
    ReadProgramRequest,
)
from passlane.messages.store import CallKind, ProgramRecord, Turn
from passlane.observability.logging import get_logger
from passlane.runtime.interfaces import AsgiApplication
from passlane.settings.model import Settings

_log = get_logger(__name__)


class NodeApi(Protocol):
    """The part of the node's service that the callers' interface uses."""

    def new_identifier(self) -> str:
        """Return a new identifier that cannot be guessed."""
        ...

    async def run_call(self, request: CallRequest, emit: Emit) -> None:
        """Run a call and pass its events to ``emit``; raise ``PasslaneError``."""
        ...

    async def create_program(self, request: CreateProgramRequest) -> ProgramRecord:
        """Create a program; raise ``PasslaneError``."""
        ...

    async def read_program(self, request: ReadProgramRequest) -> ProgramRecord:
        """Read a program; raise ``PasslaneError``."""
        ...

    async def end_program(self, request: EndProgramRequest) -> None:
        """End a program; raise ``PasslaneError``."""
        ...


@dataclass(frozen=True)
class Exchange:
    """One request of an authenticated tenant, and the ASGI callables to answer it."""

    tenant_id: TenantId
    request: Request
    parameters: Mapping[str, str]
    receive: Receive
    send: Send


Handler = Callable[[Exchange], Awaitable[Response | None]]


def build_caller_application(service: NodeApi, settings: Settings) -> AsgiApplication:
    """Return the ASGI application of the callers' interface."""
    return CallerApplication(service, settings)


class CallerApplication:
    """Routes requests, checks tokens, and turns errors into problem responses."""

    def __init__(self, service: NodeApi, settings: Settings) -> None:
        self._service = service
        self._settings = settings
        self._router: PathRouter[Handler] = PathRouter()
        self._router.add("POST", "/v1/programs", self._create_program)
        self._router.add("GET", "/v1/programs/{id}", self._read_program)
        self._router.add("DELETE", "/v1/programs/{id}", self._end_program)
        self._router.add("POST", "/v1/chat/completions", self._complete_chat)
        self._router.add("POST", "/v1/tools/{tool}", self._run_tool)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection; only HTTP is supported."""
        if scope["type"] != "http":
            return
        try:
            response = await self._serve(scope, receive, send)
        except PasslaneError as error:
            response = problem_response(error)
        except Exception:
            # The outcome of the request is unknown, so it may have run.
            _log.exception("caller_request_failed", path=scope["path"])
            message = "the request failed with an internal error"
            internal_error = PasslaneError(
                ErrorCode.INTERNAL, message, verdict=Verdict.MAY_HAVE_RUN
            )
            response = problem_response(internal_error)
        if response is not None:
            await send_response(send, response)

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> Response | None:
        """Serve a request; return the response if it has not been sent yet."""
        match = self._router.find(scope["method"], request_path(scope))
        token = require_token(request_headers(scope), self._settings.security.callers)
        if token.tenant is None:
            raise PasslaneError(ErrorCode.FORBIDDEN, "the token belongs to no tenant")
        request = await read_request(scope, receive, self._settings.node.max_body_bytes)
        exchange = Exchange(token.tenant, request, match.parameters, receive, send)
        return await match.handler(exchange)

    # Programs.

    async def _create_program(self, exchange: Exchange) -> Response:
        body = decode_body(exchange.request.body or b"{}", ProgramBody)
        check_program(body)
        key = parse_key_header(exchange.request.headers)
        tenant_id = exchange.tenant_id
        if key is None:
            program_id = ProgramId(f"p-{self._service.new_identifier()}")
        else:
            program_id = program_id_from_key(tenant_id, key)
        request = CreateProgramRequest(
            request_id=self._service.new_identifier(),
            tenant_id=tenant_id,
            program_id=program_id,
            budget=body.budget or Amounts(),
            parent_id=body.parent_id,
            deadline_s=body.deadline_s,
        )
        record = await self._service.create_program(request)
        headers = {"location": f"/v1/programs/{record.program_id}"}
        return json_response(201, program_view(record), headers)

    async def _read_program(self, exchange: Exchange) -> Response:
        request = ReadProgramRequest(
            request_id=self._service.new_identifier(),
            tenant_id=exchange.tenant_id,
            program_id=checked_program_id(exchange.parameters["id"]),
        )
        return json_response(200, program_view(await self._service.read_program(request)))

    async def _end_program(self, exchange: Exchange) -> Response:
        request = EndProgramRequest(
            request_id=self._service.new_identifier(),
            tenant_id=exchange.tenant_id,
            program_id=checked_program_id(exchange.parameters["id"]),
        )
        await self._service.end_program(request)
        return Response(status=204)

    # Calls.

    async def _complete_chat(self, exchange: Exchange) -> Response | None:
        body = decode_body(exchange.request.body, ChatBody)
        check_chat(body)
        request = self._call_request(
            exchange,
            kind=CallKind.MODEL,
            target=body.model,
            turns=tuple(message.to_turn() for message in body.messages),
            max_tokens=body.token_limit,
        )
        writer = CompletionWriter(
            request.request_id, body.model, request.program_id, body.token_limit
        )
        if body.stream:
            answer = StreamedAnswer(exchange.send, writer)
            await run_until_disconnect(self._service.run_call, request, answer, exchange.receive)
            return None
        buffered = BufferedAnswer()
        await run_until_disconnect(self._service.run_call, request, buffered, exchange.receive)
        return json_response(200, writer.completion(buffered.answered()))

    async def _run_tool(self, exchange: Exchange) -> Response:
        request = self._call_request(
            exchange,
            kind=CallKind.TOOL,
            target=exchange.parameters["tool"],
            arguments=checked_json(exchange.request.body),
        )
        buffered = BufferedAnswer()
        await run_until_disconnect(self._service.run_call, request, buffered, exchange.receive)
        return json_response(200, tool_result(request.program_id, buffered.answered()))

    def _call_request(
        self,
        exchange: Exchange,
        *,
        kind: CallKind,
        target: str,
        turns: tuple[Turn, ...] = (),
        arguments: str = "",
        max_tokens: int = 0,
    ) -> CallRequest:
        headers = exchange.request.headers
        sequence = parse_sequence_header(headers)
        key = parse_key_header(headers)
        return CallRequest(
            request_id=self._service.new_identifier(),
            tenant_id=exchange.tenant_id,
            program_id=parse_program_header(headers),
            kind=kind,
            target=target,
            turns=turns,
            arguments=arguments,
            max_tokens=max_tokens,
            sequence=sequence,
            idempotency_key=key,
            timeout_s=parse_timeout_header(headers, self._settings.node.call_timeout_s),
            is_named=sequence is not None or key is not None,
        )
