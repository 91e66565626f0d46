"""Whole HTTP exchanges of simulated callers and operators."""

from collections.abc import Mapping
from dataclasses import dataclass

import anyio

from passlane.messages.common import Address
from passlane.runtime.http_client import SingleConnectionHttpClient
from passlane.runtime.interfaces import HttpConnectionError, HttpRequest


@dataclass(frozen=True)
class HttpAnswer:
    """What came back.

    ``status`` is ``None`` when no head arrived; ``is_whole`` is false when the body broke
    off or time ran out; ``connected`` is false when no byte was sent.
    """

    status: int | None = None
    body: bytes = b""
    is_whole: bool = False
    connected: bool = True


async def fetch(
    client: SingleConnectionHttpClient,
    address: Address,
    method: str,
    path: str,
    *,
    headers: Mapping[str, str],
    body: bytes = b"",
    timeout_s: float,
) -> HttpAnswer:
    """Send a request and return what came back; never raises for faults of the network."""
    status: int | None = None
    parts: list[bytes] = []
    is_whole = False
    connected = True
    request = HttpRequest(method, address, path, headers, body, fresh_connection=True)
    with anyio.move_on_after(timeout_s):
        try:
            async with client.exchange(request) as response:
                status = response.status
                async for part in response.chunks():
                    parts.append(part)
                is_whole = True
        except HttpConnectionError as error:
            connected = error.bytes_left
    return HttpAnswer(status, b"".join(parts), is_whole, connected)
