"""HTTP requests and responses on top of ASGI.

An application reads a request with ``read_request``, finds its handler with a
``routing.PathRouter`` and responds with ``send_response``. Streamed responses are sent with
``start_stream`` and ``send_chunk``.
"""

from collections.abc import Awaitable, Callable, Mapping, MutableMapping
from typing import Any
from urllib.parse import parse_qsl, quote

import msgspec

from passlane.errors import ErrorCode, PasslaneError

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"

_json_encoder = msgspec.json.Encoder()


class Request(msgspec.Struct, frozen=True):
    """A complete HTTP request; header names are in lower case, the path is percent-encoded."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes = b""


class Response(msgspec.Struct, frozen=True):
    """A complete HTTP response."""

    status: int
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: Mapping[str, str] = msgspec.field(default_factory=dict)


def json_response(status: int, value: Any, headers: Mapping[str, str] | None = None) -> Response:
    """Return a response with ``value`` (structs and plain values) as JSON."""
    return Response(status=status, body=_json_encoder.encode(value), headers=headers or {})


def request_headers(scope: Scope) -> dict[str, str]:
    """Return the headers of a request, names in lower case; the last value of a name is used."""
    return {
        name.decode("latin-1").lower(): value.decode("latin-1") for name, value in scope["headers"]
    }


def request_path(scope: Scope) -> str:
    """Return the path as the client sent it, percent-encoded.

    In the decoded path of the scope, an encoded slash cannot be distinguished from a separator.
    """
    raw_path = scope.get("raw_path")
    return quote(scope["path"]) if raw_path is None else raw_path.decode("latin-1")


async def read_body(receive: Receive, max_bytes: int) -> bytes:
    """Return the whole body of a request.

    Raises
    ------
    PasslaneError
        ``BODY_TOO_LARGE`` above ``max_bytes``; ``CONNECTION_LOST`` when the client
        disconnected before the end of the body.
    """
    parts: list[bytes] = []
    size = 0
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise PasslaneError(ErrorCode.CONNECTION_LOST, "the client disconnected")
        part: bytes = event.get("body", b"")
        size += len(part)
        if size > max_bytes:
            raise PasslaneError(
                ErrorCode.BODY_TOO_LARGE, f"the body may have {max_bytes} bytes at most"
            )
        parts.append(part)
        if not event.get("more_body", False):
            return b"".join(parts)


def check_declared_length(headers: Mapping[str, str], max_bytes: int) -> None:
    """Check the declared length of a body, before the body is read.

    Raises
    ------
    PasslaneError
        ``BODY_TOO_LARGE`` above ``max_bytes``.
    """
    declared = headers.get("content-length", "")
    if declared.isdecimal() and int(declared) > max_bytes:
        raise PasslaneError(
            ErrorCode.BODY_TOO_LARGE, f"the body may have {max_bytes} bytes at most"
        )


async def read_request(scope: Scope, receive: Receive, max_bytes: int) -> Request:
    """Return the complete request; raises the same errors as ``read_body``."""
    headers = request_headers(scope)
    check_declared_length(headers, max_bytes)
    return Request(
        method=scope["method"],
        path=request_path(scope),
        query=dict(parse_qsl(scope.get("query_string", b"").decode("latin-1"))),
        headers=headers,
        body=await read_body(receive, max_bytes),
    )


async def start_stream(
    send: Send, status: int, content_type: str, headers: Mapping[str, str] | None = None
) -> None:
    """Send the status and the headers of a response; its body follows in chunks."""
    pairs = [(b"content-type", content_type.encode("latin-1"))]
    for name, value in (headers or {}).items():
        pairs.append((name.lower().encode("latin-1"), value.encode("latin-1")))
    await send({"type": "http.response.start", "status": status, "headers": pairs})


async def send_chunk(send: Send, data: bytes, *, last: bool = False) -> None:
    """Send a part of a response's body; ``last`` ends the response."""
    await send({"type": "http.response.body", "body": data, "more_body": not last})


async def send_response(send: Send, response: Response) -> None:
    """Send a complete response."""
    headers = {**response.headers, "content-length": str(len(response.body))}
    await start_stream(send, response.status, response.content_type, headers)
    await send_chunk(send, response.body, last=True)
