"""Selection of the engine of a turn by the earliest expected end.

Each component of the estimate decides if the others are equal.
"""

import unittest

from passlane.decisions.backends.engine_slots import EngineSlots, PlacedTurn
from passlane.decisions.backends.speed import FleetSpeed
from passlane.decisions.inputs.turn_events import TurnRequested
from passlane.decisions.placement.shared_parts import MIN_LARGE_PART_TOKENS
from passlane.decisions.placement.turn_placement import (
    INITIAL_DURATION_S,
    MAX_QUEUED_TURNS,
    OTHER_ZONE_S,
    TurnDurations,
    choose_engine,
)
from passlane.messages.common import Address
from passlane.messages.listing import BackendRecord, BackendState
from passlane.messages.placement import TurnDemand

SLOTS = 2


def engine(name: str, *, running: int = 0, zone: str = "a") -> EngineSlots:
    """Return an engine of two slots with this many running turns of 100 tokens."""
    address = Address("10.0.0.1", 80)
    record = BackendRecord(name, "llm", address, zone, SLOTS, BackendState.READY)
    slots = EngineSlots(record, FleetSpeed())
    for number in range(running):
        slots.assign(
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


def asked(*, used_last: str = "", **demand: object) -> TurnRequested:
    facts: dict[str, object] = {"service": "llm", "route": "r", "urgency": 0, "zone": "a"}
    return TurnRequested(
        attempt_id="a",
        program_id="q",
        is_first=False,
        used_last=used_last,
        most_tokens=10,
        demand=TurnDemand(**(facts | demand)),
    )


class ChooseEngineTest(unittest.TestCase):
    def choice(self, turn: TurnRequested, *engines: EngineSlots) -> str:
        chosen = choose_engine(engines, turn, TurnDurations())
        return chosen.engine.incarnation if chosen is not None else ""

    def test_the_first_of_equal_engines_is_chosen(self):
        self.assertEqual(self.choice(asked(), engine("e1"), engine("e2")), "e1")

    def test_an_engine_of_typical_speed_is_preferred_to_a_slow_one(self):
        slow = engine("e1")
        slow.slowdown = 1.5
        self.assertEqual(self.choice(asked(), slow, engine("e2")), "e2")

    def test_an_engine_with_fewer_turns_is_preferred(self):
        self.assertEqual(self.choice(asked(), engine("e1", running=1), engine("e2")), "e2")

    def test_an_engine_of_the_own_zone_is_preferred(self):
        self.assertEqual(self.choice(asked(), engine("e1", zone="b"), engine("e2")), "e2")

    def test_an_engine_with_the_cached_history_of_a_long_prompt_is_preferred(self):
        turn = asked(used_last="e2", prompt_tokens=9_000)
        self.assertEqual(self.choice(turn, engine("e1"), engine("e2", running=1)), "e2")

    def test_an_engine_with_a_free_slot_is_preferred_if_the_prompt_is_short(self):
        turn = asked(used_last="e2", prompt_tokens=100)
        self.assertEqual(self.choice(turn, engine("e1"), engine("e2", running=SLOTS)), "e1")

    def test_an_engine_with_the_cached_shared_prefix_is_preferred(self):
        cached = engine("e2")
        turn = asked(prompt_tokens=9_000, shared_part="part", shared_tokens=8_000)
        cached.record_shared_part(turn.demand)
        self.assertEqual(self.choice(turn, engine("e1"), cached), "e2")

    def test_turns_are_queued_only_if_the_prompt_is_cached(self):
        full = engine("e1", running=SLOTS)
        self.assertEqual(self.choice(asked(), full), "")
        self.assertEqual(self.choice(asked(used_last="e1"), full), "e1")
        part = asked(shared_part="part", shared_tokens=MIN_LARGE_PART_TOKENS)
        self.assertEqual(self.choice(part, full), "")
        full.record_shared_part(part.demand)
        self.assertEqual(self.choice(part, full), "e1")
        small = asked(shared_part="part", shared_tokens=MIN_LARGE_PART_TOKENS - 1)
        self.assertEqual(self.choice(small, full), "")

    def test_the_number_of_queued_turns_is_bounded(self):
        last = engine("e1", running=SLOTS + MAX_QUEUED_TURNS - 1)
        self.assertEqual(self.choice(asked(used_last="e1"), last), "e1")
        none_left = engine("e1", running=SLOTS + MAX_QUEUED_TURNS)
        self.assertEqual(self.choice(asked(used_last="e1"), none_left), "")

    def test_an_engine_without_memory_for_the_turn_is_not_chosen(self):
        turn = asked(prompt_tokens=91, memory_tokens=200)
        self.assertEqual(self.choice(turn, engine("e1", running=1)), "")
        self.assertEqual(self.choice(turn, engine("e1")), "e1")

    def test_the_expected_end_includes_the_round_trip(self):
        chosen = choose_engine([engine("e1", zone="b")], asked(), TurnDurations())
        self.assertAlmostEqual(chosen.run_s, INITIAL_DURATION_S)
        self.assertAlmostEqual(chosen.end_s, INITIAL_DURATION_S + OTHER_ZONE_S)

    def test_the_wait_of_a_queued_turn_is_its_share_of_the_others(self):
        full = engine("e1", running=SLOTS)
        chosen = choose_engine([full], asked(used_last="e1"), TurnDurations())
        self.assertAlmostEqual(chosen.end_s, chosen.run_s * (1 + 1 / SLOTS))


if __name__ == "__main__":
    unittest.main()
