"""What the emulated back ends share: exchanges, refusals and answers that break off."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from passlane.api.asgi import (
    JSON_TYPE,
    PROBLEM_TYPE,
    Receive,
    Request,
    Response,
    Send,
    json_response,
    read_request,
    send_chunk,
    send_response,
    start_stream,
)
from passlane.api.routing import PathRouter
from passlane.emulator.http_server import start_stream_without_length
from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.event_streams.whole_events import EVENT_STREAM_TYPE
from passlane.runtime.interfaces import AsgiApplication

STATUS_OK = 200
STATUS_ACCEPTED = 202
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_OTHER_VERSION = 412
STATUS_UNAVAILABLE = 503
MAX_BODY_BYTES = 16_000_000


class Problem(msgspec.Struct, frozen=True):
    """Body of a refusal (RFC 9457) with a code and the verdict: nothing ran."""

    status: int
    code: str
    detail: str
    title: str = "refused"
    verdict: Verdict = Verdict.NOT_RUN


@dataclass(frozen=True)
class Exchange:
    """One HTTP request and the ways to answer it; ``parameters`` come from the path."""

    request: Request
    parameters: Mapping[str, str]
    receive: Receive
    send: Send

    async def answer(self, status: int, body: Any) -> None:
        """Send a whole JSON answer."""
        await send_response(self.send, json_response(status, body))

    async def refuse(
        self, status: int, code: str, detail: str, retry_after_s: float | None = None
    ) -> None:
        """Send a refusal that proves that nothing ran."""
        body = msgspec.json.encode(Problem(status, code, detail))
        headers = {} if retry_after_s is None else {"retry-after": f"{retry_after_s:g}"}
        await send_response(self.send, Response(status, body, PROBLEM_TYPE, headers))

    async def start_events(self, *, ends_with_connection: bool = False) -> None:
        """Send the head of a stream of server-sent events.

        Parameters
        ----------
        ends_with_connection
            Whether it has neither a length nor chunks.
        """
        start = start_stream_without_length if ends_with_connection else start_stream
        await start(self.send, STATUS_OK, EVENT_STREAM_TYPE)

    async def start_json(self) -> None:
        """Send the head of a JSON answer that comes in parts."""
        await start_stream(self.send, STATUS_OK, JSON_TYPE)

    async def send_part(self, body: bytes, *, last: bool = False) -> None:
        """Send a part of the body."""
        await send_chunk(self.send, body, last=last)

    async def break_off(self) -> None:
        """Promise more than is sent, so that the server closes the connection."""
        await start_stream(self.send, STATUS_OK, JSON_TYPE, {"content-length": "1"})
        await send_chunk(self.send, b"")

    async def wait_for_disconnect(self) -> None:
        """Return when the other side has closed the connection."""
        while (await self.receive())["type"] != "http.disconnect":
            pass


Handler = Callable[[Exchange], Awaitable[None]]


@dataclass(frozen=True)
class Route:
    """A method and a pattern such as ``/v1/tools/{tool}``, and who serves them."""

    method: str
    pattern: str
    handler: Handler


def build_application(routes: tuple[Route, ...]) -> AsgiApplication:
    """Return an ASGI application that serves ``routes``; malformed bodies get status 400."""
    router: PathRouter[Handler] = PathRouter()
    for route in routes:
        router.add(route.method, route.pattern, route.handler)

    async def application(scope: Any, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        try:
            request = await read_request(scope, receive, MAX_BODY_BYTES)
        except PasslaneError:
            return  # The client left, or sends more than it may.
        await _serve(router, request, receive, send)

    return application


async def _serve(
    router: PathRouter[Handler], request: Request, receive: Receive, send: Send
) -> None:
    """Let the handler of a request answer it."""
    try:
        match = router.find(request.method, request.path)
    except PasslaneError as error:
        nobody = Exchange(request, {}, receive, send)
        await nobody.refuse(STATUS_NOT_FOUND, error.code, error.message)
        return
    exchange = Exchange(request, match.parameters, receive, send)
    try:
        await match.handler(exchange)
    except msgspec.MsgspecError as error:
        await exchange.refuse(STATUS_BAD_REQUEST, ErrorCode.BAD_REQUEST, str(error))
