"""Asks another engine what it holds, before its cache is imported."""

import msgspec

from passlane.emulator.engine_app import CacheReader
from passlane.messages.backends import CacheSnapshot
from passlane.messages.common import Address
from passlane.runtime.interfaces import HttpClient, HttpRequest


def remote_cache_reader(http_client: HttpClient) -> CacheReader:
    """Return a reader that asks over HTTP how many tokens an engine holds for a program."""

    async def read(address: Address, program_id: str) -> int:
        request = HttpRequest("GET", address, "/v1/cache")
        async with http_client.exchange(request) as response:
            body = b"".join([part async for part in response.chunks()])
        try:
            snapshot = msgspec.json.decode(body, type=CacheSnapshot)
        except msgspec.MsgspecError as error:
            raise OSError(f"engine at {address}: {error}") from error
        return sum(entry.tokens for entry in snapshot.entries if entry.program_id == program_id)

    return read
