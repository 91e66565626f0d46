"""Snapshots include the quota grants of the commands that they replace.

Guards against a replica that is restored from a snapshot, becomes the leader, and grants a
tenant's limit a second time within one window.
"""

import unittest

from passlane.decisions.limits.quota_ledger import QuotaLedger, QuotaRules
from passlane.messages.quotas import (
    QuotaGranted,
    QuotaLimit,
    QuotaPurpose,
    QuotaRequest,
    TenantUsage,
)
from passlane.messages.turns import NoteUsage
from passlane.turns.state.machine import TurnStateMachine

LIMIT = QuotaLimit(tenant="corner", rate_per_s=8.0, burst=8.0, version=1)
CAPACITY = 48
"""Requests that the limit allows in a window of 5 s."""
DRAW = QuotaRequest(limit=LIMIT, use=QuotaPurpose.STANDALONE)


class Replica:
    """One replica: its state machine and its quota ledger."""

    def __init__(self):
        self.ledger = QuotaLedger(QuotaRules(window_s=5.0))
        self.machine = TurnStateMachine(self.ledger.apply_replicated, self.ledger.history)

    def apply_grant(self, granted, group_s, tenant="corner"):
        usages = (TenantUsage(tenant, granted),)
        self.machine.execute(NoteUsage(usages=usages, group_s=group_s))

    def restore_from(self, other):
        for _ in self.machine.restore_parts(list(other.machine.snapshot_parts())):
            pass

    def immediate_grants_as_leader(self, now, draws=2 * CAPACITY):
        """Return how many requests it grants at once as a new leader."""
        self.ledger.enter_term(2, now)
        answers = [self.ledger.draw(DRAW, now) for _ in range(draws)]
        return sum(isinstance(a, QuotaGranted) and a.start_after_s == 0.0 for a in answers)


class SnapshotTest(unittest.TestCase):
    def setUp(self):
        self.before, self.after = Replica(), Replica()

    def test_requests_granted_within_the_window_are_not_granted_again(self):
        self.before.apply_grant(CAPACITY, 1.0)
        self.after.restore_from(self.before)
        self.assertEqual(self.after.immediate_grants_as_leader(100.0), 0)

    def test_the_rest_of_the_window_is_granted(self):
        self.before.apply_grant(CAPACITY - 5, 1.0)
        self.after.restore_from(self.before)
        self.assertEqual(self.after.immediate_grants_as_leader(100.0), 5)

    def test_grants_after_the_snapshot_are_added(self):
        self.before.apply_grant(20, 1.0)
        self.after.restore_from(self.before)
        for replica in (self.before, self.after):
            replica.apply_grant(10, 2.0)
        self.assertEqual(self.after.immediate_grants_as_leader(100.0), CAPACITY - 30)
        self.assertEqual(self.before.immediate_grants_as_leader(100.0), CAPACITY - 30)

    def test_a_snapshot_of_a_restored_replica_includes_the_grants(self):
        third = Replica()
        self.before.apply_grant(CAPACITY, 1.0)
        self.after.restore_from(self.before)
        third.restore_from(self.after)
        self.assertEqual(third.immediate_grants_as_leader(100.0), 0)

    def test_grants_older_than_the_window_do_not_count(self):
        self.before.apply_grant(CAPACITY, 1.0)
        self.before.apply_grant(1, 50.0)
        self.after.restore_from(self.before)
        self.assertEqual(self.after.immediate_grants_as_leader(100.0), CAPACITY - 1)

    def test_a_snapshot_without_grants_keeps_the_recorded_ones(self):
        self.after.apply_grant(CAPACITY, 1.0)
        for _ in self.after.machine.restore_parts(TurnStateMachine().snapshot_parts()):
            pass
        self.assertEqual(self.after.immediate_grants_as_leader(100.0), 0)

    def test_grants_of_a_lagging_clock_count_the_same_after_a_restore(self):
        self.before.apply_grant(10, 9.0)
        self.before.apply_grant(10, 2.0)
        self.after.restore_from(self.before)
        for replica in (self.before, self.after):
            replica.apply_grant(10, 3.0)
        self.assertEqual(
            self.after.immediate_grants_as_leader(100.0),
            self.before.immediate_grants_as_leader(100.0),
        )


if __name__ == "__main__":
    unittest.main()
