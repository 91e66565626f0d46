"""Memory and processor time of real daemons that have nothing to do, by their role."""

import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

import msgspec

from passlane.bench.fleet import Fleet
from passlane.bench.fleet_files import ProcessKind
from passlane.bench.fleet_process import FleetProcess
from passlane.bench.process_usage import ProcessUsage, read_usage
from passlane.bench.report_files import write_report

EXAMPLE = Path(__file__).resolve().parents[3] / "examples" / "small"
SETTLE_S = 5.0
MEASURED_S = 15.0
REPORT_FILE = "idle-fleet.json"


class IdleRole(msgspec.Struct, frozen=True):
    """Means over the daemons of one role.

    Attributes
    ----------
    resident_bytes
        Memory in use at the end of the time measured.
    core_fraction
        Share of one core.
    """

    roles: str
    processes: int
    resident_bytes: float
    core_fraction: float


class IdleReport(msgspec.Struct, frozen=True):
    """What idle daemons take, measured over ``measured_s`` seconds."""

    measured_s: float
    roles: tuple[IdleRole, ...]

    def role(self, roles: str) -> IdleRole:
        """Return the figures of the daemons with exactly these roles, such as ``node``."""
        return next(item for item in self.roles if item.roles == roles)


def measure_idle_fleet() -> IdleReport:
    """Start the small example's processes, leave them alone and read what they use."""
    with tempfile.TemporaryDirectory() as folder, Fleet(EXAMPLE, Path(folder)) as fleet:
        fleet.start_all()
        fleet.wait_ready()
        fleet.apply_configuration()
        daemons = [fleet.processes[name] for name in fleet.names(ProcessKind.DAEMON)]
        time.sleep(SETTLE_S)
        before = [_usage_of(process) for process in daemons]
        time.sleep(MEASURED_S)
        after = [_usage_of(process) for process in daemons]
    return IdleReport(MEASURED_S, _by_role(daemons, before, after))


def _usage_of(process: FleetProcess) -> ProcessUsage:
    assert process.popen is not None
    return read_usage(process.popen.pid)


def _by_role(
    daemons: Sequence[FleetProcess], before: Sequence[ProcessUsage], after: Sequence[ProcessUsage]
) -> tuple[IdleRole, ...]:
    """Return the means of each set of roles."""
    names = ["+".join(sorted(process.file.roles)) for process in daemons]
    result = []
    for name in sorted(set(names)):
        chosen = [number for number, other in enumerate(names) if other == name]
        used_s = [after[number].cpu_s - before[number].cpu_s for number in chosen]
        resident = [after[number].resident_bytes for number in chosen]
        count = len(chosen)
        result.append(
            IdleRole(name, count, sum(resident) / count, sum(used_s) / count / MEASURED_S)
        )
    return tuple(result)


def run(report: Path | None) -> int:
    """Measure, print and write ``idle-fleet.json``."""
    result = measure_idle_fleet()
    for role in result.roles:
        print(
            f"{role.roles}: {role.processes} processes, {role.resident_bytes / 1e6:.1f} MB and "
            f"{role.core_fraction:.3%} of a core each"
        )
    write_report(report, REPORT_FILE, result)
    return 0


if __name__ == "__main__":
    sys.exit(run(None))
