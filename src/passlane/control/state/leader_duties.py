"""What the leader of the control group has to propose: regions, and what is accepted."""

from passlane.control.state.acceptance import AcceptanceTracker
from passlane.control.state.machine import ControlStateMachine
from passlane.identifiers import Revision
from passlane.messages.control import AcceptRevision, Progress, RegionReport, SetRegions


class LeaderDuties:
    """Follows the regions' reports and decides which commands are due.

    A plain state machine beside the replicated one: it lives in one replica's memory
    and starts over in each term. Its commands may be proposed again and again.

    Parameters
    ----------
    machine
        The replicated state as this replica has applied it.
    regions
        Regions that must hold a change before it is accepted, as the settings name
        them; if empty, those that are recorded already.
    """

    def __init__(self, machine: ControlStateMachine, regions: tuple[str, ...]) -> None:
        self._machine = machine
        self._regions = tuple(sorted(set(regions)))
        self._tracker = AcceptanceTracker()
        self._term = 0

    def take_report(self, report: RegionReport, term: int, now: float) -> bool:
        """Keep a region's report; return ``False`` for one of a replaced store leader.

        ``term`` is the control group's, ``now`` a time in seconds on the local clock.
        """
        self._begin(term)
        return self._tracker.record(report, now)

    def commands_due(self, term: int) -> tuple[SetRegions | AcceptRevision, ...]:
        """Return what the leader of ``term`` shall propose now, in this order."""
        self._begin(term)
        if self._regions and self._machine.regions != self._regions:
            return (SetRegions(regions=self._regions),)
        prepared = self._tracker.prepared_everywhere(self._machine.regions)
        acceptable = self._machine.acceptable_revision(prepared)
        if acceptable <= self._machine.ledger.accepted_revision:
            return ()
        return (AcceptRevision(revision=acceptable),)

    def progress(self, revision: Revision, term: int, now: float) -> Progress:
        """Return how far ``revision`` has come, region by region."""
        self._begin(term)
        accepted = self._machine.ledger.accepted_revision
        return self._tracker.progress(revision, accepted, self._machine.regions, now)

    def _begin(self, term: int) -> None:
        if self._term != term:
            self._tracker.clear()
            self._term = term
