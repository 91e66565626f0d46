"""How much of what a leader granted its replicas have not been told."""

import unittest

from passlane.decisions.limits.untold_grants import UntoldGrants
from passlane.messages.quotas import TenantUsage


class UntoldGrantsTest(unittest.TestCase):
    def setUp(self):
        self.grants = UntoldGrants()
        self.grants.note("corner", 2, 5.0)
        self.grants.note("corner", 1, 4.0)

    def test_what_was_granted_is_untold(self):
        self.assertEqual(self.grants.granted("corner"), 3)
        self.assertEqual(self.grants.granted("other"), 0)

    def test_it_is_told_with_the_last_moment_that_it_was_granted_for(self):
        self.assertEqual(self.grants.take(4.5), (TenantUsage("corner", 3, 0.5),))
        self.assertEqual(self.grants.take(4.5), ())

    def test_it_is_untold_until_a_majority_holds_it(self):
        usages = self.grants.take(4.5)
        self.assertEqual(self.grants.granted("corner"), 3)
        self.grants.note_told(usages, is_told=True)
        self.assertEqual(self.grants.granted("corner"), 0)

    def test_what_could_not_be_told_is_told_again(self):
        self.grants.note_told(self.grants.take(4.5), is_told=False)
        self.assertEqual(self.grants.granted("corner"), 3)
        self.assertEqual(self.grants.take(4.5), (TenantUsage("corner", 3, 0.0),))

    def test_what_is_granted_during_a_telling_stays_untold_after_it(self):
        usages = self.grants.take(4.5)
        self.grants.note("corner", 4, 6.0)
        self.assertEqual(self.grants.granted("corner"), 7)
        self.grants.note_told(usages, is_told=True)
        self.assertEqual(self.grants.granted("corner"), 4)


if __name__ == "__main__":
    unittest.main()
