"""The replicated log as a replica holds it in memory, behind a compacted base."""

from collections.abc import Iterable, Sequence

from passlane.messages.raft import LogEntry
from passlane.raft.errors import RaftInvariantError

_ENTRY_OVERHEAD_BYTES = 32


class LogView:
    """Entries after ``base_index``, and how far they are durable here.

    Parameters
    ----------
    base_index, base_term
        The last entry that is no longer held; 0 and 0 at the log's start.
    entries
        Entries found on disk, in order without gaps. Those up to ``base_index`` are
        passed over.
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
        """Return the term of an entry; ``None`` if it is compacted or not there yet."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def between(self, first_index: int, last_index: int) -> tuple[LogEntry, ...]:
        """Return the entries from ``first_index`` to ``last_index``, both included."""
        start = first_index - self.base_index - 1
        return tuple(self._entries[start : last_index - self.base_index])

    def batch_from(self, first_index: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from ``first_index`` on, at least one, up to ``max_bytes``."""
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
        """Append entries, after cutting the log off from the first one's index on."""
        self._truncate_from(entries[0].index)
        for entry in entries:
            self._append_one(entry)

    def mark_synced(self, last_index: int, last_term: int) -> None:
        """Note that the log is durable up to an entry; a stale report changes nothing.

        The report may be early for an entry that was replaced and came back before its
        first write was synced. Such an entry is of an older term than the leader's, so it
        only counts along with a later one, whose sync comes after.
        """
        if self.term_at(last_index) == last_term:
            self.synced_index = max(self.synced_index, last_index)

    def first_index_of_term(self, index: int) -> int:
        """Return the first index held whose term is that of the entry at ``index``."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def compact(self, last_index: int) -> None:
        """Drop the entries up to ``last_index`` from memory."""
        if last_index <= self.base_index:
            return
        term = self.term_at(last_index)
        if term is None:
            raise RaftInvariantError(f"cannot compact the log beyond its end to {last_index}")
        del self._entries[: last_index - self.base_index]
        self.base_index = last_index
        self.base_term = term

    def reset(self, base_index: int, base_term: int) -> None:
        """Drop all entries and go on after a snapshot that is not durable yet."""
        self.base_index = base_index
        self.base_term = base_term
        self._entries.clear()
        self.synced_index = 0

    def _truncate_from(self, index: int) -> None:
        if index <= self.base_index:
            raise RaftInvariantError(f"cannot cut off entry {index}, which is in a snapshot")
        del self._entries[index - self.base_index - 1 :]
        self.synced_index = min(self.synced_index, index - 1)

    def _append_one(self, entry: LogEntry) -> None:
        if entry.index != self.last_index + 1:
            raise RaftInvariantError(
                f"entry {entry.index} does not follow {self.last_index} in the log"
            )
        self._entries.append(entry)
