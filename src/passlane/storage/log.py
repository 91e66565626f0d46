"""The durable log of a replica: segments of checksummed records, synced by groups.

Writing is immediate and needs no sync; one ``sync`` then covers all that was written
before it, however many callers wait. A conflicting suffix is not cut from the files:
the new entries are appended and win when the log is read back.
"""

from dataclasses import dataclass

import msgspec

from passlane.messages.raft import LogEntry
from passlane.runtime.interfaces import AppendFile, Disk
from passlane.storage.formats import (
    START_OF_LOG,
    HardState,
    LogPosition,
    LogReset,
    SegmentStart,
    SyncedMark,
    storage_corrupt,
)
from passlane.storage.records import FORMAT_VERSION, RecordKind, encode_record
from passlane.storage.recovery import RecoveredLog, SegmentFile, recover_log
from passlane.storage.reserve import DiskReserve, is_disk_full

SEGMENT_PREFIX = "segment-"

_encode = msgspec.msgpack.Encoder().encode


@dataclass(frozen=True, slots=True)
class LogState:
    """How far the log has come: its last entry and its hard state."""

    last: LogPosition
    hard_state: HardState


@dataclass(slots=True)
class _OpenSegment:
    """A segment whose file is open; counts of writes made to it, and of those synced."""

    number: int
    file: AppendFile
    size: int
    written: int = 0
    synced: int = 0


@dataclass(frozen=True, slots=True)
class _Write:
    """Encoded records, and the state of the log once they are written."""

    data: bytes
    highest_index: int
    state: LogState


def _segment_name(folder: str, number: int) -> str:
    """Return the file name of a segment."""
    return f"{folder}/{SEGMENT_PREFIX}{number:010d}"


def _read_segments(disk: Disk, folder: str) -> list[SegmentFile]:
    """Return all segments in order."""
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


