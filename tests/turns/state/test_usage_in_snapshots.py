"""A replica that took over a snapshot knows what was granted to tenants before it.

What happens: a store joins, or starts again, by a snapshot; it then leads, and grants a tenant's
whole limit anew within the window in which an earlier leader had granted it.

Why: replicas hear of grants by commands of the log, and keep them outside the replicated state. A
snapshot stands for all commands before it, and had nothing of them.

What showed it: the ledger below grants 48 requests in a window of 5 s for which 48 were granted.
"""

import unittest

from passlane.decisions.limits.quota_ledger import QuotaLedger, QuotaRules
from passlane.messages.quotas import QuotaDraw, QuotaGranted, QuotaLimit, QuotaUse, TenantUsage
from passlane.messages.turns import NoteUsage
from passlane.turns.state.machine import TurnStateMachine

LIMIT = QuotaLimit(tenant="corner", rate_per_s=8.0, burst=8.0, version=1)
CAPACITY = 48
"""Requests of the limit in a window of 5 s."""
DRAW = QuotaDraw(limit=LIMIT, use=QuotaUse.ALONE)


class Replica:
    """One replica: its state, and what it knows of grants."""

    def __init__(self):
        self.ledger = QuotaLedger(QuotaRules(window_s=5.0))
        self.machine = TurnStateMachine(self.ledger.note_replicated, self.ledger.history)

    def hear(self, granted, group_s, tenant="corner"):
        usages = (TenantUsage(tenant, granted),)
        self.machine.execute(NoteUsage(usages=usages, group_s=group_s))

    def take_over(self, other):
        for _ in self.machine.restore_parts(list(other.machine.snapshot_parts())):
            pass

    def lead(self, now, draws=2 * CAPACITY):
        """Return how many requests it grants for this moment as a new leader."""
        self.ledger.enter_term(2, now)
        answers = [self.ledger.draw(DRAW, now) for _ in range(draws)]
        return sum(isinstance(a, QuotaGranted) and a.start_after_s == 0.0 for a in answers)


class SnapshotTest(unittest.TestCase):
    def setUp(self):
        self.before, self.after = Replica(), Replica()

    def test_what_was_granted_within_the_window_is_not_granted_anew(self):
        self.before.hear(CAPACITY, 1.0)
        self.after.take_over(self.before)
        self.assertEqual(self.after.lead(100.0), 0)

    def test_the_rest_of_the_window_is(self):
        self.before.hear(CAPACITY - 5, 1.0)
        self.after.take_over(self.before)
        self.assertEqual(self.after.lead(100.0), 5)

    def test_what_comes_after_the_snapshot_counts_beside_it(self):
        self.before.hear(20, 1.0)
        self.after.take_over(self.before)
        for replica in (self.before, self.after):
            replica.hear(10, 2.0)
        self.assertEqual(self.after.lead(100.0), CAPACITY - 30)
        self.assertEqual(self.before.lead(100.0), CAPACITY - 30)

    def test_a_snapshot_of_a_snapshot_holds_the_same(self):
        third = Replica()
        self.before.hear(CAPACITY, 1.0)
        self.after.take_over(self.before)
        third.take_over(self.after)
        self.assertEqual(third.lead(100.0), 0)

    def test_what_is_older_than_a_window_is_not_in_it(self):
        self.before.hear(CAPACITY, 1.0)
        self.before.hear(1, 50.0)
        self.after.take_over(self.before)
        self.assertEqual(self.after.lead(100.0), CAPACITY - 1)

    def test_a_snapshot_without_it_leaves_what_is_known(self):
        self.after.hear(CAPACITY, 1.0)
        for _ in self.after.machine.restore_parts(TurnStateMachine().snapshot_parts()):
            pass
        self.assertEqual(self.after.lead(100.0), 0)

    def test_a_leader_that_lags_is_counted_alike_by_both(self):
        self.before.hear(10, 9.0)
        self.before.hear(10, 2.0)
        self.after.take_over(self.before)
        for replica in (self.before, self.after):
            replica.hear(10, 3.0)
        self.assertEqual(self.after.lead(100.0), self.before.lead(100.0))


if __name__ == "__main__":
    unittest.main()
