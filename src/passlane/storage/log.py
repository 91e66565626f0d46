"""The durable log of a replica: segments of checksummed records, synced by groups.

Writing is immediate and needs no sync; one ``sync`` then covers all that was written
before it, however many callers wait. A conflicting suffix is not cut from the files:
the new entries are appended and win when the log is read back.
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
    """How far the log has come: its last entry and its hard state."""

    last: LogPosition
    hard_state: HardState


class _Write(msgspec.Struct, frozen=True):
    """Encoded records, and the state of the log once they are written."""

    data: bytes
    highest_index: int
    state: LogState


class SegmentedLog:
    """An append-only log in segments; made by ``open``.

    When the disk is full, writes are kept in memory, ``is_full`` turns true, and
    ``recover_space`` tries again; ``sync`` reports only what is in the files.
    """

    def __init__(self, segments: SegmentWriter, reserve: DiskReserve) -> None:
        self._segments = segments
        self._reserve = reserve
        self._backlog: list[_Write] = []
        self._logical = LogState(last=START_OF_LOG, hard_state=HardState())
        self._written = self._logical
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
        """Read the log back, cut off an interrupted last write, and return both.

        Raises
        ------
        PasslaneError
            ``STORAGE_CORRUPT`` when synced records are damaged or missing.
        """
        files = read_segments(disk, folder)
        recovered = recover_log(files, group, snapshot)
        segments = SegmentWriter(disk, folder, group, segment_bytes)
        await segments.take_up(files, recovered)
        log = cls(segments, DiskReserve(disk, folder))
        await log._restore(recovered, snapshot)
        log.is_full = not await log._reserve.hold()
        return log, recovered

    async def _restore(self, recovered: RecoveredLog, snapshot: LogPosition) -> None:
        """Take up the recovered state, and make durable what was read."""
        last = snapshot
        if recovered.entries:
            last = LogPosition(recovered.entries[-1].index, recovered.entries[-1].term)
        self._logical = LogState(last=last, hard_state=recovered.hard_state)
        self._written = self._logical
        if not self._segments.is_empty and not recovered.entries and snapshot != START_OF_LOG:
            # Entries in the files that the snapshot overtook must not be continued.
            self.reset(snapshot)
        if recovered.is_new:
            # So that a log that is gone later is told from one that never was.
            self.save_hard_state(recovered.hard_state)
        if self.has_unsynced:
            await self.sync()

    @property
    def last(self) -> LogPosition:
        """Last entry appended, durable or not."""
        return self._logical.last

    @property
    def has_unsynced(self) -> bool:
        """Whether something was written that no finished sync covers."""
        return self._segments.has_unsynced

    @property
    def has_backlog(self) -> bool:
        """Whether writes wait for space on the disk."""
        return bool(self._backlog)

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Write entries, in place of those from ``entries[0].index`` on."""
        parts = [encode_record(RecordKind.ENTRY, _encode(entry)) for entry in entries]
        last = LogPosition(entries[-1].index, entries[-1].term)
        state = LogState(last=last, hard_state=self._logical.hard_state)
        self._submit(_Write(b"".join(parts), highest_index=last.index, state=state))

    def save_hard_state(self, hard_state: HardState) -> None:
        """Write term and vote."""
        record = encode_record(RecordKind.HARD_STATE, _encode(hard_state))
        state = LogState(last=self._logical.last, hard_state=hard_state)
        self._submit(_Write(record, highest_index=0, state=state))

    def reset(self, position: LogPosition) -> None:
        """Empty the log; it goes on after the snapshot at ``position``."""
        record = encode_record(
            RecordKind.LOG_RESET, _encode(LogReset(position.index, position.term))
        )
        state = LogState(last=position, hard_state=self._logical.hard_state)
        self._submit(_Write(record, highest_index=position.index, state=state))

    async def sync(self) -> LogState:
        """Make all that is written durable; return how far that is.

        One call at a time; callers share it. Writes made while it runs are covered by
        the next one.
        """
        state = self._written
        if not self.has_unsynced:
            return state
        await self._segments.sync()
        if not self._backlog:
            self._write_synced_mark()
        return state

    def _write_synced_mark(self) -> None:
        """Note in the files how far the sync reached, if there is space for that."""
        try:
            self._segments.write_synced_mark()
        except OSError as error:
            if not is_disk_full(error):
                raise
            self.is_full = True

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
        return await self._segments.remove_before(index)

    def close(self) -> None:
        """Close the files without syncing."""
        self._segments.close()

    def _submit(self, write: _Write) -> None:
        """Write records now, or keep them until there is space."""
        self._logical = write.state
        if self._backlog or not self._try_write(write):
            self._backlog.append(write)

    def _try_write(self, write: _Write) -> bool:
        """Write records to the files; return false if the disk is full."""
        try:
            self._segments.write(write.data, write.highest_index, self._written.hard_state)
        except OSError as error:
            if not is_disk_full(error):
                raise
            self.is_full = True
            return False
        self._written = write.state
        return True
