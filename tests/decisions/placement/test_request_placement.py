"""Placement of requests: the engine of their program first, then load and zone."""

import unittest
from collections import Counter

from passlane.decisions.backends.registry import BackendLoad, BackendRegistry
from passlane.decisions.inputs.relayed_call import PromptPart
from passlane.decisions.placement.request_placement import (
    MAX_AVOID_S,
    NodeLocation,
    PlacementKey,
    record_failure,
    record_success,
)
from passlane.decisions.placement.shared_parts import (
    MIN_LARGE_PART_TOKENS,
    engines_of_part,
    large_shared_part,
)
from passlane.relay.list_reader import self_read_interval_s
from relay.fakes import backend, choose

HERE = NodeLocation("node-1", "a")


def loads(count, **changes):
    return [BackendLoad(backend(f"i-{number}", **changes)) for number in range(count)]


class SharedPartTest(unittest.TestCase):
    def instances_for(self, key_of, candidates, count=60):
        return {choose(candidates, key_of(n), (), 0.0).record.instance_id for n in range(count)}

    def test_programs_with_a_shared_prefix_use_the_same_half_of_the_engines_at_every_node(self):
        candidates = loads(6)
        used = [
            self.instances_for(
                lambda n, node=node: PlacementKey(str(n), node, shared_part="p"), candidates
            )
            for node in (HERE, NodeLocation("node-2", "b"))
        ]
        self.assertEqual(len(used[0]), 3)
        self.assertEqual(used[0], used[1])

    def test_different_prefixes_use_all_engines(self):
        used = self.instances_for(
            lambda n: PlacementKey(str(n), HERE, shared_part=str(n)), loads(6)
        )
        self.assertEqual(len(used), 6)

    def test_the_least_loaded_engine_of_the_prefix_is_chosen(self):
        candidates = loads(6)
        counts = Counter()
        for n in range(30):
            load = choose(candidates, PlacementKey(str(n), HERE, shared_part="p"), (), 0.0)
            load.in_flight += 1
            counts[load.record.instance_id] += 1
        self.assertEqual(sorted(counts.values()), [10, 10, 10])

    def test_programs_avoid_the_engines_of_the_prefix_if_all_have_a_queue(self):
        candidates = loads(6)
        key = PlacementKey("program", HERE, shared_part="p")
        holders = engines_of_part("p", [load.record for load in candidates])
        for load in candidates:
            if load.record.instance_id in holders:
                load.health.watch(0.0)
        self.assertIn(choose(candidates, key, (), 0.05).record.instance_id, holders)
        self.assertNotIn(choose(candidates, key, (), 0.15).record.instance_id, holders)

    def test_a_program_stays_with_its_engine_regardless_of_its_prefix(self):
        candidates = loads(6)
        for load in candidates:
            instance = load.record.instance_id
            key = PlacementKey("program", HERE, used_last=instance, shared_part="p")
            self.assertIs(choose(candidates, key, (), 0.0), load)

    def test_small_or_unshared_parts_are_no_large_shared_prefix(self):
        large, small = PromptPart("a", MIN_LARGE_PART_TOKENS), PromptPart("b", 512)
        self.assertEqual(large_shared_part([large, small]), "a")
        for parts in ([small, large], [large], []):
            self.assertEqual(large_shared_part(parts), "")

    def test_at_least_two_engines_cache_a_prefix_if_there_are_two(self):
        for count, holders in ((0, 0), (1, 1), (2, 2), (3, 2), (23, 12)):
            records = [load.record for load in loads(count)]
            self.assertEqual(len(engines_of_part("p", records)), holders)


