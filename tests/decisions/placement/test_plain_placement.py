"""Selection of the plain back end for a call."""

import unittest
from collections import Counter

from passlane.decisions.backends.answer_times import AnswerTimes, RecentSpeed
from passlane.decisions.backends.registry import BackendLoad
from passlane.decisions.placement.backend_subset import SUBSET_SIZE, subset_order
from passlane.decisions.placement.plain_placement import (
    AVOID_AFTER_BREAK_S,
    PlainBackends,
    PlainCall,
    PlainView,
)
from passlane.decisions.placement.request_placement import NodeLocation, record_failure
from relay.fakes import backend

HERE = NodeLocation("node-1", "a")
ONCE = PlainCall("charge", runs_once=True, left_s=1.5)
AGAIN = PlainCall("look-up", runs_once=False, left_s=1.2)


def loads(count, zones="a"):
    return [
        BackendLoad(backend(f"i-{n}", slots=6, zone=zones[n % len(zones)])) for n in range(count)
    ]


class PlainCase(unittest.TestCase):
    def setUp(self):
        self.plain = PlainBackends(HERE, AnswerTimes())
        self.loads = loads(5)

    def choose(self, call=AGAIN, now=0.0, connected=(), outliers=(), **more):
        view = PlainView(self.loads, now, connected, outliers)
        choice = self.plain.choose(view, call, **more)
        return choice.load.record.instance_id if choice is not None else None


class RefusalTest(PlainCase):
    def test_a_back_end_that_just_refused_is_skipped_for_a_short_time(self):
        first = self.choose()
        self.plain.record_refused(first, 0.0)
        self.assertNotEqual(self.choose(now=0.001), first)
        self.assertEqual(self.choose(now=0.1), first)

    def test_it_is_skipped_longer_after_several_consecutive_refusals(self):
        first = self.choose()
        for _ in range(4):
            self.plain.record_refused(first, 0.0)
        self.assertNotEqual(self.choose(now=0.012), first)

    def test_an_answer_clears_the_refusals(self):
        first = self.choose()
        for _ in range(4):
            self.plain.record_refused(first, 0.0)
        self.plain.record_answered(first, 1.0, 0.001)
        self.assertEqual(self.choose(now=0.002), first)

    def test_the_call_waits_if_all_are_likely_full_unless_it_must_try(self):
        for load in self.loads:
            self.plain.record_refused(load.record.instance_id, 0.0)
        self.assertIsNone(self.choose(now=0.001))
        self.assertIsNotNone(self.choose(now=0.001, must_try=True))

    def test_a_call_that_must_try_is_sent_to_the_one_with_the_oldest_refusal(self):
        for number, load in enumerate(self.loads):
            self.plain.record_refused(load.record.instance_id, 0.001 * number)
        self.assertEqual(self.choose(now=0.005, must_try=True), "i-0")

    def test_an_offered_back_end_is_chosen_at_once(self):
        self.plain.record_refused("i-3", 0.0)
        self.assertEqual(self.choose(now=0.001, offered="i-3", must_try=True), "i-3")

    def test_an_idle_connection_decides_among_those_with_capacity(self):
        others = {load.record.instance_id for load in self.loads} - {self.choose()}
        chosen = min(others)
        self.assertEqual(self.choose(connected={chosen}), chosen)

    def test_a_draining_or_removed_back_end_is_never_chosen(self):
        first = self.choose()
        self.loads = [load for load in self.loads if load.record.instance_id != first]
        self.assertNotIn(first, {self.choose(now=0.1 * n, offered=first) for n in range(20)})


class SpeedTest(PlainCase):
    def test_a_slow_back_end_is_avoided_until_its_slowness_has_decayed(self):
        first = self.choose()
        for _ in range(5):
            self.plain.record_answered(first, 2.5, 0.0)
        self.assertNotEqual(self.choose(now=0.01), first)
        self.assertEqual(self.choose(now=2.0), first)

    def test_an_outlier_is_used_only_after_the_others(self):
        first = self.choose()
        self.assertNotEqual(self.choose(outliers={first}), first)
        others = [load.record.instance_id for load in self.loads]
        others.remove(first)
        self.assertEqual(self.choose(outliers={first}, tried=others), first)

    def test_a_single_slow_answer_changes_nothing(self):
        first = self.choose()
        self.plain.record_answered(first, 3.0, 0.0)
        self.assertEqual(self.choose(now=0.01), first)

    def test_slowness_decays_to_1(self):
        speed = RecentSpeed()
        for _ in range(20):
            speed.note(2.5, 0.0)
        self.assertAlmostEqual(speed.slowness(0.0), 2.5, places=1)
        self.assertLess(speed.slowness(2.0), 1.1)

    def test_speed_is_relative_to_the_typical_time_of_the_route(self):
        times = AnswerTimes()
        for _ in range(100):
            times.record("quick", 0.01)
            times.record("long", 0.1)
        self.assertAlmostEqual(times.record("long", 0.1), 1.0, places=2)
        self.assertAlmostEqual(times.record("quick", 0.025), 2.5, places=2)

    def test_times_of_routes_are_bounded(self):
        times = AnswerTimes()
        for number in range(3_000):
            times.record(f"route-{number}", 0.01)
        self.assertLessEqual(len(times._routes), 1_000)


