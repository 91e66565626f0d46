"""The state machine of one call: late answers, cancels, lost store answers, deadlines."""

import unittest

from passlane.errors import ErrorCode, Verdict
from passlane.messages.backends import OperationState
from passlane.messages.common import Amounts
from passlane.messages.store import CallKind, CallOutcome
from passlane.programs.call_events import (
    CallerGone,
    DeadlinePassed,
    IntentRecorded,
    IntentRefused,
    OutcomeRefused,
    RetryDue,
    StartOrdered,
    StartRefused,
    StatusReceived,
    StopRequested,
)
from passlane.programs.call_instructions import (
    AskStatus,
    RequestPlacement,
    WaitBeforeRetry,
    WithdrawPlacement,
)
from passlane.programs.call_machine import (
    FIRST_RETRY_DELAY_S,
    MAX_ATTEMPTS,
    MAX_STATUS_QUERIES,
    CallMachine,
)
from passlane.programs.call_plan import CallPhase
from programs.call_driver import PRICE_MICROS, CallDriver, call_plan, call_record

STOP = StopRequested(ErrorCode.PROGRAM_ENDED, "the program is ending")


def model_call(**plan: object) -> CallDriver:
    """A model call whose first attempt runs."""
    driver = CallDriver(call_plan(**plan))  # type: ignore[arg-type]
    driver.begin()
    driver.dispatch()
    return driver


def charge(*, repeatable: bool = False, offers_status: bool = True) -> CallDriver:
    """A tool call whose first attempt runs."""
    plan = call_plan(CallKind.TOOL, repeatable=repeatable, offers_status=offers_status)
    driver = CallDriver(plan)
    driver.begin()
    driver.dispatch("application")
    return driver


class ModelAnswerTest(unittest.TestCase):
    def test_whole_answer_is_recorded_before_it_is_given(self) -> None:
        driver = model_call()
        for position in range(3):
            driver.token(position)
        driver.finish(answer_tokens=3)
        self.assertEqual(driver.answers, [])
        self.assertEqual(driver.outcomes[0].outcome.body, "t0t1t2")
        self.assertEqual(driver.outcomes[0].outcome.spent, Amounts(tokens=6, calls=1))
        driver.record_outcome()
        self.assertEqual(driver.answered.body, "t0t1t2")

    def test_engine_dead_mid_stream_goes_on_elsewhere_without_gap_or_repeat(self) -> None:
        driver = model_call()
        first = driver.started[0].attempt_id
        driver.token(0)
        driver.token(1)
        (placement,) = driver.fail(Verdict.MAY_HAVE_RUN)
        self.assertEqual(placement, RequestPlacement(frozenset({"engine-1"}), resume_from=2))
        driver.dispatch("engine-2")
        self.assertEqual(driver.started[1].resume_from, 2)
        self.assertEqual(driver.started[1].resume_text, "t0t1")
        # The first attempt still speaks; the second one repeats a token that is there.
        driver.token(2, attempt_id=first)
        driver.token(1)
        driver.token(2)
        driver.finish(answer_tokens=3)
        driver.record_outcome()
        self.assertEqual(driver.texts, ["t0", "t1", "t2"])
        self.assertEqual([token.position for token in driver.tokens], [0, 1, 2])
        self.assertEqual(driver.answered.attempts, 2)

    def test_late_end_of_an_earlier_attempt_ends_nothing(self) -> None:
        driver = model_call()
        late = driver.started[0].attempt_id
        driver.fail(Verdict.MAY_HAVE_RUN)
        driver.dispatch("engine-2")
        driver.token(0)
        driver.token(1, attempt_id=late)
        self.assertEqual(driver.machine.phase, CallPhase.RUNNING)
        self.assertEqual(driver.texts, ["t0"])

    def test_missing_token_cancels_the_attempt(self) -> None:
        driver = model_call()
        driver.token(0)
        driver.token(2)
        self.assertEqual(driver.cancelled, [driver.started[0].attempt_id])
        self.assertEqual(driver.texts, ["t0"])
        driver.dispatch("engine-2")
        self.assertEqual(driver.started[1].resume_from, 1)

    def test_answer_that_ends_before_its_last_token_is_no_answer(self) -> None:
        driver = model_call()
        driver.token(0)
        driver.finish(answer_tokens=2)
        self.assertEqual(driver.outcomes, [])
        self.assertEqual(driver.machine.phase, CallPhase.PLACING)

    def test_tokens_beyond_the_limit_are_dropped(self) -> None:
        driver = model_call(max_tokens=2)
        for position in range(4):
            driver.token(position)
        self.assertEqual(driver.texts, ["t0", "t1"])

    def test_attempts_are_bounded(self) -> None:
        driver = model_call()
        for attempt in range(1, MAX_ATTEMPTS):
            driver.fail(Verdict.NOT_RUN)
            driver.dispatch(f"engine-{attempt + 1}")
        driver.fail(Verdict.NOT_RUN)
        self.assertEqual(len(driver.started), MAX_ATTEMPTS)
        self.assertEqual(driver.refused.verdict, Verdict.NOT_RUN)
        self.assertIsNotNone(driver.refused.retry_after_s)

    def test_empty_retry_budget_refuses_at_once_with_the_back_ends_advice(self) -> None:
        driver = model_call()
        driver.fail(Verdict.NOT_RUN, retry_allowed=False, retry_after_s=7.0)
        self.assertEqual(driver.refused.retry_after_s, 7.0)
        self.assertTrue(driver.answers[0].left_open)

    def test_request_that_resumes_keeps_what_its_caller_has(self) -> None:
        driver = model_call(resume_texts=("t0", "t1"))
        self.assertEqual(driver.started[0].resume_from, 2)
        driver.token(2)
        driver.finish(answer_tokens=3)
        driver.record_outcome()
        self.assertEqual(driver.texts, ["t2"])
        self.assertEqual(driver.answered.body, "t0t1t2")


