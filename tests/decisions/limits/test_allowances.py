"""What one node may send for tenants without asking."""

import unittest

from passlane.decisions.limits.allowances import AHEAD_VALID_S, EXPECTED_CALLS_PER_TURN, Allowances


class AllowancesTest(unittest.TestCase):
    def setUp(self):
        self.allowances = Allowances()

    def test_each_request_is_spent_once_and_by_its_tenant(self):
        self.allowances.hold("corner", 2, 0.0)
        self.assertFalse(self.allowances.take("other", 0.1))
        taken = [self.allowances.take("corner", 0.1) for _ in range(3)]
        self.assertEqual(taken, [True, True, False])

    def test_what_was_granted_long_ago_is_not_spent(self):
        """A node that was frozen wakes with grants that others may have spent since."""
        self.allowances.hold("corner", 2, 0.0)
        self.assertFalse(self.allowances.take("corner", AHEAD_VALID_S))
        self.assertEqual(self.allowances.held("corner", AHEAD_VALID_S), 0)

    def test_the_time_counts_from_the_question(self):
        self.allowances.hold("corner", 1, 0.0)
        self.allowances.hold("corner", 1, 0.3)
        self.assertEqual(self.allowances.held("corner", 0.35), 2)
        self.assertEqual(self.allowances.held("corner", 0.5), 1)

    def test_what_is_held_already_is_not_asked_for(self):
        self.assertEqual(self.allowances.wanted_after_turn("corner", 0.0), EXPECTED_CALLS_PER_TURN)
        self.allowances.hold("corner", 5, 0.0)
        self.assertEqual(self.allowances.wanted_after_turn("corner", 0.1), 0)

    def test_how_many_calls_follow_a_turn_is_learnt(self):
        for _ in range(500):
            self.allowances.wanted_after_turn("corner", 0.0)
        self.assertEqual(self.allowances.wanted_after_turn("corner", 0.0), 0)
        for _ in range(500):
            self.allowances.wanted_after_turn("corner", 0.0)
            for _ in range(4):
                self.allowances.take("corner", 0.0)
        self.assertEqual(self.allowances.wanted_after_turn("corner", 0.0), 4)
