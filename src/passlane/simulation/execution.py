"""Runs one scenario with one seed and judges it."""

import itertools
import time
from dataclasses import dataclass

import anyio
import structlog

from passlane.observability.logging import configure_logging
from passlane.observability.ring import RingLog
from passlane.simulation.cluster import Cluster, FleetNotReadyError, run_cluster
from passlane.simulation.defects.base import Defect
from passlane.simulation.invariants import INVARIANTS
from passlane.simulation.observer import Observations
from passlane.simulation.runner import run_simulation
from passlane.simulation.scenarios.base import Scenario

RUN_LIMIT_S = 1_200.0
"""Virtual seconds after which a run is given up as hanging."""
LOG_LINES = 2_000
EVENTS_KEPT = 1_000
LIVENESS = "liveness"
"""Name of the check that the load was answered and the fleet came up."""


@dataclass(frozen=True)
class Violation:
    """One broken promise in one run."""

    invariant: str
    detail: str


@dataclass(frozen=True)
class RunResult:
    """What came of one run.

    Attributes
    ----------
    digest
        Hash of the event log; the same for the same scenario, seed and defect.
    events, log_lines
        The newest events and log lines of a run that broke a promise; else empty.
    virtual_s, cpu_s
        Length of the run on the virtual clock, and the processor time that it took.
    """

    scenario: str
    seed: int
    violations: tuple[Violation, ...]
    digest: str
    events: tuple[str, ...]
    log_lines: tuple[str, ...]
    virtual_s: float
    cpu_s: float
    calls: int
    answered: int


def run_scenario(scenario: Scenario, seed: int, defect: Defect | None = None) -> RunResult:
    """Run a scenario on a virtual clock and return what came of it."""
    began = time.process_time()
    ring = RingLog(LOG_LINES)
    configure_logging(ring)
    holder: list[Cluster] = []
    problems: list[Violation] = []
    ended_at = 0.0

    async def main() -> None:
        nonlocal ended_at
        with anyio.move_on_after(RUN_LIMIT_S) as scope:
            await _run(scenario, seed, defect, holder, problems)
        ended_at = anyio.current_time()
        if scope.cancelled_caught:
            problems.append(Violation(LIVENESS, f"not done within {RUN_LIMIT_S:g} s"))

    try:
        run_simulation(main, seed)
    finally:
        structlog.contextvars.clear_contextvars()
    cluster = holder[0]
    seen = cluster.observations
    answered, calls = _count_answers(seen)
    if not problems:
        problems += _judge(scenario, seen)
    return RunResult(
        scenario=scenario.name,
        seed=seed,
        violations=tuple(problems),
        digest=cluster.event_log.digest(),
        events=tuple(cluster.event_log.newest(EVENTS_KEPT)) if problems else (),
        log_lines=tuple(line.decode() for line in ring.lines()) if problems else (),
        virtual_s=ended_at,
        cpu_s=time.process_time() - began,
        calls=calls,
        answered=answered,
    )


async def _run(
    scenario: Scenario,
    seed: int,
    defect: Defect | None,
    holder: list[Cluster],
    problems: list[Violation],
) -> None:
    options = scenario.options if defect is None else defect.apply(scenario.options)
    try:
        async with run_cluster(scenario.plan, seed, options, holder.append) as cluster:
            await scenario.body(cluster)
            await cluster.finish(scenario.quiet_s)
    except* FleetNotReadyError as group:
        problems += [Violation(LIVENESS, str(error)) for error in _leaves(group)]


def _leaves(group: BaseExceptionGroup[BaseException]) -> list[BaseException]:
    leaves = [
        _leaves(error) if isinstance(error, BaseExceptionGroup) else [error]
        for error in group.exceptions
    ]
    return list(itertools.chain.from_iterable(leaves))


def _judge(scenario: Scenario, seen: Observations) -> list[Violation]:
    violations = [
        Violation(invariant.name, detail)
        for invariant in INVARIANTS
        for detail in invariant.check(seen)
    ]
    violations += [Violation(LIVENESS, failure) for failure in seen.failures]
    answered, calls = _count_answers(seen)
    doubtful = _count_doubtful(seen) if scenario.may_leave_doubt else 0
    if answered + doubtful < scenario.must_answer * calls:
        detail = f"{answered} of {calls} calls were answered, {doubtful} left in doubt"
        violations.append(Violation(LIVENESS, detail))
    return violations


def _count_doubtful(seen: Observations) -> int:
    """Return how many charges may have run, as their callers were told."""
    calls = [call for program in seen.programs.values() for call in program.calls]
    return sum(1 for call in calls if call.answer is None and call.is_left_in_doubt)


def _count_answers(seen: Observations) -> tuple[int, int]:
    """Return how many calls were answered, of those that no other call stands in for."""
    calls = [
        call
        for program in seen.programs.values()
        for call in program.calls
        if not call.is_made_anew
    ]
    return sum(1 for call in calls if call.answer is not None), len(calls)
