"""When a snapshot is due."""

import unittest

from passlane.replication.snapshot_policy import SnapshotPolicy


class SnapshotPolicyTest(unittest.TestCase):
    def count_applied_until_due(self, policy: SnapshotPolicy, size_bytes: int) -> int:
        count = 0
        while not policy.is_due:
            policy.record_applied(size_bytes)
            count += 1
        return count

    def test_due_after_min_entries_and_the_size_of_the_last_snapshot(self) -> None:
        policy = SnapshotPolicy(every_entries=10)
        self.assertEqual(self.count_applied_until_due(policy, 5), 10)
        policy.record_snapshot_started()
        self.assertFalse(policy.is_due)
        policy.record_applied(5)
        policy.record_snapshot_size(200)
        self.assertEqual(self.count_applied_until_due(policy, 5), 39)
        policy.record_snapshot_started()
        policy.record_snapshot_size(10)
        self.assertEqual(self.count_applied_until_due(policy, 5), 10)

    def test_log_growth_is_bounded_for_a_large_state(self) -> None:
        policy = SnapshotPolicy(every_entries=10, max_log_bytes=300)
        policy.record_snapshot_size(1_000_000)
        self.assertEqual(self.count_applied_until_due(policy, 5), 60)

    def test_due_by_the_bytes_of_the_log_alone(self) -> None:
        """Guards against a log of large entries that fills a store's memory before it is let go."""
        policy = SnapshotPolicy(every_entries=5_000)
        size_bytes = 3_300_000
        self.assertLessEqual(self.count_applied_until_due(policy, size_bytes), 5)
        policy.record_snapshot_started()
        policy.record_snapshot_size(20 * size_bytes)
        self.assertEqual(self.count_applied_until_due(policy, size_bytes), 10)


if __name__ == "__main__":
    unittest.main()