class SegmentedLog:
    """An append-only log in segments; made by ``open``.

    When the disk is full, writes are kept in memory, ``is_full`` turns true, and
    ``recover_space`` tries again; ``sync`` reports only what is in the files.
    """

    def __init__(self, disk: Disk, folder: str, group: str, segment_bytes: int) -> None:
        self._disk = disk
        self._folder = folder
        self._group = group
        self._segment_bytes = segment_bytes
        self._reserve = DiskReserve(disk, folder)
        self._hard_state = HardState()
        self._open_segments: list[_OpenSegment] = []
        self._highest_index: dict[int, int] = {}
        self._backlog: list[_Write] = []
        self._logical = LogState(last=START_OF_LOG, hard_state=HardState())
        self._written = self._logical
        self.is_full = False
        self.bytes_written = 0

    @classmethod
    async def open(
        cls,
        disk: Disk,
        folder: str,
        group: str,
        segment_bytes: int,
        snapshot: LogPosition = START_OF_LOG,
    ) -> tuple["SegmentedLog", RecoveredLog]:
        """Read the log back, cut off an interrupted last write, and return both.

        Raises
        ------
        PasslaneError
            ``STORAGE_CORRUPT`` when synced records are damaged or missing.
        """
        segments = _read_segments(disk, folder)
        recovered = recover_log(segments, group, snapshot)
        log = cls(disk, folder, group, segment_bytes)
        await log._restore(segments, recovered, snapshot)
        log.is_full = not await log._reserve.hold()
        return log, recovered

    async def _restore(
        self, segments: list[SegmentFile], recovered: RecoveredLog, snapshot: LogPosition
    ) -> None:
        """Take up the recovered state and go on in the last segment."""
        await self._cut_tail(segments, recovered)
        self._hard_state = recovered.hard_state
        self._highest_index = dict(recovered.highest_index)
        last = snapshot
        if recovered.entries:
            last = LogPosition(recovered.entries[-1].index, recovered.entries[-1].term)
        self._logical = LogState(last=last, hard_state=recovered.hard_state)
        self._written = self._logical
        # The last process may not have lived to sync what it wrote.
        for number in sorted(self._highest_index):
            if number >= recovered.synced_segment:
                self._open_again(number)
        if self._highest_index and not recovered.entries and snapshot != START_OF_LOG:
            # Entries in the files that the snapshot overtook must not be continued.
            self.reset(snapshot)
        if recovered.is_new:
            # So that a log that is gone later is told from one that never was.
            self.save_hard_state(self._hard_state)
        if self.has_unsynced:
            await self.sync()

    def _open_again(self, number: int) -> None:
        """Open a segment that is there already, to be synced and continued."""
        name = _segment_name(self._folder, number)
        size = len(self._disk.read(name))
        file = self._disk.open_append(name)
        self._open_segments.append(_OpenSegment(number=number, file=file, size=size, written=1))

    async def _cut_tail(self, segments: list[SegmentFile], recovered: RecoveredLog) -> None:
        """Cut off the interrupted write; later segments first, so a crash repeats it."""
        cut = recovered.cut
        if cut is None:
            return
        for segment in reversed(segments):
            name = _segment_name(self._folder, segment.number)
            if segment.number > cut.segment or (segment.number, cut.offset) == (cut.segment, 0):
                await self._disk.remove(name)
                recovered.highest_index.pop(segment.number, None)
            elif segment.number == cut.segment:
                await self._disk.truncate(name, cut.offset)

    @property
    def last(self) -> LogPosition:
        """Last entry appended, durable or not."""
        return self._logical.last

    @property
    def has_unsynced(self) -> bool:
        """Whether something was written that no finished sync covers."""
        return any(segment.written > segment.synced for segment in self._open_segments)

    @property
    def has_backlog(self) -> bool:
        """Whether writes wait for space on the disk."""
        return bool(self._backlog)

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Write entries, in place of those from ``entries[0].index`` on."""
        parts = [encode_record(RecordKind.ENTRY, _encode(entry)) for entry in entries]
        last = LogPosition(entries[-1].index, entries[-1].term)
        self._submit(b"".join(parts), last, highest_index=last.index)

    def save_hard_state(self, hard_state: HardState) -> None:
        """Write term and vote."""
        self._hard_state = hard_state
        record = encode_record(RecordKind.HARD_STATE, _encode(hard_state))
        self._submit(record, self._logical.last, highest_index=0)

    def reset(self, position: LogPosition) -> None:
        """Empty the log; it goes on after the snapshot at ``position``."""
        record = encode_record(
            RecordKind.LOG_RESET, _encode(LogReset(position.index, position.term))
        )
        self._submit(record, position, highest_index=position.index)

    async def sync(self) -> LogState:
        """Make all that is written durable; return how far that is.

        One call at a time; callers share it. Writes made while it runs are covered by
        the next one.
        """
        state = self._written
        unsynced = [
            (segment, segment.written)
            for segment in self._open_segments
            if segment.written > segment.synced
        ]
        if not unsynced:
            return state
        mark = self._mark_at_end()
        for segment, written in unsynced:
            await segment.file.sync()
            segment.synced = written
        self._close_finished_segments()
        self._write_synced_mark(mark)
        return state

    def _mark_at_end(self) -> SyncedMark:
        """Return the mark that says that all written so far is durable."""
        current = self._open_segments[-1]
        return SyncedMark(segment=current.number, offset=current.size)

    def _close_finished_segments(self) -> None:
        """Close the older segments that are wholly durable."""
        kept = []
        for segment in self._open_segments:
            if segment is self._open_segments[-1] or segment.written > segment.synced:
                kept.append(segment)
            else:
                segment.file.close()
        self._open_segments = kept

    async def recover_space(self) -> bool:
        """Try to write what waits and to set the reserve aside again; return success."""
        if self._backlog:
            await self._reserve.release()
            while self._backlog and self._try_write(self._backlog[0]):
                self._backlog.pop(0)
        if self._backlog:
            return False
        has_reserve = await self._reserve.hold()
        # The disk may have filled up again during the wait.
        self.is_full = not has_reserve or self.has_backlog
        return not self.is_full

    async def remove_before(self, index: int) -> int:
        """Remove the oldest segments that hold no entry after ``index``; return how many."""
        first_open = self._open_segments[0].number if self._open_segments else 0
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
        for segment in self._open_segments:
            segment.file.close()
        self._open_segments = []

    def _submit(self, data: bytes, last: LogPosition, *, highest_index: int) -> None:
        """Write records now, or keep them until there is space."""
        self._logical = LogState(last=last, hard_state=self._hard_state)
        write = _Write(data=data, highest_index=highest_index, state=self._logical)
        if self._backlog or not self._try_write(write):
            self._backlog.append(write)

    def _try_write(self, write: _Write) -> bool:
        """Write records to the current segment; return false if the disk is full."""
        try:
            segment = self._segment_for_write()
            segment.file.write(write.data)
        except OSError as error:
            if not is_disk_full(error):
                raise
            self.is_full = True
            return False
        segment.size += len(write.data)
        segment.written += 1
        highest = self._highest_index.get(segment.number, 0)
        self._highest_index[segment.number] = max(highest, write.highest_index)
        self._written = write.state
        self.bytes_written += len(write.data)
        return True

    def _segment_for_write(self) -> _OpenSegment:
        """Return the current segment, or a new one if that is as long as it should be."""
        if self._open_segments and self._open_segments[-1].size < self._segment_bytes:
            return self._open_segments[-1]
        number = max(self._highest_index, default=0) + 1
        file = self._disk.open_append(_segment_name(self._folder, number))
        try:
            size = self._write_segment_head(file, number)
        except OSError:
            file.close()
            raise
        if self._open_segments:
            # It may end in a mark, which no sync has covered yet.
            self._open_segments[-1].written += 1
        segment = _OpenSegment(number=number, file=file, size=size, written=1)
        self._open_segments.append(segment)
        self._highest_index[number] = 0
        return segment

    def _write_segment_head(self, file: AppendFile, number: int) -> int:
        """Begin a segment with the hard state, so that older ones can go; return its size."""
        start = SegmentStart(FORMAT_VERSION, self._group, number)
        head = encode_record(RecordKind.SEGMENT_START, _encode(start))
        head += encode_record(RecordKind.HARD_STATE, _encode(self._written.hard_state))
        file.write(head)
        self.bytes_written += len(head)
        return len(head)

    def _write_synced_mark(self, mark: SyncedMark) -> None:
        """Note in the log that all before was durable; not itself worth a sync."""
        if not self._open_segments or self._backlog:
            return
        record = encode_record(RecordKind.SYNCED_MARK, _encode(mark))
        segment = self._open_segments[-1]
        try:
            segment.file.write(record)
        except OSError as error:
            if not is_disk_full(error):
                raise
            self.is_full = True
            return
        segment.size += len(record)
        self.bytes_written += len(record)
