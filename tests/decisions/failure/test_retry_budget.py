"""The retry budget limits retries to a share of the requests."""

import unittest

from passlane.decisions.failure.retry_budget import RetryBudget, RetryBudgetConfig


class RetryBudgetTest(unittest.TestCase):
    def test_retries_are_limited_to_a_share_of_requests(self):
        budget = RetryBudget(RetryBudgetConfig(retries_per_request=0.1, max_retries=2.0))
        self.assertEqual([True, True, False], [budget.try_spend() for _ in range(3)])
        retries = 0
        for _ in range(1_000):
            budget.record_request()
            retries += budget.try_spend()
        self.assertAlmostEqual(100, retries, delta=1)


if __name__ == "__main__":
    unittest.main()
