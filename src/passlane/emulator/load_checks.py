"""Judges a load run by what callers saw, what passlane shows and what really ran."""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

import msgspec

from passlane.emulator.load import MadeCall, ProgramOutcome, ToolArguments
from passlane.emulator.replay_outcomes import ProgramShown
from passlane.errors import Verdict
from passlane.messages.backends import LedgerLine
from passlane.messages.store import CallKind, Turn


@dataclass(frozen=True)
class Violation:
    """A promise that a program saw broken."""

    program: str
    message: str


def with_children(outcomes: Iterable[ProgramOutcome]) -> Iterator[ProgramOutcome]:
    """Yield all outcomes, sub-agents after their parents."""
    for outcome in outcomes:
        yield outcome
        yield from with_children(outcome.children)


def check_program(outcome: ProgramOutcome, shown: ProgramShown) -> list[Violation]:
    """Compare a program's history and spending with what its caller made and got."""
    program = outcome.plan.program_id
    violations: list[Violation] = []
    if not shown.spent.fits_within(shown.budget):
        violations.append(Violation(program, f"spent {shown.spent} of {shown.budget}"))
    answered = [call for call in outcome.calls if call.result.succeeded]
    missing = _first_missing(answered, shown.history)
    if missing is not None:
        message = f"call {missing.sequence} is not in the history, or not in its order"
        violations.append(Violation(program, message))
    foreign = [
        turn.content[:60]
        for turn in shown.history
        if turn.role == "user" and f"[{program} " not in turn.content
    ]
    if foreign:
        violations.append(Violation(program, f"turns of another program: {foreign}"))
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
                message = _judge(call, runs[call.marker], call.target in repeatable)
                if message is not None:
                    violations.append(Violation(outcome.plan.program_id, message))
    return violations


def _judge(call: MadeCall, runs: int, is_repeatable: bool) -> str | None:
    """Return what is wrong about the number of runs of one call; ``None`` if nothing."""
    verdict = call.result.verdict
    if verdict is Verdict.NOT_RUN and runs > 0:
        return f"{call.target} was called not run but ran {runs} times"
    if runs > 1 and not is_repeatable:
        return f"{call.target} may run once and ran {runs} times"
    if verdict is Verdict.RAN and runs == 0:
        return f"{call.target} was called run but never ran"
    return None


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
