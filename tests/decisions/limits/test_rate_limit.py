"""Tests of the per-node rate and concurrency limits."""

import unittest

from passlane.decisions.limits.rate_limit import TenantLimiter, TenantLimits


class TenantLimiterTest(unittest.TestCase):
    def test_rate_and_concurrency(self):
        limiter = TenantLimiter(TenantLimits(calls_per_second=2, max_calls_in_flight=3))
        admissions = [limiter.admit(0.0) for _ in range(3)]
        self.assertEqual([True, True, False], [item.admitted for item in admissions])
        self.assertAlmostEqual(0.5, admissions[2].retry_after_s)
        self.assertTrue(limiter.admit(0.5).admitted)
        self.assertIn("in flight", limiter.admit(1.5).reason)
        limiter.release()
        self.assertTrue(limiter.admit(1.5).admitted)


if __name__ == "__main__":
    unittest.main()
