"""``passlane trace replay``: plays traces on simulated fleets of their deployments.

Traces of one deployment whose faults, if any, concern their own programs only are played
side by side on one fleet; any other trace has a fleet of its own. The daemons' log lines
are kept in a ring and written out only when an outcome did not come true.
"""

import sys
import tempfile
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from pathlib import Path

import anyio
import structlog

from passlane.emulator.example_files import SimulatedExample, read_simulated_example
from passlane.emulator.replayer import Mismatch, ReplayFleet, TraceReplay
from passlane.emulator.trace_files import Trace, read_trace, without_partial_programs
from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.traces import FaultInjected, FaultKind, TraceAction
from passlane.observability.logging import configure_logging
from passlane.observability.ring import RingLog
from passlane.simulation.replay_fleet import simulated_replay_fleet
from passlane.simulation.runner import run_simulation

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
LONGEST_PAUSE_S = 1.0
SEED = 1
RING_LINES = 500


def replay_files(paths: Sequence[Path], settings: Path | None = None) -> int:
    """Replay traces and print what came true; return 1 if anything did not.

    Parameters
    ----------
    paths
        Files of traces.
    settings
        Folder with the settings of the fleet; without it that of the example which is
        named like the trace's deployment.
    """
    traces: list[Trace] = []
    failed = 0
    for path in paths:
        try:
            traces.append(_read_whole_programs(path))
        except PasslaneError as error:
            print(error)
            failed += 1
    for group in group_traces(traces):
        try:
            failed += _replay_and_print(group, settings)
        except PasslaneError as error:
            print(error)
            failed += 1
    return 1 if failed else 0


def replay_group(
    traces: Sequence[Trace], ring: RingLog | None = None, settings: Path | None = None
) -> Mapping[Path, list[Mismatch]]:
    """Replay traces of one deployment side by side; return what did not come true.

    The daemons' log lines go to ``ring``, or are dropped without one. ``settings`` is the
    folder with the fleet's settings, by default the example of the traces' deployment.

    Raises
    ------
    PasslaneError
        When there is no example of the traces' deployment.
    """
    with tempfile.TemporaryDirectory(prefix="passlane-replay-") as folder:
        example = read_simulated_example(settings or _example_of(traces[0]), Path(folder))

    async def play() -> Mapping[Path, list[Mismatch]]:
        return await _play(traces, example)

    with _logs_in(ring or RingLog(RING_LINES)):
        return run_simulation(play, SEED)


def group_traces(traces: Sequence[Trace]) -> list[list[Trace]]:
    """Return which traces share a fleet: those of a deployment that harm no other one."""
    shared: dict[str, list[Trace]] = {}
    alone: list[list[Trace]] = []
    for trace in traces:
        if any(_harms_others(numbered.action) for numbered in trace.actions):
            alone.append([trace])
        else:
            shared.setdefault(trace.start.deployment, []).append(trace)
    return [*shared.values(), *alone]


def _harms_others(action: TraceAction) -> bool:
    """Return whether an action is a fault that other programs would notice."""
    if not isinstance(action, FaultInjected):
        return False
    return action.kind is not FaultKind.DISTURB_TOOL or action.program is None


async def _play(
    traces: Sequence[Trace], example: SimulatedExample
) -> Mapping[Path, list[Mismatch]]:
    """Start the fleet and play the traces side by side."""
    mismatches: dict[Path, list[Mismatch]] = {}

    async def play_one(trace: Trace, fleet: ReplayFleet) -> None:
        mismatches[trace.path] = await TraceReplay(trace, fleet, LONGEST_PAUSE_S).run()

    async with simulated_replay_fleet(example, SEED) as fleet, anyio.create_task_group() as tasks:
        for trace in traces:
            tasks.start_soon(play_one, trace, fleet)
    return mismatches


def _read_whole_programs(path: Path) -> Trace:
    """Return a trace as far as it can be played, and print what is left out."""
    trace = read_trace(path)
    whole = without_partial_programs(trace)
    left_out = len(trace.actions) - len(whole.actions)
    if left_out:
        print(f"{path}: {left_out} lines of programs whose start is not in it are left out")
    return whole


def _replay_and_print(traces: Sequence[Trace], settings: Path | None) -> int:
    """Replay a group; return how many lines did not come true."""
    ring = RingLog(RING_LINES)
    mismatches = replay_group(traces, ring=ring, settings=settings)
    for trace in traces:
        for mismatch in mismatches[trace.path]:
            print(f"{trace.path}:{mismatch.line}: {mismatch.message}")
        if not mismatches[trace.path]:
            print(f"{trace.path}: {len(trace.outcomes)} stated outcomes came true")
    failed = sum(len(found) for found in mismatches.values())
    if failed:
        _write_out(ring)
    return failed


@contextmanager
def _logs_in(ring: RingLog) -> Iterator[None]:
    """Keep all log lines in a ring, and leave logging as it was."""
    before = structlog.get_config()
    configure_logging(ring)
    try:
        yield
    finally:
        structlog.configure(**before)


def _write_out(ring: RingLog) -> None:
    """Write the daemons' newest log lines to the error stream."""
    lines = ring.lines()
    print(f"the newest {len(lines)} log lines of the fleet:", file=sys.stderr)
    for line in lines:
        print(line.decode(), file=sys.stderr)


def _example_of(trace: Trace) -> Path:
    """Return the folder with the settings of the trace's deployment."""
    folder = EXAMPLES / trace.start.deployment
    if not folder.is_dir():
        raise PasslaneError(
            ErrorCode.NOT_FOUND,
            f"{trace.path}:1: no example is named {trace.start.deployment}; give --fleet FOLDER",
        )
    return folder
