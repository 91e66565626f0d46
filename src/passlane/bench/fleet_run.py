"""Runs a deployment's processes under load and disturbances, and judges what happened.

``passlane bench run fleet-amre`` and ``fleet-music`` run both deployments at their sizes of
today, with the delays between their zones added by the processes' own transport. With other
loads and disturbances:
``python -m passlane.bench.fleet_run --example examples/amre-topup --seconds 60``

Order, history, spending and ledger of every program are checked; latencies are reported
as JSON, with ``--report`` also in a file. Exits 1 if a promise was broken.
"""

import sys
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import ClassVar

import anyio
import anyio.to_thread
import msgspec
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from passlane.bench.disturbances import DisturbanceKind, DisturbanceSettings, Disturber
from passlane.bench.fleet import Fleet
from passlane.bench.fleet_process import FleetError
from passlane.bench.fleet_report import FleetRun, FleetRunReport, judge
from passlane.bench.process_replay import process_replay_fleet
from passlane.bench.report_files import write_report
from passlane.emulator.load import LoadRunner
from passlane.emulator.program import EXIT_USAGE, run_single_command
from passlane.emulator.workload import (
    MUSIC_HOUSE_WORKLOAD,
    TOP_UP_WORKLOAD,
    WorkloadSettings,
    generate_programs,
)

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
TOP_UP = "amre-topup"
MUSIC_HOUSE = "music-house"
WORKLOADS = {TOP_UP: TOP_UP_WORKLOAD, MUSIC_HOUSE: MUSIC_HOUSE_WORKLOAD}
CALLER_DELAYS_S = {TOP_UP: 0.003, MUSIC_HOUSE: 0.001}
"""One-way delay between the callers of each deployment and its nodes, in seconds."""

EXPERIMENT_SECONDS = 40.0
EXPERIMENT_QUIET_S = 1.5
"""Short, so that most kinds of disturbance come up in one run."""

MUSIC_HOUSE_PAUSE_SCALE = 0.02
MUSIC_HOUSE_TURNS_MAX = 40
"""Lessons go on for hours with pauses of minutes; the run must end."""


@dataclass(frozen=True)
class FleetRunOptions:
    """What is run and for how long.

    Attributes
    ----------
    example
        Folder with the settings of the fleet, named like its workload.
    seconds
        How long programs arrive.
    rate
        Programs a second; the workload's own if ``None``.
    turns_max
        Most model calls of one program; the workload's own if ``None``.
    pause_scale
        Pauses of programs are multiplied by this.
    disturbances
        What is done to the fleet.
    report
        Folder for the JSON, if wanted.
    """

    example: Path
    seconds: float = EXPERIMENT_SECONDS
    rate: float | None = None
    turns_max: int | None = None
    pause_scale: float = 0.2
    seed: int = 1
    disturbances: DisturbanceSettings = field(default_factory=DisturbanceSettings)
    report: Path | None = None

    @property
    def workload(self) -> WorkloadSettings:
        """The example's workload at the rate and up to the length asked for."""
        workload = WORKLOADS[self.example.name]
        return replace(
            workload,
            programs_per_s=self.rate or workload.programs_per_s,
            turns_max=self.turns_max or workload.turns_max,
        )


def run_top_up(report: Path | None) -> int:
    """Run the top-up association's fleet; an experiment."""
    options = FleetRunOptions(
        EXAMPLES / TOP_UP,
        disturbances=DisturbanceSettings(quiet_s=EXPERIMENT_QUIET_S),
        report=report,
    )
    return run(options)


def run_music_house(report: Path | None) -> int:
    """Run the music house's fleet; an experiment."""
    options = FleetRunOptions(
        EXAMPLES / MUSIC_HOUSE,
        turns_max=MUSIC_HOUSE_TURNS_MAX,
        pause_scale=MUSIC_HOUSE_PAUSE_SCALE,
        disturbances=DisturbanceSettings(quiet_s=EXPERIMENT_QUIET_S),
        report=report,
    )
    return run(options)


