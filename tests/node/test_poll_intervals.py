"""Poll intervals of active and idle engines, and the bound on the total poll rate."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from passlane.identifiers import EngineId
from passlane.node.poll_intervals import ACTIVE_WINDOW_S, PollIntervals

ACTIVE_INTERVAL_S = 0.25
IDLE_INTERVAL_S = 2.0
MAX_POLLS_PER_S = 6.0


def engines(count: int) -> list[EngineId]:
    return [EngineId(f"engine-{number}") for number in range(count)]


def new_poll_intervals() -> PollIntervals:
    return PollIntervals(ACTIVE_INTERVAL_S, IDLE_INTERVAL_S, MAX_POLLS_PER_S)


class PollIntervalsTest(unittest.TestCase):
    def test_active_engine_is_polled_at_the_active_interval(self) -> None:
        poll_intervals, watched = new_poll_intervals(), engines(1)
        self.assertTrue(poll_intervals.record_use(watched[0], 0.0))
        self.assertEqual(poll_intervals.interval_s(watched[0], watched, 1.0), ACTIVE_INTERVAL_S)

    def test_idle_engine_is_polled_at_the_idle_interval(self) -> None:
        poll_intervals, watched = new_poll_intervals(), engines(2)
        poll_intervals.record_use(watched[0], 0.0)
        later = ACTIVE_WINDOW_S + 1.0
        self.assertEqual(poll_intervals.interval_s(watched[0], watched, later), IDLE_INTERVAL_S)
        self.assertEqual(poll_intervals.interval_s(watched[1], watched, 0.0), IDLE_INTERVAL_S)

    def test_only_the_first_use_of_an_idle_engine_returns_true(self) -> None:
        poll_intervals, watched = new_poll_intervals(), engines(1)
        self.assertTrue(poll_intervals.record_use(watched[0], 0.0))
        self.assertFalse(poll_intervals.record_use(watched[0], ACTIVE_WINDOW_S))
        self.assertTrue(poll_intervals.record_use(watched[0], 3 * ACTIVE_WINDOW_S))

    @settings(derandomize=True, database=None, deadline=None)
    @given(count=st.integers(1, 600), used=st.integers(0, 600))
    def test_total_poll_rate_stays_within_the_bound(self, count: int, used: int) -> None:
        poll_intervals, watched = new_poll_intervals(), engines(count)
        for engine_id in watched[:used]:
            poll_intervals.record_use(engine_id, 0.0)
        first, last = watched[0], watched[-1]
        active = min(used, count)
        total = active / poll_intervals.interval_s(first, watched, 1.0) if active else 0.0
        if active < count:
            total += (count - active) / poll_intervals.interval_s(last, watched, 1.0)
        self.assertLessEqual(total, MAX_POLLS_PER_S + 1e-6)


if __name__ == "__main__":
    unittest.main()
