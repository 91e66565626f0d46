"""Tests that the estimates and counts of the turn scheduler stay correct over time."""

import heapq
import math
import random
import unittest

from decisions.scheduling.test_turn_scheduler import ended, engine, slot_request
from passlane.decisions.inputs.turn_events import TurnEnded
from passlane.decisions.scheduling.turn_scheduler import TurnScheduler

MEAN_S = 0.15


class LearnedSpeedTest(unittest.TestCase):
    """Turns of different length at identical engines."""

    def run_turns(self, count: int) -> TurnScheduler:
        """Run turns of lognormal length, at two thirds of the capacity."""
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
            for decision in scheduler.request_slot(slot_request(f"t{number}"), now):
                took_s = MEAN_S * math.exp(draw.gauss(-0.125, 0.5))
                turn = (now + took_s, decision.attempt_id, decision.engine, took_s)
                heapq.heappush(running, turn)
        return scheduler

    def test_mean_durations_and_engine_speeds_do_not_drift(self):
        scheduler = self.run_turns(4_000)
        durations = scheduler._services["llm"].durations
        self.assertAlmostEqual(durations.mean_s, MEAN_S, delta=0.3 * MEAN_S)
        for engine_state in scheduler._engines:
            self.assertGreater(engine_state.slowdown, 0.6)
            self.assertLess(engine_state.slowdown, 1.4)


class RouteNeedsTest(unittest.TestCase):
    def test_the_retry_time_of_a_refused_program_is_not_counted_as_needed(self):
        scheduler = TurnScheduler()
        scheduler.replace_backends([engine("e1", 1)], 0.0)
        for number in range(5):
            begins_at = 20.0 * number
            scheduler.request_slot(slot_request(f"full{number}", f"busy{number}"), begins_at)
            scheduler.request_slot(slot_request(f"a{number}", f"p{number}"), begins_at)
            scheduler.end(ended(f"full{number}", "e1"), begins_at + 0.4)
            scheduler.end(TurnEnded(attempt_id=f"a{number}"), begins_at + 0.4)
            scheduler.request_slot(slot_request(f"b{number}", f"p{number}"), begins_at + 3.0)
            scheduler.end(ended(f"b{number}", "e1"), begins_at + 3.1)
            scheduler.advance(begins_at + 10.0)
        scheduler.request_slot(slot_request("last", "q"), 120.0)
        needs = scheduler._programs._needs_of("r")
        self.assertLess(needs.need_share, 0.2)


class RepeatedSettlementTest(unittest.TestCase):
    def test_a_repeated_settlement_records_each_failure_once(self):
        scheduler = TurnScheduler()
        scheduler.replace_backends([engine("e1", 1), engine("e2", 1)], 0.0)
        settled = ended("x", failed_at=("e1",), full_at=("e2",))
        scheduler.end(settled, 0.0)
        paused_until = scheduler._engines.get("e2").full_until
        scheduler.end(settled, 0.2)
        self.assertLessEqual(scheduler._engines.get("e1").health._failed, 1.0)
        self.assertEqual(scheduler._engines.get("e2").full_until, paused_until)


class LongTurnsTest(unittest.TestCase):
    """Turns that all take longer than the initial expiry of a slot."""

    def test_the_end_of_a_turn_updates_estimates_after_its_slot_expired(self):
        scheduler = TurnScheduler()
        scheduler.replace_backends([engine("e1"), engine("e2")], 0.0)
        for step in range(20):
            (placed,) = scheduler.request_slot(slot_request(f"t{step}"), 4.0 * step)
            scheduler.advance(4.0 * step + 2.9)
            scheduler.end(ended(f"t{step}", placed.engine, 3.0), 4.0 * step + 3.0)
        scheduler.request_slot(slot_request("last"), 100.0)
        scheduler.advance(102.9)
        self.assertEqual(scheduler.stats("llm").running, 1)

    def test_an_end_after_expiry_releases_nothing_and_counts_once(self):
        scheduler = TurnScheduler()
        scheduler.replace_backends([engine("e1", 1)], 0.0)
        scheduler.request_slot(slot_request("lost"), 0.0)
        scheduler.advance(2.0)
        scheduler.request_slot(slot_request("next"), 2.0)
        scheduler.request_slot(slot_request("waits", "under-way", is_first=False), 2.0)
        for _ in range(2):
            self.assertEqual(scheduler.end(ended("lost", "e1", 2.1), 2.1), [])
        self.assertEqual(scheduler.stats("llm").running, 1)
        self.assertEqual(scheduler._services["llm"].durations._samples, 1)