class ToolVerdictTest(unittest.TestCase):
    def test_proved_refusal_is_sent_again_after_a_pause(self) -> None:
        driver = charge()
        (wait,) = driver.fail(Verdict.NOT_RUN)
        self.assertEqual(wait, WaitBeforeRetry(FIRST_RETRY_DELAY_S))
        driver.post(RetryDue())
        driver.dispatch("application")
        driver.finish(body="{}")
        driver.record_outcome()
        self.assertEqual(driver.answered.verdict, Verdict.RAN)
        self.assertEqual(driver.outcomes[0].outcome.spent.money_micros, PRICE_MICROS)

    def test_charge_that_may_have_run_is_asked_about_and_never_sent_again(self) -> None:
        results = {
            OperationState.DONE: Verdict.RAN,
            OperationState.REJECTED: Verdict.NOT_RUN,
            OperationState.UNKNOWN: Verdict.NOT_RUN,
        }
        for state, verdict in results.items():
            with self.subTest(state):
                driver = charge()
                self.assertEqual(driver.fail(Verdict.MAY_HAVE_RUN), [AskStatus()])
                driver.post(StatusReceived(state, "{}"))
                driver.record_outcome()
                self.assertEqual(driver.answers[0].answer.verdict, verdict)
                self.assertEqual(len(driver.started), 1)
                money = PRICE_MICROS if verdict is Verdict.RAN else 0
                self.assertEqual(driver.outcomes[0].outcome.spent.money_micros, money)

    def test_status_queries_are_bounded_and_the_doubt_is_then_recorded(self) -> None:
        driver = charge()
        driver.fail(Verdict.MAY_HAVE_RUN)
        for _ in range(MAX_STATUS_QUERIES):
            driver.post(StatusReceived(None))
            driver.post(RetryDue())
        outcome = driver.outcomes[0].outcome
        self.assertEqual(outcome.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(outcome.spent.money_micros, PRICE_MICROS)
        self.assertEqual(len(driver.started), 1)

    def test_application_without_status_leaves_the_doubt(self) -> None:
        driver = charge(offers_status=False)
        driver.fail(Verdict.MAY_HAVE_RUN)
        driver.record_outcome()
        self.assertEqual(driver.refused.verdict, Verdict.MAY_HAVE_RUN)

    def test_repeatable_tool_is_sent_again_whatever_became_of_it(self) -> None:
        driver = charge(repeatable=True)
        driver.fail(Verdict.MAY_HAVE_RUN)
        driver.post(RetryDue())
        driver.dispatch("application")
        self.assertEqual(len(driver.started), 2)

    def test_rejection_after_an_attempt_that_may_have_run_is_not_called_not_run(self) -> None:
        for driver in (charge(repeatable=True), model_call()):
            with self.subTest(driver.plan.kind):
                driver.fail(Verdict.MAY_HAVE_RUN)
                driver.post(RetryDue())
                driver.dispatch("another")
                driver.fail(Verdict.NOT_RUN, is_final=True)
                outcome = driver.outcomes[0].outcome
                self.assertEqual(outcome.verdict, Verdict.MAY_HAVE_RUN)

    def test_rejection_of_the_only_attempt_is_not_run_and_costs_nothing(self) -> None:
        driver = charge()
        driver.fail(Verdict.NOT_RUN, is_final=True)
        self.assertEqual(driver.outcomes[0].outcome.verdict, Verdict.NOT_RUN)
        self.assertEqual(driver.outcomes[0].outcome.spent, Amounts())


class RepeatedRequestTest(unittest.TestCase):
    def test_recorded_outcome_is_given_again(self) -> None:
        plan = call_plan(CallKind.TOOL)
        outcome = CallOutcome(Verdict.RAN, body='{"receipt":1}')
        driver = CallDriver(plan)
        driver.post(IntentRecorded(call_record(plan, outcome), already_recorded=True))
        self.assertEqual(driver.answered.body, '{"receipt":1}')
        self.assertEqual(driver.started, [])

    def test_open_charge_is_asked_about_instead_of_sent(self) -> None:
        driver = CallDriver(call_plan(CallKind.TOOL))
        driver.begin(already_recorded=True)
        self.assertEqual(driver.machine.phase, CallPhase.ASKING_STATUS)
        self.assertEqual(driver.started, [])

    def test_open_charge_that_was_refused_before_may_be_sent(self) -> None:
        driver = CallDriver(call_plan(CallKind.TOOL))
        driver.begin(already_recorded=True, proved_not_run=True)
        self.assertEqual(driver.machine.phase, CallPhase.PLACING)

    def test_deadline_before_the_record_is_read_does_not_prove_an_open_charge_harmless(
        self,
    ) -> None:
        driver = CallDriver(call_plan(CallKind.TOOL), may_have_run=True)
        driver.post(DeadlinePassed())
        self.assertEqual(driver.refused.verdict, Verdict.MAY_HAVE_RUN)
        self.assertFalse(driver.answers[0].proved_not_run)

    def test_open_model_call_runs_again_and_its_refusal_admits_the_doubt(self) -> None:
        driver = CallDriver(call_plan())
        driver.begin(already_recorded=True)
        driver.post(StartRefused(ErrorCode.QUEUE_FULL, "full", 2.0))
        self.assertEqual(driver.refused.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(driver.refused.retry_after_s, 2.0)


class StoreFailureTest(unittest.TestCase):
    def test_refused_intent_is_not_run(self) -> None:
        driver = CallDriver(call_plan(CallKind.TOOL))
        driver.post(IntentRefused(ErrorCode.BUDGET_EXCEEDED, "spent"))
        self.assertEqual(driver.refused.verdict, Verdict.NOT_RUN)
        self.assertEqual(driver.started, [])

    def test_lost_answer_to_the_outcome_leaves_a_doubt(self) -> None:
        driver = charge()
        driver.finish(body="{}")
        driver.post(OutcomeRefused(ErrorCode.TIMEOUT, "no answer"))
        self.assertEqual(driver.refused.verdict, Verdict.MAY_HAVE_RUN)
        self.assertIsNotNone(driver.refused.retry_after_s)
        self.assertFalse(driver.answers[0].proved_not_run)

    def test_answer_of_the_store_after_the_end_changes_nothing(self) -> None:
        driver = charge()
        driver.finish(body="{}")
        driver.post(DeadlinePassed())
        driver.record_outcome()
        self.assertEqual(len(driver.answers), 1)


class CallerAndStopTest(unittest.TestCase):
    def test_unnamed_call_is_cancelled_with_its_caller(self) -> None:
        driver = model_call(is_named=False)
        driver.post(CallerGone())
        self.assertEqual(driver.cancelled, [driver.started[0].attempt_id])
        self.assertEqual(driver.machine.phase, CallPhase.ANSWERED)

    def test_caller_gone_while_the_intent_is_recorded_dispatches_nothing(self) -> None:
        driver = CallDriver(call_plan(is_named=False))
        driver.post(CallerGone())
        self.assertEqual(driver.answers, [])
        driver.begin()
        self.assertEqual(driver.started, [])
        self.assertTrue(driver.answers[0].proved_not_run)

    def test_caller_gone_while_a_place_is_sought_withdraws_the_request(self) -> None:
        driver = CallDriver(call_plan(is_named=False))
        driver.begin()
        self.assertIn(WithdrawPlacement(), driver.post(CallerGone()))
        driver.post(StartOrdered("engine-1"))
        self.assertEqual(driver.started, [])

    def test_named_call_goes_on_without_its_caller(self) -> None:
        driver = model_call()
        driver.post(CallerGone())
        driver.token(0)
        driver.finish(answer_tokens=1)
        self.assertEqual(driver.outcomes[0].outcome.body, "t0")

    def test_cancelled_attempt_is_never_called_not_run(self) -> None:
        for event in (CallerGone(), STOP, DeadlinePassed()):
            with self.subTest(type(event).__name__):
                driver = model_call(is_named=False)
                driver.post(event)
                self.assertEqual(driver.refused.verdict, Verdict.MAY_HAVE_RUN)
                self.assertFalse(driver.answers[0].proved_not_run)

    def test_stop_lets_a_charge_under_way_end(self) -> None:
        driver = charge()
        self.assertEqual(driver.post(STOP), [])
        driver.finish(body="{}")
        driver.record_outcome()
        self.assertEqual(driver.answered.verdict, Verdict.RAN)

    def test_stop_refuses_a_charge_that_waits_for_its_place(self) -> None:
        driver = CallDriver(call_plan(CallKind.TOOL))
        driver.begin()
        driver.post(STOP)
        self.assertEqual(driver.refused.verdict, Verdict.NOT_RUN)


class DeadlineTest(unittest.TestCase):
    """At each state the caller is answered at once, with the verdict that is true there."""

    def check(self, driver: CallDriver, verdict: Verdict) -> None:
        driver.post(DeadlinePassed())
        self.assertEqual(len(driver.answers), 1, "answered at once")
        self.assertEqual(driver.refused.verdict, verdict)
        self.assertEqual(driver.refused.code, ErrorCode.DEADLINE_EXCEEDED)
        self.assertIsNotNone(driver.refused.retry_after_s)
        self.assertEqual(driver.answers[0].proved_not_run, verdict is Verdict.NOT_RUN)

    def test_while_the_intent_is_recorded(self) -> None:
        driver = CallDriver(call_plan(CallKind.TOOL))
        self.check(driver, Verdict.NOT_RUN)
        driver.begin()
        self.assertEqual(driver.started, [])

    def test_while_a_place_is_sought(self) -> None:
        driver = CallDriver(call_plan())
        driver.begin()
        self.check(driver, Verdict.NOT_RUN)
        driver.post(StartOrdered("engine-1"))
        self.assertEqual(driver.started, [])

    def test_while_the_answer_streams(self) -> None:
        driver = model_call()
        driver.token(0)
        self.check(driver, Verdict.MAY_HAVE_RUN)
        self.assertEqual(driver.cancelled, [driver.started[0].attempt_id])
        driver.token(1)
        self.assertEqual(driver.texts, ["t0"])

    def test_while_a_charge_runs(self) -> None:
        driver = charge()
        self.check(driver, Verdict.MAY_HAVE_RUN)
        self.assertEqual(driver.cancelled, [driver.started[0].attempt_id])

    def test_between_two_attempts_at_a_charge(self) -> None:
        driver = charge()
        driver.fail(Verdict.NOT_RUN)
        self.check(driver, Verdict.NOT_RUN)
        driver.post(RetryDue())
        self.assertEqual(len(driver.started), 1)

    def test_while_the_application_is_asked(self) -> None:
        driver = charge()
        driver.fail(Verdict.MAY_HAVE_RUN)
        self.check(driver, Verdict.MAY_HAVE_RUN)
        # A repeat asks again and may still learn the truth: no doubt was recorded.
        self.assertEqual(driver.outcomes, [])

    def test_between_two_questions_to_the_application(self) -> None:
        driver = charge()
        driver.fail(Verdict.MAY_HAVE_RUN)
        driver.post(StatusReceived(None))
        self.check(driver, Verdict.MAY_HAVE_RUN)

    def test_while_the_outcome_is_recorded(self) -> None:
        driver = charge()
        driver.finish(body="{}")
        self.check(driver, Verdict.MAY_HAVE_RUN)


class CutOffTest(unittest.TestCase):
    """What a leader says of a call on which it stops all work."""

    def test_before_an_attempt_is_started_nothing_ran(self) -> None:
        driver = CallDriver(call_plan())
        self.assertIs(driver.machine.verdict_if_cut_off, Verdict.NOT_RUN)
        driver.begin()
        self.assertIs(driver.machine.verdict_if_cut_off, Verdict.NOT_RUN)

    def test_an_earlier_request_that_may_have_run_it_counts(self) -> None:
        machine = CallMachine(call_plan(), "a", may_have_run=True)
        self.assertIs(machine.verdict_if_cut_off, Verdict.MAY_HAVE_RUN)

    def test_a_started_attempt_may_have_run_until_it_proves_the_contrary(self) -> None:
        driver = model_call()
        self.assertIs(driver.machine.verdict_if_cut_off, Verdict.MAY_HAVE_RUN)
        driver.fail(Verdict.NOT_RUN)
        self.assertIs(driver.machine.verdict_if_cut_off, Verdict.NOT_RUN)
        driver.dispatch("engine-2")
        driver.fail(Verdict.MAY_HAVE_RUN)
        self.assertIs(driver.machine.verdict_if_cut_off, Verdict.MAY_HAVE_RUN)


if __name__ == "__main__":
    unittest.main()
