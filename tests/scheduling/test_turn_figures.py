"""What the scheduler of turns learns stays true, however long it learns."""

import heapq
import math
import random
import unittest

from passlane.scheduling.turn_scheduler import TurnScheduler
from scheduling.test_turn_scheduler import asked, ended, engine

MEAN_S = 0.15


class LearntPaceTest(unittest.TestCase):
    """Turns of uneven length at engines of which all are alike."""

    def run_turns(self, count: int) -> TurnScheduler:
        """Play turns whose lengths are lognormal, at two thirds of what engines hold."""
        draw = random.Random(1)
        scheduler = TurnScheduler()
        scheduler.replace_backends([engine(f"e{number}", 6) for number in range(6)], 0.0)
        running: list[tuple[float, str, str, float]] = []
        for number in range(count):
            now = number * MEAN_S / 24
            while running and running[0][0] <= now:
                at, attempt, instance, took_s = heapq.heappop(running)
                scheduler.end(ended(attempt, instance, took_s), at)
            scheduler.advance(now)
            for decision in scheduler.ask(asked(f"t{number}"), now):
                took_s = MEAN_S * math.exp(draw.gauss(-0.125, 0.5))
                turn = (now + took_s, decision.attempt_id, decision.engine, took_s)
                heapq.heappush(running, turn)
        return scheduler

    def test_the_mean_of_turns_and_the_pace_of_engines_do_not_drift(self):
        scheduler = self.run_turns(4_000)
        durations = scheduler._services["llm"].durations
        self.assertAlmostEqual(durations.mean_s, MEAN_S, delta=0.3 * MEAN_S)
        for known in scheduler._engines:
            self.assertGreater(known.slowdown, 0.6)
            self.assertLess(known.slowdown, 1.4)
