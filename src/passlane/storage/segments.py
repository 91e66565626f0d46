"""The segment files of a log: writing, syncing and removing them.

A log is divided into segments so that entries covered by a snapshot can be removed file
by file. Each segment begins with the hard state, so that older segments are not needed
for it, and with the last synced mark. The mark shows that the end of the previous
segment was synced even if that end is damaged.
"""

import msgspec

from passlane.runtime.interfaces import AppendFile, Disk
from passlane.storage.formats import HardState, SegmentStart, SyncedMark, storage_corrupt
from passlane.storage.records import FORMAT_VERSION, RecordKind, encode_record
from passlane.storage.recovery import RecoveredLog, SegmentFile, TailCut

SEGMENT_PREFIX = "segment-"

_encode = msgspec.msgpack.Encoder().encode


class _OpenSegment(msgspec.Struct):
    """A segment whose file is open, with its numbers of writes and of synced writes."""

    number: int
    file: AppendFile
    size: int
    written: int = 0
    synced: int = 0

    @property
    def is_synced(self) -> bool:
        """Whether all writes are durable."""
        return self.written == self.synced


def _segment_name(folder: str, number: int) -> str:
    """Return the path of a segment's file."""
    return f"{folder}/{SEGMENT_PREFIX}{number:010d}"


def read_segments(disk: Disk, folder: str) -> list[SegmentFile]:
    """Return all segments in order.

    Raises
    ------
    PasslaneError
        ``STORAGE_CORRUPT`` for a segment file whose name has no valid number.
    """
    segments = []
    for name in disk.list_files(folder):
        if not name.startswith(SEGMENT_PREFIX):
            continue
        number = name.removeprefix(SEGMENT_PREFIX)
        if not number.isdigit():
            raise storage_corrupt(f"{folder}/{name}: expected {SEGMENT_PREFIX} and a number")
        data = disk.read(f"{folder}/{name}")
        segments.append(SegmentFile(number=int(number), data=data))
    return segments


class SegmentWriter:
    """Appends records to the last segment, and starts a new one when it is full.

    Parameters
    ----------
    segment_bytes
        Size from which a segment is full.
    """

    def __init__(self, disk: Disk, folder: str, group: str, segment_bytes: int) -> None:
        self._disk = disk
        self._folder = folder
        self._group = group
        self._segment_bytes = segment_bytes
        self._open: list[_OpenSegment] = []
        self._highest_index: dict[int, int] = {}
        self._last_mark: SyncedMark | None = None

    async def resume(self, segments: list[SegmentFile], recovered: RecoveredLog) -> None:
        """Truncate an interrupted write, and continue with the segments that were read."""
        sizes = {segment.number: len(segment.data) for segment in segments}
        if recovered.cut is not None:
            await self._truncate_tail(segments, recovered.cut)
            sizes[recovered.cut.segment] = recovered.cut.offset
        self._highest_index = {
            number: index for number, index in recovered.highest_index.items() if sizes[number] > 0
        }
        # The previous process may have ended before it synced these segments.
        for number in sorted(self._highest_index):
            if number >= recovered.synced_segment:
                file = self._disk.open_append(_segment_name(self._folder, number))
                self._open.append(_OpenSegment(number, file, size=sizes[number], written=1))

    async def _truncate_tail(self, segments: list[SegmentFile], cut: TailCut) -> None:
        """Remove the interrupted write; from the end, so that a restart can repeat it."""
        for segment in reversed(segments):
            name = _segment_name(self._folder, segment.number)
            if segment.number > cut.segment or (segment.number, cut.offset) == (cut.segment, 0):
                await self._disk.remove(name)
            elif segment.number == cut.segment:
                await self._disk.truncate(name, cut.offset)

    @property
    def is_empty(self) -> bool:
        """Whether there is no segment yet."""
        return not self._highest_index

    @property
    def has_unsynced(self) -> bool:
        """Whether there are writes that no completed sync covers."""
        return any(not segment.is_synced for segment in self._open)

    def write(self, records: bytes, highest_index: int, hard_state: HardState) -> None:
        """Append encoded records.

        Parameters
        ----------
        highest_index
            Maximum entry index among the records; 0 if there is none.
        hard_state
            Hard state before these records; written at the start of a new segment.

        Raises
        ------
        OSError
            ``ENOSPC`` when the disk is full; nothing is written then.
        """
        segment = self._segment_for_write(hard_state)
        segment.file.write(records)
        segment.size += len(records)
        segment.written += 1
        highest = self._highest_index[segment.number]
        self._highest_index[segment.number] = max(highest, highest_index)

    def _segment_for_write(self, hard_state: HardState) -> _OpenSegment:
        """Return the current segment, or a new one if the current one is full."""
        if self._open and self._open[-1].size < self._segment_bytes:
            return self._open[-1]
        number = max(self._highest_index, default=0) + 1
        file = self._disk.open_append(_segment_name(self._folder, number))
        head = self._encode_head(number, hard_state)
        try:
            file.write(head)
        except OSError:
            file.close()
            raise
        if self._open:
            # The previous segment may end with a mark that no sync has covered yet.
            self._open[-1].written += 1
        segment = _OpenSegment(number=number, file=file, size=len(head), written=1)
        self._open.append(segment)
        self._highest_index[number] = 0
        return segment

    def _encode_head(self, number: int, hard_state: HardState) -> bytes:
        """Return the first records of a segment."""
        start = SegmentStart(FORMAT_VERSION, self._group, number)
        head = encode_record(RecordKind.SEGMENT_START, _encode(start))
        head += encode_record(RecordKind.HARD_STATE, _encode(hard_state))
        if self._last_mark is not None:
            head += encode_record(RecordKind.SYNCED_MARK, _encode(self._last_mark))
        return head

    async def sync(self) -> None:
        """Make all writes before the call durable; only one call may run at a time."""
        unsynced = [(segment, segment.written) for segment in self._open if not segment.is_synced]
        if not unsynced:
            return
        current = self._open[-1]
        mark = SyncedMark(segment=current.number, offset=current.size)
        for segment, written in unsynced:
            await segment.file.sync()
            segment.synced = written
        self._last_mark = mark
        self._close_synced()

    def _close_synced(self) -> None:
        """Close the files of older segments that are completely synced."""
        synced = [segment for segment in self._open[:-1] if segment.is_synced]
        for segment in synced:
            segment.file.close()
            self._open.remove(segment)

    def write_synced_mark(self) -> None:
        """Append a mark for the last sync; the mark itself needs no sync.

        Raises
        ------
        OSError
            ``ENOSPC`` when the disk is full.
        """
        if not self._open or self._last_mark is None:
            return
        record = encode_record(RecordKind.SYNCED_MARK, _encode(self._last_mark))
        segment = self._open[-1]
        segment.file.write(record)
        segment.size += len(record)

    async def remove_before(self, index: int) -> int:
        """Remove the oldest segments without entries after ``index``; return how many."""
        first_open = self._open[0].number if self._open else 0
        removed = 0
        for number in sorted(self._highest_index):
            if number >= first_open or self._highest_index[number] > index:
                break
            await self._disk.remove(_segment_name(self._folder, number))
            del self._highest_index[number]
            removed += 1
        return removed

    def close(self) -> None:
        """Close the files without syncing."""
        for segment in self._open:
            segment.file.close()
        self._open = []
