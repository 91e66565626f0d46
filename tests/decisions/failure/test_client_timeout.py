"""Until when a caller bears silence, and when a wait is hopeless."""

import unittest

from passlane.decisions.failure.client_timeout import first_part_due_at, hopeless_at
from passlane.messages.routes import RouteKind
from routes.test_checks import route


def stream(target_latency_s, target_gap_s):
    return route(
        kind=RouteKind.STREAM, target_latency_s=target_latency_s, target_gap_s=target_gap_s
    )


class FirstPartTest(unittest.TestCase):
    def test_the_longest_of_three_counts(self):
        for target_s, gap_s, due_at in ((0.1, 0.1, 12.0), (1.0, 0.1, 14.0), (0.1, 1.0, 18.0)):
            self.assertEqual(first_part_due_at(stream(target_s, gap_s), 10.0, 99.0), due_at)

    def test_the_requests_own_time_comes_first(self):
        self.assertEqual(first_part_due_at(stream(1.0, 1.0), 10.0, 11.0), 11.0)

    def test_what_is_no_stream_is_waited_for_to_its_end(self):
        other = route(kind=RouteKind.REPEATABLE)
        self.assertEqual(first_part_due_at(other, 10.0, 99.0), 99.0)


class HopelessTest(unittest.TestCase):
    def hopeless_at(self, whole_by):
        return hopeless_at(
            stream(1.0, 0.1), whole_by=whole_by, silent_since=10.0, limit_at=99.0, typical_s=0.5
        )

    def test_a_first_part_takes_its_typical_time(self):
        self.assertEqual(self.hopeless_at(98.0), 13.5)

    def test_a_whole_answer_may_need_more(self):
        self.assertEqual(self.hopeless_at(12.0), 12.0)
