"""Preference for back ends of the own zone, in proportion to their capacity."""

import unittest
from collections import Counter

from passlane.decisions.placement.zone_weights import ZoneWeights
from relay.fakes import backend


def records(**counts):
    return [
        backend(f"i-{zone}{number}", zone=zone)
        for zone, count in counts.items()
        for number in range(count)
    ]


def chosen_zones(all_records, own_zone, programs=4_000):
    weights = ZoneWeights.of(all_records, own_zone)
    chosen = [
        max(all_records, key=lambda record: weights.score(str(program), record))
        for program in range(programs)
    ]
    return Counter(record.zone for record in chosen), Counter(r.instance_id for r in chosen)


class ZoneWeightsTest(unittest.TestCase):
    def test_a_zone_with_enough_back_ends_keeps_its_programs(self):
        zones, instances = chosen_zones(records(a=2, b=2, c=1, d=1), "a")
        self.assertEqual(set(zones), {"a"})
        self.assertLess(max(instances.values()), 1.2 * min(instances.values()))

    def test_a_zone_with_few_back_ends_keeps_what_they_can_serve(self):
        zones, _ = chosen_zones(records(a=2, b=2, c=1, d=1), "c")
        self.assertAlmostEqual(zones["c"] / 4_000, 4 / 6, delta=0.05)

    def test_a_zone_without_back_ends_spreads_over_all(self):
        _, instances = chosen_zones(records(a=2, b=2), "c")
        self.assertEqual(len(instances), 4)
        self.assertLess(max(instances.values()), 1.3 * min(instances.values()))

    def test_equal_zones_load_all_back_ends_equally(self):
        everyone = records(a=3, b=2, c=1)
        total = Counter()
        for zone in "abc":
            total += chosen_zones(everyone, zone)[1]
        mean = sum(total.values()) / len(everyone)
        self.assertLess(max(total.values()), 1.35 * mean)

    def test_a_back_end_without_a_share_can_still_be_chosen(self):
        far = records(b=1)
        weights = ZoneWeights.of(records(a=2, b=1), "a")
        self.assertGreater(weights.score("program", far[0]), 0.0)
