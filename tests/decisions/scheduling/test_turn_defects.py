"""Defects that are put into the scheduler of turns, each of which its tests must notice."""

import io
import unittest
from collections.abc import Iterator

from decisions.scheduling import test_turn_figures, test_turn_scheduler
from passlane.decisions.admission.program_admission import ProgramAdmission
from passlane.decisions.backends.engine_table import EngineTable, HeldSlot
from passlane.decisions.order.turn_queue import TurnQueue, WaitingTurn
from passlane.decisions.placement.turn_placement import TurnDurations
from passlane.decisions.scheduling.turn_scheduler import TurnScheduler
from passlane.simulation.replacement import Replacement, replaced

_give_back = EngineTable.give_back
_take_expired = EngineTable.take_expired
_begin = TurnScheduler.begin
_in_order = TurnQueue.in_order


def keep_place(table: EngineTable, attempt_id: str) -> None:
    """Give no place back."""


def give_back_twice(table: EngineTable, attempt_id: str) -> HeldSlot | None:
    """Free another place of the engine with each end."""
    given_back = _give_back(table, attempt_id)
    if given_back is not None and given_back.engine.turns:
        _give_back(table, next(iter(given_back.engine.turns)))
    return given_back


def keep_expired(table: EngineTable, attempt_id: str) -> HeldSlot | None:
    """Let an end that comes late count again and again."""
    placed = _take_expired(table, attempt_id)
    if placed is not None:
        table._expired[attempt_id] = placed
    return placed


def begin_at_once(scheduler: TurnScheduler, now: float) -> list[object]:
    """Place by an empty table from the first moment of a term on."""
    decisions = _begin(scheduler, now)
    scheduler._warmup_until = now
    return decisions


def forget_first_asking(admission: ProgramAdmission, program_id: str, now: float) -> float:
    """Take a program that came back for one that asks for the first time."""
    return now


def by_arrival(queue: TurnQueue, now: float) -> Iterator[WaitingTurn]:
    """Serve in order of arrival."""
    return iter(sorted(_in_order(queue, now), key=lambda turn: turn.arrived_at))


def learn_nothing(durations: TurnDurations, outcome: object, against_fleet: float) -> None:
    """Learn nothing."""


class PlantedDefectTest(unittest.TestCase):
    def assert_noticed(self, replacement: Replacement) -> None:
        loader = unittest.defaultTestLoader
        suite = unittest.TestSuite(
            loader.loadTestsFromModule(module)
            for module in (test_turn_scheduler, test_turn_figures)
        )
        with replaced([replacement]):
            result = unittest.TextTestRunner(stream=io.StringIO()).run(suite)
        self.assertGreater(result.testsRun, 0)
        self.assertFalse(result.wasSuccessful())

    def test_without_a_defect_all_hold(self):
        with self.assertRaises(AssertionError):
            self.assert_noticed(Replacement(EngineTable, "give_back", _give_back))

    def test_a_place_that_is_never_given_back(self):
        self.assert_noticed(Replacement(EngineTable, "give_back", keep_place))

    def test_an_end_that_frees_two_places(self):
        self.assert_noticed(Replacement(EngineTable, "give_back", give_back_twice))

    def test_a_late_end_that_counts_each_time(self):
        self.assert_noticed(Replacement(EngineTable, "take_expired", keep_expired))

    def test_a_new_leader_that_places_by_an_empty_table(self):
        self.assert_noticed(Replacement(TurnScheduler, "begin", begin_at_once))

    def test_a_returned_caller_that_loses_its_place_in_the_order(self):
        self.assert_noticed(Replacement(ProgramAdmission, "first_asked_at", forget_first_asking))

    def test_an_urgent_turn_that_waits_behind_others(self):
        self.assert_noticed(Replacement(TurnQueue, "in_order", by_arrival))

    def test_a_service_of_which_nothing_is_learnt(self):
        self.assert_noticed(Replacement(TurnDurations, "learn", learn_nothing))
