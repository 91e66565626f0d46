"""A load run is judged right: nothing is found in a sound one, and each broken promise is."""

import unittest

from passlane.emulator.caller_answers import CallResult
from passlane.emulator.load import MadeCall, ProgramOutcome
from passlane.emulator.load_checks import (
    Violation,
    ViolationKind,
    check_history,
    check_ledger,
    check_spending,
)
from passlane.emulator.replay_outcomes import ProgramShown
from passlane.emulator.workload import ProgramPlan
from passlane.errors import Verdict
from passlane.identifiers import ProgramId, TenantId
from passlane.messages.backends import LedgerLine
from passlane.messages.common import Amounts
from passlane.messages.store import CallKind, Turn

ANSWER = "good day"
HISTORY = (Turn("user", "[p 0] hello"), Turn("assistant", ANSWER), Turn("tool", "{}", "charge"))
BUDGET = Amounts(tokens=100, calls=3, money_micros=0)


def model_call() -> MadeCall:
    result = CallResult(verdict=Verdict.RAN, answer=ANSWER)
    return MadeCall(0, CallKind.MODEL, "agent", "[p 0]", result)


def tool_call(verdict: Verdict = Verdict.RAN, code: str = "") -> MadeCall:
    result = CallResult(verdict=verdict, answer="{}", code=code)
    return MadeCall(1, CallKind.TOOL, "charge", "reference", result)


def outcome(*calls: MadeCall, name: str = "p") -> ProgramOutcome:
    plan = ProgramPlan(ProgramId(name), TenantId("t"), 0.0, ())
    return ProgramOutcome(plan, program_id=f"id-{name}", calls=list(calls))


def shown(spent_calls: int = 2, history: tuple[Turn, ...] = HISTORY) -> ProgramShown:
    return ProgramShown(history, Amounts(tokens=10, calls=spent_calls), BUDGET)


def kinds(violations: list[Violation]) -> list[ViolationKind]:
    return [violation.kind for violation in violations]


class HistoryTest(unittest.TestCase):
    def check(self, history: tuple[Turn, ...], *expected: ViolationKind) -> None:
        made = outcome(model_call(), tool_call())
        found = check_history(made, {"p": shown(history=history)})
        self.assertEqual(kinds(found), list(expected))

    def test_sound_history(self) -> None:
        self.check(HISTORY)

    def test_lost_turn(self) -> None:
        self.check(HISTORY[:2], ViolationKind.LOST_HISTORY)

    def test_wrong_order(self) -> None:
        self.check((HISTORY[2], *HISTORY[:2]), ViolationKind.LOST_HISTORY)

    def test_other_answer(self) -> None:
        changed = (HISTORY[0], Turn("assistant", "good night"), HISTORY[2])
        self.check(changed, ViolationKind.LOST_HISTORY)

    def test_turn_of_another_program(self) -> None:
        self.check((*HISTORY, Turn("user", "[q 0] hello")), ViolationKind.MIXED_HISTORY)

    def test_program_that_cannot_be_read(self) -> None:
        found = check_history(outcome(model_call()), {})
        self.assertEqual(kinds(found), [ViolationKind.LOST_HISTORY])


class SpendingTest(unittest.TestCase):
    def check(self, spent_calls: int, *expected: ViolationKind) -> None:
        made = outcome(model_call())
        made.children.append(outcome(model_call(), name="p-sub"))
        self.assertEqual(kinds(check_spending(made, {"p": shown(spent_calls)})), list(expected))

    def test_sub_agents_are_paid_from_the_budget_of_their_program(self) -> None:
        self.check(2)

    def test_calls_that_nobody_paid_for(self) -> None:
        self.check(1, ViolationKind.OVERSPENT)

    def test_more_than_the_budget(self) -> None:
        self.check(4, ViolationKind.OVERSPENT)


class LedgerTest(unittest.TestCase):
    def check(self, call: MadeCall, runs: int, *expected: ViolationKind) -> None:
        ledger = [LedgerLine("o", "charge", '{"reference": "reference"}')] * runs
        found = check_ledger([outcome(call)], ledger, frozenset())
        self.assertEqual(kinds(found), list(expected))

    def test_operation_that_ran_once(self) -> None:
        self.check(tool_call(), 1)

    def test_doubled_operation(self) -> None:
        self.check(tool_call(), 2, ViolationKind.DOUBLED_OPERATION)

    def test_refused_operation_that_ran(self) -> None:
        refused = tool_call(Verdict.NOT_RUN, "backend_refused")
        self.check(refused, 1, ViolationKind.WRONG_VERDICT)

    def test_answered_operation_that_never_ran(self) -> None:
        self.check(tool_call(), 0, ViolationKind.WRONG_VERDICT)

    def test_doubtful_operation_may_or_may_not_have_run(self) -> None:
        doubtful = tool_call(Verdict.MAY_HAVE_RUN, "backend_failed")
        self.check(doubtful, 0)
        self.check(doubtful, 1)


if __name__ == "__main__":
    unittest.main()
