"""A new leader counts a turn from when it was sent, also if it waited for a slot before.

What happens: turns draw on a tenant's limit, wait for slots of engines and are sent seconds later.
The leader that granted them counts them from then on; replicas were told the moment of the draw, so
a new leader forgets them too early and grants the limit anew.

Why: ``QuotaLedger.note_sent`` moved the request in the leader's own account alone.

What showed it: the ledgers below let 96 requests run within a window of 5 s that holds 48, and 72
with all that is allowed beyond.
"""

import unittest

from passlane.decisions.limits.quota_ledger import QuotaLedger, QuotaRules
from passlane.decisions.limits.usage_history import UsageHistory
from passlane.messages.quotas import QuotaDraw, QuotaGranted, QuotaLimit, QuotaUse

WINDOW_S = 5.0
RULES = QuotaRules(window_s=WINDOW_S, overage=0.1, slack=20)
LIMIT = QuotaLimit(tenant="corner", rate_per_s=8.0, burst=8.0, version=1)
CAPACITY = 48
ALLOWED = CAPACITY * 1.1 + 20
DRAW = QuotaDraw(limit=LIMIT, use=QuotaUse.ALONE)
WAITED_S = 3.0


def granted(ledger, now, draws=100):
    answers = (ledger.draw(DRAW, now) for _ in range(draws))
    return sum(isinstance(a, QuotaGranted) and a.start_after_s == 0.0 for a in answers)


class LeaderLostInACrowdTest(unittest.TestCase):
    def test_no_window_holds_more_than_is_allowed(self):
        leader, follower = QuotaLedger(RULES), QuotaLedger(RULES)
        leader.enter_term(1, 0.0)
        first = granted(leader, 0.0)
        told = leader.usages_to_tell(0.0)
        follower.note_replicated(told, leader.group_s(0.0))
        leader.note_told(told, is_told=True)
        for _ in range(first):
            leader.note_sent(DRAW, 0.0, WAITED_S)
        told = leader.usages_to_tell(WAITED_S)
        follower.note_replicated(told, leader.group_s(WAITED_S))
        lost_at = WAITED_S + 0.1
        follower.enter_term(2, lost_at)
        second = granted(follower, lost_at + 2.2)
        self.assertLessEqual(first + second, ALLOWED)


class MoveTest(unittest.TestCase):
    def setUp(self):
        self.leader = QuotaLedger(RULES)
        self.leader.enter_term(1, 0.0)
        granted(self.leader, 0.0, draws=2)
        self.first = self.leader.usages_to_tell(0.0)

    def told_after_a_move(self):
        self.leader.note_told(self.first, is_told=True)
        self.leader.note_sent(DRAW, 0.0, WAITED_S)
        return self.leader.usages_to_tell(WAITED_S)

    def test_a_move_that_could_not_be_told_is_told_again(self):
        moved = self.told_after_a_move()
        self.assertEqual([(usage.granted, usage.moved) for usage in moved], [(0, 1)])
        self.leader.note_told(moved, is_told=False)
        self.assertEqual(self.leader.usages_to_tell(WAITED_S), moved)

    def test_it_takes_the_place_of_an_older_grant(self):
        history = UsageHistory(WINDOW_S)
        history.note(self.first, 0.0)
        history.note(self.told_after_a_move(), WAITED_S)
        grants = [(grant.granted, grant.at) for grant in history.grants(WAITED_S)]
        self.assertEqual(grants, [(1, 0.0), (1, WAITED_S)])

    def test_a_move_of_what_was_never_heard_of_counts_nothing(self):
        history = UsageHistory(WINDOW_S)
        history.note(self.told_after_a_move(), WAITED_S)
        self.assertEqual(len(history), 0)


if __name__ == "__main__":
    unittest.main()
