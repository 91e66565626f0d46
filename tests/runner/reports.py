"""What a unit's process reports, and the sum of these reports."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec


class Failure(msgspec.Struct, frozen=True):
    """A test that failed, or a unit whose process broke."""

    test_id: str
    text: str


class UnitReport(msgspec.Struct, frozen=True):
    """What came of one unit; ``output`` is what its process wrote, kept if a test failed."""

    unit: str
    run: int = 0
    passed: int = 0
    skipped: int = 0
    failures: tuple[Failure, ...] = ()
    seconds: float = 0.0
    output: str = ""


@dataclass(frozen=True)
class Outcome:
    """What came of all units."""

    run: int
    passed: int
    skipped: int
    failures: tuple[Failure, ...]
    failed: frozenset[str]
    excused: frozenset[str]

    @property
    def exit_code(self) -> int:
        """1 if a test failed that is not known to, or if no test ran."""
        return 1 if self.failed - self.excused or self.run == 0 else 0


def sum_up(reports: Iterable[UnitReport], known_red: frozenset[str]) -> Outcome:
    """Return the outcome of a run; a test that fails in several ways fails once."""
    reports = list(reports)
    failures = tuple(failure for report in reports for failure in report.failures)
    failed = frozenset(failure.test_id for failure in failures)
    return Outcome(
        run=sum(report.run for report in reports),
        passed=sum(report.passed for report in reports),
        skipped=sum(report.skipped for report in reports),
        failures=failures,
        failed=failed,
        excused=failed & known_red,
    )
