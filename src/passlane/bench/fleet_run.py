"""Runs a deployment's processes under load and disturbances, and judges what happened.

``python -m passlane.bench.fleet_run --example examples/amre-topup --seconds 60``

Order, history, spending and ledger of every program are checked; latencies are reported
as JSON and, with ``--report``, as a plot. Exits 1 if a promise was broken.
"""

import argparse
import sys
import tempfile
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import replace
from pathlib import Path

import anyio
import msgspec

from passlane.bench.disturbances import (
    Disturbance,
    DisturbanceKind,
    DisturbanceSettings,
    Disturber,
)
from passlane.bench.fleet import Fleet, FleetError
from passlane.bench.fleet_plot import plot_run
from passlane.bench.fleet_tools import repeatable_tools
from passlane.bench.latencies import LatencySummary, summarize
from passlane.bench.process_replay import ProcessReplayFleet, process_replay_fleet
from passlane.emulator.load import LoadRunner, ProgramOutcome
from passlane.emulator.load_checks import (
    Violation,
    check_ledger,
    check_program,
    with_children,
)
from passlane.emulator.replay_outcomes import ProgramShown
from passlane.emulator.workload import (
    MUSIC_HOUSE_WORKLOAD,
    TOP_UP_WORKLOAD,
    WorkloadSettings,
    generate_programs,
)

WORKLOADS = {"amre-topup": TOP_UP_WORKLOAD, "music-house": MUSIC_HOUSE_WORKLOAD}
RELEASE_TIMEOUT_S = 60.0
RELEASE_POLL_S = 1.0


class FleetRunReport(msgspec.Struct, frozen=True):
    """What a run showed; latencies are in seconds.

    ``stopped_by`` counts the codes that ended programs early, ``held_at_end`` the
    programs for which engines still hold memory after all have ended.
    """

    example: str
    seed: int
    seconds: float
    programs: int
    completed: int
    calls: int
    requests: int
    stopped_by: dict[str, int]
    disturbances: tuple[Disturbance, ...]
    violations: tuple[Violation, ...]
    held_at_end: int
    released_after_s: float
    program_latency: LatencySummary
    call_latency: LatencySummary
    first_token: LatencySummary
    token_gap: LatencySummary
    ledger_lines: int


def main(arguments: Sequence[str] | None = None) -> int:
    """Run and report; return the exit code."""
    options = _parse(arguments)
    example: Path = options.example
    with tempfile.TemporaryDirectory(prefix="passlane-fleet-") as folder:
        try:
            with Fleet(example, Path(folder)) as fleet:
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
    broken = report.violations or report.held_at_end or bad_exits
    print("promises kept" if not broken else "PROMISES BROKEN")
    return 1 if broken else 0


def _parse(arguments: Sequence[str] | None) -> argparse.Namespace:
    """Return the command line's options."""
    parser = argparse.ArgumentParser(prog="passlane.bench.fleet_run", description=__doc__)
    parser.add_argument("--example", type=Path, default=Path("examples/amre-topup"))
    parser.add_argument("--seconds", type=float, default=30.0, help="how long programs arrive")
    parser.add_argument("--rate", type=float, help="programs a second")
    parser.add_argument("--pause-scale", type=float, default=0.2)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quiet", type=float, default=4.0, help="seconds between disturbances")
    parser.add_argument("--outage", type=float, default=3.0, help="seconds that each lasts")
    parser.add_argument(
        "--disturb",
        default="all",
        help="all, none, or kinds with commas: " + ", ".join(DisturbanceKind),
    )
    parser.add_argument("--report", type=Path, help="folder for JSON and plot")
    return parser.parse_args(arguments)


