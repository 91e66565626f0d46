"""Decides which commands the leader of the control group proposes.

These are the regions of the settings and the revisions that all regions have prepared.
"""

from passlane.control.state.acceptance import AcceptanceTracker
from passlane.control.state.machine import ControlStateMachine
from passlane.identifiers import Revision
from passlane.messages.control import AcceptRevision, Progress, RegionReport, SetRegions


class LeaderProposals:
    """Tracks the reports of the regions and decides which commands are due.

    A state machine without I/O that is not replicated and is reset in each term. Its
    commands are idempotent.

    Parameters
    ----------
    machine
        The replicated state at this replica.
    regions
        Regions from the settings that must have a change prepared before it is accepted;
        if empty, the recorded regions are used.
    """

    def __init__(self, machine: ControlStateMachine, regions: tuple[str, ...]) -> None:
        self._machine = machine
        self._regions = tuple(sorted(set(regions)))
        self._tracker = AcceptanceTracker()
        self._term = 0

    def record_report(self, report: RegionReport, term: int, now: float) -> bool:
        """Record a region's report; return ``False`` for one of a replaced store leader.

        ``term`` is the term of the control group, ``now`` the local time in seconds.
        """
        self._reset_in_new_term(term)
        return self._tracker.record(report, now)

    def due_commands(self, term: int) -> tuple[SetRegions | AcceptRevision, ...]:
        """Return the commands that the leader of ``term`` has to propose now, in order."""
        self._reset_in_new_term(term)
        if self._regions and self._machine.regions != self._regions:
            return (SetRegions(regions=self._regions),)
        prepared = self._tracker.prepared_everywhere(self._machine.regions)
        acceptable = self._machine.acceptable_revision(prepared)
        if acceptable <= self._machine.ledger.accepted_revision:
            return ()
        return (AcceptRevision(revision=acceptable),)

    def progress(self, revision: Revision, term: int, now: float) -> Progress:
        """Return the rollout progress of ``revision`` in each region."""
        self._reset_in_new_term(term)
        accepted = self._machine.ledger.accepted_revision
        return self._tracker.progress(revision, accepted, self._machine.regions, now)

    def _reset_in_new_term(self, term: int) -> None:
        if self._term != term:
            self._tracker.clear()
            self._term = term
