"""Runs a deployment's processes under load and disturbances, and judges what happened.

``passlane bench run fleet-amre`` and ``fleet-music`` run both deployments at their sizes of
today, with the delays between their zones added by the processes' own transport. With other
loads and disturbances:
``python -m passlane.bench.fleet_run --example examples/amre-topup --seconds 60``

Order, history, spending and ledger of every program are checked; latencies are reported
as JSON, with ``--report`` also in a file. Exits 1 if a promise was broken.
"""

import argparse
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path

import anyio
import anyio.to_thread
import msgspec

from passlane.bench.disturbances import DisturbanceKind, DisturbanceSettings, Disturber
from passlane.bench.fleet import Fleet
from passlane.bench.fleet_process import FleetError
from passlane.bench.fleet_report import FleetRun, FleetRunReport, judge
from passlane.bench.process_replay import process_replay_fleet
from passlane.bench.report_files import write_report
from passlane.emulator.load import LoadRunner
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


def main(arguments: Sequence[str] | None = None) -> int:
    """Run what the command line asks for and return the exit code."""
    return run(_parse(arguments))


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


def _parse(arguments: Sequence[str] | None) -> FleetRunOptions:
    """Return the command line's options."""
    parser = argparse.ArgumentParser(prog="passlane.bench.fleet_run", description=__doc__)
    parser.add_argument("--example", type=Path, default=EXAMPLES / TOP_UP)
    parser.add_argument("--seconds", type=float, default=30.0, help="how long programs arrive")
    parser.add_argument("--rate", type=float, help="programs a second")
    parser.add_argument("--turns-max", type=int, help="most model calls of one program")
    parser.add_argument("--pause-scale", type=float, default=0.2)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quiet", type=float, default=4.0, help="seconds between disturbances")
    parser.add_argument("--outage", type=float, default=3.0, help="seconds that each lasts")
    parser.add_argument(
        "--disturb",
        default="all",
        help="all, none, or kinds with commas: " + ", ".join(DisturbanceKind),
    )
    parser.add_argument("--report", type=Path, help="folder for the JSON")
    options = parser.parse_args(arguments)
    return FleetRunOptions(
        example=options.example,
        seconds=options.seconds,
        rate=options.rate,
        turns_max=options.turns_max,
        pause_scale=options.pause_scale,
        seed=options.seed,
        disturbances=_disturbances(options.disturb, options.quiet, options.outage),
        report=options.report,
    )


def _disturbances(kinds: str, quiet_s: float, outage_s: float) -> DisturbanceSettings:
    """Return what is to be done to the fleet; nothing for ``none``."""
    if kinds == "none":
        return DisturbanceSettings((), float("inf"), 0.0)
    if kinds == "all":
        return DisturbanceSettings(quiet_s=quiet_s, outage_s=outage_s)
    chosen = tuple(DisturbanceKind(name) for name in kinds.split(","))
    return DisturbanceSettings(chosen, quiet_s, outage_s)


if __name__ == "__main__":
    sys.exit(main())
