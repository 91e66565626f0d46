"""Mutation tests of the turn scheduler: its tests must detect each planted defect."""

import io
import unittest
from collections.abc import Iterator

from decisions.scheduling import test_turn_estimates, test_turn_scheduler
from passlane.decisions.admission.program_admission import ProgramAdmission
from passlane.decisions.backends.engine_table import AssignedSlot, EngineTable
from passlane.decisions.order.turn_queue import TurnQueue, WaitingTurn
from passlane.decisions.placement.turn_placement import TurnDurations
from passlane.decisions.scheduling.turn_scheduler import TurnScheduler
from passlane.simulation.replacement import Replacement, replaced

_release = EngineTable.release
_pop_expired = EngineTable.pop_expired
_start_term = TurnScheduler.start_term
_in_order = TurnQueue.in_order


def never_release(table: EngineTable, attempt_id: str) -> None:
    """Release no slot."""


def release_twice(table: EngineTable, attempt_id: str) -> AssignedSlot | None:
    """Release another slot of the engine with each end of a turn."""
    released = _release(table, attempt_id)
    if released is not None and released.engine.turns:
        _release(table, next(iter(released.engine.turns)))
    return released


def keep_expired(table: EngineTable, attempt_id: str) -> AssignedSlot | None:
    """Let the end of a turn whose slot has expired count every time."""
    slot = _pop_expired(table, attempt_id)
    if slot is not None:
        table._expired[attempt_id] = slot
    return slot


def skip_warmup(scheduler: TurnScheduler, now: float) -> list[object]:
    """Place turns by an empty slot table from the start of a term."""
    decisions = _start_term(scheduler, now)
    scheduler._warmup_until = now
    return decisions


def forget_first_request(admission: ProgramAdmission, program_id: str, now: float) -> float:
    """Treat a program that retries as a new request."""
    return now


def by_arrival(queue: TurnQueue, now: float) -> Iterator[WaitingTurn]:
    """Serve turns in order of arrival."""
    return iter(sorted(_in_order(queue, now), key=lambda turn: turn.arrived_at))


def skip_learning(durations: TurnDurations, outcome: object, against_fleet: float) -> None:
    """Ignore the outcome of a turn."""


class PlantedDefectTest(unittest.TestCase):
    def assert_detected(self, replacement: Replacement) -> None:
        loader = unittest.defaultTestLoader
        suite = unittest.TestSuite(
            loader.loadTestsFromModule(module)
            for module in (test_turn_scheduler, test_turn_estimates)
        )
        with replaced([replacement]):
            result = unittest.TextTestRunner(stream=io.StringIO()).run(suite)
        self.assertGreater(result.testsRun, 0)
        self.assertFalse(result.wasSuccessful())

    def test_without_a_defect_nothing_is_detected(self):
        with self.assertRaises(AssertionError):
            self.assert_detected(Replacement(EngineTable, "release", _release))

    def test_a_slot_that_is_never_released(self):
        self.assert_detected(Replacement(EngineTable, "release", never_release))

    def test_an_end_that_releases_two_slots(self):
        self.assert_detected(Replacement(EngineTable, "release", release_twice))

    def test_an_end_after_expiry_that_counts_each_time(self):
        self.assert_detected(Replacement(EngineTable, "pop_expired", keep_expired))

    def test_a_new_leader_without_warmup(self):
        self.assert_detected(Replacement(TurnScheduler, "start_term", skip_warmup))

    def test_a_retry_that_loses_its_place_in_the_order(self):
        self.assert_detected(Replacement(ProgramAdmission, "first_asked_at", forget_first_request))

    def test_an_urgent_turn_without_priority(self):
        self.assert_detected(Replacement(TurnQueue, "in_order", by_arrival))

    def test_a_service_without_duration_estimates(self):
        self.assert_detected(Replacement(TurnDurations, "learn", skip_learning))
