"""Commands for simulation and benchmarks: ``sim``, ``trace replay`` and ``bench``.

Their packages are imported when a command runs, so that other commands start quickly.
"""

import importlib
import re
import tempfile
import time
from pathlib import Path
from typing import Any, ClassVar

import msgspec
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from passlane.cli.command import OutputCommand
from passlane.cli.exit_codes import ExitCode
from passlane.cli.running import RunningCommand, exit_code_of_run
from passlane.errors import ErrorCode, PasslaneError

DEFAULT_SEEDS = "0-9"
_SEEDS_PATTERN = re.compile(r"^(\d+)(?:-(\d+))?$")


class SimulationRunCommand(RunningCommand):
    """Runs scenarios on a virtual clock."""

    name = "sim run"
    description = "Runs a scenario, or all, with many seeds; exit code 1 if a promise is broken."
    extra_options: ClassVar[list[Option]] = [
        option("scenario", None, "Name of a scenario, or all.", flag=False, default="all"),
        option(
            "seeds",
            None,
            "First and last seed, as A-B, or one seed.",
            flag=False,
            default=DEFAULT_SEEDS,
        ),
        option("defect", None, "Injected defect that the checks must detect.", flag=False),
        option("jobs", None, "Number of processes that run in parallel.", flag=False, default="1"),
    ]

    def execute_command(self) -> ExitCode:
        """Run the scenarios."""
        simulation = _import("passlane.simulation.cli")
        seeds = parse_seeds(self.option("seeds"))
        jobs = parse_jobs(self.option("jobs"))
        return self.run_and_report(
            lambda: int(simulation.run(self.option("scenario"), seeds, self.option("defect"), jobs))
        )


class SimulationListCommand(OutputCommand):
    """Lists scenarios."""

    name = "sim list"
    description = (
        "Lists the scenarios with the promise that each checks and the failure it injects."
    )

    def execute_command(self) -> ExitCode:
        """Print the scenarios."""
        listing = _import("passlane.simulation.cli").list_scenarios()
        if self.wants_json:
            self.show_json(listing)
        else:
            self.show_lines(listing.lines())
        return ExitCode.OK


class SimulationDefectsCommand(RunningCommand):
    """Checks that injected defects are detected."""

    name = "sim defects"
    description = "Runs with each injected defect; exit code 1 if one is not detected."
    extra_options: ClassVar[list[Option]] = [
        option("jobs", None, "Number of processes that run in parallel.", flag=False, default="1"),
    ]

    def execute_command(self) -> ExitCode:
        """Run the scenarios with each defect."""
        jobs = parse_jobs(self.option("jobs"))
        simulation = _import("passlane.simulation.cli")
        return self.run_and_report(lambda: int(simulation.check_defects(jobs)))


class TraceReplayCommand(RunningCommand):
    """Replays recorded traces."""

    name = "trace replay"
    description = "Replays traces and compares the outcomes with those recorded in them."
    arguments: ClassVar[list[Argument]] = [argument("files", "Trace files.", multiple=True)]
    extra_options: ClassVar[list[Option]] = [
        option("fleet", None, "Folder with the settings files of the fleet.", flag=False),
    ]

    def execute_command(self) -> ExitCode:
        """Replay the files."""
        paths = [Path(name) for name in self.argument("files")]
        missing = [str(path) for path in paths if not path.is_file()]
        if missing:
            raise PasslaneError(ErrorCode.NOT_FOUND, f"no such file: {', '.join(missing)}")
        fleet = self.option("fleet")
        folder = None if fleet is None else Path(fleet)
        if folder is not None and not folder.is_dir():
            raise PasslaneError(ErrorCode.NOT_FOUND, f"no such folder: {folder}")
        replay = _import("passlane.simulation.trace_replay")
        return self.run_and_report(lambda: int(replay.replay_files(paths, folder)))


class BenchRunCommand(RunningCommand):
    """Runs an experiment."""

    name = "bench run"
    description = "Runs an experiment against its baselines."
    arguments: ClassVar[list[Argument]] = [argument("experiment", "Name of the experiment.")]
    extra_options: ClassVar[list[Option]] = [
        option("report", None, "Folder for JSON and plots.", flag=False)
    ]

    def execute_command(self) -> ExitCode:
        """Run the experiment."""
        bench = _import("passlane.bench.cli")
        with tempfile.TemporaryDirectory(prefix="passlane-bench-") as scratch:
            folder = self.option("report") or (scratch if self.wants_json else None)
            started_ns = time.time_ns()
            return self.run_and_report(
                lambda: int(bench.run(self.argument("experiment"), folder)),
                lambda: _json_files_since(Path(folder or scratch), started_ns),
            )


class BenchListCommand(OutputCommand):
    """Lists experiments."""

    name = "bench list"
    description = "Lists the experiments and what each measures."

    def execute_command(self) -> ExitCode:
        """Print the experiments."""
        if self.wants_json:
            experiments = _import("passlane.bench.registry").EXPERIMENTS
            self.show_json({item.name: item.summary for item in experiments})
            return ExitCode.OK
        return exit_code_of_run(_import("passlane.bench.cli").list_experiments())


def parse_seeds(text: str) -> range:
    """Return the seeds of ``A-B`` or ``A``, both ends included."""
    match = _SEEDS_PATTERN.match(text)
    if match is None:
        raise PasslaneError(
            ErrorCode.BAD_REQUEST, f"--seeds must be A-B or A, whole numbers, not {text!r}"
        )
    first = int(match.group(1))
    last = int(match.group(2) or first)
    if last < first:
        raise PasslaneError(
            ErrorCode.BAD_REQUEST, f"--seeds: last seed {last} is below first seed {first}"
        )
    return range(first, last + 1)


def parse_jobs(text: str) -> int:
    """Return the number of processes; raise ``BAD_REQUEST`` unless it is at least 1."""
    if not text.isdecimal() or int(text) < 1:
        raise PasslaneError(
            ErrorCode.BAD_REQUEST, f"--jobs must be a whole number of at least 1, not {text!r}"
        )
    return int(text)


def _import(module: str) -> Any:
    return importlib.import_module(module)


def _json_files_since(folder: Path, started_ns: int) -> dict[str, msgspec.Raw]:
    """Return the JSON files of a folder modified since a time (ns since the Unix epoch)."""
    if not folder.is_dir():
        return {}
    modified = [path for path in folder.glob("*.json") if path.stat().st_mtime_ns >= started_ns]
    return {path.name: msgspec.Raw(path.read_bytes()) for path in sorted(modified)}
