"""Decodes pages of the platform's list of engines and applications, entry by entry.

Entries may come from incompatible writers: fields may be missing, unknown or of other types, the
state may be unknown, texts may contain invalid bytes, and an entry may be malformed or nested too
deep. An invalid entry is skipped and the others are used. Only a page whose entries can't be
separated is an error.
"""

import ipaddress
from collections.abc import Iterable
from typing import Annotated, Any

import anyio.lowlevel
import msgspec

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.common import Address
from passlane.messages.listing import BackendRecord, BackendState
from passlane.messages.number_bounds import MAX_WHOLE_NUMBER, Count
from passlane.platform.list_scan import Span, elements, hides_elements, members

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
MAX_TOKEN_CHARACTERS = 8_000
"""Maximum length of a page's token. It is sent in a request's target, of which all
implementations support 8,000 octets (RFC 9110, section 4.1)."""
MAX_ENTRIES = 170_000
"""Maximum number of entries of a page; a report of as many records, of more than 100 bytes each,
exceeds a frame between processes."""
ENTRIES_PER_STEP = 200
"""Entries that are decoded in one step, which takes about a millisecond."""

_CONTROL_TO_SPACE = bytes.maketrans(bytes(range(0x20)), b" " * 0x20)
_ENTRIES_NAME = b"instances"
_TOKEN_NAME = b"next_token"

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
_AddressText = Annotated[str, msgspec.Meta(max_length=MAX_ADDRESS_CHARACTERS)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
_Token = Annotated[str, msgspec.Meta(max_length=MAX_TOKEN_CHARACTERS)]
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


_entry_decoder = msgspec.json.Decoder(_Entry)
_syntax_decoder = msgspec.json.Decoder(msgspec.Raw)
_token_decoder = msgspec.json.Decoder(_Token | None)
_encoder = msgspec.json.Encoder()


async def decode_page(body: bytes) -> ListPage:
    """Return the contents of a page.

    Raises
    ------
    PasslaneError
        ``PROTOCOL_ERROR`` when the entries can't be separated, there are more than
        ``MAX_ENTRIES``, or the token of the next page is invalid.
    """
    entries: Span | None = None
    next_token: str | None = None
    async for member in members(body):
        if member.name == _ENTRIES_NAME:
            entries = member.value
        elif member.name == _TOKEN_NAME:
            next_token = _decode_token(member.value.of(body))
    if entries is None:
        raise _page_error("expected the member 'instances'")
    return await _decode_entries(body, entries, next_token)


def encode_page(records: Iterable[BackendRecord]) -> bytes:
    """Return a list with a single page in the platform's format."""
    return _encoder.encode(_EncodedPage(tuple(_entry_of(record) for record in records)))


async def _decode_entries(body: bytes, entries: Span, next_token: str | None) -> ListPage:
    records: list[BackendRecord] = []
    unreadable: list[UnreadableEntry] = []
    count = 0
    async for span in elements(body, entries):
        count += 1
        if count > MAX_ENTRIES:
            raise _page_error(f"expected at most {MAX_ENTRIES} entries")
        if count % ENTRIES_PER_STEP == 0:
            await anyio.lowlevel.checkpoint()
        decoded = await _decode_entry(span.of(body))
        if isinstance(decoded, BackendRecord):
            records.append(decoded)
        else:
            unreadable.append(decoded)
    return ListPage(tuple(records), tuple(unreadable), next_token)


async def _decode_entry(entry: bytes) -> BackendRecord | UnreadableEntry:
    """Decode an entry.

    Raises
    ------
    PasslaneError
        ``PROTOCOL_ERROR`` when the entry is malformed and may hold other entries.
    """
    try:
        return _record_of(_entry_decoder.decode(entry))
    except UnicodeDecodeError:
        return UnreadableEntry("a text contains invalid UTF-8 or control characters")
    except (ValueError, RecursionError) as error:
        # Errors of msgspec are subclasses of ValueError.
        if not _is_well_formed(entry) and await hides_elements(entry):
            raise _page_error(f"can't separate entries: {error}") from error
        return UnreadableEntry(str(error)[:MAX_REASON_CHARACTERS])


def _is_well_formed(entry: bytes) -> bool:
    """Whether an entry is JSON, but for control characters, which move no quote or bracket."""
    try:
        _syntax_decoder.decode(entry.translate(_CONTROL_TO_SPACE))
    except (ValueError, RecursionError):
        return False
    return True


def _decode_token(token: bytes) -> str | None:
    try:
        return _token_decoder.decode(token)
    except (ValueError, RecursionError) as error:
        raise _page_error(f"next_token: {error}") from error


def _page_error(reason: str) -> PasslaneError:
    return PasslaneError(
        ErrorCode.PROTOCOL_ERROR, f"list of engines: {reason[:MAX_REASON_CHARACTERS]}"
    )


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
    """Whether a header, whose octets are those of Latin-1, can carry a text to both its ends."""
    try:
        text.encode("latin-1")
    except UnicodeEncodeError:
        return False
    return text == text.strip()


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
