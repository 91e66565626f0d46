"""What a call of a program counts when an attempt of it broke off.

What happens: an engine goes on for a while after its stream breaks off; another engine goes on
with the answer. The call counts the tokens of the answer alone, so what the first engine made
beyond them counts for nothing, and both together may make more than was reserved.

Why: ``ran_outcome`` takes the answer's length for what was generated, and a further attempt within
the same epoch has no reservation of its own.
"""

import dataclasses
import unittest

from passlane.errors import Verdict
from passlane.messages.common import Amounts
from programs.call_driver import CallDriver, call_plan

MAX_TOKENS = 8
PROMPT_TOKENS = 3


def usual_call() -> CallDriver:
    """A call that reserves what calls do: its new prompt and the most that it may make."""
    reserve = Amounts(tokens=PROMPT_TOKENS + MAX_TOKENS, calls=1)
    return CallDriver(dataclasses.replace(call_plan(max_tokens=MAX_TOKENS), reserve=reserve))


def broken_call(got_before: int) -> CallDriver:
    """A call whose first attempt broke off after so many tokens, and whose second one runs."""
    driver = usual_call()
    driver.begin()
    driver.dispatch("engine-1")
    for position in range(got_before):
        driver.token(position)
    driver.fail(Verdict.MAY_HAVE_RUN)
    driver.dispatch("engine-2")
    return driver


class BrokenAttemptTest(unittest.TestCase):
    def test_what_a_broken_attempt_may_have_made_counts_as_far_as_it_is_reserved(self) -> None:
        driver = broken_call(got_before=2)
        driver.token(2)
        driver.finish(answer_tokens=3)
        (outcome,) = driver.outcomes
        self.assertEqual(outcome.outcome.spent.tokens, driver.plan.reserve.tokens)

    def test_a_whole_attempt_counts_what_it_made(self) -> None:
        driver = usual_call()
        driver.begin()
        driver.dispatch("engine-1")
        driver.token(0)
        driver.finish(answer_tokens=1)
        (outcome,) = driver.outcomes
        self.assertEqual(outcome.outcome.spent.tokens, PROMPT_TOKENS + 1)

    def test_an_attempt_that_did_not_run_counts_nothing(self) -> None:
        driver = usual_call()
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
        driver = broken_call(got_before=1)
        may_make = sum(MAX_TOKENS - started.resume_from for started in driver.started)
        self.assertLessEqual(PROMPT_TOKENS + may_make, driver.plan.reserve.tokens)


if __name__ == "__main__":
    unittest.main()
