"""Recorded traces whose faults concern their own programs, side by side on one fleet."""

import unittest

from traces.replay_checks import TraceTestCase, groups_of_several, read_all


class SharedFleetTest(TraceTestCase):
    def test_top_up(self) -> None:
        self.check_groups(groups_of_several("amre-topup"))

    def test_music_house(self) -> None:
        self.check_groups(groups_of_several("music-house"))

    def test_each_trace_states_outcomes(self) -> None:
        for trace in read_all():
            with self.subTest(trace=trace.path.name):
                self.assertTrue(trace.actions)
                self.assertTrue(trace.outcomes)


if __name__ == "__main__":
    unittest.main()
