"""A planned stop ends before the platform kills the process."""

import unittest

from passlane.daemon.fleet.stop_times import MAX_MARGIN_S, MAX_MARGIN_SHARE, StopTimes


class StopTimesTest(unittest.TestCase):
    def test_all_phases_fit_into_the_grace_time(self):
        for grace_s in (1.0, 3.0, 8.0, 30.0):
            times = StopTimes.within(grace_s)
            total_s = times.unready_s + times.finish_s + times.settling_s
            margin_s = min(MAX_MARGIN_S, MAX_MARGIN_SHARE * grace_s)
            self.assertAlmostEqual(total_s, grace_s - margin_s)
            self.assertGreater(times.finish_s, 0.25 * grace_s)

    def test_the_default_grace_time_leaves_enough_time_for_long_requests(self):
        times = StopTimes.within(8.0)
        self.assertGreaterEqual(times.unready_s, 2.0)
        self.assertGreaterEqual(times.finish_s, 4.5)
