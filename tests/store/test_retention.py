"""Retention of the records of ended programs."""

import unittest

from passlane.identifiers import ProgramId
from passlane.store.retention import RetentionTracker

PROGRAM = ProgramId("p")


class RetentionTrackerTest(unittest.TestCase):
    def test_record_is_kept_for_the_retention_time(self) -> None:
        tracker = RetentionTracker(retention_s=60.0)
        self.assertEqual(tracker.due([PROGRAM], now=100.0), [])
        self.assertEqual(tracker.due([PROGRAM], now=159.9), [])
        self.assertEqual(tracker.due([PROGRAM], now=160.0), [PROGRAM])

    def test_new_store_leader_restarts_the_retention_time(self) -> None:
        RetentionTracker(retention_s=60.0).due([PROGRAM], now=100.0)
        successor = RetentionTracker(retention_s=60.0)
        self.assertEqual(successor.due([PROGRAM], now=150.0), [])
        self.assertEqual(successor.due([PROGRAM], now=209.9), [])
        self.assertEqual(successor.due([PROGRAM], now=210.0), [PROGRAM])

    def test_retention_time_restarts_after_a_program_was_not_removable(self) -> None:
        tracker = RetentionTracker(retention_s=60.0)
        tracker.due([PROGRAM], now=0.0)
        tracker.due([], now=30.0)
        self.assertEqual(tracker.due([PROGRAM], now=60.0), [])


if __name__ == "__main__":
    unittest.main()
