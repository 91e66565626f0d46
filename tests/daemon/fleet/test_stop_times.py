"""A planned stop ends before the platform kills the process."""

import unittest

from passlane.daemon.fleet.stop_times import MARGIN_S, MARGIN_SHARE, StopTimes


class StopTimesTest(unittest.TestCase):
    def test_all_parts_fit_into_the_grace_time(self):
        for grace_s in (1.0, 3.0, 8.0, 30.0):
            times = StopTimes.within(grace_s)
            total_s = times.unready_s + times.finish_s + times.settling_s
            margin_s = min(MARGIN_S, MARGIN_SHARE * grace_s)
            self.assertAlmostEqual(total_s, grace_s - margin_s)
            self.assertGreater(times.finish_s, 0.25 * grace_s)

    def test_a_usual_grace_time_leaves_room_for_long_requests(self):
        times = StopTimes.within(8.0)
        self.assertGreaterEqual(times.unready_s, 2.0)
        self.assertGreaterEqual(times.finish_s, 4.5)