def run(options: FleetRunOptions) -> int:
    """Run, print the report and return the exit code."""
    with tempfile.TemporaryDirectory(prefix="passlane-fleet-") as folder:
        try:
            with Fleet(options.example, Path(folder)) as fleet:
                fleet.start_all()
                print(f"ready after {fleet.wait_ready():.1f} s", flush=True)
                fleet.apply_configuration()
                report = anyio.run(_measure, fleet, options)
                codes = fleet.stop_all()
        except FleetError as error:
            print(f"run failed: {error}")
            return 1
    print(msgspec.json.format(msgspec.json.encode(report), indent=2).decode())
    bad_exits = {name: code for name, code in codes.items() if code != 0}
    print(f"processes that did not exit with 0: {bad_exits or 'none'}")
    kept = report.kept_promises and not bad_exits
    print("promises kept" if kept else "PROMISES BROKEN")
    return 0 if kept else 1


async def _measure(fleet: Fleet, options: FleetRunOptions) -> FleetRunReport:
    """Play the load against the running fleet, disturb it and judge it."""
    plans = list(generate_programs(options.workload, options.seed, options.seconds))
    disturber = Disturber(fleet, options.disturbances, options.seed)
    delay_s = CALLER_DELAYS_S[options.example.name]
    async with process_replay_fleet(fleet, delay_s) as target:
        runner = LoadRunner(target.caller, options.pause_scale)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(disturber.run, options.seconds)
            tasks.start_soon(runner.run, plans)
        # Whatever ended unasked is told here, with its log.
        await anyio.to_thread.run_sync(fleet.wait_ready)
        finished = FleetRun(
            example=options.example.name,
            seed=options.seed,
            seconds=options.seconds,
            outcomes=runner.outcomes,
            disturbances=disturber.done,
            repeatable_tools=fleet.repeatable_tools(),
        )
        report = await judge(finished, target)
    if options.report is not None:
        options.report.mkdir(parents=True, exist_ok=True)
        write_report(options.report, f"fleet-{finished.example}-{finished.seed}.json", report)
    return report


class FleetRunCommand(Command):
    """Runs a fleet under a load and disturbances of one's own choice."""

    name = "passlane.bench.fleet_run"
    description = "Runs a deployment's processes under load and disturbances."
    options: ClassVar[list[Option]] = [
        option("example", None, "Folder.", flag=False, default=str(EXAMPLES / TOP_UP)),
        option("seconds", None, "How long programs arrive.", flag=False, default="30"),
        option("rate", None, "Programs a second.", flag=False),
        option("turns-max", None, "Most model calls of one program.", flag=False),
        option("pause-scale", None, "Pauses are multiplied by this.", flag=False, default="0.2"),
        option("seed", None, "Seed of load and disturbances.", flag=False, default="1"),
        option("between", None, "Seconds between disturbances.", flag=False, default="4"),
        option("outage", None, "Seconds that each lasts.", flag=False, default="3"),
        option(
            "disturb",
            None,
            "all, none, or kinds with commas: " + ", ".join(DisturbanceKind),
            flag=False,
            default="all",
        ),
        option("report", None, "Folder for the JSON.", flag=False),
    ]

    def handle(self) -> int:
        """Run the fleet and return the exit code."""
        try:
            options = self._options()
        except ValueError as error:
            self.line_error(str(error))
            return EXIT_USAGE
        return run(options)

    def _options(self) -> FleetRunOptions:
        """Return what the command line asks for; raise ``ValueError`` for what is no number."""
        rate, turns_max, report = (
            self.option("rate"),
            self.option("turns-max"),
            self.option("report"),
        )
        return FleetRunOptions(
            example=Path(self.option("example")),
            seconds=float(self.option("seconds")),
            rate=None if rate is None else float(rate),
            turns_max=None if turns_max is None else int(turns_max),
            pause_scale=float(self.option("pause-scale")),
            seed=int(self.option("seed")),
            disturbances=_disturbances(
                self.option("disturb"), float(self.option("between")), float(self.option("outage"))
            ),
            report=None if report is None else Path(report),
        )


def _disturbances(kinds: str, quiet_s: float, outage_s: float) -> DisturbanceSettings:
    """Return what is to be done to the fleet; nothing for ``none``."""
    if kinds == "none":
        return DisturbanceSettings((), float("inf"), 0.0)
    if kinds == "all":
        return DisturbanceSettings(quiet_s=quiet_s, outage_s=outage_s)
    chosen = tuple(DisturbanceKind(name) for name in kinds.split(","))
    return DisturbanceSettings(chosen, quiet_s, outage_s)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run what the command line asks for and return the exit code."""
    return run_single_command(FleetRunCommand(), arguments)


if __name__ == "__main__":
    sys.exit(main())
