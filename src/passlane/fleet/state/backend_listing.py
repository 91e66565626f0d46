"""What the leader of the control group knows of the list of back ends, and who reads it.

For: one node reads the list for all, since the platform bounds the calls of all nodes
together. The reader changes when its reports stay out.
Owns: the newest list, its number, and the name of the reader. Soft state; no I/O.
Relies on: reports of the reader, and the directory for the names of nodes.
"""

from collections.abc import Sequence

from passlane.fleet.state.listing_updates import ListingUpdates
from passlane.messages.listing import BackendRecord, ReportBackends

REPORT_OVERDUE_S = 1.6
"""Seconds without a report after which the reader is replaced.

Not measured; chosen (``docs/design/platform.md``): a list is read each 0.9 s
(``relay.list_reader.READ_PERIOD_S``), and nodes read for themselves when it is 2 s old.
"""


class BackendListing:
    """The newest list that was reported, and the node that is to read the next one.

    Soft state that a new leader gathers anew.

    Attributes
    ----------
    number
        Changes with the list; 0 while none is known.
    records
        The list.
    read_at
        Local time of the newest report; ``None`` before the first.
    reader
        Name of the node that reads; ``None`` while there is no node.
    updates
        What processes with earlier lists are told.
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
        """Take over a report at local time ``now``, in seconds; return whether the list changed."""
        if report.records is None:
            if report.number == self.number and self.number > 0:
                self._note_report(now)
            return False
        self._note_report(now)
        if self.number > 0 and report.records == self.records:
            return False
        self.records = report.records
        self.number = self._next_number
        self.updates.note_list(self.number, self.records)
        self._next_number += 1
        return True

    def age_s(self, now: float) -> float | None:
        """Return for how many seconds no report has come; ``None`` before the first."""
        return now - self.read_at if self.read_at is not None else None

    def choose_reader(self, nodes: Sequence[str], now: float) -> bool:
        """Keep the reader while it reports, else take the next node; return if it changed."""
        is_overdue = now - self._expected_since > REPORT_OVERDUE_S
        if self.reader in nodes and not is_overdue:
            return False
        before = self.reader
        self.reader = _next_after(self.reader, nodes)
        self._expected_since = now
        return self.reader != before

    def _note_report(self, now: float) -> None:
        self.read_at = now
        self._expected_since = now


def _next_after(name: str | None, nodes: Sequence[str]) -> str | None:
    """Return the node that follows a name in order; the first after the last."""
    ordered = sorted(nodes)
    if not ordered:
        return None
    later = [node for node in ordered if name is not None and node > name]
    return later[0] if later else ordered[0]
