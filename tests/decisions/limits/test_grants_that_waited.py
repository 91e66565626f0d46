"""A new leader counts a turn from when it was sent, also if it waited for a slot before.

What happens: turns draw on a tenant's limit, wait for slots of engines and are sent seconds later. The
leader that granted them counts them from then on; replicas were told the moment of the draw, so a
new leader forgets them too early and grants the limit anew.

Why: ``QuotaLedger.note_sent`` moves the request in the leader's own account alone.

What showed it: the ledgers below let 96 requests run within a window of 5 s that holds 48, and 72
with all that is allowed beyond.
"""

import unittest

from passlane.decisions.limits.quota_ledger import QuotaLedger, QuotaRules
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


if __name__ == "__main__":
    unittest.main()
