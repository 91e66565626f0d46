"""Detects that the leader's disk has stalled, so that leadership can be transferred."""

STALL_ELECTION_TIMEOUTS = 8.0
"""Election timeouts without a completed sync after which a disk counts as stalled.

Above the sync latency of a busy disk, and below the timeout of proposals (ten election
timeouts).
"""


class DiskStallDetector:
    """Measures how long the leader's own log has made no progress towards durability.

    Parameters
    ----------
    limit_s
        Seconds without progress after which the disk counts as stalled.
    now
        Local time in seconds.
    """

    def __init__(self, limit_s: float, now: float) -> None:
        self._limit_s = limit_s
        self._synced_index = 0
        self._progress_at = now

    def record_progress(self, synced_index: int, last_index: int, now: float) -> None:
        """Record the last durable index and the last index of the log."""
        is_fully_synced = synced_index == last_index
        if is_fully_synced or synced_index != self._synced_index:
            self.restart(now)
        self._synced_index = synced_index

    def restart(self, now: float) -> None:
        """Restart the period without progress."""
        self._progress_at = now

    def is_stalled(self, now: float) -> bool:
        """Return whether unsynced entries made no progress for at least the limit."""
        return now - self._progress_at >= self._limit_s
