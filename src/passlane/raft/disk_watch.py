"""Notices that a leader's disk hangs while those of its followers work."""

STALL_ELECTION_TIMEOUTS = 8.0
"""A disk hangs if no sync ends for so many election time-outs, although one is due.

Longer than the slow syncs to be expected of a busy disk, and shorter than callers wait
for their proposals (ten election time-outs).
"""


class DiskWatch:
    """How long a leader has waited for its own log to become durable.

    Parameters
    ----------
    limit_s
        Seconds without progress after which the disk counts as hanging.
    now
        Local time in seconds.
    """

    def __init__(self, limit_s: float, now: float) -> None:
        self._limit_s = limit_s
        self._synced_index = 0
        self._progress_at = now

    def note(self, synced_index: int, last_index: int, now: float) -> None:
        """Note how far the log is durable, and how far it goes."""
        is_idle = synced_index == last_index
        if is_idle or synced_index != self._synced_index:
            self.restart(now)
        self._synced_index = synced_index

    def restart(self, now: float) -> None:
        """Give the disk another full limit."""
        self._progress_at = now

    def is_hanging(self, now: float) -> bool:
        """Return whether nothing has become durable for longer than the limit."""
        return now - self._progress_at >= self._limit_s
