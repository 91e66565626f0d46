"""Client timeout on silent streams, and when a wait is abandoned."""

import unittest

from passlane.decisions.failure.client_timeout import abandon_at, first_part_due_at
from passlane.messages.routes import RouteKind
from routes.test_checks import route


def stream(target_latency_s, target_gap_s):
    return route(
        kind=RouteKind.STREAM, target_latency_s=target_latency_s, target_gap_s=target_gap_s
    )


class FirstPartDeadlineTest(unittest.TestCase):
    def test_the_maximum_of_the_three_timeouts_applies(self):
        for target_s, gap_s, due_at in ((0.1, 0.1, 12.0), (1.0, 0.1, 14.0), (0.1, 1.0, 18.0)):
            self.assertEqual(first_part_due_at(stream(target_s, gap_s), 10.0, 99.0), due_at)

    def test_the_time_limit_of_the_request_applies(self):
        self.assertEqual(first_part_due_at(stream(1.0, 1.0), 10.0, 11.0), 11.0)

    def test_other_requests_wait_until_their_time_limit(self):
        other = route(kind=RouteKind.REPEATABLE)
        self.assertEqual(first_part_due_at(other, 10.0, 99.0), 99.0)


class AbandonedWaitTest(unittest.TestCase):
    def abandon_at(self, whole_by):
        return abandon_at(
            stream(1.0, 0.1), whole_by=whole_by, silent_since=10.0, limit_at=99.0, typical_s=0.5
        )

    def test_the_typical_time_to_the_first_part_is_reserved(self):
        self.assertEqual(self.abandon_at(98.0), 13.5)

    def test_the_complete_answer_may_need_an_earlier_start(self):
        self.assertEqual(self.abandon_at(12.0), 12.0)
