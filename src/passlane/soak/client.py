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
    """Sends requests, each on a new connection or on a kept one as the request says."""

    def __init__(self) -> None:
        self._http = SingleConnectionHttpClient(TcpNetwork())

    def keeps_connection(self, address: Address) -> bool:
        """Whether a connection to this address is open and rests."""
        return self._http.has_idle_connection(address)

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
