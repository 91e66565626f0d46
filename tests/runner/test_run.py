"""Runs of small folders of tests: their closing line and their exit code."""

import shutil
import subprocess
import sys
import tempfile
import unittest
from dataclasses import dataclass
from pathlib import Path

RUNS_ALONE = "starts processes"
TESTS = Path(__file__).resolve().parents[1]
ONE_THAT_PASSES = """
    def test_that_passes(self):
        pass
"""
ONE_THAT_FAILS = """
    def test_that_fails(self):
        self.assertEqual(1, 2, "the reason")
"""
SUBTESTS_THAT_FAIL = """
    def test_with_subtests(self):
        for number in range(3):
            with self.subTest(number):
                self.fail()
"""
ONE_THAT_IS_SKIPPED = """
    def test_that_is_skipped(self):
        self.skipTest("not here")
"""
ONE_THAT_ENDS_ITS_PROCESS = """
    def test_that_ends_its_process(self):
        import os
        os._exit({code})
"""
CLASS = "import unittest\n\n\nclass SmallTest(unittest.TestCase):"


@dataclass
class Run:
    code: int
    output: str

    @property
    def last_line(self):
        return self.output.splitlines()[-1]


def run(modules, *arguments, known_red=""):
    """Run a copy of the runner in a folder that holds these modules."""
    with tempfile.TemporaryDirectory() as root:
        tests = Path(root, "tests")
        tests.mkdir()
        Path(root, "KNOWN-RED.txt").write_text(known_red)
        shutil.copy(TESTS / "run.py", tests)
        shutil.copytree(TESTS / "runner", tests / "runner")
        for name, body in modules.items():
            Path(tests, f"{name}.py").write_text(body)
        command = [sys.executable, "tests/run.py", "--jobs=2", *(arguments or ["test_small*.py"])]
        done = subprocess.run(command, cwd=root, capture_output=True, text=True)
        return Run(done.returncode, done.stdout + done.stderr)


class RunTest(unittest.TestCase):
    def expect(self, run, code, last_line):
        self.assertEqual((run.code, run.last_line), (code, last_line), run.output)

    def test_modules_that_pass(self):
        done = run({f"test_small_{n}": CLASS + ONE_THAT_PASSES for n in range(3)})
        self.expect(done, 0, "3 passed, 0 failed")

    def test_a_failure_is_printed_with_its_traceback(self):
        done = run({"test_small": CLASS + ONE_THAT_PASSES + ONE_THAT_FAILS})
        self.expect(done, 1, "1 passed, 1 failed")
        self.assertIn("FAIL: test_small.SmallTest.test_that_fails", done.output)
        self.assertIn("AssertionError: 1 != 2 : the reason", done.output)

    def test_what_a_module_wrote_is_printed_if_a_test_of_it_failed(self):
        says = "print('said by', 'the module')\n" + CLASS
        for body, is_printed in ((ONE_THAT_FAILS, True), (ONE_THAT_PASSES, False)):
            with self.subTest(is_printed):
                done = run({"test_small": says + body})
                self.assertEqual("said by the module" in done.output, is_printed)

    def test_a_test_fails_once_however_many_of_its_subtests_do(self):
        done = run({"test_small": CLASS + SUBTESTS_THAT_FAIL})
        self.expect(done, 1, "0 passed, 1 failed")

    def test_what_is_skipped_has_not_passed(self):
        done = run({"test_small": CLASS + ONE_THAT_PASSES + ONE_THAT_IS_SKIPPED})
        self.expect(done, 0, "1 passed, 0 failed")

    def test_a_module_that_cannot_be_imported_has_failed(self):
        done = run({"test_small": "import no_such_module"})
        self.expect(done, 1, "0 passed, 1 failed")

    def test_a_run_of_no_tests_has_failed(self):
        self.expect(run({}), 1, "0 passed, 0 failed")

    def test_a_process_that_ends_without_a_report_has_failed(self):
        for code in (0, 3):
            with self.subTest(code):
                ends = ONE_THAT_ENDS_ITS_PROCESS.format(code=code)
                modules = {"test_small_0": CLASS + ONE_THAT_PASSES, "test_small_1": CLASS + ends}
                done = run(modules)
                self.expect(done, 1, "1 passed, 1 failed")
                self.assertIn("FAIL: test_small_1", done.output)

    def test_a_process_that_breaks_after_its_report_has_failed(self):
        breaks = "import atexit, os\natexit.register(os._exit, 3)\n"
        done = run({"test_small": breaks + CLASS + ONE_THAT_PASSES})
        self.expect(done, 1, "1 passed, 1 failed")

    def test_a_known_red_test_is_printed_and_excused(self):
        red = "test_small.SmallTest.test_that_fails"
        modules = {"test_small": CLASS + ONE_THAT_PASSES + ONE_THAT_FAILS}
        done = run(modules, known_red=f"{red}, a fault, its issue\n")
        self.expect(done, 0, "1 passed, 0 failed")
        self.assertIn(f"known red: {red}", done.output)

    def test_a_known_red_test_excuses_no_other(self):
        modules = {"test_small": CLASS + ONE_THAT_FAILS + SUBTESTS_THAT_FAIL}
        done = run(modules, known_red="test_small.SmallTest.test_that_fails, a fault, its issue\n")
        self.expect(done, 1, "0 passed, 1 failed")
