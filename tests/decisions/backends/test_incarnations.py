"""Restart of an engine under the same id.

Guards against state of the previous incarnation that outlives it: slots, failures, speed and
cached shared prefixes.
"""

import unittest

import msgspec

from passlane.decisions.backends.engine_table import EngineTable
from passlane.decisions.backends.registry import BackendRegistry
from passlane.decisions.inputs.turn_events import TurnEnded, TurnPlaced, TurnRequested
from passlane.decisions.scheduling.turn_scheduler import LEADER_WARMUP_S, TurnScheduler
from passlane.fleet.state.listing_updates import apply_changes, changes_between
from passlane.messages.common import Address
from passlane.messages.listing import BackendRecord, BackendState
from passlane.messages.placement import TurnDemand, TurnOutcome

UNREPORTED = BackendRecord("e1", "llm", Address("10.0.0.1", 80), "a", 1, BackendState.READY)
FIRST = msgspec.structs.replace(UNREPORTED, born_ms=1_000)
SECOND = msgspec.structs.replace(UNREPORTED, born_ms=2_000)
THIRD = msgspec.structs.replace(UNREPORTED, born_ms=3_000)
LEAVING = msgspec.structs.replace(SECOND, state=BackendState.DRAINING)


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = BackendRegistry()

    def load(self):
        (load,) = self.registry.of_service("llm")
        return load

    def test_a_new_incarnation_is_a_new_back_end(self):
        self.registry.update([FIRST], 0.0)
        before = self.load()
        before.failures, before.in_flight, before.avoid_until = 3, 2, 9.0
        gone = self.registry.update([SECOND], 1.0)
        self.assertEqual(gone, [FIRST])
        after = self.load()
        self.assertEqual((after.failures, after.in_flight, after.avoid_until), (0, 0, 0.0))
        self.assertEqual(after.record, SECOND)

    def test_a_late_end_at_the_previous_incarnation_changes_nothing(self):
        self.registry.update([FIRST], 0.0)
        before = self.load()
        before.in_flight += 1
        self.registry.update([SECOND], 1.0)
        before.in_flight -= 1
        before.failures += 1
        self.registry.remove(before.record.incarnation)
        self.assertEqual((self.load().in_flight, self.load().failures), (0, 0))

    def test_an_outdated_list_changes_nothing(self):
        self.registry.update([SECOND], 0.0)
        after = self.load()
        self.assertEqual(self.registry.update([FIRST], 1.0), [])
        self.assertIs(self.load(), after)
        self.assertEqual(self.load().record, SECOND)

    def test_the_newer_of_two_listed_incarnations_is_used(self):
        for records in ([FIRST, THIRD], [THIRD, FIRST]):
            self.registry.update(records, 0.0)
            self.assertEqual(self.load().record, THIRD)

    def test_two_restarts_between_two_lists(self):
        self.registry.update([FIRST], 0.0)
        self.registry.update([THIRD], 1.0)
        self.assertEqual(self.load().record, THIRD)

    def test_the_same_incarnation_stays_the_same_back_end(self):
        self.registry.update([SECOND], 0.0)
        before = self.load()
        self.registry.update([LEAVING], 1.0)
        self.assertEqual(self.registry.of_service("llm"), [])
        self.registry.update([SECOND], 2.0)
        self.assertIs(self.load(), before)

    def test_without_an_incarnation_the_id_alone_counts(self):
        self.registry.update([UNREPORTED], 0.0)
        before = self.load()
        self.registry.update([UNREPORTED], 1.0)
        self.assertIs(self.load(), before)


class ListingTest(unittest.TestCase):
    def test_a_new_incarnation_is_a_change_of_the_list(self):
        changes = changes_between([FIRST], [SECOND])
        self.assertEqual(changes.changed, (SECOND,))
        self.assertEqual(apply_changes([FIRST], changes), (SECOND,))


class SlotTest(unittest.TestCase):
    def setUp(self):
        self.scheduler = TurnScheduler()
        self.scheduler.start_term(-LEADER_WARMUP_S)
        self.scheduler.replace_backends([FIRST], 0.0)

    def ask(self, attempt, now, program="p"):
        demand = TurnDemand(
            service="llm", route="r", urgency=1, zone="a", program_time_left_s=5.0, time_left_s=4.0
        )
        asked = TurnRequested(
            attempt_id=attempt, program_id=program, is_first=False, used_last="", most_tokens=10,
            demand=demand,
        )  # fmt: skip
        return self.scheduler.request_slot(asked, now)

    def running(self):
        return self.scheduler.stats("llm").running

    def test_slots_of_the_previous_incarnation_are_released_at_once(self):
        (placed,) = self.ask("a", 0.0)
        self.assertIsInstance(placed, TurnPlaced)
        self.assertEqual(self.ask("b", 0.1), [])
        (next_placed,) = self.scheduler.replace_backends([SECOND], 0.2)
        self.assertEqual(next_placed.attempt_id, "b")
        self.assertNotEqual(next_placed.engine, placed.engine)

    def test_a_late_end_of_a_turn_at_the_previous_incarnation_changes_nothing(self):
        (placed,) = self.ask("a", 0.0)
        self.scheduler.replace_backends([SECOND], 0.1)
        (after,) = self.ask("b", 0.2)
        failed = TurnOutcome(failed_at=(placed.engine,), full_at=(placed.engine,))
        late = TurnEnded(attempt_id="a", served_by=placed.engine, outcome=failed)
        self.assertEqual(self.scheduler.end(late, 0.3), [])
        self.assertEqual(self.running(), 1)
        self.scheduler.end(TurnEnded(attempt_id="b", served_by=after.engine), 0.4)
        (placed_again,) = self.ask("c", 0.5)
        self.assertEqual(placed_again.engine, after.engine)

    def test_an_outdated_list_releases_nothing(self):
        self.scheduler.replace_backends([SECOND], 0.1)
        self.ask("a", 0.2)
        self.scheduler.replace_backends([FIRST], 0.3)
        self.assertEqual(self.ask("b", 0.4), [])

    def test_learned_state_and_cached_prefixes_are_dropped(self):
        table = EngineTable()
        table.replace_records([FIRST])
        (before,) = table.of_service("llm")
        demand = TurnDemand(service="llm", route="r", urgency=1, zone="a", shared_part="s")
        before.record_shared_part(demand)
        before.back_off_as_full(0.0)
        table.replace_records([SECOND])
        (after,) = table.of_service("llm")
        self.assertFalse(after.has_shared_part(demand))
        self.assertTrue(after.is_usable(0.0))


if __name__ == "__main__":
    unittest.main()
