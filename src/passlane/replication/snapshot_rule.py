"""Decides when a snapshot is worth its cost."""

MOST_LOG_BYTES = 1_000_000_000
"""A longer log is not waited for, however large the state is: it is held in memory, and
read at a restart."""


class SnapshotRule:
    """Counts what was applied since the last snapshot.

    A snapshot writes the whole state. It is due after ``every_entries`` entries, but not
    before the log has grown by as many bytes as the last snapshot had: so snapshots at
    most double what is written, and a restart reads at most about twice the state.
    A very large state is written when the log has grown by ``most_log_bytes``.
    """

    def __init__(self, every_entries: int, most_log_bytes: int = MOST_LOG_BYTES) -> None:
        self._every_entries = every_entries
        self._most_log_bytes = most_log_bytes
        self._entries = 0
        self._bytes = 0
        self._snapshot_bytes = 0

    def note_applied(self, size_bytes: int) -> None:
        """Count an entry that was applied."""
        self._entries += 1
        self._bytes += size_bytes

    def note_begun(self) -> None:
        """Start counting anew: a snapshot is taken of the state as it is now."""
        self._entries = 0
        self._bytes = 0

    def note_size(self, size_bytes: int) -> None:
        """Take over the size of the newest snapshot."""
        self._snapshot_bytes = size_bytes

    @property
    def is_due(self) -> bool:
        """Whether a snapshot should be taken now."""
        enough_bytes = min(self._snapshot_bytes, self._most_log_bytes)
        return self._entries >= self._every_entries and self._bytes >= enough_bytes
