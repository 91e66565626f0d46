"""``make demo``: a fleet of processes on loopback serves recorded programs from end to end.

Starts three processes with the roles store and control, three nodes, emulated engines,
applications and the platform's list; applies the configuration with the operators'
client; plays a trace of each deployment through the callers' HTTP; prints each call and
the ledger; stops everything. Exits 0 if all stated outcomes came true.
"""

import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import ClassVar

import anyio
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from passlane.bench.fleet import Fleet
from passlane.bench.fleet_files import ProcessKind
from passlane.bench.fleet_process import FleetError
from passlane.bench.process_replay import ProcessReplayFleet, process_replay_fleet
from passlane.emulator.caller_answers import CallResult
from passlane.emulator.program import run_single_command
from passlane.emulator.replayer import (
    Mismatch,
    PlayedAction,
    PlayedCall,
    PlayedPause,
    PlayedStep,
    TraceReplay,
)
from passlane.emulator.trace_files import Trace, read_trace
from passlane.messages.backends import LedgerLine
from passlane.messages.store import CallKind
from passlane.messages.traces import (
    CallMade,
    FaultInjected,
    FaultKind,
    ProgramCreated,
    ProgramEndAsked,
)

ROOT = Path(__file__).resolve().parents[3]
EXAMPLE = ROOT / "examples" / "small"
TRACES = (
    "amre-topup-failed-recharge.jsonl",
    "music-house-tutor-lesson.jsonl",
    "music-house-moved-booking.jsonl",
)
TRACE_WITH_KILLS = "amre-topup-worker-lost.jsonl"
LONGEST_PAUSE_S = 0.5
CHARGE_TOOL = "charge"


class DemoCommand(Command):
    """Plays recorded programs against a fleet of processes."""

    name = "make demo"
    description = "Runs a fleet on loopback that serves recorded programs."
    options: ClassVar[list[Option]] = [
        option("kill-node", None, "1: kill the leading node (SIGKILL).", flag=False, default="")
    ]

    def handle(self) -> int:
        """Run the demonstration and return the exit code."""
        names = TRACES if self.option("kill-node") in ("", "0") else (TRACE_WITH_KILLS,)
        traces = [read_trace(ROOT / "traces" / name) for name in names]
        with tempfile.TemporaryDirectory(prefix="passlane-demo-") as folder:
            try:
                return _run(Fleet(EXAMPLE, Path(folder)), traces)
            except FleetError as error:
                print(f"demo failed: {error}")
                return 1


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the demonstration and return the exit code."""
    return run_single_command(DemoCommand(), arguments)


def _run(fleet: Fleet, traces: Sequence[Trace]) -> int:
    """Start the fleet, play the traces, stop the fleet."""
    with fleet:
        fleet.start_all()
        print(f"{len(fleet.processes)} processes started: {', '.join(fleet.processes)}")
        print(f"all ready after {fleet.wait_ready():.1f} s")
        fleet.apply_configuration()
        print("configuration applied and in force everywhere")
        failed = anyio.run(_play_all, fleet, traces)
        # A process that is just starting has no handler for the signal to stop yet.
        fleet.wait_ready(fleet.running_names())
        codes = fleet.stop_all()
    daemons = fleet.names(ProcessKind.DAEMON)
    bad = {name: code for name, code in codes.items() if name in daemons and code != 0}
    print(f"all stopped; daemons that did not exit with 0: {bad or 'none'}")
    return 1 if failed or bad else 0


async def _play_all(fleet: Fleet, traces: Sequence[Trace]) -> int:
    """Play the traces one after the other; return how many lines did not come true."""
    failed = 0
    async with process_replay_fleet(fleet) as target:
        for trace in traces:
            failed += len(await _play(target, trace))
        _print_ledger(await target.ledger())
    return failed


async def _play(target: ProcessReplayFleet, trace: Trace) -> list[Mismatch]:
    """Play one trace and print what happens."""
    print(f"\n{trace.start.name} ({trace.start.deployment}): {trace.start.description}")
    began = anyio.current_time()
    replay = TraceReplay(trace, target, LONGEST_PAUSE_S, on_step=_print_step)
    mismatches = await replay.run()
    for mismatch in mismatches:
        print(f"  {trace.path.name}:{mismatch.line}: {mismatch.message}")
    outcome = "came true" if not mismatches else f"{len(mismatches)} did not come true"
    took = anyio.current_time() - began
    print(f"  {len(trace.outcomes)} stated outcomes: {outcome} ({took:.1f} s)")
    return mismatches


def _print_step(step: PlayedStep) -> None:
    """Print what a program did, or what was done to the fleet."""
    match step:
        case PlayedCall(call=call, result=result):
            _print_call(call, result)
        case PlayedPause(program, recorded_s, played_s):
            print(f"  {program} pauses for {recorded_s:.0f} s (played as {played_s:.1f} s)")
        case PlayedAction(action):
            print(f"  {_describe_action(action)}")


def _describe_action(action: ProgramCreated | ProgramEndAsked | FaultInjected) -> str:
    """Return a program's start or end, or a fault, in a few words."""
    match action:
        case ProgramCreated(program=program, parent=None):
            return f"{program} starts"
        case ProgramCreated(program=program, parent=parent):
            return f"{program} starts as a sub-agent of {parent}, and spends from its budget"
        case ProgramEndAsked(program=program):
            return f"{program} ends"
        case FaultInjected(kind=FaultKind.KILL_LEADER, program=program):
            return f"fault: the node that leads {program} is killed (SIGKILL)"
        case FaultInjected(kind=kind):
            return f"fault: {kind.value}"


def _print_call(call: CallMade, result: CallResult) -> None:
    """Print one call: its place in the program, what, how long, verdict."""
    verdict = "no answer" if result.verdict is None else result.verdict.value
    first = ""
    if result.first_token_s is not None:
        first = f", first token {result.first_token_s * 1000:.0f} ms"
    print(
        f"  {_label(call):42} {result.latency_s * 1000:7.0f} ms{first:24} {verdict}"
        f" {result.code} after {result.attempts} request(s)"
    )


def _label(call: CallMade) -> str:
    """Return a call's program, number and target."""
    kind = "model" if call.kind is CallKind.MODEL else "tool"
    return f"{call.program} #{call.sequence} {kind} {call.target}"


def _print_ledger(ledger: Sequence[LedgerLine]) -> None:
    """Print how often each tool ran, charges by their operation."""
    runs = Counter(line.tool for line in ledger)
    print(f"\nledger: {dict(sorted(runs.items()))}")
    charges = Counter(line.arguments for line in ledger if line.tool == CHARGE_TOOL)
    for arguments, count in charges.items():
        print(f"ledger: {arguments} charged exactly {count} time(s)")


if __name__ == "__main__":
    sys.exit(main())
