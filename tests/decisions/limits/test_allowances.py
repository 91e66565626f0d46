"""Tests of the requests that one node may send without asking the leader."""

import unittest

from passlane.decisions.limits.allowances import (
    ADVANCE_GRANT_TTL_S,
    PRIOR_CALLS_PER_TURN,
    Allowances,
)


class AllowancesTest(unittest.TestCase):
    def setUp(self):
        self.allowances = Allowances()

    def test_each_granted_request_is_spent_once_by_its_tenant(self):
        self.allowances.add_grant("corner", 2, 0.0)
        self.assertFalse(self.allowances.spend("other", 0.1))
        taken = [self.allowances.spend("corner", 0.1) for _ in range(3)]
        self.assertEqual(taken, [True, True, False])

    def test_expired_grants_are_not_spent(self):
        """A suspended node must not spend grants that others may have spent in the meantime."""
        self.allowances.add_grant("corner", 2, 0.0)
        self.assertFalse(self.allowances.spend("corner", ADVANCE_GRANT_TTL_S))
        self.assertEqual(self.allowances.available("corner", ADVANCE_GRANT_TTL_S), 0)

    def test_the_lifetime_starts_at_the_request(self):
        self.allowances.add_grant("corner", 1, 0.0)
        self.allowances.add_grant("corner", 1, 0.3)
        self.assertEqual(self.allowances.available("corner", 0.35), 2)
        self.assertEqual(self.allowances.available("corner", 0.5), 1)

    def test_available_grants_are_not_requested_again(self):
        self.assertEqual(self.allowances.prefetch_count("corner", 0.0), PRIOR_CALLS_PER_TURN)
        self.allowances.add_grant("corner", 5, 0.0)
        self.assertEqual(self.allowances.prefetch_count("corner", 0.1), 0)

    def test_the_calls_per_turn_are_learned(self):
        for _ in range(500):
            self.allowances.prefetch_count("corner", 0.0)
        self.assertEqual(self.allowances.prefetch_count("corner", 0.0), 0)
        for _ in range(500):
            self.allowances.prefetch_count("corner", 0.0)
            for _ in range(4):
                self.allowances.spend("corner", 0.0)
        self.assertEqual(self.allowances.prefetch_count("corner", 0.0), 4)
