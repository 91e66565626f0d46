"""Decodes pages of the platform's list of engines and applications, entry by entry.

Entries may come from incompatible writers: fields may be missing, unknown or of other types, the
state may be unknown, and texts may contain invalid bytes. An invalid entry is skipped and the
others are used. Only a page that is invalid as a whole is an error.
"""

import ipaddress
import json
from collections.abc import Iterable
from typing import Annotated, Any

import msgspec

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.common import Address
from passlane.messages.listing import BackendRecord, BackendState
from passlane.messages.number_bounds import MAX_WHOLE_NUMBER, Count

MAX_PORT = 65_535
MAX_ADDRESS_CHARACTERS = len(f"255.255.255.255:{MAX_PORT}")
MAX_NAME_CHARACTERS = 1_024
"""Maximum length of a name. An instance's id is sent to it in a header: a sixteenth of a head of
16,384 bytes, the platform's default limit (``limits.max_header_bytes``)."""
MAX_SLOTS = 2**31 - 1
"""Maximum of concurrent requests of an instance, far beyond the connections that an address takes.
Sums over any list fit into the 63 bits of a whole number of messages."""
MAX_REASON_CHARACTERS = 120
"""Maximum length of the logged reason why an entry is invalid."""
DEFAULT_SOFTWARE_VERSION = "v1"
"""Written for a record without a version, since each entry must have one."""
REPLACEMENT = "\N{REPLACEMENT CHARACTER}"
"""Replaces bytes of a page that are not valid UTF-8."""

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
_AddressText = Annotated[str, msgspec.Meta(max_length=MAX_ADDRESS_CHARACTERS)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]


class _Entry(msgspec.Struct, frozen=True):
    """One entry of a page, with all required fields, used or not.

    A valid entry can be encoded, stored and counted by every process.
    ``born`` is the Unix time of the instance's start, in ms; older platforms omit it. ``version``
    is that of its software, not of a model's weights.
    """

    id: _Name
    service: _Name
    address: _AddressText
    zone: _Name
    version: _Name
    slots: _Slots
    state: BackendState
    cold_left_ms: _Milliseconds
    born: Count | msgspec.UnsetType = msgspec.UNSET
    stage: str | msgspec.UnsetType = msgspec.UNSET
    models: list[Any] | msgspec.UnsetType = msgspec.UNSET


class _Page(msgspec.Struct, frozen=True):
    """A page whose entries are not decoded yet."""

    instances: list[msgspec.Raw]
    next_token: str | None = None


class _LenientPage(msgspec.Struct, frozen=True):
    """A page that contains invalid UTF-8, with entries of any type."""

    instances: list[Any]
    next_token: str | None = None


class _EncodedPage(msgspec.Struct, frozen=True):
    """A page to be encoded."""

    instances: tuple[_Entry, ...]
    next_token: str | None = None


class UnreadableEntry(msgspec.Struct, frozen=True):
    """The reason why an entry is invalid."""

    reason: str


class ListPage(msgspec.Struct, frozen=True):
    """Contents of one page.

    Attributes
    ----------
    records
        Backends of the valid entries.
    unreadable
        Reasons of the invalid entries.
    next_token
        Token of the next page; ``None`` on the last.
    """

    records: tuple[BackendRecord, ...]
    unreadable: tuple[UnreadableEntry, ...]
    next_token: str | None


_page_decoder = msgspec.json.Decoder(_Page)
_entry_decoder = msgspec.json.Decoder(_Entry)
_encoder = msgspec.json.Encoder()


def decode_page(body: bytes) -> ListPage:
    """Return the contents of a page.

    Raises
    ------
    PasslaneError
        ``PROTOCOL_ERROR`` when the page is invalid as a whole.
    """
    try:
        page = _page_decoder.decode(body)
        return _page_of([_decode_entry(entry) for entry in page.instances], page.next_token)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        # Invalid UTF-8 in one entry makes the strict decoder refuse the whole page.
        return _decode_leniently(body)


