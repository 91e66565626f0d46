"""Route matching by host and prefix, and the choice of a service by weight."""

import random
import unittest
from collections import Counter

from passlane.messages.routes import ServiceShare
from passlane.routes.table import RouteTable, ShareSelector
from routes.test_checks import configuration, route


class RouteTableTest(unittest.TestCase):
    def test_the_longest_prefix_of_the_host_wins(self):
        table = RouteTable(
            configuration(
                route(name="short", path_prefix="/a/"),
                route(name="long", path_prefix="/a/b/"),
                route(name="other", host="two.example", path_prefix="/a/b/c/"),
            )
        )
        self.assertEqual(table.find("one.example", "/a/b/c/d").name, "long")
        self.assertEqual(table.find("ONE.example", "/a/x").name, "short")
        self.assertEqual(table.find("two.example", "/a/b/c/d").name, "other")
        self.assertIsNone(table.find("two.example", "/a/b"))
        self.assertIsNone(table.find("three.example", "/a/b/c"))


class ShareSelectorTest(unittest.TestCase):
    def test_each_sequence_of_requests_follows_the_weights(self):
        selector = ShareSelector(random.Random(1))
        shared = route(shares=(ServiceShare("models", 90), ServiceShare("tools", 10)))
        for _ in range(3):
            counts = Counter(selector.choose(shared) for _ in range(100))
            self.assertEqual(counts, {"models": 90, "tools": 10})

    def test_many_nodes_with_few_requests_each_follow_the_weights_together(self):
        shared = route(shares=(ServiceShare("models", 90), ServiceShare("tools", 10)))
        counts = Counter()
        for node in range(100):
            selector = ShareSelector(random.Random(node))
            counts.update(selector.choose(shared) for _ in range(4))
        self.assertAlmostEqual(counts["tools"] / 400, 0.1, delta=0.05)

    def test_a_service_with_weight_zero_gets_no_requests(self):
        selector = ShareSelector(random.Random(1))
        shared = route(shares=(ServiceShare("models", 0), ServiceShare("tools", 5)))
        self.assertEqual({selector.choose(shared) for _ in range(10)}, {"tools"})

    def test_changed_weights_apply_at_once(self):
        selector = ShareSelector(random.Random(1))
        selector.choose(route(shares=(ServiceShare("models", 90), ServiceShare("tools", 10))))
        even = route(shares=(ServiceShare("models", 1), ServiceShare("tools", 1)))
        counts = Counter(selector.choose(even) for _ in range(100))
        self.assertEqual(counts, {"models": 50, "tools": 50})
