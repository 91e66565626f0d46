"""The little that the emulated back ends need of ASGI: routes, JSON and broken answers."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import msgspec

from passlane.runtime.interfaces import AsgiApplication

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

JSON_TYPE = b"application/json"
EVENT_STREAM_TYPE = b"text/event-stream"
STATUS_OK = 200
STATUS_ACCEPTED = 202
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_UNAVAILABLE = 503


class ErrorBody(msgspec.Struct, frozen=True):
    """JSON body of an error: a code and a sentence."""

    code: str
    message: str


@dataclass(frozen=True)
class Exchange:
    """One HTTP request and the way to answer it.

    Attributes
    ----------
    method, path
        From the request line, without the query.
    query
        First value of each query parameter.
    body
        The whole body.
    """

    method: str
    path: str
    body: bytes
    receive: Receive
    send: Send
    query: Mapping[str, str] = field(default_factory=dict)

    async def answer(self, status: int, body: msgspec.Struct | tuple[msgspec.Struct, ...]) -> None:
        """Send a whole JSON answer."""
        await self.answer_bytes(status, msgspec.json.encode(body))

    async def answer_error(self, status: int, code: str, message: str) -> None:
        """Send an error."""
        await self.answer(status, ErrorBody(code, message))

    async def answer_bytes(self, status: int, body: bytes) -> None:
        """Send a whole answer."""
        await self.start(status, JSON_TYPE, len(body))
        await self.send({"type": "http.response.body", "body": body})

    async def start(self, status: int, content_type: bytes, length: int | None = None) -> None:
        """Send the head of an answer; without a length the body comes in parts."""
        headers = [(b"content-type", content_type)]
        if length is not None:
            headers.append((b"content-length", str(length).encode()))
        await self.send({"type": "http.response.start", "status": status, "headers": headers})

    async def send_part(self, body: bytes) -> None:
        """Send a part of the body; more follows."""
        await self.send({"type": "http.response.body", "body": body, "more_body": True})

    async def finish(self) -> None:
        """Send the end of a body that came in parts."""
        await self.send({"type": "http.response.body", "body": b""})

    async def break_off(self) -> None:
        """Promise more than is sent, so that the server closes the connection."""
        await self.start(STATUS_OK, JSON_TYPE, 1)
        await self.send_part(b"")

    async def wait_for_disconnect(self) -> None:
        """Return when the other side has closed the connection."""
        while (await self.receive())["type"] != "http.disconnect":
            pass


Handler = Callable[[Exchange], Awaitable[None]]


@dataclass(frozen=True)
class Route:
    """A method and a path; a path that ends in ``/`` stands for all below it."""

    method: str
    path: str
    handler: Handler

    def matches(self, method: str, path: str) -> bool:
        """Return whether the route serves this request."""
        if method != self.method:
            return False
        if self.path.endswith("/"):
            return path.startswith(self.path) and len(path) > len(self.path)
        return path == self.path


def last_part(path: str) -> str:
    """Return what follows the last ``/``."""
    return path.rpartition("/")[2]


def build_application(routes: tuple[Route, ...]) -> AsgiApplication:
    """Return an ASGI application that serves ``routes``; malformed bodies get status 400."""

    async def application(scope: Any, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        body = await _read_body(receive)
        if body is None:
            return
        query = {
            name: values[0] for name, values in parse_qs(scope["query_string"].decode()).items()
        }
        exchange = Exchange(scope["method"], scope["path"], body, receive, send, query)
        handler = _find(routes, exchange)
        if handler is None:
            await exchange.answer_error(STATUS_NOT_FOUND, "not_found", "no such path")
            return
        try:
            await handler(exchange)
        except msgspec.DecodeError as error:
            await exchange.answer_error(STATUS_BAD_REQUEST, "bad_request", str(error))

    return application


def _find(routes: tuple[Route, ...], exchange: Exchange) -> Handler | None:
    """Return the handler of the first route that serves a request."""
    for route in routes:
        if route.matches(exchange.method, exchange.path):
            return route.handler
    return None


async def _read_body(receive: Receive) -> bytes | None:
    """Return the whole body; ``None`` when the client left before its end."""
    parts: list[bytes] = []
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return None
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(parts)
