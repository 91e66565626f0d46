"""State machine of one call: stale events, cancellation, lost store replies, deadlines."""

import unittest

from passlane.errors import ErrorCode, Verdict
from passlane.messages.backends import OperationState
from passlane.messages.common import Amounts
from passlane.messages.store import CallKind, CallOutcome
from passlane.programs.call_events import (
    CallerDisconnected,
    DeadlinePassed,
    IntentRecorded,
    IntentRefused,
    OutcomeRefused,
    PlacementGranted,
    PlacementRefused,
    RetryDue,
    StatusReceived,
    StopRequested,
)
from passlane.programs.call_instructions import (
    QueryStatus,
    RequestPlacement,
    WaitBeforeRetry,
    WithdrawPlacement,
)
from passlane.programs.call_machine import (
    INITIAL_RETRY_DELAY_S,
    MAX_ATTEMPTS,
    MAX_STATUS_QUERIES,
    CallMachine,
)
from passlane.programs.call_plan import CallPhase
from programs.call_driver import PRICE_MICROS, CallDriver, call_plan, call_record

STOP = StopRequested(ErrorCode.PROGRAM_ENDED, "the program is ending")


def model_call(**plan: object) -> CallDriver:
    """Return a model call whose first attempt runs."""
    driver = CallDriver(call_plan(**plan))  # type: ignore[arg-type]
    driver.begin()
    driver.dispatch()
    return driver


def charge(*, repeatable: bool = False, offers_status: bool = True) -> CallDriver:
    """Return a tool call whose first attempt runs."""
    plan = call_plan(CallKind.TOOL, repeatable=repeatable, offers_status=offers_status)
    driver = CallDriver(plan)
    driver.begin()
    driver.dispatch("application")
    return driver


class ModelAnswerTest(unittest.TestCase):
    def test_answer_is_recorded_before_it_is_sent(self) -> None:
        driver = model_call()
        for position in range(3):
            driver.token(position)
        driver.finish(answer_tokens=3)
        self.assertEqual(driver.answers, [])
        self.assertEqual(driver.outcomes[0].outcome.body, "t0t1t2")
        self.assertEqual(driver.outcomes[0].outcome.spent, Amounts(tokens=6, calls=1))
        driver.record_outcome()
        self.assertEqual(driver.answered.body, "t0t1t2")

    def test_call_resumes_on_another_engine_without_missing_or_repeated_tokens(self) -> None:
        driver = model_call()
        first = driver.started[0].attempt_id
        driver.token(0)
        driver.token(1)
        (placement,) = driver.fail(Verdict.MAY_HAVE_RUN)
        self.assertEqual(placement, RequestPlacement(frozenset({"engine-1"}), resume_from=2))
        driver.dispatch("engine-2")
        self.assertEqual(driver.started[1].resume_from, 2)
        self.assertEqual(driver.started[1].resume_text, "t0t1")
        # A stale token of the first attempt, then a repeated token of the second one.
        driver.token(2, attempt_id=first)
        driver.token(1)
        driver.token(2)
        driver.finish(answer_tokens=3)
        driver.record_outcome()
        self.assertEqual(driver.texts, ["t0", "t1", "t2"])
        self.assertEqual([token.position for token in driver.tokens], [0, 1, 2])
        self.assertEqual(driver.answered.attempts, 2)

    def test_stale_token_of_an_earlier_attempt_is_dropped(self) -> None:
        driver = model_call()
        stale = driver.started[0].attempt_id
        driver.fail(Verdict.MAY_HAVE_RUN)
        driver.dispatch("engine-2")
        driver.token(0)
        driver.token(1, attempt_id=stale)
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

    def test_incomplete_answer_is_not_recorded(self) -> None:
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

    def test_exhausted_retry_budget_refuses_with_the_back_ends_retry_after(self) -> None:
        driver = model_call()
        driver.fail(Verdict.NOT_RUN, retry_allowed=False, retry_after_s=7.0)
        self.assertEqual(driver.refused.retry_after_s, 7.0)
        self.assertTrue(driver.answers[0].left_open)

    def test_resuming_request_keeps_the_received_tokens(self) -> None:
        driver = model_call(resume_texts=("t0", "t1"))
        self.assertEqual(driver.started[0].resume_from, 2)
        driver.token(2)
        driver.finish(answer_tokens=3)
        driver.record_outcome()
        self.assertEqual(driver.texts, ["t2"])
        self.assertEqual(driver.answered.body, "t0t1t2")


