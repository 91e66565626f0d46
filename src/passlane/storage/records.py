"""Framing of the records in the log, snapshot and identity files.

Each record is a fixed header and a payload::

    marker (2 bytes)  kind (1)  reserved, 0 (1)  payload length (4)  crc32c (4)  payload

The checksum covers kind, length and payload. Integers are little-endian. The marker
lets a reader find the records that follow a damaged one.
"""

import enum
import struct
from collections.abc import Iterator

import google_crc32c
import msgspec

from passlane.errors import ErrorCode, PasslaneError

FORMAT_VERSION = 1
"""Version of the format of segments and identity files; stored in each of them."""

MARKER = b"\xd7\x5a"
MAX_PAYLOAD_BYTES = 2**32 - 1
"""The largest length that a header can hold. A reader accepts every record that its file holds."""

_HEADER = struct.Struct("<2sBBII")
_KIND_AND_LENGTH = struct.Struct("<BI")
HEADER_BYTES = _HEADER.size


class RecordKind(enum.IntEnum):
    """What a record's payload holds."""

    SEGMENT_START = 1
    ENTRY = 2
    HARD_STATE = 3
    LOG_RESET = 4
    SYNCED_MARK = 5
    IDENTITY = 6
    SNAPSHOT_HEADER = 7
    SNAPSHOT_PART = 8
    SNAPSHOT_END = 9


class Record(msgspec.Struct, frozen=True):
    """A record with a valid checksum; ``start`` and ``end`` are offsets in the data read."""

    kind: RecordKind
    payload: memoryview
    start: int
    end: int


def _checksum(kind: int, payload: bytes) -> int:
    """Return the CRC-32C over kind, length and payload."""
    checksum = google_crc32c.value(_KIND_AND_LENGTH.pack(kind, len(payload)))
    return int(google_crc32c.extend(checksum, payload))


def encode_record(kind: RecordKind, payload: bytes) -> bytes:
    """Return the bytes of a record.

    Raises
    ------
    PasslaneError
        ``BODY_TOO_LARGE`` when the payload is larger than ``MAX_PAYLOAD_BYTES``.
    """
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise PasslaneError(
            ErrorCode.BODY_TOO_LARGE,
            f"a {kind.name} record of {len(payload)} bytes exceeds {MAX_PAYLOAD_BYTES} bytes",
        )
    checksum = _checksum(kind, payload)
    return _HEADER.pack(MARKER, kind, 0, len(payload), checksum) + payload


def record_size_bytes(header: bytes) -> int | None:
    """Return the size of the record with this header; ``None`` if the header is invalid."""
    if len(header) < HEADER_BYTES:
        return None
    marker, _, _, length, _ = _HEADER.unpack_from(header, 0)
    if marker != MARKER:
        return None
    return HEADER_BYTES + int(length)


def read_record(data: memoryview, start: int) -> Record | None:
    """Return the record at ``start``; ``None`` if it is truncated or damaged."""
    payload_start = start + HEADER_BYTES
    if payload_start > len(data):
        return None
    marker, kind, reserved, length, checksum = _HEADER.unpack_from(data, start)
    end = payload_start + length
    if marker != MARKER or reserved != 0 or end > len(data):
        return None
    payload = data[payload_start:end]
    if _checksum(kind, bytes(payload)) != checksum or kind not in _VALID_KINDS:
        return None
    return Record(kind=RecordKind(kind), payload=payload, start=start, end=end)


_VALID_KINDS = frozenset(RecordKind)


def read_records(data: memoryview) -> Iterator[Record]:
    """Yield the records from the start of ``data`` up to the first damaged one."""
    offset = 0
    while (record := read_record(data, offset)) is not None:
        yield record
        offset = record.end


def find_last_record(data: bytes, kind: RecordKind) -> Record | None:
    """Return the last valid record of ``kind``; ``None`` if there is none.

    Damaged data is skipped. The search starts at the end and reads no earlier records.
    """
    view = memoryview(data)
    header_prefix = MARKER + bytes((kind, 0))
    offset = data.rfind(header_prefix)
    while offset >= 0:
        record = read_record(view, offset)
        if record is not None:
            return record
        offset = data.rfind(header_prefix, 0, offset)
    return None
