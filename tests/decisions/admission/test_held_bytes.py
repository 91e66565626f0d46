"""Slow readers are waited for; those that have stopped are ended, and nobody else is."""

import random
import unittest

from passlane.decisions.admission.held_bytes import (
    LONGEST_STALL_S,
    SHORTEST_STALL_S,
    EndReason,
    HeldBytes,
    HeldBytesBounds,
    Instruction,
)

FOR_ONE = 100
FOR_ALL = 250


class HeldBytesTest(unittest.TestCase):
    def setUp(self):
        self.held = HeldBytes(HeldBytesBounds(for_one=FOR_ONE, for_all=FOR_ALL))

    def reasons(self, now):
        return {ending.reader: ending.reason for ending in self.held.check(now)}

    def test_more_waits_for_a_reader_with_a_full_buffer_and_for_no_other(self):
        self.assertIs(self.held.taken("slow", FOR_ONE - 1, 0.0), Instruction.GO_ON)
        self.assertIs(self.held.taken("slow", 1, 0.0), Instruction.WAIT)
        self.assertIs(self.held.taken("other", 1, 0.0), Instruction.GO_ON)

    def test_a_reader_that_moves_is_waited_for(self):
        self.held.taken("slow", FOR_ONE, 0.0)
        for second in range(1, 20):
            self.assertIs(self.held.passed_on("slow", 1, float(second)), Instruction.GO_ON)
            self.assertIs(self.held.taken("slow", 1, float(second)), Instruction.WAIT)
            self.assertEqual(self.reasons(second), {})

    def test_a_reader_that_has_stopped_is_ended_with_what_was_held(self):
        self.held.taken("stopped", 60, 0.0)
        self.assertEqual(self.reasons(LONGEST_STALL_S - 0.01), {})
        self.held.taken("stopped", 10, LONGEST_STALL_S - 0.01)
        (ending,) = self.held.check(LONGEST_STALL_S)
        self.assertEqual(
            (ending.reader, ending.reason, ending.held_bytes, ending.stalled_s),
            ("stopped", EndReason.READER_STOPPED, 70, LONGEST_STALL_S),
        )
        self.assertEqual(self.held.total, 0)

    def test_a_reader_for_which_nothing_is_held_is_not_stalled(self):
        self.held.taken("idle", 10, 0.0)
        self.held.passed_on("idle", 10, 0.1)
        self.assertEqual(self.reasons(100.0), {})
        self.held.taken("idle", 10, 100.0)
        self.assertEqual(self.reasons(100.1), {})

    def test_when_all_hold_too_much_those_stalled_for_longest_are_ended_first(self):
        self.held.taken("first", 90, 0.0)
        self.held.taken("second", 90, 0.2)
        self.assertIs(self.held.taken("third", 90, 0.3), Instruction.WAIT)
        self.assertEqual(self.reasons(SHORTEST_STALL_S), {"first": EndReason.HELD_BYTES_BOUND})
        self.assertEqual(self.held.total, 180)

    def test_readers_that_move_are_made_to_wait_not_ended(self):
        for reader in ("a", "b", "c"):
            self.held.taken(reader, 90, 0.0)
        for step in range(1, 40):
            now = 0.25 * step
            for reader in ("a", "b", "c"):
                self.held.passed_on(reader, 1, now)
                self.assertIs(self.held.taken(reader, 1, now), Instruction.WAIT)
            self.assertEqual(self.reasons(now), {})

    def test_a_new_reader_begins_while_others_hold_too_much(self):
        for reader in ("a", "b", "c"):
            self.held.taken(reader, 90, 0.0)
        self.assertIs(self.held.passed_on("new", 0, 0.1), Instruction.GO_ON)

    def test_a_closed_reader_holds_nothing(self):
        self.held.taken("left", 90, 0.0)
        self.held.closed("left")
        self.held.closed("left")
        self.assertEqual((self.held.total, self.reasons(100.0)), (0, {}))

    def test_without_a_bound_for_all_only_time_ends_a_reader(self):
        self.held = HeldBytes(HeldBytesBounds(for_one=FOR_ONE))
        for number in range(100):
            self.held.taken(number, FOR_ONE, 0.0)
        self.assertEqual(self.reasons(LONGEST_STALL_S - 0.01), {})

    def test_the_total_is_the_sum_whatever_happens(self):
        source = random.Random(7)
        sizes = {}
        for step in range(5_000):
            now = step * 0.05
            reader = source.randrange(6)
            size = source.randrange(40)
            action = source.choice(["taken", "taken", "passed_on", "closed", "check"])
            if action == "taken":
                self.held.taken(reader, size, now)
                sizes[reader] = sizes.get(reader, 0) + size
            elif action == "passed_on":
                self.held.passed_on(reader, size, now)
                sizes[reader] = max(0, sizes.get(reader, 0) - size)
            elif action == "closed":
                self.held.closed(reader)
                sizes.pop(reader, None)
            else:
                for ending in self.held.check(now):
                    self.assertEqual(ending.held_bytes, sizes.pop(ending.reader))
                    self.assertGreaterEqual(ending.stalled_s, SHORTEST_STALL_S)
            self.assertEqual(self.held.total, sum(sizes.values()))
