"""The durable log of a replica: segments of checksummed records, with group commit.

Records are written to the file at once, without a sync. One ``sync`` covers all writes
before it, for any number of waiting callers. A conflicting suffix is not removed from
the files: the new entries are appended and replace it when the log is read back.
"""

import msgspec

from passlane.messages.raft import LogEntry
from passlane.runtime.interfaces import Disk
from passlane.storage.formats import START_OF_LOG, HardState, LogPosition, LogReset
from passlane.storage.records import RecordKind, encode_record
from passlane.storage.recovery import RecoveredLog, recover_log
from passlane.storage.reserve import DiskReserve, is_disk_full
from passlane.storage.segments import SegmentWriter, read_segments

_encode = msgspec.msgpack.Encoder().encode


class LogState(msgspec.Struct, frozen=True):
    """The position of the last entry and the hard state."""

    last: LogPosition
    hard_state: HardState


class _Write(msgspec.Struct, frozen=True):
    """Encoded records, and the state of the log after they are written."""

    data: bytes
    highest_index: int
    state: LogState


class SegmentedLog:
    """An append-only log in segments; created by ``open``.

    When the disk is full, ``is_full`` is set and writes are kept in a backlog in memory
    until ``recover_space`` writes them. ``sync`` reports only writes in the files.
    """

    def __init__(self, segments: SegmentWriter, reserve: DiskReserve) -> None:
        self._segments = segments
        self._reserve = reserve
        self._backlog: list[_Write] = []
        self._submitted = LogState(last=START_OF_LOG, hard_state=HardState())
        self._written = self._submitted
        self.is_full = False

    @classmethod
    async def open(
        cls,
        disk: Disk,
        folder: str,
        group: str,
        segment_bytes: int,
        snapshot: LogPosition = START_OF_LOG,
    ) -> tuple["SegmentedLog", RecoveredLog]:
        """Read the log, truncate an interrupted last write, and return the log and its contents.

        Raises
        ------
        PasslaneError
            ``STORAGE_CORRUPT`` when synced records are damaged or missing.
        """
        files = read_segments(disk, folder)
        recovered = recover_log(files, group, snapshot)
        segments = SegmentWriter(disk, folder, group, segment_bytes)
        await segments.resume(files, recovered)
        log = cls(segments, DiskReserve(disk, folder))
        await log._restore(recovered, snapshot)
        log.is_full = not await log._reserve.allocate()
        return log, recovered

    async def _restore(self, recovered: RecoveredLog, snapshot: LogPosition) -> None:
        """Continue from the recovered state, and make it durable."""
        last = snapshot
        if recovered.entries:
            last = LogPosition(recovered.entries[-1].index, recovered.entries[-1].term)
        self._submitted = LogState(last=last, hard_state=recovered.hard_state)
        self._written = self._submitted
        if not self._segments.is_empty and not recovered.entries and snapshot != START_OF_LOG:
            # The snapshot is ahead of the entries in the files; new entries must not follow them.
            self.reset(snapshot)
        if recovered.is_new:
            # Distinguishes a log that is lost later from one that never existed.
            self.save_hard_state(recovered.hard_state)
        if self.has_unsynced:
            await self.sync()

    @property
    def last(self) -> LogPosition:
        """Position of the last appended entry, durable or not."""
        return self._submitted.last

    @property
    def has_unsynced(self) -> bool:
        """Whether there are writes that no completed sync covers."""
        return self._segments.has_unsynced

    @property
    def has_backlog(self) -> bool:
        """Whether writes are waiting for disk space."""
        return bool(self._backlog)

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries; they replace existing ones from ``entries[0].index`` on."""
        parts = [encode_record(RecordKind.ENTRY, _encode(entry)) for entry in entries]
        last = LogPosition(entries[-1].index, entries[-1].term)
        state = LogState(last=last, hard_state=self._submitted.hard_state)
        self._submit(_Write(b"".join(parts), highest_index=last.index, state=state))

    def save_hard_state(self, hard_state: HardState) -> None:
        """Append the term and vote."""
        record = encode_record(RecordKind.HARD_STATE, _encode(hard_state))
        state = LogState(last=self._submitted.last, hard_state=hard_state)
        self._submit(_Write(record, highest_index=0, state=state))

    def reset(self, position: LogPosition) -> None:
        """Empty the log; its next entry follows the snapshot at ``position``."""
        record = encode_record(
            RecordKind.LOG_RESET, _encode(LogReset(position.index, position.term))
        )
        state = LogState(last=position, hard_state=self._submitted.hard_state)
        self._submit(_Write(record, highest_index=position.index, state=state))

    async def sync(self) -> LogState:
        """Make all writes durable; return the state that is then durable.

        Only one call may run at a time. Writes made during a call are covered by the
        next one.
        """
        state = self._written
        if not self.has_unsynced:
            return state
        await self._segments.sync()
        if not self._backlog:
            self._write_synced_mark()
        return state

    def _write_synced_mark(self) -> None:
        """Append a mark for the last sync, unless the disk is full."""
        try:
            self._segments.write_synced_mark()
        except OSError as error:
            if not is_disk_full(error):
                raise
            self.is_full = True

    async def recover_space(self) -> bool:
        """Try to write the backlog and allocate the reserve; return whether both succeeded."""
        if self._backlog:
            await self._reserve.release()
            while self._backlog and self._try_write(self._backlog[0]):
                self._backlog.pop(0)
        if self._backlog:
            return False
        has_reserve = await self._reserve.allocate()
        # The disk may have filled up again while the reserve was allocated.
        self.is_full = not has_reserve or self.has_backlog
        return not self.is_full

    async def remove_before(self, index: int) -> int:
        """Remove the oldest segments without entries after ``index``; return how many."""
        return await self._segments.remove_before(index)

    def close(self) -> None:
        """Close the files without syncing."""
        self._segments.close()

    def _submit(self, write: _Write) -> None:
        """Write records, or add them to the backlog if the disk is full."""
        self._submitted = write.state
        if self._backlog or not self._try_write(write):
            self._backlog.append(write)

    def _try_write(self, write: _Write) -> bool:
        """Write records to the files; return ``False`` if the disk is full."""
        try:
            self._segments.write(write.data, write.highest_index, self._written.hard_state)
        except OSError as error:
            if not is_disk_full(error):
                raise
            self.is_full = True
            return False
        self._written = write.state
        return True
