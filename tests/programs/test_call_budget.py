"""Budget of a call whose attempt failed after it may have generated tokens.

Guards against charging only the tokens of the answer, and against attempts that together may
generate more tokens than the call has reserved.
"""

import dataclasses
import unittest

from passlane.errors import Verdict
from passlane.messages.common import Amounts
from programs.call_driver import CallDriver, call_plan

MAX_TOKENS = 8
PROMPT_TOKENS = 3


def new_call() -> CallDriver:
    """Return a call that reserves its new prompt tokens and its maximum of generated tokens."""
    reserve = Amounts(tokens=PROMPT_TOKENS + MAX_TOKENS, calls=1)
    return CallDriver(dataclasses.replace(call_plan(max_tokens=MAX_TOKENS), reserve=reserve))


def call_after_failed_attempt(received_tokens: int) -> CallDriver:
    """Return a call whose first attempt failed after some tokens and whose second one runs."""
    driver = new_call()
    driver.begin()
    driver.dispatch("engine-1")
    for position in range(received_tokens):
        driver.token(position)
    driver.fail(Verdict.MAY_HAVE_RUN)
    driver.dispatch("engine-2")
    return driver


class FailedAttemptTest(unittest.TestCase):
    def test_failed_attempt_is_charged_up_to_the_reservation(self) -> None:
        driver = call_after_failed_attempt(received_tokens=2)
        driver.token(2)
        driver.finish(answer_tokens=3)
        (outcome,) = driver.outcomes
        self.assertEqual(outcome.outcome.spent.tokens, driver.plan.reserve.tokens)

    def test_completed_attempt_is_charged_for_its_generated_tokens(self) -> None:
        driver = new_call()
        driver.begin()
        driver.dispatch("engine-1")
        driver.token(0)
        driver.finish(answer_tokens=1)
        (outcome,) = driver.outcomes
        self.assertEqual(outcome.outcome.spent.tokens, PROMPT_TOKENS + 1)

    def test_attempt_that_did_not_run_is_not_charged(self) -> None:
        driver = new_call()
        driver.begin()
        driver.dispatch("engine-1")
        driver.fail(Verdict.NOT_RUN)
        driver.dispatch("engine-2")
        driver.token(0)
        driver.finish(answer_tokens=1)
        (outcome,) = driver.outcomes
        self.assertEqual(outcome.outcome.spent.tokens, PROMPT_TOKENS + 1)


class ReservationTest(unittest.TestCase):
    def test_all_attempts_together_make_no_more_than_was_reserved(self) -> None:
        driver = call_after_failed_attempt(received_tokens=1)
        max_generated = sum(MAX_TOKENS - started.resume_from for started in driver.started)
        self.assertLessEqual(PROMPT_TOKENS + max_generated, driver.plan.reserve.tokens)


if __name__ == "__main__":
    unittest.main()
