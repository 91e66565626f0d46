"""Keeps what a finding of a soak is traced by: the report with its times, and processes' logs."""

import tempfile
from pathlib import Path

import msgspec

from passlane.bench.report_files import write_report
from passlane.soak.report import SoakReport

KEPT_PREFIX = "passlane-soak-kept-"
MOST_LOG_BYTES = 20_000_000
"""Kept of each log, its end. A process writes some 50 kB a second under load."""


def keep_evidence(report: SoakReport, processes: Path, report_file: str) -> SoakReport:
    """Copy logs out of a folder that goes, beside the report; return it with their place."""
    kept = Path(tempfile.mkdtemp(prefix=KEPT_PREFIX))
    for log in sorted(processes.glob("*.log")):
        with log.open("rb") as source:
            source.seek(max(0, log.stat().st_size - MOST_LOG_BYTES))
            (kept / log.name).write_bytes(source.read())
    report = msgspec.structs.replace(report, kept_logs=str(kept))
    write_report(kept, report_file, report)
    return report
