"""What a soak tells at its end."""

from collections.abc import Mapping

import msgspec


class Finding(msgspec.Struct, frozen=True):
    """A promise that was broken.

    Attributes
    ----------
    check
        Name of the check; see ``docs/operations/soak.md``.
    request_id
        Id of the request by which it showed, or what else it concerns.
    at_s
        Seconds since the soak began.
    """

    check: str
    request_id: str
    detail: str
    at_s: float


class Run(msgspec.Struct, frozen=True):
    """A run of an attempt: the back end, and seconds from the soak's start to its beginning."""

    back_end: str
    begun_at_s: float


class FaultTime(msgspec.Struct, frozen=True):
    """A fault, and seconds from the soak's start to its beginning and its end."""

    fault: str
    began_at_s: float
    ended_at_s: float


class FullSetTurn(msgspec.Struct, frozen=True):
    """One turn of a full set: when it was asked for, and its runs."""

    program_id: str
    asked_at_s: float
    runs: tuple[Run, ...]


class FullSet(msgspec.Struct, frozen=True):
    """As many turns at once as engines have places: what ran at once, and what was served."""

    most_running: int
    served: int
    turns: tuple[FullSetTurn, ...]


class SoakReport(msgspec.Struct, frozen=True, kw_only=True):
    """Load, faults, checks and findings of one soak.

    Attributes
    ----------
    programs
        How many programs ended how, by their kind.
    answers
        How many attempts got which answer (a status, ``broken_off`` or ``none``), by route.
    faults
        How many faults there were of each kind and role.
    checks
        How often each check was made.
    findings
        The first ones, as many as are kept.
    finding_count
        All of them.
    was_interrupted
        Whether a signal ended it early.
    full_sets
        What was tried for the check ``no-place-held``.
    fault_times
        Each fault, and seconds from the soak's start to its beginning and its end.
    kept_logs
        Where the processes' logs stay after a finding; empty without one.
    """

    seed: int
    load_s: float
    programs: dict[str, dict[str, int]]
    answers: dict[str, dict[str, int]]
    faults: dict[str, int]
    checks: dict[str, int]
    findings: tuple[Finding, ...]
    finding_count: int
    was_interrupted: bool = False
    full_sets: tuple[FullSet, ...] = ()
    fault_times: tuple[FaultTime, ...] = ()
    kept_logs: str = ""

    @property
    def has_passed(self) -> bool:
        """Whether the soak ran to its end without a finding."""
        return self.finding_count == 0 and not self.was_interrupted


def print_report(report: SoakReport) -> None:
    """Print what came of a soak, a finding a line."""
    for title, counts in (("programs", report.programs), ("answers", report.answers)):
        for name, outcomes in counts.items():
            print(f"{title} {name}: {_joined(outcomes)}")
    print(f"faults: {_joined(report.faults)}")
    print(f"checks: {_joined(report.checks)}")
    for finding in report.findings:
        print(f"FINDING {finding.check} {finding.request_id} at {finding.at_s} s: {finding.detail}")
    print("promises kept" if report.has_passed else "PROMISES BROKEN OR INTERRUPTED")


def _joined(counts: Mapping[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items()) or "none"
