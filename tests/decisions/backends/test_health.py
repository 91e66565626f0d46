"""Detection of failing, stalled and slow back ends from their requests."""

import unittest

from passlane.decisions.backends.health import (
    HALF_LIFE_S,
    LATENCY_EXPIRY_S,
    MIN_STALL_S,
    BackendHealth,
    find_outliers,
    typical_latency_s,
)
from passlane.decisions.backends.registry import BackendLoad, BackendRegistry
from passlane.decisions.placement.request_placement import NodeLocation, PlacementKey
from relay.fakes import backend, choose


def outliers_of(backends, now):
    return find_outliers(backends, typical_latency_s(backends, now), now)


HERE = NodeLocation("node-1", "a")


def answered(health, *, times=1, start=0.0, latency_s=0.05):
    for number in range(times):
        watch = health.watch(start + number * 0.1)
        watch.progressed(start + number * 0.1 + latency_s)
        watch.succeeded(start + number * 0.1 + latency_s)


class OutlierTest(unittest.TestCase):
    def setUp(self):
        self.backends = [BackendHealth() for _ in range(4)]

    def test_healthy_back_ends_are_no_outliers(self):
        for health in self.backends:
            answered(health, times=10)
        self.assertEqual(outliers_of(self.backends, 1.0), set())

    def test_one_that_fails_a_third_of_its_requests_is_an_outlier(self):
        for health in self.backends:
            answered(health, times=4)
        for _ in range(2):
            self.backends[2].watch(1.0).failed(1.0)
        self.assertEqual(outliers_of(self.backends, 1.0), {2})

    def test_a_rare_failure_makes_no_outlier(self):
        answered(self.backends[0], times=20)
        self.backends[0].watch(2.0).failed(2.0)
        self.assertEqual(outliers_of(self.backends, 2.0), set())

    def test_a_stall_counts_while_it_lasts_and_for_some_time_after(self):
        watch = self.backends[1].watch(0.0)
        self.assertEqual(outliers_of(self.backends, MIN_STALL_S), set())
        self.assertEqual(outliers_of(self.backends, MIN_STALL_S + 0.1), {1})
        watch.dropped(2.0, MIN_STALL_S)
        self.assertEqual(outliers_of(self.backends, 2.1), {1})
        self.assertEqual(outliers_of(self.backends, 2.1 + HALF_LIFE_S), set())

    def test_a_stream_with_progress_is_not_stalled(self):
        watch = self.backends[1].watch(0.0)
        for tenth in range(1, 20):
            watch.progressed(tenth / 10)
        self.assertEqual(outliers_of(self.backends, 2.0), set())

    def test_an_early_disconnect_of_the_caller_does_not_count(self):
        self.backends[1].watch(0.0).dropped(0.1, MIN_STALL_S)
        self.assertEqual(outliers_of(self.backends, 0.1), set())

    def test_a_much_slower_back_end_is_an_outlier_until_its_latency_expires(self):
        for index, health in enumerate(self.backends):
            answered(health, times=3, latency_s=0.5 if index == 3 else 0.05)
        self.assertEqual(outliers_of(self.backends, 1.0), {3})
        self.assertEqual(outliers_of(self.backends, 2.0 + LATENCY_EXPIRY_S), set())

    def test_there_are_no_outliers_if_most_back_ends_stall(self):
        for health in self.backends[:3]:
            health.watch(0.0)
        self.assertEqual(outliers_of(self.backends, 2.0), set())

    def test_an_ended_request_is_counted_once(self):
        watch = self.backends[0].watch(0.0)
        watch.succeeded(0.1)
        watch.failed(0.1)
        watch.dropped(9.0, MIN_STALL_S)
        self.assertEqual(outliers_of(self.backends, 9.0), set())
        self.assertEqual(self.backends[0].watches, set())


class PlacementTest(unittest.TestCase):
    def test_a_new_program_avoids_any_queue_and_a_known_one_only_a_long_queue(self):
        loads = [BackendLoad(backend(f"i-{number}")) for number in range(3)]
        for load in loads:
            answered(load.health, times=5)
        new = PlacementKey("program", HERE)
        first = choose(loads, new, (), 1.0)
        known = PlacementKey("program", HERE, used_last=first.record.instance_id)
        first.health.watch(1.0)
        self.assertIs(choose(loads, new, (), 1.05), first)
        self.assertIsNot(choose(loads, new, (), 1.15), first)
        self.assertIs(choose(loads, known, (), 1.15), first)
        self.assertIsNot(choose(loads, known, (), 1.35), first)

    def test_a_program_stays_with_its_engine(self):
        loads = [BackendLoad(backend(f"i-{number}")) for number in range(3)]
        for load in loads:
            known = PlacementKey("program", HERE, used_last=load.record.instance_id)
            self.assertIs(choose(loads, known, (), 0.0), load)

    def test_the_shortest_queue_is_chosen_if_all_queue(self):
        loads = [BackendLoad(backend(f"i-{number}")) for number in range(3)]
        for load, since in zip(loads, (0.0, 0.2, 0.1), strict=True):
            load.health.watch(since)
        key = PlacementKey("program", HERE)
        self.assertIs(choose(loads, key, (), 0.35), loads[1])

    def test_outliers_are_used_only_if_there_is_no_other(self):
        loads = [BackendLoad(backend(f"i-{number}")) for number in range(3)]
        for key in (PlacementKey("program", HERE), PlacementKey("", HERE)):
            first = choose(loads, key, (), 0.0)
            worse = {first.record.instance_id}
            self.assertIsNot(choose(loads, key, (), 1.0, worse), first)
            others = [load.record.instance_id for load in loads if load is not first]
            self.assertIs(choose(loads, key, others, 1.0, worse), first)


class RegistryTest(unittest.TestCase):
    def test_a_change_of_outliers_is_reported_once(self):
        registry = BackendRegistry()
        registry.update([backend(f"i-{number}") for number in range(3)], 0.0)
        self.assertFalse(registry.evaluate_health("models", 0.0).has_changed)
        watch = registry.of_service("models")[1].health.watch(0.0)
        change = registry.evaluate_health("models", 1.0)
        self.assertTrue(change.has_changed)
        self.assertEqual((change.outliers, change.outliers_before), ({"i-1"}, frozenset()))
        again = registry.evaluate_health("models", 1.1)
        self.assertFalse(again.has_changed)
        self.assertEqual(again.outliers, {"i-1"})
        watch.succeeded(1.2)
        self.assertEqual(registry.evaluate_health("models", 1.2).outliers, frozenset())
