"""HTTP interface of a control replica for the platform's operators."""

import re

import msgspec

from passlane.api.asgi import (
    Receive,
    Request,
    Response,
    Scope,
    Send,
    json_response,
    read_request,
    send_response,
)
from passlane.errors import ErrorCode, PasslaneError
from passlane.fleet.operator import FleetOperator
from passlane.observability.logging import get_logger
from passlane.platform import names
from passlane.platform.configuration_format import parse_configuration

MAX_BODY_BYTES = 16_000_000
OK = 200

_STATUS_OF_CODE = {
    ErrorCode.INVALID_DOCUMENT: 400,
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.METHOD_NOT_ALLOWED: 405,
    ErrorCode.VERSION_CONFLICT: 409,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.FRAME_TOO_LARGE: 413,
}
_UNAVAILABLE = 503
_RETIRE_PATH = re.compile(names.RETIRE_PATH_PATTERN)

_log = get_logger(__name__)


class _Acknowledgement(msgspec.Struct, frozen=True):
    """Body of the answer to an accepted configuration."""

    version: int


class _Problem(msgspec.Struct, frozen=True):
    """Body of a refusal."""

    reason: str


class _Retirement(msgspec.Struct, frozen=True):
    """State of the retirement of a store machine."""

    state: str


class OperatorApi:
    """ASGI application for the operators' address."""

    def __init__(self, operator: FleetOperator) -> None:
        self._operator = operator

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        try:
            request = await read_request(scope, receive, MAX_BODY_BYTES)
            response = await self._answer(request)
        except PasslaneError as error:
            status = _STATUS_OF_CODE.get(error.code, _UNAVAILABLE)
            _log.info(
                "operator_refused",
                path=scope["path"],
                status=status,
                code=error.code.value,
                message=error.message,
            )
            # The rest of a body that is too large isn't read, so the connection can't be reused.
            must_close = error.code is ErrorCode.BODY_TOO_LARGE
            headers = {"connection": "close"} if must_close else {}
            response = json_response(status, _Problem(error.message), headers)
        await send_response(send, response)

    async def _answer(self, request: Request) -> Response:
        if request.path == names.PUT_CONFIGURATION_PATH and request.method == "POST":
            configuration = parse_configuration(request.body)
            version = await self._operator.replace_configuration(configuration)
            return json_response(OK, _Acknowledgement(version))
        if request.path == names.GET_CONFIGURATION_PATH and request.method == "GET":
            stored = await self._operator.read_configuration()
            return Response(status=OK, body=stored.source)
        if match := _RETIRE_PATH.fullmatch(request.path):
            return await self._answer_retirement(request, match)
        raise PasslaneError(ErrorCode.NOT_FOUND, f"{request.method} {request.path} is unknown")

    async def _answer_retirement(self, request: Request, match: re.Match[str]) -> Response:
        is_start = match["verb"] == "start"
        if request.method != ("POST" if is_start else "GET"):
            raise PasslaneError(ErrorCode.METHOD_NOT_ALLOWED, f"{request.method} is not allowed")
        if is_start:
            retirement = await self._operator.retire_store(match["name"])
        else:
            retirement = await self._operator.read_retirement(match["name"])
        return json_response(OK, _Retirement(retirement.state.value))
