"""When a snapshot is due."""

import unittest

from passlane.replication.snapshot_rule import SnapshotRule


class SnapshotRuleTest(unittest.TestCase):
    def applied_until_due(self, rule: SnapshotRule, size_bytes: int) -> int:
        count = 0
        while not rule.is_due:
            rule.note_applied(size_bytes)
            count += 1
        return count

    def test_due_after_entries_and_after_as_many_bytes_as_the_last_one_had(self) -> None:
        rule = SnapshotRule(every_entries=10)
        self.assertEqual(self.applied_until_due(rule, 5), 10)
        rule.note_begun()
        self.assertFalse(rule.is_due)
        rule.note_applied(5)
        rule.note_size(200)
        self.assertEqual(self.applied_until_due(rule, 5), 39)
        rule.note_begun()
        rule.note_size(10)
        self.assertEqual(self.applied_until_due(rule, 5), 10)

    def test_a_large_state_does_not_let_the_log_grow_without_end(self) -> None:
        rule = SnapshotRule(every_entries=10, most_log_bytes=300)
        rule.note_size(1_000_000)
        self.assertEqual(self.applied_until_due(rule, 5), 60)


if __name__ == "__main__":
    unittest.main()
