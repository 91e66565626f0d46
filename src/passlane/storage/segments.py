"""The segment files of a log: writing, syncing and removing them.

A log is cut into segments so that what a snapshot has made needless can be removed
file by file. Each segment begins with the hard state, so that no older one is needed
for it, and with the last synced mark, so that damage to the end of the segment before
it does not take along the proof that this end was synced.
"""

import msgspec

from passlane.runtime.interfaces import AppendFile, Disk
from passlane.storage.formats import HardState, SegmentStart, SyncedMark, storage_corrupt
from passlane.storage.records import FORMAT_VERSION, RecordKind, encode_record
from passlane.storage.recovery import RecoveredLog, SegmentFile, TailCut

SEGMENT_PREFIX = "segment-"

_encode = msgspec.msgpack.Encoder().encode


class _OpenSegment(msgspec.Struct):
    """A segment whose file is open; counts of writes made to it, and of those synced."""

    number: int
    file: AppendFile
    size: int
    written: int = 0
    synced: int = 0

    @property
    def is_synced(self) -> bool:
        """Whether all that was written is durable."""
        return self.written == self.synced


def _segment_name(folder: str, number: int) -> str:
    """Return the file name of a segment."""
    return f"{folder}/{SEGMENT_PREFIX}{number:010d}"


def read_segments(disk: Disk, folder: str) -> list[SegmentFile]:
    """Return all segments in order.

    Raises
    ------
    PasslaneError
        ``STORAGE_CORRUPT`` for a file with a name that no segment has.
    """
    segments = []
    for name in disk.list_files(folder):
        if not name.startswith(SEGMENT_PREFIX):
            continue
        number = name.removeprefix(SEGMENT_PREFIX)
        if not number.isdigit():
            raise storage_corrupt(f"{folder}/{name} is not a segment's name")
        data = disk.read(f"{folder}/{name}")
        segments.append(SegmentFile(number=int(number), data=data))
    return segments


class SegmentWriter:
    """Appends records to the last segment, and begins a new one when that is full.

    Parameters
    ----------
    segment_bytes
        Size at which a segment is finished.
    """

    def __init__(self, disk: Disk, folder: str, group: str, segment_bytes: int) -> None:
        self._disk = disk
        self._folder = folder
        self._group = group
        self._segment_bytes = segment_bytes
        self._open: list[_OpenSegment] = []
        self._highest_index: dict[int, int] = {}
        self._last_mark: SyncedMark | None = None

    async def take_up(self, segments: list[SegmentFile], recovered: RecoveredLog) -> None:
        """Cut off an interrupted write, and go on in the segments that were read."""
        sizes = {segment.number: len(segment.data) for segment in segments}
        if recovered.cut is not None:
            await self._cut_tail(segments, recovered.cut)
            sizes[recovered.cut.segment] = recovered.cut.offset
        self._highest_index = {
            number: index for number, index in recovered.highest_index.items() if sizes[number] > 0
        }
        # The last process may not have lived to sync what it wrote.
        for number in sorted(self._highest_index):
            if number >= recovered.synced_segment:
                file = self._disk.open_append(_segment_name(self._folder, number))
                self._open.append(_OpenSegment(number, file, size=sizes[number], written=1))

    async def _cut_tail(self, segments: list[SegmentFile], cut: TailCut) -> None:
        """Cut off the interrupted write; later segments first, so a crash repeats it."""
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
        """Whether something was written that no finished sync covers."""
        return any(not segment.is_synced for segment in self._open)

    def write(self, records: bytes, highest_index: int, hard_state: HardState) -> None:
        """Append encoded records.

        Parameters
        ----------
        highest_index
            Highest entry index among them, 0 if there is none.
        hard_state
            Hard state as of before these records, for the head of a new segment.

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
        """Return the current segment, or a new one if that is as long as it should be."""
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
            # It may end in a mark, which no sync has covered yet.
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
        """Make all that was written before the call durable; one call at a time."""
        unsynced = [(segment, segment.written) for segment in self._open if not segment.is_synced]
        if not unsynced:
            return
        current = self._open[-1]
        mark = SyncedMark(segment=current.number, offset=current.size)
        for segment, written in unsynced:
            await segment.file.sync()
            segment.synced = written
        self._last_mark = mark
        self._close_finished()

    def _close_finished(self) -> None:
        """Close the older segments that are wholly durable."""
        finished = [segment for segment in self._open[:-1] if segment.is_synced]
        for segment in finished:
            segment.file.close()
            self._open.remove(segment)

    def write_synced_mark(self) -> None:
        """Note in the log how far the last sync reached; not itself worth a sync.

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
        """Remove the oldest segments that hold no entry after ``index``; return how many."""
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
