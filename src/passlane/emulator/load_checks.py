"""Judges a load run by what callers saw, what passlane shows and what really ran."""

import enum
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

import msgspec

from passlane.emulator.load import MadeCall, ProgramOutcome, ToolArguments
from passlane.emulator.replay_outcomes import ProgramShown
from passlane.errors import Verdict
from passlane.messages.backends import LedgerLine
from passlane.messages.store import CallKind, Turn


class ViolationKind(enum.StrEnum):
    """Which promise was broken."""

    OVERSPENT = "overspent"
    LOST_HISTORY = "lost_history"
    MIXED_HISTORY = "mixed_history"
    DOUBLED_OPERATION = "doubled_operation"
    WRONG_VERDICT = "wrong_verdict"


@dataclass(frozen=True)
class Violation:
    """A promise that a program saw broken."""

    program: str
    kind: ViolationKind
    message: str


Shown = Mapping[str, ProgramShown]
"""What passlane shows of each program, by the program's id in its plan."""


def with_children(outcomes: Iterable[ProgramOutcome]) -> Iterator[ProgramOutcome]:
    """Yield all outcomes, sub-agents after their parents."""
    for outcome in outcomes:
        yield outcome
        yield from with_children(outcome.children)


def check_spending(outcome: ProgramOutcome, shown: Shown) -> list[Violation]:
    """Compare the spending of a program and all its sub-agents with the program's budget.

    Sub-agents spend from the budget of the program that started them. What was answered
    must have been paid for.
    """
    program = outcome.plan.program_id
    own = shown.get(program)
    if own is None:
        return []
    answered = sum(len(_answered(member)) for member in with_children([outcome]))
    if own.spent.fits_within(own.budget) and answered <= own.spent.calls:
        return []
    message = f"spent {own.spent} of {own.budget} for {answered} answered calls"
    return [Violation(program, ViolationKind.OVERSPENT, message)]


def check_history(outcome: ProgramOutcome, shown: Shown) -> list[Violation]:
    """Compare a program's history with what its caller made and got."""
    program = outcome.plan.program_id
    if not outcome.program_id:
        return []
    own = shown.get(program)
    if own is None:
        return [Violation(program, ViolationKind.LOST_HISTORY, "can't be read")]
    violations: list[Violation] = []
    missing = _first_missing(_answered(outcome), own.history)
    if missing is not None:
        message = f"call {missing.sequence} is not in the history, or not in its order"
        violations.append(Violation(program, ViolationKind.LOST_HISTORY, message))
    foreign = [
        turn.content[:60]
        for turn in own.history
        if turn.role == "user" and f"[{program} " not in turn.content
    ]
    if foreign:
        message = f"turns of another program: {foreign}"
        violations.append(Violation(program, ViolationKind.MIXED_HISTORY, message))
    return violations


def check_ledger(
    outcomes: Sequence[ProgramOutcome], ledger: Sequence[LedgerLine], repeatable: frozenset[str]
) -> list[Violation]:
    """Compare the verdicts of tool calls with how often the operations ran."""
    runs = Counter(
        msgspec.json.decode(line.arguments, type=ToolArguments).reference for line in ledger
    )
    violations: list[Violation] = []
    for outcome in with_children(outcomes):
        for call in outcome.calls:
            if call.kind is CallKind.TOOL:
                is_repeatable = call.target in repeatable
                program = outcome.plan.program_id
                violations += _judge(program, call, runs[call.marker], is_repeatable)
    return violations


def _judge(program: str, call: MadeCall, runs: int, is_repeatable: bool) -> list[Violation]:
    """Return what is wrong about the number of runs of one call."""
    verdict = call.result.verdict
    violations: list[Violation] = []
    if runs > 1 and not is_repeatable:
        message = f"{call.target} may run once and ran {runs} times"
        violations.append(Violation(program, ViolationKind.DOUBLED_OPERATION, message))
    if verdict is Verdict.NOT_RUN and runs > 0:
        message = f"{call.target} was called not run but ran {runs} times"
        violations.append(Violation(program, ViolationKind.WRONG_VERDICT, message))
    if verdict is Verdict.RAN and runs == 0:
        message = f"{call.target} was called run but never ran"
        violations.append(Violation(program, ViolationKind.WRONG_VERDICT, message))
    return violations


def _answered(outcome: ProgramOutcome) -> list[MadeCall]:
    """Return the calls whose whole answer arrived."""
    return [call for call in outcome.calls if call.result.succeeded]


def _first_missing(calls: Sequence[MadeCall], history: Sequence[Turn]) -> MadeCall | None:
    """Return the first answered call that is not found in order in the history."""
    place = 0
    for call in calls:
        found = _find(call, history, place)
        if found is None:
            return call
        place = found + 1
    return None


def _find(call: MadeCall, history: Sequence[Turn], start: int) -> int | None:
    """Return the place of a call's last turn at or after ``start``."""
    for place in range(start, len(history)):
        turn = history[place]
        if call.kind is CallKind.TOOL and turn.role == "tool" and turn.name == call.target:
            return place
        if call.kind is CallKind.MODEL and call.marker in turn.content:
            answer = history[place + 1] if place + 1 < len(history) else None
            is_answered = answer is not None and answer.content == call.result.answer
            return place + 1 if is_answered else None
    return None
