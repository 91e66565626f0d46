"""Runs scenarios by name over seeds and prints what broke; used by ``passlane sim``."""

import time
from collections.abc import Sequence

from passlane.simulation.defects import DEFECTS, Defect
from passlane.simulation.execution import RunResult, run_scenario
from passlane.simulation.scenarios.base import Scenario
from passlane.simulation.scenarios.catalog import SCENARIOS

ALL = "all"
EXIT_KEPT = 0
EXIT_BROKEN = 1
EXIT_UNKNOWN = 2
EVENTS_SHOWN = 40
LOG_LINES_SHOWN = 15


def list_scenarios() -> None:
    """Print each scenario with its promises and its failure, and each defect."""
    for scenario in SCENARIOS.values():
        print(f"{scenario.name:<34} {', '.join(scenario.promises):<40} {scenario.failure}")
    for defect in DEFECTS.values():
        print(
            f"defect {defect.name:<27} {defect.invariant:<40} "
            f"{defect.description} (in {defect.scenario})"
        )


def run(scenario: str, seeds: Sequence[int], defect: str | None = None) -> int:
    """Run one scenario, or all, with each seed; return the exit code.

    Parameters
    ----------
    scenario
        Name of a scenario, or ``all``.
    seeds
        Seeds to run.
    defect
        Name of a deliberate fault to run with.

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
    chosen = list(SCENARIOS.values()) if scenario == ALL else [SCENARIOS[scenario]]
    fault = None if defect is None else DEFECTS[defect]
    broken = [name.name for name in chosen if not _run_seeds(name, seeds, fault)]
    if broken:
        print(f"broken: {', '.join(broken)}")
        return EXIT_BROKEN
    print(f"every promise held: {len(chosen)} scenarios, {len(seeds)} seeds each")
    return EXIT_KEPT


def _run_seeds(scenario: Scenario, seeds: Sequence[int], defect: Defect | None) -> bool:
    """Run a scenario with each seed; stop at the first broken promise."""
    began = time.process_time()
    virtual_s = 0.0
    for seed in seeds:
        result = run_scenario(scenario, seed, defect)
        virtual_s += result.virtual_s
        if result.violations:
            _print_violations(result)
            return False
    cpu_s = time.process_time() - began
    print(f"{scenario.name}: held, {len(seeds)} seeds, {virtual_s:.0f} s in {cpu_s:.1f} CPU s")
    return True


def _print_violations(result: RunResult) -> None:
    print(f"{result.scenario}: broken with seed {result.seed}")
    for violation in result.violations:
        print(f"  promise {violation.invariant}: {violation.detail}")
    print(f"  calls answered: {result.answered} of {result.calls}; hash {result.digest}")
    print("  newest events:")
    for event in result.events[-EVENTS_SHOWN:]:
        print(f"    {event}")
    print("  newest log lines:")
    for line in result.log_lines[-LOG_LINES_SHOWN:]:
        print(f"    {line[:400]}")
