"""``passlane trace replay``: plays traces on simulated fleets of their deployments."""

import tempfile
from collections.abc import Sequence
from pathlib import Path

from passlane.emulator.example_files import SimulatedExample, read_simulated_example
from passlane.emulator.replayer import Mismatch, TraceReplay
from passlane.emulator.simulated_replay import simulated_replay_fleet
from passlane.emulator.trace_files import Trace, read_trace
from passlane.errors import ErrorCode, PasslaneError
from passlane.simulation.runner import run_simulation

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
LONGEST_PAUSE_S = 10.0
SEED = 1


def replay_files(paths: Sequence[Path]) -> int:
    """Replay traces and print what came true; return 1 if anything did not."""
    failed = 0
    for path in paths:
        try:
            failed += _replay_file(path)
        except PasslaneError as error:
            print(error)
            failed += 1
    return 1 if failed else 0


def replay(trace: Trace, seed: int = SEED) -> list[Mismatch]:
    """Replay one trace on a virtual clock and return what did not come true.

    Raises
    ------
    PasslaneError
        When there is no example of the trace's deployment.
    """
    with tempfile.TemporaryDirectory(prefix="passlane-replay-") as folder:
        example = read_simulated_example(_example_of(trace), Path(folder))

    async def play() -> list[Mismatch]:
        return await _play(trace, example, seed)

    return run_simulation(play, seed)


async def _play(trace: Trace, example: SimulatedExample, seed: int) -> list[Mismatch]:
    """Start the fleet and play the trace."""
    async with simulated_replay_fleet(example, seed) as fleet:
        return await TraceReplay(trace, fleet, LONGEST_PAUSE_S).run()


def _replay_file(path: Path) -> int:
    """Replay one file; return how many lines did not come true."""
    trace = read_trace(path)
    mismatches = replay(trace)
    for mismatch in mismatches:
        print(f"{path}:{mismatch.line}: {mismatch.message}")
    if not mismatches:
        print(f"{path}: {len(trace.outcomes)} stated outcomes came true")
    return len(mismatches)


def _example_of(trace: Trace) -> Path:
    """Return the folder with the settings of the trace's deployment."""
    folder = EXAMPLES / trace.start.deployment
    if not folder.is_dir():
        raise PasslaneError(
            ErrorCode.NOT_FOUND, f"{trace.path}:1: no deployment {trace.start.deployment}"
        )
    return folder
