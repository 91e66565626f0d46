"""A new leader counts a delayed turn from the time when it was sent, not from its draw.

Guards against a failover after which the delays are lost with the old leader, and the new one
grants the same limit twice within a window.
"""

import unittest

from passlane.decisions.limits.quota_ledger import QuotaLedger, QuotaRules
from passlane.decisions.limits.usage_history import UsageHistory
from passlane.messages.quotas import QuotaGranted, QuotaLimit, QuotaPurpose, QuotaRequest

WINDOW_S = 5.0
RULES = QuotaRules(window_s=WINDOW_S, overage=0.1, slack=20)
LIMIT = QuotaLimit(tenant="corner", rate_per_s=8.0, burst=8.0, version=1)
CAPACITY = 48
ALLOWED = CAPACITY * 1.1 + 20
DRAW = QuotaRequest(limit=LIMIT, use=QuotaPurpose.STANDALONE)
DELAY_S = 3.0


def granted(ledger, now, draws=100):
    answers = (ledger.draw(DRAW, now) for _ in range(draws))
    return sum(isinstance(a, QuotaGranted) and a.start_after_s == 0.0 for a in answers)


class LeaderFailureTest(unittest.TestCase):
    def test_no_window_holds_more_than_is_allowed(self):
        leader, follower = QuotaLedger(RULES), QuotaLedger(RULES)
        leader.enter_term(1, 0.0)
        first = granted(leader, 0.0)
        usages = leader.take_unreported(0.0)
        follower.apply_replicated(usages, leader.group_time_s(0.0))
        leader.record_report(usages, is_reported=True)
        for _ in range(first):
            leader.note_sent(DRAW, 0.0, DELAY_S)
        usages = leader.take_unreported(DELAY_S)
        follower.apply_replicated(usages, leader.group_time_s(DELAY_S))
        failed_at = DELAY_S + 0.1
        follower.enter_term(2, failed_at)
        second = granted(follower, failed_at + 2.2)
        self.assertLessEqual(first + second, ALLOWED)


class DelayedSendTest(unittest.TestCase):
    def setUp(self):
        self.leader = QuotaLedger(RULES)
        self.leader.enter_term(1, 0.0)
        granted(self.leader, 0.0, draws=2)
        self.first = self.leader.take_unreported(0.0)

    def usages_after_delayed_send(self):
        self.leader.record_report(self.first, is_reported=True)
        self.leader.note_sent(DRAW, 0.0, DELAY_S)
        return self.leader.take_unreported(DELAY_S)

    def test_a_delayed_send_whose_report_failed_is_reported_again(self):
        moved = self.usages_after_delayed_send()
        self.assertEqual([(usage.granted, usage.moved) for usage in moved], [(0, 1)])
        self.leader.record_report(moved, is_reported=False)
        self.assertEqual(self.leader.take_unreported(DELAY_S), moved)

    def test_a_delayed_send_replaces_an_older_grant(self):
        history = UsageHistory(WINDOW_S)
        history.record(self.first, 0.0)
        history.record(self.usages_after_delayed_send(), DELAY_S)
        grants = [(grant.granted, grant.at) for grant in history.grants(DELAY_S)]
        self.assertEqual(grants, [(1, 0.0), (1, DELAY_S)])

    def test_a_delayed_send_without_a_recorded_grant_is_ignored(self):
        history = UsageHistory(WINDOW_S)
        history.record(self.usages_after_delayed_send(), DELAY_S)
        self.assertEqual(len(history), 0)


if __name__ == "__main__":
    unittest.main()
