"""Runs units in processes, a fixed number of them at a time."""

import subprocess
import sys
import tempfile
from collections import deque
from collections.abc import Callable, Iterable
from pathlib import Path

import anyio
import msgspec

from runner.reports import Failure, UnitReport
from runner.selection import Unit

CHILD_OPTION = "--unit"
RUN_FILE = Path(__file__).resolve().parents[1] / "run.py"


class Pool:
    """Lanes that take the next unit when they are done with one.

    The first lane alone takes the units that run alone, before any others.
    """

    def __init__(self, units: Iterable[Unit], tell: Callable[[UnitReport], None]) -> None:
        units = list(units)
        self._alone = deque(unit for unit in units if unit.runs_alone)
        self._others = deque(unit for unit in units if not unit.runs_alone)
        self._tell = tell
        self._reports: list[UnitReport] = []

    async def run(self, jobs: int) -> list[UnitReport]:
        """Run all units and return their reports, in the order of their ends."""
        with tempfile.TemporaryDirectory(prefix="passlane-tests-") as folder:
            async with anyio.create_task_group() as lanes:
                lanes.start_soon(self._run_lane, Path(folder), self._alone, self._others)
                for _ in range(jobs - 1):
                    lanes.start_soon(self._run_lane, Path(folder), self._others)
        return self._reports

    async def _run_lane(self, folder: Path, *queues: deque[Unit]) -> None:
        for queue in queues:
            while queue:
                report = await run_in_process(queue.popleft(), folder)
                self._reports.append(report)
                self._tell(report)


async def run_in_process(unit: Unit, folder: Path) -> UnitReport:
    """Run a unit in a process of its own; one that ends without a report has failed."""
    path = folder / f"{unit.module}-{unit.part}.json"
    encoded = msgspec.json.encode(unit).decode()
    command = [sys.executable, str(RUN_FILE), CHILD_OPTION, str(path), encoded]
    process = await anyio.run_process(command, stderr=subprocess.STDOUT, check=False)
    output = process.stdout.decode(errors="replace")
    return read_report(unit, path, process.returncode, output)


def read_report(unit: Unit, path: Path, code: int, output: str) -> UnitReport:
    """Return what a process reported, with a failure more if it ended in another way."""
    report = UnitReport(unit.name)
    problems = []
    try:
        report = msgspec.json.decode(path.read_bytes(), type=UnitReport)
    except (OSError, msgspec.DecodeError) as error:
        problems.append(f"no report: {error}")
    if code != 0:
        problems.append(f"the process ended with code {code}")
    failures = report.failures
    if problems:
        failures += (Failure(unit.module, "\n".join(problems)),)
    kept = output if failures else ""
    return msgspec.structs.replace(report, failures=failures, output=kept)
