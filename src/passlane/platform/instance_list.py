"""The platform's list of engines and applications."""

from collections.abc import Iterable
from urllib.parse import quote

import msgspec

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.common import Address
from passlane.messages.listing import BackendRecord, BackendState
from passlane.platform import names
from passlane.runtime.interfaces import HttpClient, HttpConnectionError, HttpRequest

OK = 200
TOO_MANY_CALLS = 429
MAX_PAGES = 200


class _Instance(msgspec.Struct, frozen=True):
    """One entry of a page."""

    id: str
    service: str
    address: str
    zone: str
    state: str
    slots: int = 1


class _Page(msgspec.Struct, frozen=True):
    """One page of the list."""

    instances: tuple[_Instance, ...]
    next_token: str | None = None


_decoder = msgspec.json.Decoder(_Page)
_encoder = msgspec.json.Encoder()


def page_of(records: Iterable[BackendRecord]) -> bytes:
    """Return the only page of a list, as the platform writes it."""
    instances = tuple(
        _Instance(
            id=record.instance_id,
            service=record.service,
            address=str(record.address),
            zone=record.zone,
            state=record.state.value,
            slots=record.slots,
        )
        for record in records
    )
    return _encoder.encode(_Page(instances))


class InstanceList:
    """Reads the list; implements ``relay.backends.BackendList``."""

    def __init__(self, http_client: HttpClient, address: Address) -> None:
        self._http_client = http_client
        self._address = address

    async def read(self) -> tuple[BackendRecord, ...]:
        """Return the whole list, page by page."""
        records: list[BackendRecord] = []
        token: str | None = None
        for _ in range(MAX_PAGES):
            page = await self._read_page(token)
            records += [_record_of(instance) for instance in page.instances]
            token = page.next_token
            if token is None:
                return tuple(records)
        raise PasslaneError(ErrorCode.PROTOCOL_ERROR, "the list of engines has no end")

    async def _read_page(self, token: str | None) -> _Page:
        path = names.INSTANCES_PATH
        if token is not None:
            path += f"?page_token={quote(token, safe='')}"
        try:
            async with self._http_client.exchange(
                HttpRequest("GET", self._address, path)
            ) as response:
                body = b"".join([chunk async for chunk in response.chunks()])
        except HttpConnectionError as error:
            raise PasslaneError(ErrorCode.UNAVAILABLE, str(error)) from error
        if response.status == TOO_MANY_CALLS:
            raise PasslaneError(ErrorCode.LIMIT_EXCEEDED, "too many calls for the list of engines")
        if response.status != OK:
            raise PasslaneError(ErrorCode.UNAVAILABLE, f"list of engines: {response.status}")
        try:
            return _decoder.decode(body)
        except msgspec.MsgspecError as error:
            raise PasslaneError(ErrorCode.PROTOCOL_ERROR, f"list of engines: {error}") from error


def _record_of(instance: _Instance) -> BackendRecord:
    is_ready = instance.state == BackendState.READY.value
    return BackendRecord(
        instance_id=instance.id,
        service=instance.service,
        address=Address.parse(instance.address),
        zone=instance.zone,
        slots=instance.slots,
        state=BackendState.READY if is_ready else BackendState.DRAINING,
    )
