"""Back ends that end under a call: what its machine counts, records and refuses."""

import unittest

from passlane.errors import ErrorCode, Verdict
from passlane.messages.store import CallKind
from passlane.programs.call_events import (
    CallerDisconnected,
    DeadlinePassed,
    EndedBackendRecorded,
    PlacementGranted,
)
from passlane.programs.call_instructions import (
    QueryStatus,
    RecordEndedBackend,
    RecordOutcome,
    RequestPlacement,
)
from programs.call_driver import MAX_ENDED_BACKENDS, CallDriver, call_plan


def begun(plan=None, **recorded) -> CallDriver:
    driver = CallDriver(plan or call_plan())
    driver.begin(**recorded)
    return driver


def end_backend(driver: CallDriver):
    """End the back end of the next attempt; return what follows once that is recorded."""
    driver.post(PlacementGranted(f"engine-{len(driver.started)}"))
    (record,) = driver.fail(Verdict.MAY_HAVE_RUN, backend_ended=True)
    return record, driver.post(EndedBackendRecorded())


class EndedBackendsTest(unittest.TestCase):
    def test_each_end_is_recorded_before_the_next_attempt(self) -> None:
        driver = begun()
        for number in range(1, MAX_ENDED_BACKENDS):
            record, (following,) = end_backend(driver)
            self.assertEqual(record, RecordEndedBackend(number))
            self.assertIsInstance(following, RequestPlacement)

    def test_the_call_fails_for_good_after_the_last_back_end_that_may_end(self) -> None:
        driver = begun()
        for _ in range(MAX_ENDED_BACKENDS):
            _, following = end_backend(driver)
        (outcome,) = following
        self.assertIsInstance(outcome, RecordOutcome)
        self.assertEqual(outcome.outcome.verdict, Verdict.MAY_HAVE_RUN)
        driver.record_outcome()
        self.assertEqual(driver.refused.code, ErrorCode.BACKEND_FAILED)
        self.assertIn("3 back ends ended", driver.refused.message)
        self.assertFalse(driver.answers[0].left_open)

    def test_a_repeat_goes_on_from_the_recorded_count(self) -> None:
        driver = begun(already_recorded=True, ended_backends=MAX_ENDED_BACKENDS - 1)
        _, (following,) = end_backend(driver)
        self.assertIsInstance(following, RecordOutcome)

    def test_an_equal_call_after_the_last_end_does_not_run(self) -> None:
        driver = begun(ended_backends=MAX_ENDED_BACKENDS)
        self.assertEqual(driver.started, [])
        self.assertEqual(driver.outcomes[0].outcome.verdict, Verdict.NOT_RUN)
        self.assertEqual(driver.outcomes[0].outcome.spent.tokens, 0)

    def test_attempts_that_fail_at_living_back_ends_do_not_count(self) -> None:
        driver = begun(ended_backends=MAX_ENDED_BACKENDS - 1)
        driver.dispatch()
        (following,) = driver.fail(Verdict.MAY_HAVE_RUN)
        self.assertIsInstance(following, RequestPlacement)

    def test_an_operation_that_must_not_be_repeated_is_resolved_by_its_status(self) -> None:
        driver = begun(call_plan(CallKind.TOOL))
        _, (following,) = end_backend(driver)
        self.assertIsInstance(following, QueryStatus)

    def test_the_caller_or_the_deadline_ends_a_call_whose_end_is_being_recorded(self) -> None:
        for event, plan in (
            (DeadlinePassed(), call_plan()),
            (CallerDisconnected(), call_plan(is_named=False)),
        ):
            with self.subTest(event=event):
                driver = begun(plan)
                driver.dispatch()
                driver.fail(Verdict.MAY_HAVE_RUN, backend_ended=True)
                driver.post(event)
                self.assertEqual(driver.refused.verdict, Verdict.MAY_HAVE_RUN)
                self.assertTrue(driver.answers[0].left_open)
                self.assertEqual(driver.post(EndedBackendRecorded()), [])


if __name__ == "__main__":
    unittest.main()
