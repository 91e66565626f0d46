"""Decides when to take a snapshot."""

from passlane.settings.model import LARGE_LOG_BYTES

MAX_LOG_BYTES = 1_000_000_000
"""Log growth that is sufficient for a snapshot of any size. The log is kept in memory and read
at a restart."""
LARGE_LOG_SHARE = 0.5
"""Log growth, as a share of the last snapshot, from which a large log makes the next one due."""


class SnapshotPolicy:
    """Counts applied entries and bytes since the last snapshot.

    A snapshot writes the whole state. It is due once either holds:

    1. ``every_entries`` entries were applied since the last snapshot, and the log has grown by the
       size of that snapshot, or by ``max_log_bytes`` if that is less.
    2. The log has grown by ``large_log_bytes`` and by ``LARGE_LOG_SHARE`` of the last snapshot, or
       by ``max_log_bytes`` if that is less.

    Snapshots thus write at most twice the bytes of the log, beyond the first ones of a small
    state, and the log in memory is at most half of the state beyond ``large_log_bytes``.
    """

    def __init__(
        self,
        every_entries: int,
        max_log_bytes: int = MAX_LOG_BYTES,
        large_log_bytes: int = LARGE_LOG_BYTES,
    ) -> None:
        self._every_entries = every_entries
        self._large_bytes = large_log_bytes
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
        has_many_entries = self._entries >= self._every_entries and self._bytes >= min_bytes
        return has_many_entries or self._bytes >= self._large_log_bytes

    @property
    def _large_log_bytes(self) -> float:
        """Log growth from which a snapshot is due whatever the number of entries."""
        share_bytes = LARGE_LOG_SHARE * self._snapshot_bytes
        return min(max(self._large_bytes, share_bytes), self._max_log_bytes)
