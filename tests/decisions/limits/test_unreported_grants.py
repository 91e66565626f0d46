"""Tests of the count of grants that are not yet replicated to a majority."""

import unittest

from passlane.decisions.limits.unreported_grants import UnreportedGrants
from passlane.messages.quotas import TenantUsage


class UnreportedGrantsTest(unittest.TestCase):
    def setUp(self):
        self.grants = UnreportedGrants()
        self.grants.record("corner", 2, 5.0)
        self.grants.record("corner", 1, 4.0)

    def test_a_new_grant_is_unreported(self):
        self.assertEqual(self.grants.outstanding("corner"), 3)
        self.assertEqual(self.grants.outstanding("other"), 0)

    def test_usage_is_reported_once_with_its_latest_time(self):
        self.assertEqual(self.grants.take(4.5), (TenantUsage("corner", 3, 0.5),))
        self.assertEqual(self.grants.take(4.5), ())

    def test_usage_is_unreported_until_a_majority_has_recorded_it(self):
        usages = self.grants.take(4.5)
        self.assertEqual(self.grants.outstanding("corner"), 3)
        self.grants.record_report(usages, is_reported=True)
        self.assertEqual(self.grants.outstanding("corner"), 0)

    def test_usage_whose_report_failed_is_reported_again(self):
        self.grants.record_report(self.grants.take(4.5), is_reported=False)
        self.assertEqual(self.grants.outstanding("corner"), 3)
        self.assertEqual(self.grants.take(4.5), (TenantUsage("corner", 3, 0.0),))

    def test_grants_during_a_report_stay_unreported_after_it(self):
        usages = self.grants.take(4.5)
        self.grants.record("corner", 4, 6.0)
        self.assertEqual(self.grants.outstanding("corner"), 7)
        self.grants.record_report(usages, is_reported=True)
        self.assertEqual(self.grants.outstanding("corner"), 4)


if __name__ == "__main__":
    unittest.main()
