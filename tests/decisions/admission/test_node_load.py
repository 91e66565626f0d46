"""A node refuses new programs before anything else, and doesn't change its mind at each sample."""

import unittest

from passlane.decisions.admission.known_programs import MEMORY_S, MOST_PROGRAMS, KnownPrograms
from passlane.decisions.admission.node_load import (
    LATE_LOOP_S,
    SHORTEST_STATE_S,
    VERY_LATE_LOOP_S,
    Admission,
    NodeCapacity,
    NodeLoad,
    NodeReading,
)
from passlane.decisions.inputs.relayed_call import ProgramContext, RelayedCall

CAPACITY = NodeCapacity(held_bytes=1_000, under_way=100, resident_bytes=100_000, descriptors=500)


class NodeLoadTest(unittest.TestCase):
    def setUp(self):
        self.load = NodeLoad(CAPACITY)

    def admission_with(self, now=0.0, **reading):
        self.load.observe(NodeReading(**reading), now)
        return self.load.admission

    def test_a_node_that_fares_well_takes_all(self):
        self.assertIs(self.admission_with(loop_lag_s=0.01, under_way=50), Admission.ALL)
        self.assertFalse(self.load.refuses(is_new_program=True))

    def test_a_late_loop_keeps_new_programs_away_and_a_very_late_one_all(self):
        self.assertIs(self.admission_with(loop_lag_s=LATE_LOOP_S), Admission.KNOWN_PROGRAMS)
        self.assertTrue(self.load.refuses(is_new_program=True))
        self.assertFalse(self.load.refuses(is_new_program=False))
        self.assertIs(self.admission_with(loop_lag_s=VERY_LATE_LOOP_S), Admission.NOTHING)
        self.assertTrue(self.load.refuses(is_new_program=False))

    def test_each_reading_counts_and_the_change_names_it(self):
        for name, cause, high, highest in (
            ("held_bytes", "held_bytes", 800, 920),
            ("under_way", "under_way", 80, 92),
            ("resident_bytes", "memory", 80_000, 92_000),
            ("descriptors", "descriptors", 400, 460),
        ):
            with self.subTest(name):
                self.load = NodeLoad(CAPACITY)
                self.assertIs(self.admission_with(**{name: high - 1}), Admission.ALL)
                change = self.load.observe(NodeReading(**{name: high}), 0.0)
                self.assertEqual(
                    (change.cause.value, change.now), (cause, Admission.KNOWN_PROGRAMS)
                )
                self.assertIs(self.admission_with(**{name: highest}), Admission.NOTHING)

    def test_what_is_not_known_or_not_bounded_does_not_count(self):
        self.load = NodeLoad(NodeCapacity())
        reading = {"held_bytes": 10**9, "under_way": 10**6, "resident_bytes": 10**12}
        self.assertIs(self.admission_with(**reading), Admission.ALL)
        self.load = NodeLoad(CAPACITY)
        self.assertIs(self.admission_with(resident_bytes=None), Admission.ALL)

    def test_a_state_is_left_well_below_its_threshold_and_not_at_once(self):
        self.admission_with(0.0, loop_lag_s=LATE_LOOP_S)
        self.assertIs(self.admission_with(0.1, loop_lag_s=0.0), Admission.KNOWN_PROGRAMS)
        later = SHORTEST_STATE_S
        self.assertIs(
            self.admission_with(later, loop_lag_s=0.6 * LATE_LOOP_S), Admission.KNOWN_PROGRAMS
        )
        self.assertIs(self.admission_with(later, loop_lag_s=0.4 * LATE_LOOP_S), Admission.ALL)

    def test_it_comes_back_by_steps(self):
        self.admission_with(0.0, loop_lag_s=VERY_LATE_LOOP_S)
        lag_s = 0.4 * VERY_LATE_LOOP_S
        self.assertIs(self.admission_with(1.0, loop_lag_s=lag_s), Admission.KNOWN_PROGRAMS)
        self.assertIs(self.admission_with(2.0, loop_lag_s=0.0), Admission.ALL)

    def test_a_lag_that_swings_about_the_threshold_changes_the_state_once(self):
        changes = [
            self.load.observe(NodeReading(loop_lag_s=LATE_LOOP_S * factor), 0.25 * step)
            for step, factor in enumerate([1.1, 0.9, 1.05, 0.8, 1.2, 0.7] * 10)
        ]
        self.assertEqual(len([change for change in changes if change is not None]), 1)

    def test_the_longer_it_lasts_the_later_callers_come_back(self):
        self.admission_with(10.0, loop_lag_s=LATE_LOOP_S)
        self.assertEqual(self.load.retry_after_s(10.0), 0.1)
        self.admission_with(10.4, loop_lag_s=VERY_LATE_LOOP_S)
        self.assertEqual(self.load.retry_after_s(10.5), 0.5)
        self.assertEqual(self.load.retry_after_s(60.0), 1.0)


class KnownProgramsTest(unittest.TestCase):
    def call(self, program="p", previous=None):
        context = ProgramContext(program, None, None) if program else None
        return RelayedCall(
            "r", "POST", "h", "/", (), b"", 0.0, 1.0, program=context, previous_turn=previous
        )

    def test_a_program_is_new_until_a_request_of_it_was_taken(self):
        known = KnownPrograms()
        self.assertTrue(known.is_new(self.call(), 0.0))
        known.note(self.call(), 0.0)
        self.assertFalse(known.is_new(self.call(), MEMORY_S))
        self.assertTrue(known.is_new(self.call(), MEMORY_S + 0.1))

    def test_a_turn_that_goes_on_is_not_new_on_any_node(self):
        self.assertFalse(KnownPrograms().is_new(self.call(previous="before"), 0.0))

    def test_a_request_of_no_program_is_new(self):
        known = KnownPrograms()
        known.note(self.call(program=""), 0.0)
        self.assertTrue(known.is_new(self.call(program=""), 0.0))

    def test_the_oldest_programs_are_forgotten(self):
        known = KnownPrograms()
        for number in range(MOST_PROGRAMS + 1):
            known.note(self.call(f"p{number}"), 0.0)
        self.assertTrue(known.is_new(self.call("p0"), 0.0))
        self.assertFalse(known.is_new(self.call("p1"), 0.0))
