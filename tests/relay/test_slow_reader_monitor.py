"""Connections of slow readers are paused or closed; other connections are not affected."""

import unittest

from structlog.testing import capture_logs

from passlane.decisions.admission.reader_buffers import MAX_STALL_S, ReaderBufferBounds
from passlane.relay.slow_reader_monitor import MAX_LOGGED_ENDINGS, SlowReaderMonitor

PERIOD_S = 0.25


class FakeConnection:
    """A connection whose writer and reader are controlled by the test."""

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


class SlowReaderMonitorTest(unittest.TestCase):
    def setUp(self):
        self.watch = SlowReaderMonitor(ReaderBufferBounds(for_one=100, for_all=250))

    def poll_until(self, end_s, between_polls=lambda: None):
        now = 0.0
        while now <= end_s:
            self.watch.poll(now)
            between_polls()
            now += PERIOD_S

    def test_the_connection_of_a_stalled_reader_is_closed_and_logged(self):
        stopped, reading = FakeConnection(self.watch), FakeConnection(self.watch)
        stopped.write(70)

        def transfer():
            reading.write(30)
            reading.read(30)

        with capture_logs() as lines:
            self.poll_until(MAX_STALL_S, transfer)
        self.assertEqual((stopped.end_reason, reading.end_reason), ("reader_stopped", ""))
        (line,) = lines
        self.assertEqual((line["event"], line["caller"]), ("answer_ended_unread", "10.0.0.9:1"))
        self.assertEqual((line["unread_bytes"], line["stalled_s"]), (70, MAX_STALL_S))
        self.assertEqual(self.watch.ended, {"reader_stopped": 1})

    def test_a_reader_slower_than_its_answer_is_not_considered_stalled(self):
        slow = FakeConnection(self.watch)
        slow.write(5)

        def transfer():
            slow.write(3)
            slow.read(1)

        self.poll_until(5.0, transfer)
        self.assertEqual(slow.end_reason, "")

    def test_all_writers_pause_while_too_much_is_buffered_and_resume_afterwards(self):
        slow = [FakeConnection(self.watch) for _ in range(3)]
        for connection in slow:
            connection.write(90)
        self.watch.poll(0.0)
        self.watch.poll(0.1)
        self.assertEqual([connection.is_held for connection in slow], [True] * 3)
        for connection in slow:
            connection.read(80)
        self.watch.poll(0.2)
        self.watch.poll(0.3)
        self.assertEqual([connection.is_held for connection in slow], [False] * 3)
        self.assertEqual([connection.end_reason for connection in slow], [""] * 3)

    def test_a_closed_connection_is_no_longer_monitored(self):
        closed = FakeConnection(self.watch)
        closed.write(90)
        self.watch.poll(0.0)
        self.assertEqual(self.watch.buffered_bytes, 90)
        self.watch.closed(closed)
        self.assertEqual(self.watch.buffered_bytes, 0)
        self.poll_until(MAX_STALL_S)
        self.assertEqual(closed.end_reason, "")

    def test_time_while_the_process_was_suspended_does_not_count_as_a_stall(self):
        connection = FakeConnection(self.watch)
        connection.write(10)
        self.watch.poll(0.0)
        now = 30.0
        while now < 30.0 + MAX_STALL_S:
            self.watch.poll(now)
            now += PERIOD_S
        self.assertEqual(connection.end_reason, "")

    def test_the_number_of_log_lines_for_closed_connections_is_bounded(self):
        stopped = [FakeConnection(self.watch) for _ in range(MAX_LOGGED_ENDINGS + 5)]
        for connection in stopped:
            connection.write(1)
        with capture_logs() as lines:
            self.poll_until(MAX_STALL_S)
        self.assertEqual(len(lines), MAX_LOGGED_ENDINGS + 1)
        self.assertEqual([line["count"] for line in lines if "count" in line], [5])
        self.assertEqual({each.end_reason for each in stopped}, {"reader_stopped"})
