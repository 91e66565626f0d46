"""Runs tests below this folder; the last line printed is ``N passed, N failed``.

    python tests/run.py [--jobs=N] [FOLDER | PATTERN]

``raft`` runs the folder ``tests/raft``, ``"test_*_client.py"`` the files of all folders that fit;
without either all tests run. Modules run side by side in ``N`` processes (half of the cores
unless told), the largest first and in parts. A module with a constant ``RUNS_ALONE`` (the
reason) runs beside no other that has one: it starts processes, listens on real sockets, or
measures time, processor time or memory.

A process that ends without a report is a failure. Tests listed in KNOWN-RED.txt
(``test id, cause, issue`` on each line) may fail without failing the run; each is printed.
"""

import os
import sys
from pathlib import Path

import anyio

from runner.child import write_report
from runner.pool import CHILD_OPTION, Pool
from runner.reports import Outcome, UnitReport, sum_up
from runner.selection import ALL_MODULES, select_units

TESTS = Path(__file__).resolve().parent
KNOWN_RED = TESTS.parent / "KNOWN-RED.txt"
JOBS_OPTION = "--jobs="


def known_red_tests(path: Path = KNOWN_RED) -> frozenset[str]:
    """Return the ids of the tests that are listed as failing for a known fault."""
    if not path.exists():
        return frozenset()
    lines = path.read_text().splitlines()
    return frozenset(line.split(",")[0].strip() for line in lines if line.strip())


def run_selected(selected: str, jobs: int, tests: Path = TESTS) -> Outcome:
    """Run a folder's tests, or those of the files that fit a pattern."""
    pool = Pool(select_units(tests, selected), show_progress)
    reports = anyio.run(pool.run, jobs)
    return sum_up(reports, known_red_tests())


def show_progress(report: UnitReport) -> None:
    """Print a line for a unit that is done, and what it wrote if a test of it failed."""
    failed = len({failure.test_id for failure in report.failures})
    mark = f"  {failed} FAILED" if failed else ""
    print(f"{report.seconds:6.1f} s {report.run:4} tests  {report.unit}{mark}", flush=True)
    if report.output:
        print(report.output, flush=True)


def show_outcome(outcome: Outcome) -> None:
    """Print each failure, the excused tests, and the line that ends the run."""
    for failure in outcome.failures:
        print(f"{'=' * 70}\nFAIL: {failure.test_id}\n{'-' * 70}\n{failure.text}")
    if outcome.skipped:
        print(f"{outcome.skipped} skipped")
    for test_id in sorted(outcome.excused):
        print(f"known red: {test_id}")
    print(f"{outcome.passed} passed, {len(outcome.failed - outcome.excused)} failed")


def main(arguments: list[str]) -> int:
    """Run the tests that the arguments name, or one unit for the process that did."""
    if arguments[:1] == [CHILD_OPTION]:
        return write_report(*arguments[1:])
    jobs = max(1, (os.cpu_count() or 2) // 2)
    selected = ALL_MODULES
    for argument in arguments:
        if argument.startswith(JOBS_OPTION):
            jobs = max(1, int(argument.removeprefix(JOBS_OPTION)))
        else:
            selected = argument
    outcome = run_selected(selected, jobs)
    show_outcome(outcome)
    return outcome.exit_code


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
