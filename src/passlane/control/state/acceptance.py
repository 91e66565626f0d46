"""Computes from the reports of the regions which revision all of them have prepared.

Owns the newest report of each region, in the memory of the control leader.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from passlane.configuration.in_flight import sum_in_flight
from passlane.identifiers import Revision
from passlane.messages.control import (
    NO_REVISION,
    Progress,
    RegionProgress,
    RegionReport,
    TargetInFlight,
)


@dataclass(frozen=True)
class ReceivedReport:
    """A report and the time of its arrival, in seconds on the receiver's clock."""

    report: RegionReport
    received_at: float


class AcceptanceTracker:
    """Tracks the newest report of each region.

    Reports are not replicated. After a change of leader, nothing is accepted until all
    regions have reported again. An old report remains valid, because a region grants no
    lease to a node that lacks the revision that the region reported as prepared.
    """

    def __init__(self) -> None:
        self._reports: dict[str, ReceivedReport] = {}

    def clear(self) -> None:
        """Remove all reports."""
        self._reports.clear()

    def record(self, report: RegionReport, now: float) -> bool:
        """Record a report; return ``False`` for one of a replaced store leader."""
        previous = self._reports.get(report.region)
        if previous is not None and report.term < previous.report.term:
            return False
        self._reports[report.region] = ReceivedReport(report, now)
        return True

    def prepared_everywhere(self, regions: Sequence[str]) -> Revision:
        """Return the newest revision that all of ``regions`` have reported as prepared."""
        if not regions:
            return NO_REVISION
        return min(self._prepared(region) for region in regions)

    def progress(
        self, revision: Revision, accepted: Revision, regions: Sequence[str], now: float
    ) -> Progress:
        """Return the rollout progress of ``revision`` in each region.

        A region without a report is listed with revision 0 and no report age.
        """
        progress_by_region = tuple(self._region_progress(region, now) for region in regions)
        in_force = bool(progress_by_region) and all(
            region.revision_in_force >= revision for region in progress_by_region
        )
        return Progress(
            accepted_revision=accepted,
            in_force_everywhere=in_force and accepted >= revision,
            regions=progress_by_region,
            in_flight=self._in_flight(regions),
        )

    def _in_flight(self, regions: Sequence[str]) -> tuple[TargetInFlight, ...]:
        reports = [self._reports[region].report for region in regions if region in self._reports]
        return sum_in_flight(entry for report in reports for entry in report.in_flight)

    def _prepared(self, region: str) -> Revision:
        received = self._reports.get(region)
        return NO_REVISION if received is None else received.report.prepared_revision

    def _region_progress(self, region: str, now: float) -> RegionProgress:
        received = self._reports.get(region)
        if received is None:
            return RegionProgress(
                region=region,
                prepared_revision=NO_REVISION,
                revision_in_force=NO_REVISION,
                member_count=0,
                report_age_s=None,
            )
        report = received.report
        return RegionProgress(
            region=region,
            prepared_revision=report.prepared_revision,
            revision_in_force=report.revision_in_force,
            member_count=report.member_count,
            report_age_s=now - received.received_at,
            laggards=report.laggards,
        )
