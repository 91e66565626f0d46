"""Reads a log from its segments' bytes after a restart; does no I/O.

Records are replayed in order. An entry whose index exists already replaces that entry
and all later ones, as when a Raft leader overwrites a conflicting suffix.
Unreadable data before the last synced mark is data loss on the disk: the log is refused.
After the mark it is a write that a crash interrupted before it was acknowledged: the log
is truncated there.
"""

import msgspec

from passlane.messages.raft import LogEntry
from passlane.storage.formats import (
    HardState,
    LogPosition,
    LogReset,
    SegmentStart,
    SyncedMark,
    decode_payload,
    storage_corrupt,
)
from passlane.storage.records import (
    FORMAT_VERSION,
    Record,
    RecordKind,
    find_last_record,
    read_records,
)


class SegmentFile(msgspec.Struct, frozen=True):
    """A segment as read from the disk."""

    number: int
    data: bytes


class TailCut(msgspec.Struct, frozen=True):
    """Where the log is truncated; everything from ``offset`` of ``segment`` on is removed."""

    segment: int
    offset: int


class RecoveredLog(msgspec.Struct):
    """The contents of a log after a crash or a stop.

    Attributes
    ----------
    entries
        Entries after the snapshot, with consecutive indices.
    highest_index
        For each segment, the maximum index of its entries; 0 if it has none.
    synced_segment
        All segments before this one are durable.
    is_new
        Whether there was no segment.
    cut
        Start of the interrupted last write, if there is one.
    """

    hard_state: HardState = msgspec.field(default_factory=HardState)
    entries: list[LogEntry] = msgspec.field(default_factory=list)
    highest_index: dict[int, int] = msgspec.field(default_factory=dict)
    synced_segment: int = 0
    is_new: bool = False
    cut: TailCut | None = None


class _InconsistentError(Exception):
    """A record contradicts those before it; the log is truncated here or refused."""


def recover_log(segments: list[SegmentFile], group: str, snapshot: LogPosition) -> RecoveredLog:
    """Return the log that ``segments``, in order, hold after the snapshot.

    Raises
    ------
    PasslaneError
        ``STORAGE_CORRUPT`` when synced records are damaged or missing.
    """
    durable = _durable_position(segments)
    replay = _Replay(group, snapshot)
    replay.log.synced_segment = durable[0]
    replay.log.is_new = not segments
    for position, segment in enumerate(segments):
        offset, reason = replay.read_segment(segment)
        if reason is None:
            continue
        if (segment.number, offset) < durable:
            raise storage_corrupt(
                f"log of group {group}: segment {segment.number} is damaged at byte {offset}"
                f" although it was synced up to byte {durable[1]} of segment {durable[0]}: {reason}"
            )
        replay.log.cut = TailCut(segment=segment.number, offset=offset)
        for later in segments[position + 1 :]:
            replay.log.highest_index.pop(later.number, None)
        break
    replay.drop_entries_in_snapshot()
    return replay.log


def _durable_position(segments: list[SegmentFile]) -> tuple[int, int]:
    """Return the segment and offset up to which the log was synced.

    Positions in marks never decrease, so the last readable mark has the maximum.
    """
    for segment in reversed(segments):
        record = find_last_record(segment.data, RecordKind.SYNCED_MARK)
        if record is not None:
            mark = decode_payload(SyncedMark, record.payload, f"segment {segment.number}")
            return mark.segment, mark.offset
    return 0, 0


class _Replay:
    """Applies records in order to the state of the log."""

    def __init__(self, group: str, snapshot: LogPosition) -> None:
        self.log = RecoveredLog()
        self._group = group
        self._snapshot = snapshot
        self._next_segment: int | None = None

    def read_segment(self, segment: SegmentFile) -> tuple[int, str | None]:
        """Apply a segment's records; return the offset where reading ended, and any error."""
        if self._next_segment is not None and segment.number != self._next_segment:
            return 0, f"segment {self._next_segment} is missing"
        self._next_segment = segment.number + 1
        self.log.highest_index[segment.number] = 0
        end = 0
        for record in read_records(memoryview(segment.data)):
            try:
                self._apply(record, segment.number)
            except _InconsistentError as error:
                return record.start, str(error)
            end = record.end
        if end < len(segment.data) or end == 0:
            return end, "a record is truncated or its checksum is wrong"
        return end, None

    def _apply(self, record: Record, segment: int) -> None:
        """Apply one record to the log, or refuse it."""
        where = f"group {self._group}, segment {segment}, byte {record.start}"
        is_start = record.kind is RecordKind.SEGMENT_START
        if is_start != (record.start == 0):
            raise _InconsistentError(
                "the start record must be the first record of a segment, and only the first"
            )
        match record.kind:
            case RecordKind.ENTRY:
                entry = decode_payload(LogEntry, record.payload, where)
                self._apply_entry(entry, segment)
            case RecordKind.HARD_STATE:
                self.log.hard_state = decode_payload(HardState, record.payload, where)
            case RecordKind.LOG_RESET:
                self._apply_reset(decode_payload(LogReset, record.payload, where))
            case RecordKind.SEGMENT_START:
                self._check_start(decode_payload(SegmentStart, record.payload, where), segment)
            case RecordKind.SYNCED_MARK:
                pass
            case _:
                raise storage_corrupt(f"{where}: a log must not contain {record.kind.name}")

    def _check_start(self, start: SegmentStart, segment: int) -> None:
        """Refuse a segment with another format version, group or number."""
        expected = SegmentStart(FORMAT_VERSION, self._group, segment)
        if start != expected:
            raise storage_corrupt(f"segment {segment}: expected {expected}, found {start}")

    def _apply_entry(self, entry: LogEntry, segment: int) -> None:
        """Append an entry; it replaces existing ones from its index on."""
        entries = self.log.entries
        if entries:
            keep = entry.index - entries[0].index
            if not 0 <= keep <= len(entries):
                raise _InconsistentError(
                    f"entry {entry.index} is out of order after {entries[-1].index}"
                )
            del entries[keep:]
        elif entry.index > self._snapshot.index + 1:
            raise _InconsistentError(
                f"entry {entry.index} leaves a gap after the snapshot at {self._snapshot.index}"
            )
        entries.append(entry)
        highest = self.log.highest_index
        highest[segment] = max(highest[segment], entry.index)

    def _apply_reset(self, reset: LogReset) -> None:
        """Empty the log; its next entry follows the installed snapshot."""
        if reset.last_index > self._snapshot.index:
            raise _InconsistentError(
                f"the log was reset to a snapshot at {reset.last_index},"
                f" but the stored snapshot is at {self._snapshot.index}"
            )
        self.log.entries.clear()

    def drop_entries_in_snapshot(self) -> None:
        """Drop the entries that the snapshot covers, or all if its term does not match.

        A crash after a snapshot from another replica was stored, but before the log was
        reset, leaves an outdated log. None of its entries may be kept.
        """
        entries = self.log.entries
        if not entries or self._snapshot.index < entries[0].index:
            return
        covered = self._snapshot.index - entries[0].index + 1
        if covered > len(entries) or entries[covered - 1].term != self._snapshot.term:
            entries.clear()
            return
        del entries[:covered]
