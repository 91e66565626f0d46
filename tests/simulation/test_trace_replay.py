"""What ``passlane trace replay`` prints and returns."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from passlane.simulation.trace_replay import replay_files

GOOD = Path(__file__).resolve().parents[2] / "traces" / "music-house-call-after-end.jsonl"


class ReplayFilesTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="passlane-replay-test-")
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.out = io.StringIO()
        self.error = io.StringIO()

    def replay(self, *paths: Path) -> int:
        with contextlib.redirect_stdout(self.out), contextlib.redirect_stderr(self.error):
            return replay_files(paths)

    def write(self, name: str, text: str) -> Path:
        path = self.folder / name
        path.write_text(text)
        return path

    def test_wrong_outcome_is_named_by_its_line_and_the_logs_are_written_out(self) -> None:
        text = GOOD.read_text().replace("call-after-end", "wrong").replace('"runs": 0', '"runs": 1')
        wrong = self.write("wrong.jsonl", text.replace("hind", "huda"))
        line = next(n for n, line in enumerate(text.splitlines(), 1) if "LedgerStated" in line)
        self.assertEqual(self.replay(GOOD, wrong), 1)
        self.assertIn(f"{wrong}:{line}: charge_lesson ran 0 times, expected 1", self.out.getvalue())
        self.assertIn(f"{GOOD}: 7 stated outcomes came true", self.out.getvalue())
        self.assertIn('"event":"lease_gained"', self.error.getvalue())

    def test_logs_are_kept_to_itself_when_all_came_true(self) -> None:
        self.assertEqual(self.replay(GOOD), 0)
        self.assertEqual(self.out.getvalue(), f"{GOOD}: 7 stated outcomes came true\n")
        self.assertNotIn('"event"', self.error.getvalue())

    def test_line_that_is_no_trace_line_is_named(self) -> None:
        bad = self.write("bad.jsonl", GOOD.read_text() + '{"type": "Nonsense"}\n')
        self.assertEqual(self.replay(bad), 1)
        self.assertIn(f"{bad}:{len(GOOD.read_text().splitlines()) + 1}:", self.out.getvalue())

    def test_deployment_without_an_example_is_named(self) -> None:
        other = self.write("other.jsonl", GOOD.read_text().replace("music-house", "nowhere"))
        self.assertEqual(self.replay(other), 1)
        self.assertIn("no example is named nowhere", self.out.getvalue())


if __name__ == "__main__":
    unittest.main()
