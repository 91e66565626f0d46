"""Event loop lag is detected, and past lag decays soon."""

import unittest
from pathlib import Path

from passlane.decisions.admission.loop_lag import (
    MAX_SAMPLE_S,
    SAMPLE_PERIOD_S,
    SAMPLE_WEIGHT,
    LoopLag,
)
from passlane.runtime.process_usage import open_descriptors, resident_bytes


class LoopLagTest(unittest.TestCase):
    def test_the_mean_converges_to_a_constant_lag(self):
        lag = LoopLag()
        for _ in range(12):
            lag.note(1.0, 1.1)
        self.assertAlmostEqual(lag.mean_s, 0.1, delta=0.005)

    def test_the_mean_recovers_soon_after_a_single_freeze(self):
        lag = LoopLag()
        lag.note(1.0, 31.0)
        self.assertAlmostEqual(lag.mean_s, SAMPLE_WEIGHT * MAX_SAMPLE_S)
        for _ in range(int(1.5 / SAMPLE_PERIOD_S)):
            lag.note(1.0, 1.0)
        self.assertLess(lag.mean_s, 0.03)

    def test_the_maximum_covers_the_last_second(self):
        lag = LoopLag()
        lag.note(1.0, 1.3)
        lag.note(1.0, 1.1)
        self.assertAlmostEqual(lag.worst_s, 0.3)
        for _ in range(4):
            lag.note(1.0, 1.0)
        self.assertEqual(lag.worst_s, 0.0)

    def test_a_timer_that_fires_early_has_no_lag(self):
        lag = LoopLag()
        lag.note(1.0, 0.999)
        self.assertEqual((lag.mean_s, lag.worst_s), (0.0, 0.0))


class ProcessUsageTest(unittest.TestCase):
    def test_memory_and_descriptors_are_reported(self):
        self.assertGreater(resident_bytes(), 1_000_000)
        before = open_descriptors()
        with Path("/dev/null").open():
            self.assertEqual(open_descriptors(), before + 1)
