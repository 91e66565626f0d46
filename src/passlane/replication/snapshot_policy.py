"""Decides when to take a snapshot."""

MAX_LOG_BYTES = 1_000_000_000
"""Log growth that is sufficient for a snapshot of any size. The log is kept in memory and read
at a restart."""


class SnapshotPolicy:
    """Counts applied entries and bytes since the last snapshot.

    A snapshot writes the whole state. It is due once both conditions hold:

    1. ``every_entries`` entries were applied since the last snapshot.
    2. The log has grown by the size of the last snapshot, or by ``max_log_bytes`` if that
       is less.

    Snapshots thus at most double the bytes written, and a restart reads about twice the
    size of the state at most.
    """

    def __init__(self, every_entries: int, max_log_bytes: int = MAX_LOG_BYTES) -> None:
        self._every_entries = every_entries
        self._max_log_bytes = max_log_bytes
        self._entries = 0
        self._bytes = 0
        self._snapshot_bytes = 0

    def record_applied(self, size_bytes: int) -> None:
        """Count an applied entry."""
        self._entries += 1
        self._bytes += size_bytes

    def record_snapshot_started(self) -> None:
        """Reset the counters because a snapshot of the current state has started."""
        self._entries = 0
        self._bytes = 0

    def record_snapshot_size(self, size_bytes: int) -> None:
        """Set the size of the newest snapshot."""
        self._snapshot_bytes = size_bytes

    @property
    def is_due(self) -> bool:
        """Whether a snapshot should be taken now."""
        min_bytes = min(self._snapshot_bytes, self._max_log_bytes)
        return self._entries >= self._every_entries and self._bytes >= min_bytes
