"""Client of an application: runs tools and reads the state of operations."""

from urllib.parse import quote

import msgspec

from passlane.backends.engine_client import fetch_body
from passlane.backends.failures import BackendError
from passlane.errors import ErrorCode, Verdict
from passlane.messages.backends import OperationState, ToolReply, ToolRequest
from passlane.messages.common import Address
from passlane.runtime.interfaces import HttpClient, HttpRequest

STATUS_TIMEOUT_S = 2.0
"""Maximum time until an application answers a status query."""


class ApplicationClient:
    """Sends requests to one application."""

    def __init__(self, http: HttpClient, address: Address) -> None:
        self._http = http
        self._address = address

    async def run_tool(self, tool: str, request: ToolRequest, timeout_s: float) -> ToolReply:
        """Run a tool and return its answer, whose state is ``DONE``.

        Raises
        ------
        BackendError
            With the verdict that follows from the failure. The error is final, with
            ``not_run``, when the application rejected the operation.
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
            # A failure to connect proves that the tool did not run; on a reused connection it
            # could not be distinguished from a lost answer.
            fresh_connection=True,
        )
        body = await fetch_body(self._http, http_request, timeout_s)
        reply = _decode_reply(body, request.operation_id)
        if reply.state is OperationState.REJECTED:
            message = reply.result or "the application rejected the operation"
            raise BackendError(
                ErrorCode.BACKEND_REFUSED, message, verdict=Verdict.NOT_RUN, is_final=True
            )
        if reply.state is not OperationState.DONE:
            raise BackendError(
                ErrorCode.BACKEND_FAILED,
                f"expected state done from the application, got {reply.state.value}",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        return reply

    async def read_status(self, operation_id: str) -> ToolReply:
        """Return the state of an operation and its result; raise ``BackendError``."""
        http_request = HttpRequest(
            method="GET",
            address=self._address,
            path=f"/v1/operations/{quote(operation_id, safe='')}",
        )
        body = await fetch_body(self._http, http_request, STATUS_TIMEOUT_S)
        return _decode_reply(body, operation_id)


def _decode_reply(body: bytes, operation_id: str) -> ToolReply:
    """Return the decoded reply; raise ``BackendError`` if it is about another operation."""
    try:
        reply = msgspec.json.decode(body, type=ToolReply)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise BackendError(
            ErrorCode.BACKEND_FAILED,
            f"the application's answer is invalid: {error}",
            verdict=Verdict.MAY_HAVE_RUN,
        ) from error
    if reply.operation_id != operation_id:
        raise BackendError(
            ErrorCode.BACKEND_FAILED,
            "the application's answer is about another operation",
            verdict=Verdict.MAY_HAVE_RUN,
        )
    return reply
