"""Decides which revision every region holds, from the regions' reports."""

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
    """A region's report and when it arrived, in seconds of the receiver's clock."""

    report: RegionReport
    received_at: float


class AcceptanceTracker:
    """The newest report of each region, as the control leader has them.

    Reports live in memory only: after a change of leader the regions send them again,
    and until all have done so nothing more is accepted. An old report stays true, since
    a region gives no lease to a node that lacks what the region reported as prepared.
    """

    def __init__(self) -> None:
        self._reports: dict[str, ReceivedReport] = {}

    def clear(self) -> None:
        """Forget all reports."""
        self._reports.clear()

    def record(self, report: RegionReport, now: float) -> bool:
        """Keep a report; return ``False`` for one of a leader that was replaced."""
        known = self._reports.get(report.region)
        if known is not None and report.term < known.report.term:
            return False
        self._reports[report.region] = ReceivedReport(report, now)
        return True

    def prepared_everywhere(self, regions: Sequence[str]) -> Revision:
        """Return the newest revision that each of ``regions`` has reported as prepared."""
        if not regions:
            return NO_REVISION
        return min(self._prepared(region) for region in regions)

    def progress(
        self, revision: Revision, accepted: Revision, regions: Sequence[str], now: float
    ) -> Progress:
        """Return how far ``revision`` has come.

        A region that has not reported is shown with revision 0 and no age.
        """
        shown = tuple(self._region_progress(region, now) for region in regions)
        in_force = bool(shown) and all(region.revision_in_force >= revision for region in shown)
        return Progress(
            accepted_revision=accepted,
            in_force_everywhere=in_force and accepted >= revision,
            regions=shown,
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
