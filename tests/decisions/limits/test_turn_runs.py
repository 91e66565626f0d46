"""Tests that a turn settles at least the tokens that engines may have generated."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from passlane.decisions.limits.turn_runs import TurnRuns


class TurnRunsTest(unittest.TestCase):
    def test_each_run_has_a_reservation_of_its_own(self):
        runs = TurnRuns("r", 50)
        reserved = [runs.add(), runs.add(20), runs.add(60)]
        self.assertEqual([run.most_tokens for run in reserved], [50, 30, 0])
        self.assertEqual(len({run.reservation_id for run in reserved}), 3)
        self.assertEqual(reserved[0].reservation_id, "r")

    def test_runs_without_a_reservation_are_not_settled(self):
        self.assertEqual(TurnRuns("r", 50).spent(0, 0, None), ())

    @given(
        most=st.integers(0, 100),
        generated=st.lists(st.integers(0, 100), min_size=1, max_size=5),
        is_whole=st.booleans(),
        is_last_sent=st.booleans(),
        data=st.data(),
    )
    def test_at_least_the_possibly_generated_tokens_count(
        self, most, generated, is_whole, is_last_sent, data
    ):
        runs = TurnRuns("r", most)
        passed_on = 0
        may_have_generated = 0
        possible_runs = 0
        for number, tokens in enumerate(generated):
            reserved = runs.add(passed_on).most_tokens
            if number + 1 == len(generated) and not is_last_sent:
                break
            possible_runs += 1
            in_this_run = min(tokens, reserved)
            may_have_generated += in_this_run
            is_last = number + 1 == len(generated)
            got = in_this_run if is_last and is_whole else data.draw(st.integers(0, in_this_run))
            passed_on += got
        whole_tokens = in_this_run if is_whole and is_last_sent else None
        spent = sum(run.tokens for run in runs.spent(possible_runs, passed_on, whole_tokens))
        self.assertGreaterEqual(spent, may_have_generated)
        self.assertLessEqual(spent, possible_runs * most)


if __name__ == "__main__":
    unittest.main()
