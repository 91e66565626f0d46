"""Decodes pages of the platform's list of engines and applications, entry by entry.

An entry may come from a writer that this system knows nothing of: it may lack fields, have others
or other types, name a state that isn't known, or hold bytes that can't be read. Such an entry names
no back end, and the others hold. Only a page whose frame can't be read is an error.
"""

import ipaddress
import json
from collections.abc import Iterable
from typing import Annotated, Any

import msgspec

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.common import Address
from passlane.messages.listing import BackendRecord, BackendState

HIGHEST_PORT = 65_535
LONGEST_REASON = 120
"""Characters of the reason why an entry can't be read, as logged. Chosen."""
REPLACEMENT = "\N{REPLACEMENT CHARACTER}"
"""Stands where bytes of a page were not text."""

_Name = Annotated[str, msgspec.Meta(min_length=1)]
_Count = Annotated[int, msgspec.Meta(ge=0)]


class _Entry(msgspec.Struct, frozen=True):
    """One entry of a page, with all fields that every entry has, used or not.

    ``born`` is the Unix time of the start, in ms; older platforms leave it out.
    """

    id: _Name
    service: _Name
    address: str
    zone: _Name
    version: _Name
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: BackendState
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0)]
    born: _Count | msgspec.UnsetType = msgspec.UNSET
    stage: str | msgspec.UnsetType = msgspec.UNSET
    models: list[Any] | msgspec.UnsetType = msgspec.UNSET


class _Page(msgspec.Struct, frozen=True):
    """A page whose entries are not looked at yet."""

    instances: list[msgspec.Raw]
    next_token: str | None = None


class _LenientPage(msgspec.Struct, frozen=True):
    """The same, of a page that holds bytes that are no text."""

    instances: list[Any]
    next_token: str | None = None


class _WrittenPage(msgspec.Struct, frozen=True):
    """A page as it is written."""

    instances: tuple[_Entry, ...]
    next_token: str | None = None


class UnreadableEntry(msgspec.Struct, frozen=True):
    """An entry that names no back end, and why."""

    reason: str


class ListPage(msgspec.Struct, frozen=True):
    """What one page says.

    Attributes
    ----------
    next_token
        Names the page that follows; ``None`` on the last.
    """

    records: tuple[BackendRecord, ...]
    unreadable: tuple[UnreadableEntry, ...]
    next_token: str | None


_page_decoder = msgspec.json.Decoder(_Page)
_entry_decoder = msgspec.json.Decoder(_Entry)
_encoder = msgspec.json.Encoder()


def decode_page(body: bytes) -> ListPage:
    """Return what a page says.

    Raises
    ------
    PasslaneError
        ``PROTOCOL_ERROR`` when the page itself can't be read.
    """
    try:
        page = _page_decoder.decode(body)
        return _page_of([_read_raw(entry) for entry in page.instances], page.next_token)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        # Bytes of one entry that are no text make the strict decoder refuse the whole page.
        return _decode_leniently(body)


def encode_page(records: Iterable[BackendRecord]) -> bytes:
    """Return the only page of a list, as the platform writes it."""
    return _encoder.encode(_WrittenPage(tuple(_entry_of(record) for record in records)))


def _decode_leniently(body: bytes) -> ListPage:
    """Decode a page with bytes that are no text; an entry that holds them can't be read."""
    try:
        content = json.loads(body.decode(errors="replace"), strict=False)
        page = msgspec.convert(content, _LenientPage)
    except (ValueError, RecursionError) as error:
        # What msgspec raises is a ValueError as well.
        raise PasslaneError(ErrorCode.PROTOCOL_ERROR, f"list of engines: {error}") from error
    return _page_of([_read_content(entry) for entry in page.instances], page.next_token)


def _page_of(
    entries: Iterable[BackendRecord | UnreadableEntry], next_token: str | None
) -> ListPage:
    read = list(entries)
    return ListPage(
        records=tuple(entry for entry in read if isinstance(entry, BackendRecord)),
        unreadable=tuple(entry for entry in read if isinstance(entry, UnreadableEntry)),
        next_token=next_token,
    )


def _read_raw(entry: msgspec.Raw) -> BackendRecord | UnreadableEntry:
    try:
        return _record_of(_entry_decoder.decode(entry))
    except UnicodeDecodeError:
        return UnreadableEntry("holds bytes that are no text")
    except (ValueError, RecursionError) as error:
        return UnreadableEntry(str(error)[:LONGEST_REASON])


def _read_content(content: Any) -> BackendRecord | UnreadableEntry:
    try:
        if _holds_unreadable_text(content):
            return UnreadableEntry("holds bytes that are no text")
        return _record_of(msgspec.convert(content, _Entry))
    except (ValueError, RecursionError) as error:
        return UnreadableEntry(str(error)[:LONGEST_REASON])


def _holds_unreadable_text(content: Any) -> bool:
    """Whether any text of an entry was not readable: control signs, or bytes that were replaced."""
    if isinstance(content, dict):
        return any(map(_holds_unreadable_text, (*content, *content.values())))
    if isinstance(content, list):
        return any(map(_holds_unreadable_text, content))
    return isinstance(content, str) and (REPLACEMENT in content or not content.isprintable())


def _record_of(entry: _Entry) -> BackendRecord:
    """Return what an entry names; raise ``ValueError`` where its texts are none of a back end."""
    if not (entry.id + entry.service + entry.zone).isprintable():
        raise ValueError("a name holds signs that can't be printed")
    return BackendRecord(
        instance_id=entry.id,
        service=entry.service,
        address=_address_of(entry.address),
        zone=entry.zone,
        slots=entry.slots,
        state=entry.state,
        born_ms=None if entry.born is msgspec.UNSET else entry.born,
    )


def _address_of(text: str) -> Address:
    """Return the address of an entry; raise ``ValueError`` if it isn't IP:PORT."""
    if not text.isascii():
        raise ValueError("the address is not IP:PORT")
    address = Address.parse(text)
    ipaddress.IPv4Address(address.host)
    if not 0 < address.port <= HIGHEST_PORT:
        raise ValueError("the address has no port that can be connected to")
    return address


def _entry_of(record: BackendRecord) -> _Entry:
    return _Entry(
        id=record.instance_id,
        service=record.service,
        address=str(record.address),
        zone=record.zone,
        version="v1",
        slots=record.slots,
        state=record.state,
        cold_left_ms=0,
        born=msgspec.UNSET if record.born_ms is None else record.born_ms,
    )
