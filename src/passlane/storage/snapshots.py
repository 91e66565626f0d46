"""Stores the newest snapshot of a replica's state machine in one file.

The file is a header record, one record for each part of the state, and an end record
with the number of parts; each record has its own checksum. Replicas send each other the
data after the header. Neither writing nor reading loads the whole file into memory.
"""

from collections.abc import Iterable, Iterator

import anyio.lowlevel
import msgspec

from passlane.messages.raft import GroupMembership
from passlane.raft.snapshot_data import SnapshotData
from passlane.runtime.interfaces import Disk, ReadableFile
from passlane.storage.formats import (
    LogPosition,
    SnapshotEnd,
    SnapshotHeader,
    decode_payload,
    storage_corrupt,
)
from passlane.storage.records import (
    HEADER_BYTES,
    Record,
    RecordKind,
    encode_record,
    read_record,
    record_size_bytes,
)
from passlane.storage.snapshot_data import BLOCK_BYTES, BlockChecksums, FileSnapshotData

SNAPSHOT_NAME = "snapshot"

SNAPSHOT_FORMAT_VERSION = 2
"""Version of the snapshot file's format."""


class Snapshot(msgspec.Struct, frozen=True):
    """The state up to the entry at ``last``, and the group's membership at that entry.

    ``data`` is the encoded state as it is sent to other replicas; it is read from the
    disk when needed.
    """

    last: LogPosition
    membership: GroupMembership
    data: SnapshotData

    def parts(self) -> Iterator[bytes]:
        """Yield the parts of the state.

        Raises
        ------
        PasslaneError
            ``STORAGE_CORRUPT`` at the first damaged or missing part.
        """
        return read_parts(self.data)


def read_parts(data: SnapshotData) -> Iterator[bytes]:
    """Yield the payload of each part; refuse damaged or incomplete data."""
    offset = 0
    count = 0
    while True:
        record = _record_at(data, offset)
        offset += record.end
        if record.kind is RecordKind.SNAPSHOT_END:
            break
        if record.kind is not RecordKind.SNAPSHOT_PART:
            raise storage_corrupt(f"a snapshot must not contain {record.kind.name}")
        count += 1
        yield bytes(record.payload)
    end = decode_payload(SnapshotEnd, record.payload, "the snapshot's end")
    if end.parts != count or offset != len(data):
        raise storage_corrupt(
            f"the snapshot has {count} parts in {offset} bytes;"
            f" expected {end.parts} parts in {len(data)} bytes"
        )


def _record_at(data: SnapshotData, offset: int) -> Record:
    """Return the record at ``offset``; refuse a damaged or truncated one."""
    size = record_size_bytes(data[offset : offset + HEADER_BYTES])
    record = None
    if size is not None:
        record = read_record(memoryview(data[offset : offset + size]), 0)
    if record is None:
        raise storage_corrupt(f"the snapshot is damaged or truncated at byte {offset} of its data")
    return record


def _encode_parts(parts: Iterable[bytes]) -> Iterator[bytes]:
    """Yield the records of all parts and the end record."""
    count = 0
    for part in parts:
        count += 1
        yield encode_record(RecordKind.SNAPSHOT_PART, part)
    yield encode_record(RecordKind.SNAPSHOT_END, msgspec.msgpack.encode(SnapshotEnd(count)))


def _slices(data: SnapshotData) -> Iterator[bytes]:
    """Yield ``data`` in pieces of at most ``BLOCK_BYTES``."""
    for offset in range(0, len(data), BLOCK_BYTES):
        yield data[offset : offset + BLOCK_BYTES]


def _with_header(
    header: bytes, records: Iterable[bytes], checksums: BlockChecksums
) -> Iterator[bytes]:
    """Yield ``header`` and the records, and add the records to ``checksums``."""
    yield header
    for record in records:
        checksums.add(record)
        yield record


class SnapshotStore:
    """The file ``snapshot`` in a replica's folder."""

    def __init__(self, disk: Disk, folder: str, group: str) -> None:
        self._disk = disk
        self._name = f"{folder}/{SNAPSHOT_NAME}"
        self._group = group

    async def save(
        self, last: LogPosition, membership: GroupMembership, parts: Iterable[bytes]
    ) -> Snapshot:
        """Replace the stored snapshot by one of ``parts``; durable on return.

        Parts are written one at a time, and other tasks run in between.

        Raises
        ------
        OSError
            ``ENOSPC`` when the disk is full; the previous snapshot is kept.
        """
        return await self._write(last, membership, _encode_parts(parts))

    async def save_received(
        self, last: LogPosition, membership: GroupMembership, data: SnapshotData
    ) -> Snapshot:
        """Replace the stored snapshot by one that another replica sent; durable on return.

        Raises
        ------
        OSError
            ``ENOSPC`` when the disk is full; the previous snapshot is kept.
        """
        return await self._write(last, membership, _slices(data))

    async def load(self) -> Snapshot | None:
        """Return the newest snapshot; ``None`` if there is none.

        Its parts are verified when they are read.

        Raises
        ------
        PasslaneError
            ``STORAGE_CORRUPT`` when its header is damaged or has another group or format.
        """
        try:
            file = self._disk.open_read(self._name)
        except FileNotFoundError:
            # No snapshot was stored yet.
            return None
        header, start = self._read_header(file)
        checksums = BlockChecksums()
        while data := file.read_at(start + checksums.length, BLOCK_BYTES):
            checksums.add(data)
            await anyio.lowlevel.checkpoint()
        return Snapshot(
            last=LogPosition(header.last_index, header.last_term),
            membership=header.membership,
            data=FileSnapshotData(file, start, checksums),
        )

    def _read_header(self, file: ReadableFile) -> tuple[SnapshotHeader, int]:
        """Return the header and the offset where it ends."""
        size = record_size_bytes(file.read_at(0, HEADER_BYTES))
        record = None
        if size is not None:
            record = read_record(memoryview(file.read_at(0, size)), 0)
        if record is None or record.kind is not RecordKind.SNAPSHOT_HEADER:
            raise storage_corrupt(f"{self._name}: the header is damaged")
        header = decode_payload(SnapshotHeader, record.payload, self._name)
        if header.format_version != SNAPSHOT_FORMAT_VERSION or header.group != self._group:
            raise storage_corrupt(
                f"{self._name}: found group {header.group}, format {header.format_version};"
                f" expected group {self._group}, format {SNAPSHOT_FORMAT_VERSION}"
            )
        return header, record.end

    async def _write(
        self, last: LogPosition, membership: GroupMembership, records: Iterable[bytes]
    ) -> Snapshot:
        """Write the header and records; return the stored snapshot."""
        header = SnapshotHeader(
            format_version=SNAPSHOT_FORMAT_VERSION,
            group=self._group,
            last_index=last.index,
            last_term=last.term,
            membership=membership,
        )
        encoded_header = encode_record(RecordKind.SNAPSHOT_HEADER, msgspec.msgpack.encode(header))
        checksums = BlockChecksums()
        await self._disk.replace_with_parts(
            self._name, _with_header(encoded_header, records, checksums)
        )
        file = self._disk.open_read(self._name)
        return Snapshot(last, membership, FileSnapshotData(file, len(encoded_header), checksums))
