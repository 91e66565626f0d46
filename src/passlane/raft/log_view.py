"""The in-memory part of a replica's log, after the compacted prefix."""

from collections.abc import Iterable, Sequence

from passlane.messages.raft import LogEntry
from passlane.raft.errors import RaftInvariantError

_ENTRY_OVERHEAD_BYTES = 32


class RaftLog:
    """Log entries after ``base_index``, and the last index that is durable here.

    Parameters
    ----------
    base_index, base_term
        Index and term of the last compacted entry; 0 and 0 if none is compacted.
    entries
        Entries found on disk, in order without gaps. Those up to ``base_index`` are
        skipped.
    """

    def __init__(self, base_index: int, base_term: int, entries: Iterable[LogEntry]) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[LogEntry] = []
        for entry in entries:
            if entry.index > base_index:
                self._append_one(entry)
        self.synced_index = self.last_index

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; ``None`` if it is compacted or not in the log."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def entries_between(self, first_index: int, last_index: int) -> tuple[LogEntry, ...]:
        """Return the entries from ``first_index`` to ``last_index``, both included."""
        start = first_index - self.base_index - 1
        return tuple(self._entries[start : last_index - self.base_index])

    def batch_from(self, first_index: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from ``first_index`` on, up to ``max_bytes`` but at least one."""
        start = first_index - self.base_index - 1
        end = start
        batch_bytes = 0
        while end < len(self._entries):
            batch_bytes += len(self._entries[end].data) + _ENTRY_OVERHEAD_BYTES
            if batch_bytes > max_bytes and end > start:
                break
            end += 1
        return tuple(self._entries[start:end])

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Truncate the log from the index of the first entry on, then append the entries."""
        self._truncate_from(entries[0].index)
        for entry in entries:
            self._append_one(entry)

    def mark_synced(self, last_index: int, last_term: int) -> None:
        """Record that the log is durable up to an entry; a stale report is ignored.

        If an entry was replaced and appended again before its first write was synced, the
        report of the first write marks it too early. This is safe: such an entry has an
        older term than the leader's, so it is only committed together with a later entry,
        whose sync is reported afterwards.
        """
        if self.term_at(last_index) == last_term:
            self.synced_index = max(self.synced_index, last_index)

    def first_index_of_term(self, index: int) -> int:
        """Return the first index in memory with the same term as the entry at ``index``."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def index_before(self, last_index: int, max_entries: int, max_bytes: int) -> int:
        """Return the index before the last entries up to ``last_index`` that fit both limits."""
        index = last_index
        retained_bytes = 0
        while index > self.base_index and last_index - index < max_entries:
            entry = self._entries[index - self.base_index - 1]
            retained_bytes += len(entry.data) + _ENTRY_OVERHEAD_BYTES
            if retained_bytes > max_bytes:
                break
            index -= 1
        return index

    def compact(self, last_index: int) -> None:
        """Drop the entries up to ``last_index`` from memory."""
        if last_index <= self.base_index:
            return
        term = self.term_at(last_index)
        if term is None:
            raise RaftInvariantError(
                f"cannot compact the log to {last_index}: its last index is {self.last_index}"
            )
        del self._entries[: last_index - self.base_index]
        self.base_index = last_index
        self.base_term = term

    def reset(self, base_index: int, base_term: int) -> None:
        """Drop all entries and continue after a snapshot that is not durable yet."""
        self.base_index = base_index
        self.base_term = base_term
        self._entries.clear()
        self.synced_index = 0

    def _truncate_from(self, index: int) -> None:
        if index <= self.base_index:
            raise RaftInvariantError(
                f"cannot truncate from {index}: entries up to {self.base_index} are compacted"
            )
        del self._entries[index - self.base_index - 1 :]
        self.synced_index = min(self.synced_index, index - 1)

    def _append_one(self, entry: LogEntry) -> None:
        if entry.index != self.last_index + 1:
            raise RaftInvariantError(
                f"cannot append entry {entry.index}: the last index of the log is {self.last_index}"
            )
        self._entries.append(entry)
