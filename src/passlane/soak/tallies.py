"""Counts of what the load came to."""

from collections import Counter, defaultdict
from enum import StrEnum

from passlane.soak.client import Answer

NO_ANSWER = "none"
BROKEN_OFF = "broken_off"
STARVED_SHARE = 0.1
"""A kind is starved when it completes less than this part of another kind's share."""
FEWEST_PROGRAMS = 10
"""Kinds with fewer programs are not compared."""


class Outcome(StrEnum):
    """How a program ended."""

    COMPLETED = "completed"
    REFUSED = "refused"
    BUDGET_SPENT = "budget_spent"
    FAILED = "failed"
    NOT_BEGUN = "not_begun"


class Tallies:
    """Programs by kind and outcome, answers by route and status."""

    def __init__(self) -> None:
        self.programs: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self.answers: defaultdict[str, Counter[str]] = defaultdict(Counter)

    def note_program(self, kind: str, outcome: Outcome) -> None:
        """Count a program that has ended."""
        self.programs[kind][outcome.value] += 1

    def note_answer(self, route: str, answer: Answer | None) -> None:
        """Count what an attempt got."""
        if answer is None:
            name = NO_ANSWER
        elif not answer.is_whole:
            name = BROKEN_OFF
        else:
            name = str(answer.status)
        self.answers[route][name] += 1

    def completed_share(self, kind: str) -> float | None:
        """Return the share of a kind's programs that completed, spent budgets included.

        ``None`` if there were too few. Programs that the rig itself held back don't count.
        """
        outcomes = self.programs[kind]
        begun = outcomes.total() - outcomes[Outcome.NOT_BEGUN]
        if begun < FEWEST_PROGRAMS:
            return None
        return (outcomes[Outcome.COMPLETED] + outcomes[Outcome.BUDGET_SPENT]) / begun

    def starved_kinds(self) -> list[str]:
        """Return the kinds that got next to nothing while another kind was served."""
        shares = {kind: self.completed_share(kind) for kind in self.programs}
        known = {kind: share for kind, share in shares.items() if share is not None}
        best = max(known.values(), default=0.0)
        return [kind for kind, share in known.items() if share < STARVED_SHARE * best]
