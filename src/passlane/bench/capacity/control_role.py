"""What the leader of the control group needs at the size that is designed for."""

from passlane.bench.capacity.estimate import Constant, Estimate, estimate_sum
from passlane.bench.capacity.reports import Reports
from passlane.bench.capacity.sizes import DesignSize
from passlane.settings.model import MembershipSettings

ROLE = "Control leader"
MICROSECONDS = 1e6
APPENDS_PER_CHANGE = 2
"""The change itself, and its acceptance."""


def control_estimates(reports: Reports, size: DesignSize) -> list[Estimate]:
    """Return what the control leader spends and keeps."""
    return [
        _core(reports, size),
        _memory(reports, size),
        _snapshot_bytes(reports, size),
        _bytes_to_regions(reports, size),
    ]


def _reports_per_s(size: DesignSize) -> float:
    """Return the regions' reports: one each heartbeat interval."""
    return size.regions / MembershipSettings().heartbeat_s


def _core(reports: Reports, size: DesignSize) -> Estimate:
    appends = size.changes_per_s * APPENDS_PER_CHANGE
    region_reports = _reports_per_s(size)
    return estimate_sum(
        ROLE,
        "processor time",
        "core",
        (
            Constant(
                reports.idle.role("control+store").core_fraction,
                "idle daemon with both groups' heartbeats",
            ),
            reports.term(
                "configuration",
                "control change",
                size.documents,
                size.changes_per_s / MICROSECONDS,
                f"{size.changes_per_s:.2g} changes/s",
            ),
            reports.term(
                "storage-costs",
                "leader's loop",
                1.0,
                appends / MICROSECONDS,
                f"{appends:.2g} appends/s",
                x_unit="syncs per append",
            ),
            reports.term(
                "configuration",
                "region report",
                size.documents,
                region_reports / MICROSECONDS,
                f"{region_reports:g} reports/s",
            ),
        ),
        "regions report, not nodes: five flows whatever the number of nodes",
        1.0,
    )


def _memory(reports: Reports, size: DesignSize) -> Estimate:
    return estimate_sum(
        ROLE,
        "memory",
        "bytes",
        (
            Constant(reports.idle.role("control+store").resident_bytes, "idle daemon, resident"),
            reports.term("configuration", "control memory", size.documents),
        ),
        "newest accepted version of each document; 10,000 deletions at most",
    )


def _snapshot_bytes(reports: Reports, size: DesignSize) -> Estimate:
    return estimate_sum(
        ROLE,
        "size of a snapshot",
        "bytes",
        (reports.term("configuration", "snapshot size", size.documents),),
        "sent in chunks to a replica that is far behind",
    )


def _bytes_to_regions(reports: Reports, size: DesignSize) -> Estimate:
    sizes = reports.configuration.sizes
    quiet = sizes.quiet_region_report + sizes.quiet_delta
    return Estimate(
        ROLE,
        "bytes to and from the regions",
        _reports_per_s(size) * quiet
        + size.changes_per_s * size.regions * sizes.delta_with_one_change,
        "bytes/s",
        f"{_reports_per_s(size):g} reports/s of {quiet} bytes; plus {size.changes_per_s:.2g} "
        f"changes/s to {size.regions} regions of {sizes.delta_with_one_change} bytes "
        "[configuration]",
        "deltas since the revision that a region holds",
    )
