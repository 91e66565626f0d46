"""Log lines of the turn scheduler's decisions."""

import unittest

from structlog.testing import capture_logs

from passlane.decisions.inputs.turn_events import (
    TurnDecision,
    TurnNotPlaced,
    TurnPlaced,
    TurnRequested,
    TurnWithdrawn,
)
from passlane.decisions.scheduling.turn_scheduler import SchedulerStats
from passlane.messages.placement import TurnDemand
from passlane.turns.decision_log import log_decision, log_slot_usage

TURN_EVENT = TurnRequested(
    attempt_id="a",
    program_id="p",
    is_first=True,
    used_last="e2",
    most_tokens=10,
    demand=TurnDemand(
        service="llm", route="r", urgency=12, zone="a", tenant="corner", program_time_left_s=2.5
    ),
)
TURN_FIELDS = {"request_id": "a", "program_id": "p", "log_level": "info"}


class DecisionLineTest(unittest.TestCase):
    def lines_for(self, decision: TurnDecision) -> list[dict[str, object]]:
        with capture_logs() as lines:
            log_decision(TURN_EVENT, decision)
        return [{key: line[key] for key in line if key != "component"} for line in lines]

    def test_a_placed_turn_that_waited_is_logged(self):
        placed = TurnPlaced(
            attempt_id="a", engine="e1", waited_s=0.03125, expected_s=0.24, running=6, waiting=17
        )
        expected = TURN_FIELDS | {
            "event": "turn_placed",
            "tenant": "corner",
            "urgency": 12,
            "is_first": True,
            "instance": "e1",
            "used_last": "e2",
            "waited_s": 0.0312,
            "expected_s": 0.24,
            "running": 6,
            "waiting": 17,
        }
        self.assertEqual(self.lines_for(placed), [expected])

    def test_a_placed_turn_that_did_not_wait_is_not_logged(self):
        self.assertEqual(self.lines_for(TurnPlaced(attempt_id="a", engine="e1", waited_s=0.0)), [])

    def test_a_refusal_is_logged_with_its_reasons(self):
        refused = TurnNotPlaced(
            attempt_id="a", retry_after_s=0.75, waiting=9, busy_share=0.875, waited_s=0.5
        )
        expected = TURN_FIELDS | {
            "event": "program_refused",
            "tenant": "corner",
            "urgency": 12,
            "waiting": 9,
            "busy_share": 0.875,
            "waited_s": 0.5,
            "retry_after_s": 0.75,
            "program_time_left_s": 2.5,
        }
        self.assertEqual(self.lines_for(refused), [expected])

    def test_a_withdrawn_turn_is_logged(self):
        expected = TURN_FIELDS | {"event": "turn_withdrawn"}
        self.assertEqual(self.lines_for(TurnWithdrawn("a")), [expected])


class SlotUsageLineTest(unittest.TestCase):
    def events_for(self, **given: int) -> list[str]:
        none = {"waiting_under_way": 0, "waiting_new": 0, "told_to_return": 0}
        stats = SchedulerStats(engines=1, slots=6, running=6, **(none | given))
        with capture_logs() as lines:
            log_slot_usage("llm", stats)
        return [line["event"] for line in lines]

    def test_slot_usage_is_logged_while_turns_wait_or_are_to_retry(self):
        self.assertEqual(self.events_for(), [])
        for name in ("waiting_under_way", "waiting_new", "told_to_return"):
            self.assertEqual(self.events_for(**{name: 1}), ["places"], name)


if __name__ == "__main__":
    unittest.main()