class ToolVerdictTest(unittest.TestCase):
    def test_refused_attempt_is_retried_after_a_delay(self) -> None:
        driver = charge()
        (wait,) = driver.fail(Verdict.NOT_RUN)
        self.assertEqual(wait, WaitBeforeRetry(INITIAL_RETRY_DELAY_S))
        driver.post(RetryDue())
        driver.dispatch("application")
        driver.finish(body="{}")
        driver.record_outcome()
        self.assertEqual(driver.answered.verdict, Verdict.RAN)
        self.assertEqual(driver.outcomes[0].outcome.spent.money_micros, PRICE_MICROS)

    def test_charge_in_doubt_is_resolved_by_status_query_and_never_resent(self) -> None:
        results = {
            OperationState.DONE: Verdict.RAN,
            OperationState.REJECTED: Verdict.NOT_RUN,
            OperationState.UNKNOWN: Verdict.NOT_RUN,
        }
        for state, verdict in results.items():
            with self.subTest(state):
                driver = charge()
                self.assertEqual(driver.fail(Verdict.MAY_HAVE_RUN), [QueryStatus()])
                driver.post(StatusReceived(state, "{}"))
                driver.record_outcome()
                self.assertEqual(driver.answers[0].answer.verdict, verdict)
                self.assertEqual(len(driver.started), 1)
                money = PRICE_MICROS if verdict is Verdict.RAN else 0
                self.assertEqual(driver.outcomes[0].outcome.spent.money_micros, money)

    def test_status_queries_are_bounded_and_then_may_have_run_is_recorded(self) -> None:
        driver = charge()
        driver.fail(Verdict.MAY_HAVE_RUN)
        for _ in range(MAX_STATUS_QUERIES):
            driver.post(StatusReceived(None))
            driver.post(RetryDue())
        outcome = driver.outcomes[0].outcome
        self.assertEqual(outcome.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(outcome.spent.money_micros, PRICE_MICROS)
        self.assertEqual(len(driver.started), 1)

    def test_application_without_status_queries_leaves_the_charge_in_doubt(self) -> None:
        driver = charge(offers_status=False)
        driver.fail(Verdict.MAY_HAVE_RUN)
        driver.record_outcome()
        self.assertEqual(driver.refused.verdict, Verdict.MAY_HAVE_RUN)

    def test_repeatable_tool_is_retried_after_it_may_have_run(self) -> None:
        driver = charge(repeatable=True)
        driver.fail(Verdict.MAY_HAVE_RUN)
        driver.post(RetryDue())
        driver.dispatch("application")
        self.assertEqual(len(driver.started), 2)

    def test_rejection_after_an_attempt_that_may_have_run_is_recorded_as_may_have_run(self) -> None:
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
    def test_recorded_outcome_is_returned_again(self) -> None:
        plan = call_plan(CallKind.TOOL)
        outcome = CallOutcome(Verdict.RAN, body='{"receipt":1}')
        driver = CallDriver(plan)
        driver.post(IntentRecorded(call_record(plan, outcome), already_recorded=True))
        self.assertEqual(driver.answered.body, '{"receipt":1}')
        self.assertEqual(driver.started, [])

    def test_open_charge_is_queried_instead_of_resent(self) -> None:
        driver = CallDriver(call_plan(CallKind.TOOL))
        driver.begin(already_recorded=True)
        self.assertEqual(driver.machine.phase, CallPhase.QUERYING_STATUS)
        self.assertEqual(driver.started, [])

    def test_open_charge_that_was_refused_before_may_be_resent(self) -> None:
        driver = CallDriver(call_plan(CallKind.TOOL))
        driver.begin(already_recorded=True, proved_not_run=True)
        self.assertEqual(driver.machine.phase, CallPhase.PLACING)

    def test_deadline_before_the_intent_is_recorded_keeps_an_open_charge_in_doubt(
        self,
    ) -> None:
        driver = CallDriver(call_plan(CallKind.TOOL), may_have_run=True)
        driver.post(DeadlinePassed())
        self.assertEqual(driver.refused.verdict, Verdict.MAY_HAVE_RUN)
        self.assertFalse(driver.answers[0].proved_not_run)

    def test_refused_repeat_of_an_open_model_call_may_have_run(self) -> None:
        driver = CallDriver(call_plan())
        driver.begin(already_recorded=True)
        driver.post(PlacementRefused(ErrorCode.QUEUE_FULL, "full", 2.0))
        self.assertEqual(driver.refused.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(driver.refused.retry_after_s, 2.0)


class StoreFailureTest(unittest.TestCase):
    def test_refused_intent_is_not_run(self) -> None:
        driver = CallDriver(call_plan(CallKind.TOOL))
        driver.post(IntentRefused(ErrorCode.BUDGET_EXCEEDED, "spent"))
        self.assertEqual(driver.refused.verdict, Verdict.NOT_RUN)
        self.assertEqual(driver.started, [])

    def test_unconfirmed_outcome_may_have_run(self) -> None:
        driver = charge()
        driver.finish(body="{}")
        driver.post(OutcomeRefused(ErrorCode.TIMEOUT, "no answer"))
        self.assertEqual(driver.refused.verdict, Verdict.MAY_HAVE_RUN)
        self.assertIsNotNone(driver.refused.retry_after_s)
        self.assertFalse(driver.answers[0].proved_not_run)

    def test_store_reply_after_the_deadline_is_ignored(self) -> None:
        driver = charge()
        driver.finish(body="{}")
        driver.post(DeadlinePassed())
        driver.record_outcome()
        self.assertEqual(len(driver.answers), 1)


class CallerAndStopTest(unittest.TestCase):
    def test_unnamed_call_is_cancelled_when_its_caller_disconnects(self) -> None:
        driver = model_call(is_named=False)
        driver.post(CallerDisconnected())
        self.assertEqual(driver.cancelled, [driver.started[0].attempt_id])
        self.assertEqual(driver.machine.phase, CallPhase.ANSWERED)

    def test_disconnect_while_the_intent_is_recorded_starts_no_attempt(self) -> None:
        driver = CallDriver(call_plan(is_named=False))
        driver.post(CallerDisconnected())
        self.assertEqual(driver.answers, [])
        driver.begin()
        self.assertEqual(driver.started, [])
        self.assertTrue(driver.answers[0].proved_not_run)

    def test_disconnect_while_placing_withdraws_the_placement_request(self) -> None:
        driver = CallDriver(call_plan(is_named=False))
        driver.begin()
        self.assertIn(WithdrawPlacement(), driver.post(CallerDisconnected()))
        driver.post(PlacementGranted("engine-1"))
        self.assertEqual(driver.started, [])

    def test_named_call_continues_after_its_caller_disconnects(self) -> None:
        driver = model_call()
        driver.post(CallerDisconnected())
        driver.token(0)
        driver.finish(answer_tokens=1)
        self.assertEqual(driver.outcomes[0].outcome.body, "t0")

    def test_cancelled_attempt_may_have_run(self) -> None:
        for event in (CallerDisconnected(), STOP, DeadlinePassed()):
            with self.subTest(type(event).__name__):
                driver = model_call(is_named=False)
                driver.post(event)
                self.assertEqual(driver.refused.verdict, Verdict.MAY_HAVE_RUN)
                self.assertFalse(driver.answers[0].proved_not_run)

    def test_stop_lets_a_running_charge_finish(self) -> None:
        driver = charge()
        self.assertEqual(driver.post(STOP), [])
        driver.finish(body="{}")
        driver.record_outcome()
        self.assertEqual(driver.answered.verdict, Verdict.RAN)

    def test_stop_refuses_a_charge_that_is_being_placed(self) -> None:
        driver = CallDriver(call_plan(CallKind.TOOL))
        driver.begin()
        driver.post(STOP)
        self.assertEqual(driver.refused.verdict, Verdict.NOT_RUN)


class DeadlineTest(unittest.TestCase):
    """In each phase the caller is answered immediately, with the verdict of that phase."""

    def check(self, driver: CallDriver, verdict: Verdict) -> None:
        driver.post(DeadlinePassed())
        self.assertEqual(len(driver.answers), 1, "answered immediately")
        self.assertEqual(driver.refused.verdict, verdict)
        self.assertEqual(driver.refused.code, ErrorCode.DEADLINE_EXCEEDED)
        self.assertIsNotNone(driver.refused.retry_after_s)
        self.assertEqual(driver.answers[0].proved_not_run, verdict is Verdict.NOT_RUN)

    def test_while_the_intent_is_recorded(self) -> None:
        driver = CallDriver(call_plan(CallKind.TOOL))
        self.check(driver, Verdict.NOT_RUN)
        driver.begin()
        self.assertEqual(driver.started, [])

    def test_while_placing(self) -> None:
        driver = CallDriver(call_plan())
        driver.begin()
        self.check(driver, Verdict.NOT_RUN)
        driver.post(PlacementGranted("engine-1"))
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

    def test_while_the_status_is_queried(self) -> None:
        driver = charge()
        driver.fail(Verdict.MAY_HAVE_RUN)
        self.check(driver, Verdict.MAY_HAVE_RUN)
        # No outcome is recorded, so a repeat can still resolve the operation.
        self.assertEqual(driver.outcomes, [])

    def test_between_two_status_queries(self) -> None:
        driver = charge()
        driver.fail(Verdict.MAY_HAVE_RUN)
        driver.post(StatusReceived(None))
        self.check(driver, Verdict.MAY_HAVE_RUN)

    def test_while_the_outcome_is_recorded(self) -> None:
        driver = charge()
        driver.finish(body="{}")
        self.check(driver, Verdict.MAY_HAVE_RUN)


class AbortTest(unittest.TestCase):
    """Verdict of a call that its leader aborts."""

    def test_not_run_before_the_first_attempt(self) -> None:
        driver = CallDriver(call_plan())
        self.assertIs(driver.machine.verdict_if_aborted, Verdict.NOT_RUN)
        driver.begin()
        self.assertIs(driver.machine.verdict_if_aborted, Verdict.NOT_RUN)

    def test_may_have_run_if_an_earlier_request_may_have_run_it(self) -> None:
        machine = CallMachine(call_plan(), "a", max_ended_backends=3, may_have_run=True)
        self.assertIs(machine.verdict_if_aborted, Verdict.MAY_HAVE_RUN)

    def test_started_attempt_may_have_run_until_it_is_refused_as_not_run(self) -> None:
        driver = model_call()
        self.assertIs(driver.machine.verdict_if_aborted, Verdict.MAY_HAVE_RUN)
        driver.fail(Verdict.NOT_RUN)
        self.assertIs(driver.machine.verdict_if_aborted, Verdict.NOT_RUN)
        driver.dispatch("engine-2")
        driver.fail(Verdict.MAY_HAVE_RUN)
        self.assertIs(driver.machine.verdict_if_aborted, Verdict.MAY_HAVE_RUN)


class SoftwareVersionTest(unittest.TestCase):
    """An answer is generated by engines of one software version."""

    def broken_off(self, version: str = "v1") -> CallDriver:
        """Return a call whose first engine broke off after a token, and that runs at the second."""
        driver = model_call()
        driver.token(0, version=version)
        driver.fail(Verdict.MAY_HAVE_RUN)
        driver.dispatch("engine-2")
        return driver

    def refuse(self, driver: CallDriver) -> list[object]:
        return list(driver.fail(Verdict.NOT_RUN, is_other_version=True))

    def test_the_next_engine_is_told_the_version_of_the_first(self) -> None:
        driver = self.broken_off()
        self.assertEqual(driver.started[0].resume_version, "")
        self.assertEqual(driver.started[1].resume_version, "v1")

    def test_a_token_of_the_same_version_continues_the_answer(self) -> None:
        driver = self.broken_off()
        driver.token(1, version="v1")
        self.assertEqual(driver.machine.texts, ["t0", "t1"])

    def test_a_token_of_another_version_is_dropped_with_its_attempt(self) -> None:
        for version in ("v2", ""):
            driver = self.broken_off()
            attempt = driver.started[1].attempt_id
            driver.token(1, version=version)
            self.assertEqual(driver.machine.texts, ["t0"])
            self.assertEqual(driver.cancelled, [attempt])

    def test_an_engine_that_tells_no_version_does_not_continue_one_that_does(self) -> None:
        driver = self.broken_off(version="")
        driver.token(1, version="v1")
        self.assertEqual(driver.machine.texts, ["t0"])

    def test_engines_that_tell_no_version_continue_each_other(self) -> None:
        driver = self.broken_off(version="")
        driver.token(1)
        self.assertEqual(driver.machine.texts, ["t0", "t1"])

    def test_an_answer_without_tokens_may_begin_at_any_version(self) -> None:
        driver = model_call()
        driver.fail(Verdict.MAY_HAVE_RUN)
        driver.dispatch("engine-2")
        driver.token(0, version="v2")
        self.assertEqual(driver.machine.software_version, "v2")

    def test_refusals_of_other_versions_do_not_use_up_the_attempts(self) -> None:
        driver = self.broken_off()
        for number in range(3, MAX_ATTEMPTS + 5):
            (placement,) = self.refuse(driver)
            self.assertIsInstance(placement, RequestPlacement)
            driver.dispatch(f"engine-{number}")
        driver.token(1, version="v1")
        self.assertEqual(driver.machine.texts, ["t0", "t1"])
        self.assertEqual(len({start.attempt_id for start in driver.started}), len(driver.started))

    def test_a_second_refusal_of_an_engine_ends_the_call_and_a_repeat_begins_anew(self) -> None:
        driver = self.broken_off()
        self.refuse(driver)
        driver.dispatch("engine-2")
        self.refuse(driver)
        self.assertIs(driver.refused.verdict, Verdict.MAY_HAVE_RUN)
        self.assertTrue(driver.machine.must_begin_anew)

    def test_a_call_under_a_new_leader_continues_at_the_version_that_the_caller_has(self) -> None:
        driver = model_call(resume_texts=("t0",), resume_version="v1")
        self.assertEqual(driver.started[0].resume_version, "v1")
        driver.token(1, version="v2")
        self.assertEqual(driver.machine.texts, ["t0"])


if __name__ == "__main__":
    unittest.main()
