"""An engine that has failed gets turns again as soon as it serves, and while turns wait for slots.

What happens: after faults have ended, four of six turns run at once and two wait, for ten seconds
and longer, while an engine with two free slots gets none. The soak's check "no-place-held" found
it (4 of 6 turns ran at once, 6 were served at last); no slot was held.

Why: an engine that fails more than the others was left out of the choice altogether, until its
failures had been forgotten (half of them in 4 s). Nothing that it served could show before that
it was well again, since it was given nothing.

What showed it: the scheduler alone on a virtual clock, with bursts of failures before full sets
(300 seeds): 116 needed a second full set, 3 a fifth. Each time the engine with the free slots stood
there as failing, with no turn: ``[('e1', is_usable False, is_failing True)]``.
"""

import heapq
import itertools
import unittest

from decisions.scheduling.test_turn_scheduler import asked, ended, engine
from passlane.decisions.inputs.turn_events import TurnPlaced
from passlane.decisions.scheduling.turn_scheduler import TurnScheduler

PLACES = {"e1": 2, "e2": 2, "e3": 1, "e4": 1}
TURN_S = 0.8
TICK_S = 0.05
CALM_S = 3.0
"""From the last failure to the first full set."""


class FullSets:
    """Full sets of turns at engines that serve each turn in the same time."""

    def __init__(self, places=PLACES):
        self.scheduler = TurnScheduler()
        self.scheduler.begin(-1.0)
        self.scheduler.replace_backends([engine(name, n) for name, n in places.items()], 0.0)
        self.places = sum(places.values())
        self.numbers = itertools.count()
        self.programs = {}
        self.now = 0.0

    def fail(self, name, count):
        for _ in range(count):
            settled = ended(f"failed{next(self.numbers)}", failed_at=(name,))
            self.scheduler.end(settled, self.now)

    def run(self):
        """Serve a full set, each program as it is told to retry; return how many ran at once."""
        running, most, served = [], 0, 0
        asks = [(self.now, f"p{next(self.numbers)}") for _ in range(self.places)]
        decisions = []
        while served < self.places:
            while asks and asks[0][0] <= self.now:
                _, program = heapq.heappop(asks)
                self.programs[attempt := f"t{next(self.numbers)}"] = program
                decisions += self.scheduler.ask(asked(attempt, program), self.now)
            for decision in decisions:
                if isinstance(decision, TurnPlaced):
                    turn = (self.now + TURN_S, decision.attempt_id, decision.engine)
                    heapq.heappush(running, turn)
                else:
                    again_at = self.now + decision.retry_after_s
                    heapq.heappush(asks, (again_at, self.programs[decision.attempt_id]))
            most = max(most, len(running))
            self.now += TICK_S
            decisions = self.scheduler.advance(self.now)
            while running and running[0][0] <= self.now:
                _, attempt, name = heapq.heappop(running)
                served += 1
                decisions += self.scheduler.end(ended(attempt, name, TURN_S), self.now)
        return most


class FullSetTest(unittest.TestCase):
    def test_after_the_first_full_set_all_slots_are_used(self):
        for name in PLACES:
            for failures in range(1, 30):
                sets = FullSets()
                sets.fail(name, failures)
                sets.now += CALM_S
                sets.run()
                self.assertEqual(sets.run(), sets.places, f"{failures} failures of {name}")

    def test_so_they_are_when_two_engines_had_failed(self):
        for failures in range(1, 30):
            sets = FullSets()
            sets.fail("e1", failures)
            sets.fail("e3", failures)
            sets.now += CALM_S
            sets.run()
            self.assertEqual(sets.run(), sets.places, f"{failures} failures")


class TrialTest(unittest.TestCase):
    """One turn at a time shows whether an engine that fails has got well."""

    def setUp(self):
        self.scheduler = TurnScheduler()
        self.scheduler.begin(-1.0)
        records = [engine("e1", 2), engine("e2", 1), engine("e3", 1)]
        self.scheduler.replace_backends(records, 0.0)
        for number in range(8):
            self.scheduler.end(ended(f"f{number}", failed_at=("e1",)), 0.0)

    def ask(self, name, now):
        """Ask for a turn of a program under way; return its engine, ``None`` if it waits."""
        decisions = self.scheduler.ask(asked(name, f"p-{name}", is_first=False), now)
        return decisions[0].engine if decisions else None

    def fill(self, now):
        self.assertEqual({self.ask("a", now), self.ask("b", now)}, {"e2", "e3"})

    def test_others_with_room_go_before_it(self):
        self.fill(2.0)

    def test_it_is_left_alone_for_a_second(self):
        self.fill(0.5)
        self.assertIsNone(self.ask("c", 0.9))

    def test_then_it_gets_one_turn_at_a_time(self):
        self.fill(2.0)
        self.assertEqual(self.ask("c", 2.0), "e1")
        self.assertIsNone(self.ask("d", 2.1))

    def test_a_turn_that_waits_gets_the_trial_when_its_time_has_come(self):
        self.fill(0.5)
        self.assertIsNone(self.ask("c", 0.9))
        (placed,) = self.scheduler.advance(1.05)
        self.assertEqual((placed.attempt_id, placed.engine), ("c", "e1"))

    def test_a_whole_answer_makes_it_one_of_the_others_again(self):
        self.fill(2.0)
        self.assertEqual(self.ask("c", 2.0), "e1")
        self.assertIsNone(self.ask("d", 2.1))
        self.assertIsNone(self.ask("e", 2.1))
        placed = self.scheduler.end(ended("c", "e1", 0.2), 2.2)
        self.assertEqual([each.engine for each in placed], ["e1", "e1"])

    def test_another_failure_leaves_it_alone_anew(self):
        self.fill(2.0)
        self.assertEqual(self.ask("c", 2.0), "e1")
        self.scheduler.end(ended("c", failed_at=("e1",)), 2.5)
        self.assertIsNone(self.ask("d", 3.4))
        (placed,) = self.scheduler.advance(3.55)
        self.assertEqual(placed.engine, "e1")

    def test_a_turn_from_before_the_last_failure_shows_nothing(self):
        self.fill(2.0)
        self.assertEqual(self.ask("c", 2.0), "e1")
        self.scheduler.end(ended("late", failed_at=("e1",)), 2.1)
        self.scheduler.end(ended("c", "e1", 0.2), 2.2)
        self.assertIsNone(self.ask("d", 2.3))


if __name__ == "__main__":
    unittest.main()
