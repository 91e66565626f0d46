"""Client of an application: tools, and what became of an operation."""

from urllib.parse import quote

import msgspec

from passlane.backends.engine_client import exchange_whole
from passlane.backends.failures import BackendError
from passlane.errors import ErrorCode, Verdict
from passlane.messages.backends import OperationState, ToolReply, ToolRequest
from passlane.messages.common import Address
from passlane.runtime.interfaces import HttpClient, HttpRequest

STATUS_TIMEOUT_S = 2.0
"""How long an application may take to answer a status query."""


class ApplicationClient:
    """Speaks to one application."""

    def __init__(self, http: HttpClient, address: Address) -> None:
        self._http = http
        self._address = address

    async def run_tool(self, tool: str, request: ToolRequest, timeout_s: float) -> ToolReply:
        """Run a tool and return its answer, which is ``DONE``.

        Raises
        ------
        BackendError
            With the verdict that the failure proves; final with ``not_run`` when the
            application rejected the operation.
        """
        http_request = HttpRequest(
            method="POST",
            address=self._address,
            path=f"/v1/tools/{quote(tool, safe='')}",
            headers={
                "content-type": "application/json",
                "idempotency-key": request.operation_id,
            },
            body=msgspec.json.encode(request),
            # On a kept connection a refusal to connect could not be told from a lost answer.
            fresh_connection=True,
        )
        body = await exchange_whole(self._http, http_request, timeout_s)
        reply = _decode_reply(body, request.operation_id)
        if reply.state is OperationState.REJECTED:
            message = reply.result or "the application rejected the operation"
            raise BackendError(
                ErrorCode.BACKEND_REFUSED, message, verdict=Verdict.NOT_RUN, is_final=True
            )
        if reply.state is not OperationState.DONE:
            raise BackendError(
                ErrorCode.BACKEND_FAILED,
                f"the application left the operation in state {reply.state.value}",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        return reply

    async def read_status(self, operation_id: str) -> ToolReply:
        """Return what became of an operation; raise ``BackendError``."""
        http_request = HttpRequest(
            method="GET",
            address=self._address,
            path=f"/v1/operations/{quote(operation_id, safe='')}",
        )
        body = await exchange_whole(self._http, http_request, STATUS_TIMEOUT_S)
        return _decode_reply(body, operation_id)


def _decode_reply(body: bytes, operation_id: str) -> ToolReply:
    """Return the reply if it is about the operation that was asked for."""
    try:
        reply = msgspec.json.decode(body, type=ToolReply)
    except msgspec.MsgspecError as error:
        raise BackendError(
            ErrorCode.BACKEND_FAILED,
            f"the application's answer cannot be read: {error}",
            verdict=Verdict.MAY_HAVE_RUN,
        ) from error
    if reply.operation_id != operation_id:
        raise BackendError(
            ErrorCode.BACKEND_FAILED,
            "the application's answer is about another operation",
            verdict=Verdict.MAY_HAVE_RUN,
        )
    return reply