class HealthTest(PlainCase):
    def test_a_call_that_runs_once_avoids_a_back_end_that_recently_broke_off(self):
        first = self.choose(ONCE)
        self.plain.record_broken(first, 0.0)
        self.assertNotEqual(self.choose(ONCE, now=AVOID_AFTER_BREAK_S - 0.1), first)
        self.assertEqual(self.choose(ONCE, now=AVOID_AFTER_BREAK_S + 0.1), first)

    def test_it_waits_for_a_healthy_back_end(self):
        self.plain.record_broken("i-0", 0.0)
        for number in range(1, 5):
            self.plain.record_refused(f"i-{number}", 0.5)
        self.assertIsNone(self.choose(ONCE, now=0.501))
        self.assertNotEqual(self.choose(ONCE, now=0.501, must_try=True), "i-0")
        self.assertNotEqual(self.choose(ONCE, now=0.501, must_try=True, offered="i-0"), "i-0")

    def test_an_urgent_call_is_sent_to_an_unhealthy_back_end(self):
        self.plain.record_broken("i-0", 0.0)
        for number in range(1, 5):
            self.plain.record_refused(f"i-{number}", 0.5)
        urgent = PlainCall("charge", runs_once=True, left_s=0.05)
        tried = [f"i-{number}" for number in range(1, 5)]
        self.assertEqual(self.choose(urgent, now=0.501, tried=tried), "i-0")

    def test_a_back_end_is_chosen_even_if_all_are_unhealthy(self):
        for load in self.loads:
            self.plain.record_broken(load.record.instance_id, 0.0)
        self.assertIsNotNone(self.choose(ONCE, now=0.1))

    def test_a_stalled_back_end_gets_no_call_that_runs_once(self):
        first = self.choose(ONCE)
        load = next(load for load in self.loads if load.record.instance_id == first)
        load.health.watch(0.0)
        self.assertNotEqual(self.choose(ONCE, now=1.0), first)

    def test_all_calls_avoid_a_back_end_for_a_short_time_after_a_failure(self):
        first = self.choose()
        load = next(load for load in self.loads if load.record.instance_id == first)
        record_failure(load, 0.0)
        self.assertNotEqual(self.choose(now=0.1), first)


class SubsetTest(unittest.TestCase):
    def orders(self, records, nodes=61):
        zones = "abc"
        return [
            subset_order(records, NodeLocation(f"node-{n}", zones[n % len(zones)]))
            for n in range(nodes)
        ]

    def test_each_back_end_is_first_for_about_the_same_number_of_nodes(self):
        for count, zones in ((5, "a"), (13, "abc")):
            records = [load.record for load in loads(count, zones)]
            first = Counter(order[0] for order in self.orders(records, 600))
            self.assertEqual(len(first), count)
            self.assertLess(max(first.values()), 1.6 * 600 / count)

    def test_a_removal_keeps_the_order_of_the_rest(self):
        records = [load.record for load in loads(30)]
        before, after = self.orders(records), self.orders(records[1:])
        for old, new in zip(before, after, strict=True):
            gone = records[0].instance_id
            self.assertEqual(tuple(each for each in old if each != gone), new)

    def test_nodes_that_lose_a_back_end_spread_over_the_rest(self):
        records = [load.record for load in loads(30)]
        before, after = self.orders(records, 600), self.orders(records[1:], 600)
        gained = Counter()
        for old, new in zip(before, after, strict=True):
            gained.update(set(new[:SUBSET_SIZE]) - set(old[:SUBSET_SIZE]))
        self.assertGreater(len(gained), 25)
        self.assertLess(max(gained.values()), 3 * gained.total() / 29)

    def test_back_ends_beyond_the_subset_are_used_last(self):
        plain = PlainBackends(HERE, AnswerTimes(), subset_size=2)
        candidates = loads(5)
        order = subset_order([load.record for load in candidates], HERE)
        beyond = order[2:]
        chosen = plain.choose(PlainView(candidates, 0.0, set(beyond)), AGAIN)
        self.assertIn(chosen.load.record.instance_id, order[:2])
        for instance_id in order[:2]:
            plain.record_refused(instance_id, 0.0)
        chosen = plain.choose(PlainView(candidates, 0.001), AGAIN)
        self.assertIn(chosen.load.record.instance_id, beyond)
