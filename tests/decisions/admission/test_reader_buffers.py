"""Backpressure for slow readers, and termination of stalled ones."""

import random
import unittest

from passlane.decisions.admission.reader_buffers import (
    MAX_STALL_S,
    MIN_STALL_S,
    EndReason,
    Instruction,
    ReaderBufferBounds,
    ReaderBuffers,
)

FOR_ONE = 100
FOR_ALL = 250


class ReaderBuffersTest(unittest.TestCase):
    def setUp(self):
        self.buffers = ReaderBuffers(ReaderBufferBounds(for_one=FOR_ONE, for_all=FOR_ALL))

    def reasons(self, now):
        return {ending.reader: ending.reason for ending in self.buffers.check(now)}

    def test_writers_wait_only_for_a_reader_with_a_full_buffer(self):
        self.assertIs(self.buffers.record_buffered("slow", FOR_ONE - 1, 0.0), Instruction.GO_ON)
        self.assertIs(self.buffers.record_buffered("slow", 1, 0.0), Instruction.WAIT)
        self.assertIs(self.buffers.record_buffered("other", 1, 0.0), Instruction.GO_ON)

    def test_a_slow_reader_that_makes_progress_is_not_terminated(self):
        self.buffers.record_buffered("slow", FOR_ONE, 0.0)
        for second in range(1, 20):
            self.assertIs(
                self.buffers.record_forwarded("slow", 1, float(second)), Instruction.GO_ON
            )
            self.assertIs(self.buffers.record_buffered("slow", 1, float(second)), Instruction.WAIT)
            self.assertEqual(self.reasons(second), {})

    def test_a_stalled_reader_is_terminated_with_its_buffered_bytes(self):
        self.buffers.record_buffered("stopped", 60, 0.0)
        self.assertEqual(self.reasons(MAX_STALL_S - 0.01), {})
        self.buffers.record_buffered("stopped", 10, MAX_STALL_S - 0.01)
        (ending,) = self.buffers.check(MAX_STALL_S)
        self.assertEqual(
            (ending.reader, ending.reason, ending.held_bytes, ending.stalled_s),
            ("stopped", EndReason.READER_STOPPED, 70, MAX_STALL_S),
        )
        self.assertEqual(self.buffers.total, 0)

    def test_a_reader_without_buffered_bytes_is_not_stalled(self):
        self.buffers.record_buffered("idle", 10, 0.0)
        self.buffers.record_forwarded("idle", 10, 0.1)
        self.assertEqual(self.reasons(100.0), {})
        self.buffers.record_buffered("idle", 10, 100.0)
        self.assertEqual(self.reasons(100.1), {})

    def test_above_the_total_bound_the_longest_stalled_readers_are_terminated_first(self):
        self.buffers.record_buffered("first", 90, 0.0)
        self.buffers.record_buffered("second", 90, 0.2)
        self.assertIs(self.buffers.record_buffered("third", 90, 0.3), Instruction.WAIT)
        self.assertEqual(self.reasons(MIN_STALL_S), {"first": EndReason.HELD_BYTES_BOUND})
        self.assertEqual(self.buffers.total, 180)

    def test_above_the_total_bound_readers_that_make_progress_are_not_terminated(self):
        for reader in ("a", "b", "c"):
            self.buffers.record_buffered(reader, 90, 0.0)
        for step in range(1, 40):
            now = 0.25 * step
            for reader in ("a", "b", "c"):
                self.buffers.record_forwarded(reader, 1, now)
                self.assertIs(self.buffers.record_buffered(reader, 1, now), Instruction.WAIT)
            self.assertEqual(self.reasons(now), {})

    def test_a_new_reader_is_admitted_above_the_total_bound(self):
        for reader in ("a", "b", "c"):
            self.buffers.record_buffered(reader, 90, 0.0)
        self.assertIs(self.buffers.record_forwarded("new", 0, 0.1), Instruction.GO_ON)

    def test_a_closed_reader_has_no_buffered_bytes(self):
        self.buffers.record_buffered("left", 90, 0.0)
        self.buffers.closed("left")
        self.buffers.closed("left")
        self.assertEqual((self.buffers.total, self.reasons(100.0)), (0, {}))

    def test_without_a_total_bound_only_stalls_terminate_readers(self):
        self.buffers = ReaderBuffers(ReaderBufferBounds(for_one=FOR_ONE))
        for number in range(100):
            self.buffers.record_buffered(number, FOR_ONE, 0.0)
        self.assertEqual(self.reasons(MAX_STALL_S - 0.01), {})

    def test_the_total_equals_the_sum_of_all_readers(self):
        source = random.Random(7)
        sizes = {}
        for step in range(5_000):
            now = step * 0.05
            reader = source.randrange(6)
            size = source.randrange(40)
            action = source.choice(
                ["record_buffered", "record_buffered", "record_forwarded", "closed", "check"]
            )
            if action == "record_buffered":
                self.buffers.record_buffered(reader, size, now)
                sizes[reader] = sizes.get(reader, 0) + size
            elif action == "record_forwarded":
                self.buffers.record_forwarded(reader, size, now)
                sizes[reader] = max(0, sizes.get(reader, 0) - size)
            elif action == "closed":
                self.buffers.closed(reader)
                sizes.pop(reader, None)
            else:
                for ending in self.buffers.check(now):
                    self.assertEqual(ending.held_bytes, sizes.pop(ending.reader))
                    self.assertGreaterEqual(ending.stalled_s, MIN_STALL_S)
            self.assertEqual(self.buffers.total, sum(sizes.values()))
