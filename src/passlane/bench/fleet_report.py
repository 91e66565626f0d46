"""Judges a fleet run by what its callers, passlane and the back ends tell, and reports it."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import anyio
import msgspec

from passlane.bench.disturbances import Disturbance
from passlane.bench.latencies import LatencySummary, summarize
from passlane.bench.process_replay import ProcessReplayFleet
from passlane.emulator.load import MadeCall, ProgramOutcome
from passlane.emulator.load_checks import (
    Shown,
    Violation,
    ViolationKind,
    check_history,
    check_ledger,
    check_spending,
    with_children,
)
from passlane.emulator.replay_outcomes import ProgramShown

RELEASE_TIMEOUT_S = 60.0
RELEASE_POLL_S = 1.0


class FleetRunReport(msgspec.Struct, frozen=True):
    """What a run showed; latencies are in seconds.

    Attributes
    ----------
    programs, completed
        Programs that callers started, and those that came to their end.
    stopped_by
        How many programs each verdict and code ended early, sub-agents included.
    doubled_operations, lost_histories
        Operations that may run once and ran more often; programs whose history lacks an
        answered call or can't be read. Both are also among the ``violations``.
    held_at_end, released_after_s
        Programs for which engines still hold memory after all have ended, and how long
        it took until they held nothing.
    """

    example: str
    seed: int
    seconds: float
    programs: int
    completed: int
    calls: int
    requests: int
    stopped_by: dict[str, int]
    disturbances: tuple[Disturbance, ...]
    doubled_operations: int
    lost_histories: int
    violations: tuple[Violation, ...]
    held_at_end: int
    released_after_s: float
    program_latency: LatencySummary
    call_latency: LatencySummary
    first_token: LatencySummary
    token_gap: LatencySummary
    ledger_lines: int

    @property
    def kept_promises(self) -> bool:
        """Whether nothing was found broken."""
        return not self.violations and self.held_at_end == 0


@dataclass(frozen=True)
class FleetRun:
    """A run that is over: what was played, and what was done to the fleet."""

    example: str
    seed: int
    seconds: float
    outcomes: Sequence[ProgramOutcome]
    disturbances: Sequence[Disturbance]
    repeatable_tools: frozenset[str]


async def judge(run: FleetRun, target: ProcessReplayFleet) -> FleetRunReport:
    """Check every program of a run against the fleet, which still runs."""
    began = anyio.current_time()
    held = await _wait_for_release(target)
    released_after_s = anyio.current_time() - began
    everything = list(with_children(run.outcomes))
    calls = [call for outcome in everything for call in outcome.calls]
    ledger = await target.ledger()
    violations = _violations(run, await _show_all(target, everything))
    violations += check_ledger(run.outcomes, ledger, run.repeatable_tools)
    kinds = Counter(violation.kind for violation in violations)
    return FleetRunReport(
        example=run.example,
        seed=run.seed,
        seconds=run.seconds,
        programs=len(run.outcomes),
        completed=sum(not outcome.stopped_by for outcome in run.outcomes),
        calls=len(calls),
        requests=sum(call.result.attempts for call in calls),
        stopped_by=dict(Counter(o.stopped_by for o in everything if o.stopped_by)),
        disturbances=tuple(run.disturbances),
        doubled_operations=kinds[ViolationKind.DOUBLED_OPERATION],
        lost_histories=kinds[ViolationKind.LOST_HISTORY],
        violations=tuple(violations),
        held_at_end=held,
        released_after_s=released_after_s,
        program_latency=summarize(o.latency_s for o in run.outcomes if not o.stopped_by),
        call_latency=summarize(call.result.latency_s for call in calls),
        first_token=_first_tokens(calls),
        token_gap=summarize(gap for call in calls for gap in call.result.token_gaps_s),
        ledger_lines=len(ledger),
    )


def _first_tokens(calls: Iterable[MadeCall]) -> LatencySummary:
    """Summarize the time to the first token of the calls that got one."""
    times = (call.result.first_token_s for call in calls)
    return summarize(time for time in times if time is not None)


def _violations(run: FleetRun, shown: Shown) -> list[Violation]:
    """Compare each program with what passlane shows of it."""
    violations: list[Violation] = []
    for outcome in with_children(run.outcomes):
        violations += check_history(outcome, shown)
    for outcome in run.outcomes:
        violations += check_spending(outcome, shown)
    return violations


async def _wait_for_release(target: ProcessReplayFleet) -> int:
    """Wait until the engines hold nothing; return for how many programs they still do."""
    deadline = anyio.current_time() + RELEASE_TIMEOUT_S
    held = await target.held_programs()
    while held and anyio.current_time() < deadline:
        await anyio.sleep(RELEASE_POLL_S)
        held = await target.held_programs()
    return held


async def _show_all(target: ProcessReplayFleet, outcomes: Iterable[ProgramOutcome]) -> Shown:
    """Read every program that was created; those that can't be read are missing."""
    shown: dict[str, ProgramShown] = {}
    for outcome in outcomes:
        if not outcome.program_id:
            continue
        caller = target.caller(outcome.plan.tenant_id)
        fields = await caller.read_program(outcome.program_id)
        if fields:
            shown[outcome.plan.program_id] = msgspec.convert(fields, ProgramShown)
    return shown
