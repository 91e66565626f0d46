"""Counts of the engines that ended under a request."""

import unittest
from unittest import mock

from passlane.decisions.failure import engine_ends
from passlane.decisions.failure.engine_ends import (
    MAX_ENDED_ENGINES,
    RETENTION_S,
    EngineEndCounts,
)


class EngineEndCountsTest(unittest.TestCase):
    def setUp(self):
        self.counts = EngineEndCounts()

    def end(self, count, key="one", now_s=0.0):
        for number in range(count):
            ended = self.counts.record(key, f"i-{number}", now_s)
        return ended

    def test_a_request_is_refused_after_the_last_engine_that_may_end(self):
        self.assertFalse(self.end(MAX_ENDED_ENGINES - 1).is_refused)
        self.assertEqual(self.counts.refused(), [])
        self.assertTrue(self.end(MAX_ENDED_ENGINES).is_refused)
        self.assertEqual([ended.request_key for ended in self.counts.refused()], ["one"])

    def test_a_repeated_report_of_an_end_counts_once(self):
        for _ in range(5):
            self.assertEqual(len(self.counts.record("one", "i-1", 0.0).instances), 1)

    def test_later_ends_neither_grow_nor_extend_a_refusal(self):
        refused = self.end(MAX_ENDED_ENGINES)
        self.assertEqual(self.counts.record("one", "i-late", 50.0), refused)

    def test_requests_are_counted_apart(self):
        self.end(MAX_ENDED_ENGINES)
        self.assertFalse(self.counts.record("other", "i-0", 0.0).is_refused)

    def test_a_request_is_forgotten_after_its_retention(self):
        self.end(2)
        self.counts.record("one", "i-last", 60.0)
        self.counts.expire(60.0 + RETENTION_S)
        self.assertIsNotNone(self.counts.find("one"))
        self.counts.expire(60.1 + RETENTION_S)
        self.assertIsNone(self.counts.find("one"))

    def test_memory_is_bounded_and_requests_with_the_fewest_ends_give_way(self):
        with (
            mock.patch.object(engine_ends, "MAX_REQUESTS", 10),
            mock.patch.object(engine_ends, "_DROPPED_AT_ONCE", 2),
        ):
            self.end(MAX_ENDED_ENGINES)
            for number in range(100):
                self.counts.record(f"other-{number}", "i-1", float(number))
        self.assertLessEqual(len(self.counts.all()), 10)
        self.assertTrue(self.counts.find("one").is_refused)
        self.assertIsNotNone(self.counts.find("other-99"))


if __name__ == "__main__":
    unittest.main()
