"""What nodes record can be replayed, and keeps texts to itself unless told otherwise."""

import contextlib
import io
import shutil
import tempfile
import unittest
from pathlib import Path

import anyio

from passlane.emulator.example_files import read_simulated_example
from passlane.emulator.replayer import TraceReplay
from passlane.emulator.trace_files import read_trace
from passlane.messages.traces import CallOutcomeStated
from passlane.settings.model import NodeSettings
from passlane.simulation.replay_fleet import simulated_replay_fleet
from passlane.simulation.runner import run_simulation
from passlane.simulation.trace_replay import EXAMPLES, replay_files
from traces.replay_checks import TRACES

EXAMPLE = EXAMPLES / "amre-topup"
PLAYED = ("amre-topup-budget-refused.jsonl", "amre-topup-late-answers.jsonl")
TEXT = "Check the balance again."
RECORDED_FOLDER = "traces"
LONGER_THAN_WRITE_INTERVAL_S = 1.5


def example_that_records(folder: Path, *, redacts: bool) -> Path:
    """Return a copy of the example whose nodes record."""
    copy = folder / "settings"
    shutil.copytree(EXAMPLE, copy)
    for path in copy.glob("node-*.toml"):
        recording = f"""
[node]
trace_file = "{RECORDED_FOLDER}/calls"
trace_redacts_content = {str(redacts).lower()}
"""
        path.write_text(path.read_text() + recording)
    return copy


def record(settings: Path, folder: Path) -> list[Path]:
    """Play traces on a fleet that records; return the recorded files."""
    example = read_simulated_example(settings, folder)

    async def play() -> dict[str, bytes]:
        async with simulated_replay_fleet(example, seed=1) as fleet:
            for name in PLAYED:
                await TraceReplay(read_trace(TRACES / name), fleet, longest_pause_s=0.2).run()
            await anyio.sleep(LONGER_THAN_WRITE_INTERVAL_S)
            return fleet.node_files(RECORDED_FOLDER)

    paths = []
    for name, content in run_simulation(play, seed=1).items():
        path = folder / name
        path.write_bytes(content)
        paths.append(path)
    return paths


class RecordingTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="passlane-recording-")
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_nothing_is_recorded_and_texts_are_kept_back_unless_settings_say_so(self) -> None:
        self.assertIsNone(NodeSettings().trace_file)
        self.assertTrue(NodeSettings().trace_redacts_content)

    def test_redacted_recording_replays(self) -> None:
        settings = example_that_records(self.folder, redacts=True)
        paths = record(settings, self.folder)
        outcomes = [numbered.outcome for path in paths for numbered in read_trace(path).outcomes]
        verdicts = {
            outcome.verdict.value for outcome in outcomes if isinstance(outcome, CallOutcomeStated)
        }
        self.assertEqual(verdicts, {"ran", "not_run"})
        self.assertFalse([path for path in paths if TEXT in path.read_text()])
        self.check_replay(paths, settings)

    def test_recording_with_texts_replays(self) -> None:
        settings = example_that_records(self.folder, redacts=False)
        paths = record(settings, self.folder)
        self.assertTrue([path for path in paths if TEXT in path.read_text()])
        self.check_replay(paths, settings)

    def check_replay(self, paths: list[Path], settings: Path) -> None:
        """Check that all that was recorded comes true in a replay."""
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            code = replay_files(paths, settings)
        self.assertEqual(code, 0, printed.getvalue())
        self.assertEqual(printed.getvalue().count("came true"), len(paths))


if __name__ == "__main__":
    unittest.main()
