"""Retry-after times of refused requests."""

import unittest

from passlane.decisions.failure.retry_after import (
    MAX_CAPACITY_RETRY_S,
    MAX_OUTAGE_RETRY_S,
    MIN_CAPACITY_RETRY_S,
    MIN_OUTAGE_RETRY_S,
    ROOM_RETRY_SPREAD,
    retry_after_outage_s,
    retry_after_wait_s,
)


class OutageTest(unittest.TestCase):
    def test_it_equals_the_outage_within_bounds(self):
        self.assertEqual(retry_after_outage_s(0.0), MIN_OUTAGE_RETRY_S)
        self.assertEqual(retry_after_outage_s(0.456), 0.46)
        self.assertEqual(retry_after_outage_s(60.0), MAX_OUTAGE_RETRY_S)


class CapacityTest(unittest.TestCase):
    def test_it_equals_the_wait_within_bounds(self):
        self.assertEqual(retry_after_wait_s(0.0, 0.0), MIN_CAPACITY_RETRY_S)
        self.assertEqual(retry_after_wait_s(0.3, 0.0), 0.3)
        self.assertEqual(retry_after_wait_s(9.0, 0.0), MAX_CAPACITY_RETRY_S)

    def test_jitter_may_exceed_the_upper_bound(self):
        max_retry_s = MAX_CAPACITY_RETRY_S * (1.0 + ROOM_RETRY_SPREAD)
        self.assertAlmostEqual(retry_after_wait_s(9.0, 1.0), max_retry_s)
