"""The reports of other experiments that estimates are worked out from."""

from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import msgspec

from passlane.bench.capacity.estimate import Term
from passlane.bench.capacity.slopes import Slopes, load_slopes
from passlane.bench.configuration import ConfigurationReport
from passlane.bench.idle_fleet import IdleReport

EXPERIMENTS = (
    "idle-fleet",
    "membership",
    "engine-polling",
    "configuration",
    "configuration-spread",
    "scheduler-cost",
    "node-cost",
    "store-machine",
    "storage-costs",
    "raft-cost",
    "scheduler-memory",
)
"""Experiments whose reports ``EXPERIMENT.json`` are needed."""

ReportType = TypeVar("ReportType")


@dataclass(frozen=True)
class Reports:
    """Lines of all reports, and the two reports that hold more than lines."""

    slopes: Slopes
    idle: IdleReport
    configuration: ConfigurationReport

    def term(
        self,
        experiment: str,
        name: str,
        x: float,
        factor: float = 1.0,
        label: str = "",
        x_unit: str | None = None,
    ) -> Term:
        """Return a measured line taken at ``x``, as a summand."""
        return Term(self.slopes.find(experiment, name, x_unit), x, factor, label)


def missing_reports(folder: Path) -> list[str]:
    """Return the experiments that have no report in ``folder``."""
    return [name for name in EXPERIMENTS if not (folder / f"{name}.json").exists()]


def load_reports(folder: Path) -> Reports:
    """Read all reports of a folder; raise ``OSError`` or ``msgspec.MsgspecError``."""
    return Reports(
        slopes=load_slopes(folder),
        idle=_decode(folder, "idle-fleet", IdleReport),
        configuration=_decode(folder, "configuration", ConfigurationReport),
    )


def _decode(folder: Path, experiment: str, report: type[ReportType]) -> ReportType:
    return msgspec.json.decode((folder / f"{experiment}.json").read_bytes(), type=report)
