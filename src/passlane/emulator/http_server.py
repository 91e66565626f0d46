"""Serves ASGI applications over any byte-stream network, with h11 as parser.

In simulations, daemons and emulated back ends run the same applications as under uvicorn, and
clients use the product's own HTTP client, so that faults of the network meet the very code that
decides whether a request may have run. On real networks it serves emulated back ends whose answers
have neither a length nor chunks, which uvicorn can't send.
"""

from collections.abc import Mapping, MutableMapping
from typing import Any
from urllib.parse import unquote

import anyio
import h11
from anyio.abc import ByteStream

from passlane.api.asgi import Send, start_stream
from passlane.messages.common import Address
from passlane.runtime.interfaces import AsgiApplication, HttpLimits, Network

_RECEIVE_BYTES = 65_536
ENDS_WITH_CONNECTION = "passlane.ends_with_connection"
"""Key of ``http.response.start``: whether the body has neither a length nor chunks and ends with
the connection. Other servers ignore it."""


async def start_stream_without_length(
    send: Send, status: int, content_type: str, headers: Mapping[str, str] | None = None
) -> None:
    """Send the head of an answer whose body ends with its connection."""

    async def send_marked(event: MutableMapping[str, Any]) -> None:
        await send({**event, ENDS_WITH_CONNECTION: True})

    await start_stream(send_marked, status, content_type, headers)


class ByteStreamHttpServer:
    """Implements ``runtime.interfaces.HttpServer`` over a byte-stream network."""

    def __init__(self, network: Network) -> None:
        self._network = network

    async def serve(
        self,
        address: Address,
        application: AsgiApplication,
        limits: HttpLimits | None = None,
    ) -> None:
        """Serve until cancelled; raise ``OSError`` when the address is in use.

        ``limits`` are ignored: simulated callers keep all limits.
        """

        async def handle(stream: ByteStream) -> None:
            await _ServerConnection(stream, application).run()

        await self._network.serve(address, handle)


class _ServerConnection:
    """Serves the requests of one connection, one after another."""

    def __init__(self, stream: ByteStream, application: AsgiApplication) -> None:
        self._stream = stream
        self._application = application
        self._parser = h11.Connection(h11.SERVER)

    async def run(self) -> None:
        """Serve until the client ends the connection or either side breaks it off."""
        try:
            while await self._serve_request():
                self._parser.start_next_cycle()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, h11.RemoteProtocolError):
            return
        finally:
            await anyio.aclose_forcefully(self._stream)

    async def _serve_request(self) -> bool:
        """Serve one request; return whether another may follow."""
        request = await self._next_event()
        if not isinstance(request, h11.Request):
            return False
        body = await self._read_body()
        exchange = _Exchange(self._stream, self._parser, body)
        scope = _asgi_scope(request)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(exchange.watch_for_disconnect)
            try:
                await self._application(scope, exchange.receive, exchange.send)
            except Exception:
                # As uvicorn: an answer that was not begun becomes a 500.
                await exchange.fail()
            tasks.cancel_scope.cancel()
        return (
            not exchange.is_disconnected
            and self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
        )

    async def _read_body(self) -> bytes:
        parts: list[bytes] = []
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            else:
                return b"".join(parts)

    async def _next_event(self) -> Any:
        while True:
            event = self._parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._stream.receive(_RECEIVE_BYTES)
            except anyio.EndOfStream:
                data = b""
            self._parser.receive_data(data)


class _Exchange:
    """One request and its answer, as an ASGI application sees them."""

    def __init__(self, stream: ByteStream, parser: h11.Connection, body: bytes) -> None:
        self._stream = stream
        self._parser = parser
        self._body: bytes | None = body
        self._disconnected = anyio.Event()

    @property
    def is_disconnected(self) -> bool:
        """Whether the client went away."""
        return self._disconnected.is_set()

    async def watch_for_disconnect(self) -> None:
        """Notice when the client goes away while its answer is being made."""
        try:
            while True:
                data = await self._stream.receive(_RECEIVE_BYTES)
                self._parser.receive_data(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self._disconnected.set()

    async def receive(self) -> dict[str, Any]:
        """Give the body once, then wait for the client to go away."""
        if self._body is not None:
            body, self._body = self._body, None
            return {"type": "http.request", "body": body, "more_body": False}
        await self._disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(self, event: dict[str, Any]) -> None:
        """Send a part of the answer; nothing once the client went away."""
        if self.is_disconnected:
            return
        if event["type"] == "http.response.start":
            headers = list(event.get("headers", []))
            if event.get(ENDS_WITH_CONNECTION, False):
                # To a client of HTTP 1.0, h11 sends no chunks.
                self._parser.their_http_version = b"1.0"
            await self._write(h11.Response(status_code=event["status"], headers=headers))
            return
        if body := event.get("body", b""):
            await self._write(h11.Data(data=body))
        if not event.get("more_body", False):
            await self._write(h11.EndOfMessage())

    async def fail(self) -> None:
        """Answer with status 500 if nothing was sent yet; otherwise break off."""
        if self._parser.our_state is h11.SEND_RESPONSE and not self.is_disconnected:
            headers = [(b"content-length", b"0")]
            await self._write(h11.Response(status_code=500, headers=headers))
            await self._write(h11.EndOfMessage())
        else:
            self._disconnected.set()

    async def _write(self, event: Any) -> None:
        data = self._parser.send(event)
        if not data:
            return
        try:
            await self._stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self._disconnected.set()


def _asgi_scope(request: h11.Request) -> dict[str, Any]:
    path, _, query = request.target.partition(b"?")
    return {
        "type": "http",
        "asgi": {"version": "3.0"},
        "http_version": "1.1",
        "method": request.method.decode("ascii"),
        "scheme": "http",
        "path": unquote(path.decode("latin-1")),
        "raw_path": path,
        "query_string": query,
        "headers": [(bytes(name), bytes(value)) for name, value in request.headers],
    }
