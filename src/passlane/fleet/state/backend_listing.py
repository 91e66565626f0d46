"""The control leader's list of backends, and the choice of the node that reads it.

For: one node reads the list for all nodes, because the platform limits the total rate of calls.
The reader is replaced when its reports are overdue.
Owns: the newest list, its number, and the name of the reader. Soft state; no I/O.
Relies on: reports of the reader, and the directory for the names of nodes.
"""

from collections.abc import Sequence

from passlane.fleet.state.listing_updates import ListingUpdates
from passlane.messages.listing import BackendRecord, ReportBackends

REPORT_OVERDUE_S = 1.6
"""Time without a report after which the reader is replaced; longer than the interval at which a
list is read, and shorter than the age (2 s) at which nodes read the list themselves."""


class BackendListing:
    """The newest reported list, and the node that is assigned to read the next one.

    Soft state that a new leader rebuilds from reports.

    Attributes
    ----------
    number
        Changes with the list; 0 while there is none.
    records
        The list.
    read_at
        Local time of the newest report, in seconds; ``None`` before the first.
    reader
        Name of the node that reads the list; ``None`` while there is no node.
    updates
        Updates for processes with earlier lists.
    """

    def __init__(self, first_number: int) -> None:
        self._next_number = first_number + 1
        self.number = 0
        self.records: tuple[BackendRecord, ...] = ()
        self.read_at: float | None = None
        self.reader: str | None = None
        self.updates = ListingUpdates()
        self._expected_since = 0.0

    def report(self, report: ReportBackends, now: float) -> bool:
        """Apply a report at local time ``now``, in seconds; return whether the list changed."""
        if report.records is None:
            if report.number == self.number and self.number > 0:
                self._record_report(now)
            return False
        self._record_report(now)
        if self.number > 0 and report.records == self.records:
            return False
        self.records = report.records
        self.number = self._next_number
        self.updates.record_list(self.number, self.records)
        self._next_number += 1
        return True

    def age_s(self, now: float) -> float | None:
        """Return the time since the newest report, in seconds; ``None`` before the first."""
        return now - self.read_at if self.read_at is not None else None

    def choose_reader(self, nodes: Sequence[str], now: float) -> bool:
        """Keep the reader while it reports, else choose the next node; return if it changed."""
        is_overdue = now - self._expected_since > REPORT_OVERDUE_S
        if self.reader in nodes and not is_overdue:
            return False
        before = self.reader
        self.reader = _next_after(self.reader, nodes)
        self._expected_since = now
        return self.reader != before

    def _record_report(self, now: float) -> None:
        self.read_at = now
        self._expected_since = now


def _next_after(name: str | None, nodes: Sequence[str]) -> str | None:
    """Return the node that follows a name in sorted order, wrapping around."""
    ordered = sorted(nodes)
    if not ordered:
        return None
    later = [node for node in ordered if name is not None and node > name]
    return later[0] if later else ordered[0]