async def _measure(fleet: Fleet, options: argparse.Namespace) -> FleetRunReport:
    """Play the load against the running fleet and judge it."""
    plans = list(generate_programs(_workload(options), options.seed, options.seconds))
    disturber = Disturber(fleet, _disturbances(options), options.seed)
    async with process_replay_fleet(fleet) as target:
        runner = LoadRunner(target.caller, options.pause_scale)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(disturber.run, options.seconds)
            tasks.start_soon(runner.run, plans)
        report = await _judge(fleet, target, runner.outcomes, disturber.done, options)
    if options.report is not None:
        options.report.mkdir(parents=True, exist_ok=True)
        name = f"fleet-{options.example.name}-{options.seed}"
        (options.report / f"{name}.json").write_bytes(msgspec.json.encode(report))
        plot_run(options.report / f"{name}.png", runner.outcomes, disturber.done)
    return report


def _workload(options: argparse.Namespace) -> WorkloadSettings:
    """Return the example's workload at the rate asked for."""
    workload = WORKLOADS[options.example.name]
    if options.rate is None:
        return workload
    return replace(workload, programs_per_s=options.rate)


def _disturbances(options: argparse.Namespace) -> DisturbanceSettings:
    """Return what is to be done to the fleet; nothing for ``none``."""
    if options.disturb == "none":
        return DisturbanceSettings((), float("inf"), 0.0)
    kinds = tuple(DisturbanceKind)
    if options.disturb != "all":
        kinds = tuple(DisturbanceKind(name) for name in options.disturb.split(","))
    return DisturbanceSettings(kinds, options.quiet, options.outage)


async def _judge(
    fleet: Fleet,
    target: ProcessReplayFleet,
    outcomes: list[ProgramOutcome],
    disturbances: list[Disturbance],
    options: argparse.Namespace,
) -> FleetRunReport:
    """Check every program and return the report."""
    began = anyio.current_time()
    held = await _wait_for_release(target)
    released_after_s = anyio.current_time() - began
    violations = await _check_programs(target, outcomes)
    ledger = await target.ledger()
    violations += check_ledger(outcomes, ledger, repeatable_tools(fleet))
    everything = list(with_children(outcomes))
    results = [call.result for outcome in everything for call in outcome.calls]
    return FleetRunReport(
        example=options.example.name,
        seed=options.seed,
        seconds=options.seconds,
        programs=len(outcomes),
        completed=sum(not outcome.stopped_by for outcome in outcomes),
        calls=len(results),
        requests=sum(result.attempts for result in results),
        stopped_by=dict(Counter(o.stopped_by for o in everything if o.stopped_by)),
        disturbances=tuple(disturbances),
        violations=tuple(violations),
        held_at_end=held,
        released_after_s=released_after_s,
        program_latency=summarize(o.latency_s for o in outcomes if not o.stopped_by),
        call_latency=summarize(result.latency_s for result in results),
        first_token=summarize(
            result.first_token_s for result in results if result.first_token_s is not None
        ),
        token_gap=summarize(gap for result in results for gap in result.token_gaps_s),
        ledger_lines=len(ledger),
    )


async def _wait_for_release(target: ProcessReplayFleet) -> int:
    """Wait until the engines hold nothing; return for how many programs they still do."""
    deadline = anyio.current_time() + RELEASE_TIMEOUT_S
    held = await target.held_programs()
    while held and anyio.current_time() < deadline:
        await anyio.sleep(RELEASE_POLL_S)
        held = await target.held_programs()
    return held


async def _check_programs(
    target: ProcessReplayFleet, outcomes: Iterable[ProgramOutcome]
) -> list[Violation]:
    """Compare each program with what passlane shows of it."""
    violations: list[Violation] = []
    for outcome in with_children(outcomes):
        if not outcome.program_id:
            continue
        caller = target.caller(outcome.plan.tenant_id)
        shown = await caller.read_program(outcome.program_id)
        if not shown:
            violations.append(Violation(outcome.plan.program_id, "can't be read"))
            continue
        violations += check_program(outcome, msgspec.convert(shown, ProgramShown))
    return violations


if __name__ == "__main__":
    sys.exit(main())
