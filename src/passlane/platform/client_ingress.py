"""HTTP interface of a node for the platform's clients."""

from collections.abc import Callable

import anyio

from passlane.api.asgi import (
    Receive,
    Scope,
    Send,
    check_declared_length,
    read_body,
    request_headers,
)
from passlane.decisions.inputs.relayed_call import Header
from passlane.errors import ErrorCode, PasslaneError
from passlane.observability.logging import get_logger
from passlane.platform.answer_writer import AsgiAnswerWriter
from passlane.platform.request_format import parse_call
from passlane.relay.request_errors import AnswerAbortedError
from passlane.relay.service import RelayService
from passlane.runtime.interfaces import ENDING_STATE, ConnectionEnding

BAD_REQUEST = 400
BODY_TOO_LARGE = 413
INTERNAL_ERROR = 500
DEFAULT_MAX_BODY_BYTES = 4_194_304

_log = get_logger(__name__)


class ClientIngress:
    """ASGI application that forwards clients' requests to the relay.

    Parameters
    ----------
    must_close
        Returns whether answers must close the connection, so that the client reconnects.
    """

    def __init__(self, relay: RelayService, must_close: Callable[[], bool]) -> None:
        self._relay = relay
        self._must_close = must_close

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        arrived_at = anyio.current_time()
        headers = [
            Header(name.decode("latin-1"), value.decode("latin-1"))
            for name, value in scope["headers"]
        ]
        try:
            body = await self._read_body(scope, receive)
            call = parse_call(
                scope["method"], _target(scope), headers, body, arrived_at, _caller_host(scope)
            )
        except PasslaneError as error:
            if not _was_ended(scope):
                await self._refuse(error, AsgiAnswerWriter(send, _always_close))
            return
        writer = AsgiAnswerWriter(send, self._must_close)
        async with anyio.create_task_group() as tasks:
            ending = _ending_of(scope)
            tasks.start_soon(_cancel_on_disconnect, receive, writer, tasks.cancel_scope, ending)
            try:
                await self._relay.handle(call, writer)
            except AnswerAbortedError:
                # Without the end of the body, the server closes the connection, so that the
                # client recognizes the answer as incomplete.
                pass
            except Exception:
                _log.exception("request_failed", request_id=call.request_id)
                if not writer.has_started:
                    await writer.refuse(INTERNAL_ERROR, "internal", None)
            tasks.cancel_scope.cancel()

    async def _read_body(self, scope: Scope, receive: Receive) -> bytes:
        configuration = self._relay.configuration
        limit = configuration.limits.max_body_bytes if configuration else DEFAULT_MAX_BODY_BYTES
        check_declared_length(request_headers(scope), limit)
        return await read_body(receive, limit)

    @staticmethod
    async def _refuse(error: PasslaneError, writer: AsgiAnswerWriter) -> None:
        """Refuse a malformed request without reading the rest of it."""
        _log.info("request_unreadable", code=error.code.value, message=error.message)
        if error.code is ErrorCode.CONNECTION_LOST:
            return
        too_large = error.code is ErrorCode.BODY_TOO_LARGE
        await writer.refuse(BODY_TOO_LARGE if too_large else BAD_REQUEST, error.message, None)


def _ending_of(scope: Scope) -> ConnectionEnding | None:
    ending: ConnectionEnding | None = scope.get("state", {}).get(ENDING_STATE)
    return ending


def _was_ended(scope: Scope) -> bool:
    """Return whether the server has ended the request; it has logged and answered that."""
    ending = _ending_of(scope)
    return ending is not None and bool(ending.reason)


def _always_close() -> bool:
    """Return ``True``: the connection of a malformed request is closed after the answer."""
    return True


async def _cancel_on_disconnect(
    receive: Receive,
    writer: AsgiAnswerWriter,
    scope: anyio.CancelScope,
    ending: ConnectionEnding | None,
) -> None:
    """Cancel the processing of a request when the client's connection ends."""
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            writer.is_abandoned = True
            if ending is not None and ending.reason:
                writer.abandon_reason = ending.reason
            scope.cancel()
            return


def _caller_host(scope: Scope) -> str:
    """Return the host that the connection comes from; empty if the server doesn't tell it."""
    caller = scope.get("client")
    return caller[0] if caller else ""


def _target(scope: Scope) -> str:
    path: str = scope["raw_path"].decode("latin-1")
    query = scope["query_string"]
    return f"{path}?{query.decode('latin-1')}" if query else path
