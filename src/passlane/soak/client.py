"""Sends requests over HTTP and gives what came back, whole or in part."""

import anyio
import msgspec

from passlane.messages.common import Address
from passlane.runtime.http_client import SingleConnectionHttpClient
from passlane.runtime.interfaces import HttpConnectionError, HttpRequest
from passlane.runtime.network import TcpNetwork


class Answer(msgspec.Struct, frozen=True):
    """An answer whose head has come; its body may have broken off."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


class SoakClient:
    """Sends each request on a new connection, as callers that try again do."""

    def __init__(self) -> None:
        self._http = SingleConnectionHttpClient(TcpNetwork())

    async def fetch(self, request: HttpRequest, timeout_s: float) -> Answer | None:
        """Return what came within the time; ``None`` without a head."""
        body = bytearray()
        answer: Answer | None = None
        with anyio.move_on_after(timeout_s):
            try:
                async with self._http.exchange(request) as response:
                    headers = dict(response.headers)
                    answer = Answer(response.status, headers, b"", False)
                    async for part in response.chunks():
                        body += part
                    return Answer(response.status, headers, bytes(body), True)
            except HttpConnectionError:
                pass  # What is missing from the answer tells it.
        return msgspec.structs.replace(answer, body=bytes(body)) if answer is not None else None

    async def get(self, address: Address, path: str, timeout_s: float) -> Answer | None:
        """Ask for a path."""
        request = HttpRequest("GET", address, path, fresh_connection=True)
        return await self.fetch(request, timeout_s)
