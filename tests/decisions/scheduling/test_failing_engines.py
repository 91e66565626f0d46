"""An ejected engine gets trial turns while others wait, and all turns again once it succeeds.

Guards against turns that wait while an engine with free slots stays ejected: without a trial turn
it could not show that it has recovered.
"""

import heapq
import itertools
import unittest

from decisions.scheduling.test_turn_scheduler import ended, engine, slot_request
from passlane.decisions.inputs.turn_events import TurnPlaced
from passlane.decisions.scheduling.turn_scheduler import TurnScheduler

SLOTS = {"e1": 2, "e2": 2, "e3": 1, "e4": 1}
TURN_S = 0.8
TICK_S = 0.05
RECOVERY_S = 3.0
"""Seconds from the last failure to the first full load."""


class FullLoad:
    """Loads that fill all slots of engines that serve each turn in the same time."""

    def __init__(self, slots=SLOTS):
        self.scheduler = TurnScheduler()
        self.scheduler.start_term(-1.0)
        self.scheduler.replace_backends([engine(name, n) for name, n in slots.items()], 0.0)
        self.slots = sum(slots.values())
        self.numbers = itertools.count()
        self.programs = {}
        self.now = 0.0

    def fail(self, name, count):
        for _ in range(count):
            settled = ended(f"failed{next(self.numbers)}", failed_at=(name,))
            self.scheduler.end(settled, self.now)

    def run(self):
        """Serve one turn per slot, with retries; return the maximum of turns running at once."""
        running, max_running, served = [], 0, 0
        requests = [(self.now, f"p{next(self.numbers)}") for _ in range(self.slots)]
        decisions = []
        while served < self.slots:
            while requests and requests[0][0] <= self.now:
                _, program = heapq.heappop(requests)
                self.programs[attempt := f"t{next(self.numbers)}"] = program
                decisions += self.scheduler.request_slot(slot_request(attempt, program), self.now)
            for decision in decisions:
                if isinstance(decision, TurnPlaced):
                    turn = (self.now + TURN_S, decision.attempt_id, decision.engine)
                    heapq.heappush(running, turn)
                else:
                    retry_at = self.now + decision.retry_after_s
                    heapq.heappush(requests, (retry_at, self.programs[decision.attempt_id]))
            max_running = max(max_running, len(running))
            self.now += TICK_S
            decisions = self.scheduler.advance(self.now)
            while running and running[0][0] <= self.now:
                _, attempt, name = heapq.heappop(running)
                served += 1
                decisions += self.scheduler.end(ended(attempt, name, TURN_S), self.now)
        return max_running


class FullLoadTest(unittest.TestCase):
    def test_after_the_first_full_load_all_slots_are_used(self):
        for name in SLOTS:
            for failures in range(1, 30):
                load = FullLoad()
                load.fail(name, failures)
                load.now += RECOVERY_S
                load.run()
                self.assertEqual(load.run(), load.slots, f"{failures} failures of {name}")

    def test_all_slots_are_used_after_two_engines_failed(self):
        for failures in range(1, 30):
            load = FullLoad()
            load.fail("e1", failures)
            load.fail("e3", failures)
            load.now += RECOVERY_S
            load.run()
            self.assertEqual(load.run(), load.slots, f"{failures} failures")


class TrialTest(unittest.TestCase):
    """A failing engine gets one trial turn at a time, which shows whether it has recovered."""

    def setUp(self):
        self.scheduler = TurnScheduler()
        self.scheduler.start_term(-1.0)
        records = [engine("e1", 2), engine("e2", 1), engine("e3", 1)]
        self.scheduler.replace_backends(records, 0.0)
        for number in range(8):
            self.scheduler.end(ended(f"f{number}", failed_at=("e1",)), 0.0)

    def ask(self, name, now):
        """Request a slot for a running program; return its engine, ``None`` if it waits."""
        decisions = self.scheduler.request_slot(
            slot_request(name, f"p-{name}", is_first=False), now
        )
        return decisions[0].engine if decisions else None

    def fill(self, now):
        self.assertEqual({self.ask("a", now), self.ask("b", now)}, {"e2", "e3"})

    def test_other_engines_with_free_slots_are_preferred(self):
        self.fill(2.0)

    def test_it_gets_no_turn_for_a_second(self):
        self.fill(0.5)
        self.assertIsNone(self.ask("c", 0.9))

    def test_after_that_it_gets_one_turn_at_a_time(self):
        self.fill(2.0)
        self.assertEqual(self.ask("c", 2.0), "e1")
        self.assertIsNone(self.ask("d", 2.1))

    def test_a_waiting_turn_becomes_the_trial_turn_when_it_is_due(self):
        self.fill(0.5)
        self.assertIsNone(self.ask("c", 0.9))
        (placed,) = self.scheduler.advance(1.05)
        self.assertEqual((placed.attempt_id, placed.engine), ("c", "e1"))

    def test_a_complete_response_ends_the_ejection(self):
        self.fill(2.0)
        self.assertEqual(self.ask("c", 2.0), "e1")
        self.assertIsNone(self.ask("d", 2.1))
        self.assertIsNone(self.ask("e", 2.1))
        placed = self.scheduler.end(ended("c", "e1", 0.2), 2.2)
        self.assertEqual([each.engine for each in placed], ["e1", "e1"])

    def test_another_failure_ejects_it_again(self):
        self.fill(2.0)
        self.assertEqual(self.ask("c", 2.0), "e1")
        self.scheduler.end(ended("c", failed_at=("e1",)), 2.5)
        self.assertIsNone(self.ask("d", 3.4))
        (placed,) = self.scheduler.advance(3.55)
        self.assertEqual(placed.engine, "e1")

    def test_a_success_of_a_turn_placed_before_the_last_failure_is_ignored(self):
        self.fill(2.0)
        self.assertEqual(self.ask("c", 2.0), "e1")
        self.scheduler.end(ended("late", failed_at=("e1",)), 2.1)
        self.scheduler.end(ended("c", "e1", 0.2), 2.2)
        self.assertIsNone(self.ask("d", 2.3))


if __name__ == "__main__":
    unittest.main()
