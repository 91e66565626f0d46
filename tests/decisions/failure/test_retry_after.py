"""When a refused caller is told to come back."""

import unittest

from passlane.decisions.failure.retry_after import (
    LONGEST_OUTAGE_RETRY_S,
    LONGEST_ROOM_RETRY_S,
    ROOM_RETRY_SPREAD,
    SHORTEST_OUTAGE_RETRY_S,
    SHORTEST_ROOM_RETRY_S,
    retry_after_outage_s,
    retry_after_wait_s,
)


class OutageTest(unittest.TestCase):
    def test_it_is_about_as_long_as_the_outage_within_bounds(self):
        self.assertEqual(retry_after_outage_s(0.0), SHORTEST_OUTAGE_RETRY_S)
        self.assertEqual(retry_after_outage_s(0.456), 0.46)
        self.assertEqual(retry_after_outage_s(60.0), LONGEST_OUTAGE_RETRY_S)


class RoomTest(unittest.TestCase):
    def test_it_is_about_as_long_as_the_wait_within_bounds(self):
        self.assertEqual(retry_after_wait_s(0.0, 0.0), SHORTEST_ROOM_RETRY_S)
        self.assertEqual(retry_after_wait_s(0.3, 0.0), 0.3)
        self.assertEqual(retry_after_wait_s(9.0, 0.0), LONGEST_ROOM_RETRY_S)

    def test_it_is_spread_beyond_the_longest_as_well(self):
        longest_s = LONGEST_ROOM_RETRY_S * (1.0 + ROOM_RETRY_SPREAD)
        self.assertAlmostEqual(retry_after_wait_s(9.0, 1.0), longest_s)
