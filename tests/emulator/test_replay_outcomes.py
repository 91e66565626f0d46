"""A stated outcome finds the call that it is about, and only that one."""

import unittest
from collections.abc import Sequence

from passlane.emulator.caller_answers import CallResult
from passlane.emulator.replay_outcomes import CallResults, OutcomeComparison, ProgramShown
from passlane.errors import ErrorCode, Verdict
from passlane.identifiers import ProgramId
from passlane.messages.backends import LedgerLine
from passlane.messages.common import Amounts
from passlane.messages.store import CallKind, Turn
from passlane.messages.traces import (
    CallMade,
    CallOutcomeStated,
    EngineQuietStated,
    HistoryStated,
    LedgerStated,
    MemoryStated,
    SpentStated,
    TraceOutcome,
)
from passlane.simulation.runner import run_simulation

PROGRAM = ProgramId("p")
ANSWERED = CallResult(verdict=Verdict.RAN, answer="yes")
REFUSED = CallResult(verdict=Verdict.NOT_RUN, code="budget_exceeded")


def call(sequence: int, key: str | None = None) -> CallMade:
    return CallMade(
        at_s=0.0,
        program=PROGRAM,
        sequence=sequence,
        kind=CallKind.TOOL,
        target="charge",
        idempotency_key=key,
    )


def stated(sequence: int, verdict: Verdict = Verdict.RAN, key: str | None = None) -> TraceOutcome:
    return CallOutcomeStated(
        program=PROGRAM, sequence=sequence, verdict=verdict, idempotency_key=key
    )


class FixedRecords:
    """Back ends that ran one charge and hold memory for one program."""

    async def ledger(self) -> Sequence[LedgerLine]:
        return [LedgerLine("operation", "charge", '{"sale": 1}')]

    async def held_programs(self) -> int:
        return 1

    async def engine_quiet_s(self, engine: str) -> float | None:
        return -3.0  # As if the last request came three seconds after the start.


async def show(program: ProgramId) -> ProgramShown:
    history = (Turn("user", "hello"), Turn("assistant", "good day"))
    return ProgramShown(history, Amounts(calls=1), Amounts(calls=2))


def compare(results: CallResults, outcome: TraceOutcome) -> str | None:
    comparison = OutcomeComparison(results, FixedRecords(), show, {"engine-1": 0.0})
    return run_simulation(lambda: comparison.compare(outcome), seed=1)


class CallOutcomeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.results = CallResults()

    def test_outcome_without_key_is_about_the_only_call_of_its_number(self) -> None:
        self.results.keep_first(call(3, "move-said"), ANSWERED)
        self.results.keep_first(call(3, "move-said"), ANSWERED)
        self.assertIsNone(compare(self.results, stated(3)))
        self.assertIsNotNone(compare(self.results, stated(3, Verdict.NOT_RUN)))

    def test_outcome_without_key_prefers_the_default_key(self) -> None:
        self.results.keep_first(call(2, "charge-77"), REFUSED)
        self.results.keep_first(call(2), ANSWERED)
        self.assertIsNone(compare(self.results, stated(2)))
        self.assertIsNone(compare(self.results, stated(2, Verdict.NOT_RUN, "charge-77")))
        self.assertIsNotNone(compare(self.results, stated(2, Verdict.RAN, "charge-77")))

    def test_outcome_that_fits_several_calls_does_not_come_true(self) -> None:
        self.results.keep_first(call(2, "one"), ANSWERED)
        self.results.keep_first(call(2, "two"), ANSWERED)
        self.assertIsNotNone(compare(self.results, stated(2)))

    def test_call_that_was_not_made_does_not_come_true(self) -> None:
        self.results.keep_first(call(2), ANSWERED)
        self.assertIsNotNone(compare(self.results, stated(1)))
        self.assertIsNotNone(compare(self.results, stated(2, key="other")))

    def test_error_code_and_answer_must_be_the_stated_ones(self) -> None:
        self.results.keep_first(call(0), ANSWERED)
        self.results.keep_first(call(1), REFUSED)
        other_answer = CallOutcomeStated(
            program=PROGRAM, sequence=0, verdict=Verdict.RAN, answer="no"
        )
        other_code = CallOutcomeStated(
            program=PROGRAM,
            sequence=1,
            verdict=Verdict.NOT_RUN,
            error_code=ErrorCode.PROGRAM_ENDED,
        )
        self.assertIsNotNone(compare(self.results, other_answer))
        self.assertIsNotNone(compare(self.results, other_code))


class RecordedOutcomeTest(unittest.TestCase):
    def check(self, right: TraceOutcome, wrong: TraceOutcome) -> None:
        """Check that the right one comes true and the wrong one does not."""
        self.assertIsNone(compare(CallResults(), right))
        self.assertIsNotNone(compare(CallResults(), wrong))

    def test_ledger_counts_the_runs_of_an_operation(self) -> None:
        self.check(
            LedgerStated(tool="charge", arguments='{"sale":1}', runs=1),
            LedgerStated(tool="charge", arguments='{"sale":1}', runs=0),
        )

    def test_history_compares_roles_and_texts(self) -> None:
        roles = ("user", "assistant")
        self.check(
            HistoryStated(program=PROGRAM, roles=roles, contains=("good day",)),
            HistoryStated(program=PROGRAM, roles=roles, contains=("good night",)),
        )

    def test_history_with_a_turn_too_many_does_not_come_true(self) -> None:
        outcome = HistoryStated(program=PROGRAM, roles=("user",))
        self.assertIsNotNone(compare(CallResults(), outcome))

    def test_spending_is_compared(self) -> None:
        self.check(
            SpentStated(program=PROGRAM, calls=1, money_micros=0),
            SpentStated(program=PROGRAM, calls=2, money_micros=0),
        )

    def test_history_may_not_hold_what_it_lacks_by_statement(self) -> None:
        roles = ("user", "assistant")
        self.check(
            HistoryStated(program=PROGRAM, roles=roles, lacks=("farewell",)),
            HistoryStated(program=PROGRAM, roles=roles, lacks=("good day",)),
        )

    def test_leaving_engine_must_get_no_late_request(self) -> None:
        self.check(
            EngineQuietStated(engine="engine-1", within_s=3.5),
            EngineQuietStated(engine="engine-1", within_s=2.5),
        )

    def test_engine_that_never_left_does_not_come_true(self) -> None:
        outcome = EngineQuietStated(engine="engine-2", within_s=5.0)
        self.assertIsNotNone(compare(CallResults(), outcome))

    def test_memory_may_not_exceed_what_is_stated(self) -> None:
        self.check(MemoryStated(held_programs=1), MemoryStated(held_programs=0))


if __name__ == "__main__":
    unittest.main()
