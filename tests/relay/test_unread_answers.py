"""What is decided about slow readers is done to their connections, and to no others."""

import unittest

from structlog.testing import capture_logs

from passlane.decisions.admission.held_bytes import LONGEST_STALL_S, HeldBytesBounds
from passlane.relay.unread_answers import MOST_LOGGED_ENDINGS, UnreadAnswers

PERIOD_S = 0.25


class FakeConnection:
    """A connection to which a test writes, and whose reader a test plays."""

    peer = "10.0.0.9:1"

    def __init__(self, watch):
        self.written_bytes = 0
        self.unread_bytes = 0
        self.is_held = False
        self.end_reason = ""
        self._watch = watch
        watch.opened(self)

    def write(self, size):
        self.written_bytes += size
        self.unread_bytes += size

    def read(self, size):
        self.unread_bytes -= size

    def hold_writers(self, *, is_held):
        self.is_held = is_held

    def end(self, reason):
        self.end_reason = reason
        self._watch.closed(self)


class UnreadAnswersTest(unittest.TestCase):
    def setUp(self):
        self.watch = UnreadAnswers(HeldBytesBounds(for_one=100, for_all=250))

    def look_until(self, end_s, between=lambda: None):
        now = 0.0
        while now <= end_s:
            self.watch.look(now)
            between()
            now += PERIOD_S

    def test_a_reader_that_stopped_is_ended_and_logged(self):
        stopped, reading = FakeConnection(self.watch), FakeConnection(self.watch)
        stopped.write(70)

        def go_on():
            reading.write(30)
            reading.read(30)

        with capture_logs() as lines:
            self.look_until(LONGEST_STALL_S, go_on)
        self.assertEqual((stopped.end_reason, reading.end_reason), ("reader_stopped", ""))
        (line,) = lines
        self.assertEqual((line["event"], line["caller"]), ("answer_ended_unread", "10.0.0.9:1"))
        self.assertEqual((line["unread_bytes"], line["stalled_s"]), (70, LONGEST_STALL_S))
        self.assertEqual(self.watch.ended, {"reader_stopped": 1})

    def test_a_reader_slower_than_its_answer_is_not_taken_for_a_stopped_one(self):
        slow = FakeConnection(self.watch)
        slow.write(5)

        def go_on():
            slow.write(3)
            slow.read(1)

        self.look_until(5.0, go_on)
        self.assertEqual(slow.end_reason, "")

    def test_all_wait_while_too_much_is_held_and_go_on_afterwards(self):
        slow = [FakeConnection(self.watch) for _ in range(3)]
        for connection in slow:
            connection.write(90)
        self.watch.look(0.0)
        self.watch.look(0.1)
        self.assertEqual([connection.is_held for connection in slow], [True] * 3)
        for connection in slow:
            connection.read(80)
        self.watch.look(0.2)
        self.watch.look(0.3)
        self.assertEqual([connection.is_held for connection in slow], [False] * 3)
        self.assertEqual([connection.end_reason for connection in slow], [""] * 3)

    def test_a_closed_connection_is_forgotten(self):
        left = FakeConnection(self.watch)
        left.write(90)
        self.watch.look(0.0)
        self.assertEqual(self.watch.held_bytes, 90)
        self.watch.closed(left)
        self.assertEqual(self.watch.held_bytes, 0)
        self.look_until(LONGEST_STALL_S)
        self.assertEqual(left.end_reason, "")

    def test_the_time_in_which_the_process_was_frozen_is_no_stall(self):
        connection = FakeConnection(self.watch)
        connection.write(10)
        self.watch.look(0.0)
        now = 30.0
        while now < 30.0 + LONGEST_STALL_S:
            self.watch.look(now)
            now += PERIOD_S
        self.assertEqual(connection.end_reason, "")

    def test_many_endings_write_few_lines(self):
        stopped = [FakeConnection(self.watch) for _ in range(MOST_LOGGED_ENDINGS + 5)]
        for connection in stopped:
            connection.write(1)
        with capture_logs() as lines:
            self.look_until(LONGEST_STALL_S)
        self.assertEqual(len(lines), MOST_LOGGED_ENDINGS + 1)
        self.assertEqual([line["count"] for line in lines if "count" in line], [5])
        self.assertEqual({each.end_reason for each in stopped}, {"reader_stopped"})
