"""Admission by node load: new programs are refused first, with hysteresis."""

import unittest

from passlane.decisions.admission.known_programs import MAX_PROGRAMS, RETENTION_S, KnownPrograms
from passlane.decisions.admission.node_load import (
    LATE_LOOP_S,
    MIN_STATE_S,
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

    def test_a_node_below_its_thresholds_admits_all_requests(self):
        self.assertIs(self.admission_with(loop_lag_s=0.01, under_way=50), Admission.ALL)
        self.assertFalse(self.load.refuses(is_new_program=True))

    def test_loop_lag_first_refuses_new_programs_then_all_requests(self):
        self.assertIs(self.admission_with(loop_lag_s=LATE_LOOP_S), Admission.KNOWN_PROGRAMS)
        self.assertTrue(self.load.refuses(is_new_program=True))
        self.assertFalse(self.load.refuses(is_new_program=False))
        self.assertIs(self.admission_with(loop_lag_s=VERY_LATE_LOOP_S), Admission.NOTHING)
        self.assertTrue(self.load.refuses(is_new_program=False))

    def test_each_part_of_a_reading_counts_and_is_named_as_the_cause(self):
        for name, cause, high, very_high in (
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
                self.assertIs(self.admission_with(**{name: very_high}), Admission.NOTHING)

    def test_unknown_and_unbounded_values_are_ignored(self):
        self.load = NodeLoad(NodeCapacity())
        reading = {"held_bytes": 10**9, "under_way": 10**6, "resident_bytes": 10**12}
        self.assertIs(self.admission_with(**reading), Admission.ALL)
        self.load = NodeLoad(CAPACITY)
        self.assertIs(self.admission_with(resident_bytes=None), Admission.ALL)

    def test_recovery_requires_a_lower_threshold_and_a_minimum_time(self):
        self.admission_with(0.0, loop_lag_s=LATE_LOOP_S)
        self.assertIs(self.admission_with(0.1, loop_lag_s=0.0), Admission.KNOWN_PROGRAMS)
        later = MIN_STATE_S
        self.assertIs(
            self.admission_with(later, loop_lag_s=0.6 * LATE_LOOP_S), Admission.KNOWN_PROGRAMS
        )
        self.assertIs(self.admission_with(later, loop_lag_s=0.4 * LATE_LOOP_S), Admission.ALL)

    def test_recovery_passes_through_the_intermediate_state(self):
        self.admission_with(0.0, loop_lag_s=VERY_LATE_LOOP_S)
        lag_s = 0.4 * VERY_LATE_LOOP_S
        self.assertIs(self.admission_with(1.0, loop_lag_s=lag_s), Admission.KNOWN_PROGRAMS)
        self.assertIs(self.admission_with(2.0, loop_lag_s=0.0), Admission.ALL)

    def test_a_lag_that_oscillates_around_the_threshold_changes_the_state_once(self):
        changes = [
            self.load.observe(NodeReading(loop_lag_s=LATE_LOOP_S * factor), 0.25 * step)
            for step, factor in enumerate([1.1, 0.9, 1.05, 0.8, 1.2, 0.7] * 10)
        ]
        self.assertEqual(len([change for change in changes if change is not None]), 1)

    def test_the_retry_after_time_grows_with_the_overload(self):
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

    def test_a_program_is_new_until_one_of_its_requests_is_admitted(self):
        known = KnownPrograms()
        self.assertTrue(known.is_new(self.call(), 0.0))
        known.note(self.call(), 0.0)
        self.assertFalse(known.is_new(self.call(), RETENTION_S))
        self.assertTrue(known.is_new(self.call(), RETENTION_S + 0.1))

    def test_a_request_that_continues_a_turn_is_not_new_on_any_node(self):
        self.assertFalse(KnownPrograms().is_new(self.call(previous="before"), 0.0))

    def test_a_request_without_a_program_is_always_new(self):
        known = KnownPrograms()
        known.note(self.call(program=""), 0.0)
        self.assertTrue(known.is_new(self.call(program=""), 0.0))

    def test_the_least_recently_used_program_is_evicted(self):
        known = KnownPrograms()
        for number in range(MAX_PROGRAMS + 1):
            known.note(self.call(f"p{number}"), 0.0)
        self.assertTrue(known.is_new(self.call("p0"), 0.0))
        self.assertFalse(known.is_new(self.call("p1"), 0.0))