class PlacementTest(unittest.TestCase):
    def test_a_program_stays_with_its_engine(self):
        candidates = loads(6)
        key = PlacementKey("program", HERE)
        first = choose(candidates, key, (), 0.0)
        self.assertIs(choose(candidates[::-1], key, (), 0.0), first)

    def test_programs_spread_over_all_engines(self):
        candidates = loads(6)
        chosen = {
            choose(candidates, PlacementKey(str(n), HERE), (), 0.0).record.instance_id
            for n in range(100)
        }
        self.assertEqual(len(chosen), 6)

    def test_a_full_or_failing_engine_is_used_after_the_others(self):
        candidates = loads(3)
        key = PlacementKey("program", HERE)
        first = choose(candidates, key, (), 0.0)
        first.in_flight = 2
        second = choose(candidates, key, (), 0.0)
        self.assertIsNot(second, first)
        first.in_flight = 0
        record_failure(first, 0.0)
        self.assertIs(choose(candidates, key, (), 0.1), second)
        self.assertIs(choose(candidates, key, (), 10.0), first)
        record_success(first)
        self.assertIs(choose(candidates, key, (), 0.1), first)

    def test_a_back_end_that_never_answers_is_avoided_no_longer_than_the_maximum(self):
        load = BackendLoad(backend("i-1"))
        pauses = []
        for _ in range(3_000):
            record_failure(load, 0.0)
            pauses.append(load.avoid_until)
        self.assertEqual(pauses[:6], [0.5, 1.0, 2.0, 4.0, 5.0, 5.0])
        self.assertEqual(set(pauses[6:]), {MAX_AVOID_S})

    def test_plain_requests_fill_a_third_of_the_own_zone_before_another_zone(self):
        near, far = BackendLoad(backend("n", zone="a")), BackendLoad(backend("f", zone="b"))
        key = PlacementKey("", HERE)
        self.assertIs(choose([far, near], key, (), 0.0), near)
        near.in_flight = 1
        self.assertIs(choose([far, near], key, (), 0.0), near)
        near.in_flight = 2
        self.assertIs(choose([far, near], key, (), 0.0), far)
        far.in_flight = 2
        self.assertIs(choose([far, near], key, (), 0.0), near)

    def test_an_idle_connection_decides_among_plain_back_ends_with_capacity(self):
        candidates = loads(6)
        key = PlacementKey("", HERE)
        first = choose(candidates, key, (), 0.0)
        others = [load for load in candidates if load is not first]
        connected = {others[0].record.instance_id}
        self.assertIs(choose(candidates, key, (), 0.0, connected=connected), others[0])
        others[0].in_flight = 2
        self.assertIs(choose(candidates, key, (), 0.0, connected=connected), first)

    def test_idle_connections_do_not_affect_new_programs(self):
        candidates = loads(6)
        connected = {candidates[0].record.instance_id}
        for number in range(50):
            key = PlacementKey(str(number), HERE)
            before = choose(candidates, key, (), 0.0)
            self.assertIs(choose(candidates, key, (), 0.0, connected=connected), before)

    def test_a_program_stays_with_its_engine_even_without_an_idle_connection(self):
        candidates = loads(3)
        for load in candidates:
            key = PlacementKey("program", HERE, used_last=load.record.instance_id)
            connected = {other.record.instance_id for other in candidates if other is not load}
            self.assertIs(choose(candidates, key, (), 0.0, connected=connected), load)

    def test_nodes_of_a_zone_fill_different_plain_back_ends_first(self):
        candidates = loads(6)
        chosen = Counter(
            choose(
                candidates, PlacementKey("", NodeLocation(f"node-{n}", "a")), (), 0.0
            ).record.instance_id
            for n in range(120)
        )
        self.assertEqual(len(chosen), 6)
        self.assertLess(max(chosen.values()), 2 * 120 / 6)

    def test_each_back_end_is_tried_once(self):
        candidates = loads(2)
        key = PlacementKey("", HERE)
        self.assertIsNone(choose(candidates, key, ("i-0", "i-1"), 0.0))


class RegistryTest(unittest.TestCase):
    def test_unlisted_back_ends_are_removed_and_counts_of_others_kept(self):
        registry = BackendRegistry()
        registry.update([backend("i-1"), backend("i-2")], 0.0)
        registry.of_service("models")[0].in_flight = 3
        gone = registry.update([backend("i-1")], 1.0)
        self.assertEqual([record.instance_id for record in gone], ["i-2"])
        self.assertEqual([load.in_flight for load in registry.of_service("models")], [3])


class ReadPeriodTest(unittest.TestCase):
    def test_all_nodes_together_stay_within_the_rate(self):
        for nodes in (1, 8, 70, 400):
            period_s = self_read_interval_s(nodes, 44.0)
            self.assertLess(nodes / (0.85 * period_s), 44.0)
