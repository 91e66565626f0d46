"""Entry points of ``passlane sim list`` and ``passlane sim run``."""

import itertools
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import msgspec

from passlane.simulation.defects.catalog import DEFECTS
from passlane.simulation.execution import RunResult
from passlane.simulation.scenarios.catalog import SCENARIOS
from passlane.simulation.sweep import RunRequest, run_all

ALL = "all"
EXIT_KEPT = 0
EXIT_BROKEN = 1
EXIT_UNKNOWN = 2
EVENTS_SHOWN = 40
LOG_LINES_SHOWN = 15
LOG_LINE_CHARACTERS = 400


class ScenarioSummary(msgspec.Struct, frozen=True):
    """A scenario as it is listed."""

    name: str
    promises: tuple[str, ...]
    failure: str


class DefectSummary(msgspec.Struct, frozen=True):
    """A deliberate fault as it is listed, and the seed that shows it."""

    name: str
    promise: str
    scenario: str
    seed: int
    description: str


class Listing(msgspec.Struct, frozen=True):
    """All scenarios and defects."""

    scenarios: tuple[ScenarioSummary, ...]
    defects: tuple[DefectSummary, ...]

    def lines(self) -> list[str]:
        """Return the listing as text, one line for each entry."""
        lines = [
            f"{one.name:<34} {', '.join(one.promises):<44} {one.failure}" for one in self.scenarios
        ]
        lines += [
            f"defect {one.name:<27} {one.promise:<44} {one.description} "
            f"({one.scenario}, seed {one.seed})"
            for one in self.defects
        ]
        return lines


def list_scenarios() -> Listing:
    """Return each scenario with its promises and its failure, and each defect."""
    return Listing(
        scenarios=tuple(
            ScenarioSummary(one.name, one.promises, one.failure) for one in SCENARIOS.values()
        ),
        defects=tuple(
            DefectSummary(one.name, one.promise, one.scenario, one.seed, one.description)
            for one in DEFECTS.values()
        ),
    )


@dataclass
class _Tally:
    """What came of the runs of one scenario."""

    runs: int = 0
    virtual_s: float = 0.0
    cpu_s: float = 0.0
    broken_seeds: tuple[int, ...] = ()

    def add(self, result: RunResult) -> None:
        self.runs += 1
        self.virtual_s += result.virtual_s
        self.cpu_s += result.cpu_s
        if result.violations:
            self.broken_seeds += (result.seed,)


def run(scenario: str, seeds: Sequence[int], defect: str | None = None, jobs: int = 1) -> int:
    """Run one scenario, or all, with each seed; print what came of it.

    Parameters
    ----------
    scenario
        Name of a scenario, or ``all``.
    seeds
        Seeds to run.
    defect
        Name of a deliberate fault to run with.
    jobs
        Processes to spread the runs over.

    Returns
    -------
    int
        0 when every promise held, 1 when one was broken, 2 for an unknown name.
    """
    if scenario != ALL and scenario not in SCENARIOS:
        print(f"unknown scenario {scenario!r}; see: passlane sim list")
        return EXIT_UNKNOWN
    if defect is not None and defect not in DEFECTS:
        print(f"unknown defect {defect!r}; see: passlane sim list")
        return EXIT_UNKNOWN
    names = list(SCENARIOS) if scenario == ALL else [scenario]
    requests = [RunRequest(name, seed, defect) for name in names for seed in seeds]
    began = time.monotonic()
    broken = _report_runs(run_all(requests, jobs))
    elapsed_s = time.monotonic() - began
    summary = f"{len(names)} scenarios, {len(seeds)} seeds each, {elapsed_s / 60:.1f} minutes"
    if broken:
        print(f"broken: {', '.join(broken)} ({summary})")
        return EXIT_BROKEN
    print(f"every promise held: {summary}")
    return EXIT_KEPT


def check_defects(jobs: int = 1) -> int:
    """Run each defect where it shows; print whether its promise was seen broken.

    Returns
    -------
    int
        0 when every defect was caught, 1 otherwise.
    """
    requests = [RunRequest(one.scenario, one.seed, one.name) for one in DEFECTS.values()]
    missed = []
    for defect, result in zip(DEFECTS.values(), run_all(requests, jobs), strict=True):
        is_caught = defect.promise in {one.invariant for one in result.violations}
        if not is_caught:
            missed.append(defect.name)
        verdict = "caught" if is_caught else "MISSED"
        print(f"{verdict} {defect.name}: {defect.promise} ({result.scenario}, seed {result.seed})")
    print(f"{len(DEFECTS) - len(missed)} of {len(DEFECTS)} defects caught")
    return EXIT_BROKEN if missed else EXIT_KEPT


def _report_runs(results: Iterable[RunResult]) -> list[str]:
    """Print each scenario's outcome as it is known; return the broken scenarios' names."""
    broken = []
    for name, group in itertools.groupby(results, key=lambda result: result.scenario):
        tally = _Tally()
        for result in group:
            tally.add(result)
            if result.violations:
                _print_violations(result, with_events=len(tally.broken_seeds) == 1)
        if tally.broken_seeds:
            broken.append(name)
        print(f"{name}: {_outcome(tally)}", flush=True)
    return broken


def _outcome(tally: _Tally) -> str:
    cost = f"{tally.virtual_s:.0f} virtual s in {tally.cpu_s:.0f} CPU s"
    if not tally.broken_seeds:
        return f"held, {tally.runs} seeds, {cost}"
    seeds = ", ".join(map(str, tally.broken_seeds))
    return f"broken with {len(tally.broken_seeds)} of {tally.runs} seeds ({seeds}), {cost}"


def _print_violations(result: RunResult, *, with_events: bool) -> None:
    print(f"{result.scenario}: broken with seed {result.seed}")
    for violation in result.violations:
        print(f"  promise {violation.invariant}: {violation.detail}")
    print(f"  calls answered: {result.answered} of {result.calls}; hash {result.digest}")
    if not with_events:
        return
    print("  newest events:")
    for event in result.events[-EVENTS_SHOWN:]:
        print(f"    {event}")
    print("  newest log lines:")
    for line in result.log_lines[-LOG_LINES_SHOWN:]:
        print(f"    {line[:LOG_LINE_CHARACTERS]}")
