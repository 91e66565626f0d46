"""The process of one unit: runs its tests and writes a report to a file."""

import io
import time
import unittest
from collections.abc import Iterator
from itertools import chain
from pathlib import Path

import msgspec

from runner.reports import Failure, UnitReport
from runner.selection import Unit


class RecordingResult(unittest.TextTestResult):
    """Counts the tests that passed; one with subtests fails once, however many of them do."""

    def __init__(self, *arguments, **named) -> None:
        super().__init__(*arguments, **named)
        self.begun: set[str] = set()

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802 (name of unittest)
        self.begun.add(test.id())
        super().startTest(test)

    def recorded_failures(self) -> tuple[Failure, ...]:
        """Return each failure with its traceback."""
        broken = [
            Failure(getattr(test, "test_case", test).id(), text)
            for test, text in self.failures + self.errors
        ]
        unexpected = [
            Failure(test.id(), "passed, but is expected to fail\n")
            for test in self.unexpectedSuccesses
        ]
        return (*broken, *unexpected)


def run_unit(unit: Unit) -> UnitReport:
    """Run the tests of a unit in this process."""
    started_at = time.monotonic()
    suite = load_unit(unit)
    runner = unittest.TextTestRunner(stream=io.StringIO(), resultclass=RecordingResult)
    result = runner.run(suite)
    assert isinstance(result, RecordingResult)
    failures = result.recorded_failures()
    # What fails before a class's first test has an id that no test has begun with.
    failed = {failure.test_id for failure in failures} & result.begun
    skipped = {test.id() for test, _ in result.skipped} & result.begun
    return UnitReport(
        unit=unit.name,
        run=result.testsRun,
        passed=result.testsRun - len(failed | skipped),
        skipped=len(result.skipped),
        failures=failures,
        seconds=time.monotonic() - started_at,
    )


def load_unit(unit: Unit) -> unittest.TestSuite:
    """Return the tests of a unit, each class whole and in the order of the module."""
    loaded = unittest.defaultTestLoader.loadTestsFromName(unit.module)
    by_class: dict[type, list[unittest.TestCase]] = {}
    for test in tests_in(loaded):
        by_class.setdefault(type(test), []).append(test)
    taken = list(by_class.values())[unit.part :: unit.parts]
    return unittest.TestSuite(chain.from_iterable(taken))


def tests_in(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Return the tests of a suite and of the suites in it."""
    for entry in suite:
        if isinstance(entry, unittest.TestSuite):
            yield from tests_in(entry)
        else:
            yield entry


def write_report(report_path: str, encoded_unit: str) -> int:
    """Run a unit and write its report; the exit code says only that this was done."""
    unit = msgspec.json.decode(encoded_unit, type=Unit)
    report = run_unit(unit)
    Path(report_path).write_bytes(msgspec.json.encode(report))
    return 0
