"""Keeps the newest snapshot of a replica's state machine in one file."""

from dataclasses import dataclass

import crc32c
import msgspec

from passlane.messages.raft import GroupMembership
from passlane.runtime.interfaces import Disk
from passlane.storage.formats import (
    LogPosition,
    SnapshotHeader,
    decode_payload,
    storage_corrupt,
)
from passlane.storage.records import FORMAT_VERSION, RecordKind, encode_record, read_record

SNAPSHOT_NAME = "snapshot"


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state up to ``last``, and the group's membership as of then."""

    last: LogPosition
    membership: GroupMembership
    data: bytes


class SnapshotStore:
    """The file ``snapshot`` in a replica's folder."""

    def __init__(self, disk: Disk, folder: str, group: str) -> None:
        self._disk = disk
        self._name = f"{folder}/{SNAPSHOT_NAME}"
        self._group = group

    async def save(self, snapshot: Snapshot) -> None:
        """Put ``snapshot`` in place of the last one; durable on return.

        Raises
        ------
        OSError
            ``ENOSPC`` when the disk is full; the last snapshot then stays.
        """
        header = SnapshotHeader(
            format_version=FORMAT_VERSION,
            group=self._group,
            last_index=snapshot.last.index,
            last_term=snapshot.last.term,
            membership=snapshot.membership,
            data_length=len(snapshot.data),
            data_checksum=crc32c.crc32c(snapshot.data),
        )
        head = encode_record(RecordKind.SNAPSHOT_HEADER, msgspec.msgpack.encode(header))
        await self._disk.replace(self._name, head + snapshot.data)

    def load(self) -> Snapshot | None:
        """Return the newest snapshot; ``None`` if there is none.

        Raises
        ------
        PasslaneError
            ``STORAGE_CORRUPT`` when it is damaged or of another group.
        """
        try:
            content = memoryview(self._disk.read(self._name))
        except FileNotFoundError:
            return None
        record = read_record(content, 0)
        if record is None or record.kind is not RecordKind.SNAPSHOT_HEADER:
            raise storage_corrupt(f"{self._name}: the header is damaged")
        header = decode_payload(SnapshotHeader, record.payload, self._name)
        data = content[record.end :]
        self._check(header, data)
        return Snapshot(
            last=LogPosition(header.last_index, header.last_term),
            membership=header.membership,
            data=bytes(data),
        )

    def _check(self, header: SnapshotHeader, data: memoryview) -> None:
        """Refuse a snapshot that is damaged or not of this group and format."""
        if header.format_version != FORMAT_VERSION or header.group != self._group:
            raise storage_corrupt(
                f"{self._name}: of group {header.group}, format {header.format_version};"
                f" expected group {self._group}, format {FORMAT_VERSION}"
            )
        if len(data) != header.data_length or crc32c.crc32c(data) != header.data_checksum:
            raise storage_corrupt(f"{self._name}: the data is damaged")