def encode_page(records: Iterable[BackendRecord]) -> bytes:
    """Return a list with a single page in the platform's format."""
    return _encoder.encode(_EncodedPage(tuple(_entry_of(record) for record in records)))


def _decode_leniently(body: bytes) -> ListPage:
    """Decode a page that contains invalid UTF-8; the entries that contain it are invalid."""
    try:
        content = json.loads(body.decode(errors="replace"), strict=False)
        page = msgspec.convert(content, _LenientPage)
    except (ValueError, RecursionError) as error:
        # Errors of msgspec are subclasses of ValueError.
        raise PasslaneError(ErrorCode.PROTOCOL_ERROR, f"list of engines: {error}") from error
    return _page_of([_convert_entry(entry) for entry in page.instances], page.next_token)


def _page_of(
    entries: Iterable[BackendRecord | UnreadableEntry], next_token: str | None
) -> ListPage:
    decoded = list(entries)
    return ListPage(
        records=tuple(entry for entry in decoded if isinstance(entry, BackendRecord)),
        unreadable=tuple(entry for entry in decoded if isinstance(entry, UnreadableEntry)),
        next_token=next_token,
    )


def _decode_entry(entry: msgspec.Raw) -> BackendRecord | UnreadableEntry:
    try:
        return _record_of(_entry_decoder.decode(entry))
    except UnicodeDecodeError:
        return UnreadableEntry("a text contains invalid UTF-8 or control characters")
    except (ValueError, RecursionError) as error:
        return UnreadableEntry(str(error)[:MAX_REASON_CHARACTERS])


def _convert_entry(content: Any) -> BackendRecord | UnreadableEntry:
    try:
        if _has_invalid_text(content):
            return UnreadableEntry("a text contains invalid UTF-8 or control characters")
        return _record_of(msgspec.convert(content, _Entry))
    except (ValueError, RecursionError) as error:
        return UnreadableEntry(str(error)[:MAX_REASON_CHARACTERS])


def _has_invalid_text(content: Any) -> bool:
    """Whether any text of an entry contains replaced bytes or characters that aren't printable."""
    if isinstance(content, dict):
        return any(map(_has_invalid_text, (*content, *content.values())))
    if isinstance(content, list):
        return any(map(_has_invalid_text, content))
    return isinstance(content, str) and (REPLACEMENT in content or not content.isprintable())


def _record_of(entry: _Entry) -> BackendRecord:
    """Return the backend of an entry; raise ``ValueError`` for an invalid name or address."""
    if not (entry.id + entry.service + entry.zone + entry.version).isprintable():
        raise ValueError("id, service, zone or version contains characters that aren't printable")
    if not _fits_header(entry.id):
        raise ValueError("id contains characters that a header can't carry")
    return BackendRecord(
        instance_id=entry.id,
        service=entry.service,
        address=_address_of(entry.address),
        zone=entry.zone,
        slots=entry.slots,
        state=entry.state,
        born_ms=None if entry.born is msgspec.UNSET else entry.born,
        software_version=entry.version,
    )


def _fits_header(text: str) -> bool:
    """Whether a header, whose octets are those of Latin-1, can carry a text."""
    try:
        text.encode("latin-1")
    except UnicodeEncodeError:
        return False
    return True


def _address_of(text: str) -> Address:
    """Return the address of an entry; raise ``ValueError`` if it isn't IP:PORT."""
    if not text.isascii():
        raise ValueError("expected an address of the form IP:PORT, got characters beyond ASCII")
    address = Address.parse(text)
    ipaddress.IPv4Address(address.host)
    if not 0 < address.port <= MAX_PORT:
        raise ValueError("expected a port from 1 to 65535 in the address")
    return address


def _entry_of(record: BackendRecord) -> _Entry:
    return _Entry(
        id=record.instance_id,
        service=record.service,
        address=str(record.address),
        zone=record.zone,
        version=record.software_version or DEFAULT_SOFTWARE_VERSION,
        slots=record.slots,
        state=record.state,
        cold_left_ms=0,
        born=msgspec.UNSET if record.born_ms is None else record.born_ms,
    )
