"""Reasons why a new turn must wait, one at a time."""

import math
import unittest

from passlane.decisions.inputs.turn_events import TurnRequested
from passlane.decisions.order.turn_precedence import WaitReason, find_wait_reason
from passlane.decisions.order.turn_queue import (
    MAX_OVERDUE_WAIT_S,
    MAX_PASSED_OVER_S,
    TurnQueue,
    WaitingTurn,
)
from passlane.messages.placement import TurnDemand

URGENT, NORMAL, LOW = 0, 2, 4


def turn(name: str, urgency: int = NORMAL, **changes: object) -> WaitingTurn:
    """Return a turn of a program under way, requested at 0 s by default."""
    asked = TurnRequested(
        attempt_id=name,
        program_id=f"p-{name}",
        is_first=False,
        used_last="",
        most_tokens=10,
        demand=TurnDemand(service="llm", route="r", urgency=urgency, zone="a"),
    )
    defaults = {"asked_at": 0.0, "arrived_at": 0.0, "latest_start": 9.0, "hold_until": math.inf}
    return WaitingTurn(asked=asked, **{"is_new_program": False} | defaults | changes)


class WaitReasonTest(unittest.TestCase):
    """One turn has waited since 0 s when another is requested."""

    def check(
        self,
        waiting: WaitingTurn | None,
        new_turn: WaitingTurn,
        expected: WaitReason | None,
        *,
        after_s: float = 0.01,
        has_free_slot: bool = True,
    ) -> None:
        queue = TurnQueue()
        if waiting is not None:
            queue.add(waiting)
        self.assertIs(find_wait_reason(new_turn, queue, lambda: has_free_slot, after_s), expected)

    def test_no_turn_waits_behind_an_empty_queue(self):
        for new_turn in (turn("a"), turn("a", is_new_program=True), turn("a", is_looping=True)):
            self.check(None, new_turn, None)

    def test_a_looping_program_waits_for_any_other_turn(self):
        for waiting in (turn("w", LOW), turn("w", LOW, is_new_program=True)):
            self.check(waiting, turn("a", URGENT, is_looping=True), WaitReason.ANY_OTHER)

    def test_a_new_program_waits_for_a_less_urgent_new_program(self):
        waiting = turn("w", LOW, is_new_program=True)
        self.check(waiting, turn("a", URGENT, is_new_program=True), WaitReason.NEW_PROGRAM)

    def test_a_new_program_waits_for_a_turn_under_way_of_the_same_urgency(self):
        self.check(turn("w", NORMAL), turn("a", is_new_program=True), WaitReason.UNDER_WAY)
        self.check(turn("w", LOW), turn("a", is_new_program=True), None)

    def test_a_more_urgent_turn_is_passed_over_for_a_limited_time(self):
        waiting = turn("w", URGENT)
        self.check(waiting, turn("a"), None, after_s=MAX_PASSED_OVER_S)
        self.check(waiting, turn("a"), WaitReason.MORE_URGENT, after_s=MAX_PASSED_OVER_S + 0.001)

    def test_a_turn_that_has_waited_long_for_memory_blocks_others(self):
        self.check(turn("w"), turn("a"), WaitReason.MEMORY, after_s=MAX_OVERDUE_WAIT_S)
        self.check(turn("w"), turn("a"), None, after_s=MAX_OVERDUE_WAIT_S - 0.001)

    def test_without_a_free_slot_no_turn_waits_for_memory(self):
        self.check(turn("w"), turn("a"), None, after_s=MAX_OVERDUE_WAIT_S, has_free_slot=False)


if __name__ == "__main__":
    unittest.main()
