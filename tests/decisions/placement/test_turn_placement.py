"""To which engine a turn goes: each part of the expected end decides where the others are equal."""

import unittest

from passlane.decisions.backends.engine_slots import EngineSlots, PlacedTurn
from passlane.decisions.backends.speed import FleetSpeed
from passlane.decisions.inputs.turn_events import TurnAsked
from passlane.decisions.placement.shared_parts import MIN_LARGE_PART_TOKENS
from passlane.decisions.placement.turn_placement import (
    DURATION_AT_FIRST_S,
    OTHER_ZONE_S,
    RETURN_SLOTS,
    TurnDurations,
    choose_engine,
)
from passlane.messages.common import Address
from passlane.messages.listing import BackendRecord, BackendState
from passlane.messages.placement import TurnDemand

SLOTS = 2


def engine(name: str, *, running: int = 0, zone: str = "a") -> EngineSlots:
    """Return an engine of two slots at which so many turns of 100 tokens have one."""
    address = Address("10.0.0.1", 80)
    record = BackendRecord(name, "llm", address, zone, SLOTS, BackendState.READY)
    slots = EngineSlots(record, FleetSpeed())
    for number in range(running):
        slots.take(
            PlacedTurn(
                attempt_id=f"{name}-{number}",
                program_id="p",
                tokens=100,
                placed_at=0.0,
                expected_s=0.1,
                expected_slowdown=1.0,
                until=9.0,
            )
        )
    return slots


def asked(*, used_last: str = "", **demand: object) -> TurnAsked:
    facts: dict[str, object] = {"service": "llm", "route": "r", "urgency": 0, "zone": "a"}
    return TurnAsked(
        attempt_id="a",
        program_id="q",
        is_first=False,
        used_last=used_last,
        most_tokens=10,
        demand=TurnDemand(**(facts | demand)),
    )


class ChooseEngineTest(unittest.TestCase):
    def choice(self, turn: TurnAsked, *engines: EngineSlots) -> str:
        chosen = choose_engine(engines, turn, TurnDurations())
        return chosen.engine.incarnation if chosen is not None else ""

    def test_the_first_of_equal_engines(self):
        self.assertEqual(self.choice(asked(), engine("e1"), engine("e2")), "e1")

    def test_the_engine_of_usual_pace_before_a_slow_one(self):
        slow = engine("e1")
        slow.slowdown = 1.5
        self.assertEqual(self.choice(asked(), slow, engine("e2")), "e2")

    def test_the_emptier_engine(self):
        self.assertEqual(self.choice(asked(), engine("e1", running=1), engine("e2")), "e2")

    def test_the_engine_of_the_node_s_zone(self):
        self.assertEqual(self.choice(asked(), engine("e1", zone="b"), engine("e2")), "e2")

    def test_the_engine_that_holds_the_history_of_a_long_prompt(self):
        turn = asked(used_last="e2", prompt_tokens=9_000)
        self.assertEqual(self.choice(turn, engine("e1"), engine("e2", running=1)), "e2")

    def test_an_engine_with_room_elsewhere_if_reading_costs_little(self):
        turn = asked(used_last="e2", prompt_tokens=100)
        self.assertEqual(self.choice(turn, engine("e1"), engine("e2", running=SLOTS)), "e1")

    def test_the_engine_that_lately_read_the_shared_part(self):
        holder = engine("e2")
        turn = asked(prompt_tokens=9_000, shared_part="part", shared_tokens=8_000)
        holder.note_part(turn.demand)
        self.assertEqual(self.choice(turn, engine("e1"), holder), "e2")

    def test_beyond_the_slots_only_where_the_prompt_is_held(self):
        full = engine("e1", running=SLOTS)
        self.assertEqual(self.choice(asked(), full), "")
        self.assertEqual(self.choice(asked(used_last="e1"), full), "e1")
        part = asked(shared_part="part", shared_tokens=MIN_LARGE_PART_TOKENS)
        self.assertEqual(self.choice(part, full), "")
        full.note_part(part.demand)
        self.assertEqual(self.choice(part, full), "e1")
        small = asked(shared_part="part", shared_tokens=MIN_LARGE_PART_TOKENS - 1)
        self.assertEqual(self.choice(small, full), "")

    def test_beyond_the_slots_so_many_and_no_more(self):
        last = engine("e1", running=SLOTS + RETURN_SLOTS - 1)
        self.assertEqual(self.choice(asked(used_last="e1"), last), "e1")
        none_left = engine("e1", running=SLOTS + RETURN_SLOTS)
        self.assertEqual(self.choice(asked(used_last="e1"), none_left), "")

    def test_no_engine_without_memory_for_the_turn(self):
        turn = asked(prompt_tokens=91, memory_tokens=200)
        self.assertEqual(self.choice(turn, engine("e1", running=1)), "")
        self.assertEqual(self.choice(turn, engine("e1")), "e1")

    def test_the_expected_end_is_the_run_and_the_way(self):
        chosen = choose_engine([engine("e1", zone="b")], asked(), TurnDurations())
        self.assertAlmostEqual(chosen.run_s, DURATION_AT_FIRST_S)
        self.assertAlmostEqual(chosen.end_s, DURATION_AT_FIRST_S + OTHER_ZONE_S)

    def test_a_turn_beyond_the_slots_waits_for_its_share_of_the_others(self):
        full = engine("e1", running=SLOTS)
        chosen = choose_engine([full], asked(used_last="e1"), TurnDurations())
        self.assertAlmostEqual(chosen.end_s, chosen.run_s * (1 + 1 / SLOTS))


if __name__ == "__main__":
    unittest.main()
