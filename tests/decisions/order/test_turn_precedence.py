"""Whom a turn that has just asked waits for, one cause at a time."""

import math
import unittest

from passlane.decisions.inputs.turn_events import TurnAsked
from passlane.decisions.order.turn_precedence import WaitsFor, waits_for
from passlane.decisions.order.turn_queue import (
    LONGEST_LATE_WAIT_S,
    LONGEST_PASSED_OVER_S,
    TurnQueue,
    WaitingTurn,
)
from passlane.messages.placement import TurnDemand

URGENT, USUAL, PATIENT = 0, 2, 4


def turn(name: str, urgency: int = USUAL, **given: object) -> WaitingTurn:
    """Return a turn of a program under way that asks at 0 s unless told otherwise."""
    asked = TurnAsked(
        attempt_id=name,
        program_id=f"p-{name}",
        is_first=False,
        used_last="",
        most_tokens=10,
        demand=TurnDemand(service="llm", route="r", urgency=urgency, zone="a"),
    )
    facts = {"asked_at": 0.0, "arrived_at": 0.0, "latest_start": 9.0, "hold_until": math.inf}
    return WaitingTurn(asked=asked, **{"is_new_program": False} | facts | given)


class WaitsForTest(unittest.TestCase):
    """One turn waits since 0 s, another asks."""

    def check(
        self,
        waiting: WaitingTurn | None,
        asks: WaitingTurn,
        expected: WaitsFor | None,
        *,
        after_s: float = 0.01,
        has_free_slot: bool = True,
    ) -> None:
        queue = TurnQueue()
        if waiting is not None:
            queue.add(waiting)
        self.assertIs(waits_for(asks, queue, lambda: has_free_slot, after_s), expected)

    def test_nobody_waits(self):
        for asks in (turn("a"), turn("a", is_new_program=True), turn("a", is_looping=True)):
            self.check(None, asks, None)

    def test_a_program_that_loops_waits_for_any_other(self):
        for waiting in (turn("w", PATIENT), turn("w", PATIENT, is_new_program=True)):
            self.check(waiting, turn("a", URGENT, is_looping=True), WaitsFor.ANY_OTHER)

    def test_a_new_program_waits_for_another_that_is_less_urgent(self):
        waiting = turn("w", PATIENT, is_new_program=True)
        self.check(waiting, turn("a", URGENT, is_new_program=True), WaitsFor.NEW_PROGRAM)

    def test_a_new_program_waits_for_one_under_way_that_is_as_urgent(self):
        self.check(turn("w", USUAL), turn("a", is_new_program=True), WaitsFor.UNDER_WAY)
        self.check(turn("w", PATIENT), turn("a", is_new_program=True), None)

    def test_a_more_urgent_turn_is_passed_for_a_moment_only(self):
        waiting = turn("w", URGENT)
        self.check(waiting, turn("a"), None, after_s=LONGEST_PASSED_OVER_S)
        self.check(waiting, turn("a"), WaitsFor.MORE_URGENT, after_s=LONGEST_PASSED_OVER_S + 0.001)

    def test_a_large_turn_that_has_waited_long_keeps_others_from_its_memory(self):
        self.check(turn("w"), turn("a"), WaitsFor.MEMORY, after_s=LONGEST_LATE_WAIT_S)
        self.check(turn("w"), turn("a"), None, after_s=LONGEST_LATE_WAIT_S - 0.001)

    def test_a_turn_that_waits_for_a_slot_waits_for_no_memory(self):
        self.check(turn("w"), turn("a"), None, after_s=LONGEST_LATE_WAIT_S, has_free_slot=False)


if __name__ == "__main__":
    unittest.main()
