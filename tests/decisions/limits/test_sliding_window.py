"""Tests of the sliding-window counter."""

import math
import random
import unittest

from passlane.decisions.limits.sliding_window import BUCKET_S, SlidingWindow


class SlidingWindowTest(unittest.TestCase):
    def test_grants_older_than_the_span_do_not_count(self):
        window = SlidingWindow(5.0)
        window.add(3, 10.0)
        window.add(2, 12.0)
        self.assertEqual(window.total(14.9), 5)
        self.assertEqual(window.total(15.0 + BUCKET_S), 2)
        self.assertEqual(window.total(17.0 + BUCKET_S), 0)

    def test_a_moved_grant_counts_from_its_new_time(self):
        window = SlidingWindow(5.0)
        window.add(2, 10.0)
        window.move(10.0, 12.0)
        self.assertEqual(window.total(14.9), 2)
        self.assertEqual(window.total(15.0 + BUCKET_S), 1)
        self.assertEqual(window.total(17.0 + BUCKET_S), 0)

    def test_an_expired_grant_is_not_moved(self):
        window = SlidingWindow(5.0)
        window.move(10.0, 12.0)
        window.add(1, 10.0)
        window.remove_newest(1)
        window.move(10.0, 12.0)
        self.assertEqual(window.total(12.0), 0)

    def test_the_wait_ends_when_enough_grants_have_expired(self):
        window = SlidingWindow(5.0)
        window.add(3, 10.0)
        window.add(2, 12.0)
        self.assertEqual(window.wait_s(1, 6, 13.0), 0.0)
        self.assertAlmostEqual(window.wait_s(1, 5, 13.0), 2.0)
        self.assertAlmostEqual(window.wait_s(4, 5, 13.0), 4.0)
        self.assertEqual(window.wait_s(6, 5, 13.0), math.inf)

    def test_a_grant_for_the_future_counts_at_once(self):
        window = SlidingWindow(5.0)
        window.add(5, 10.4)
        window.add(1, 10.0)
        self.assertEqual(window.total(10.0), 6)
        self.assertEqual(window.total(15.2), 5)

    def test_the_count_never_becomes_negative(self):
        window = SlidingWindow(5.0)
        window.add(1, 10.0)
        window.add(1, 11.0)
        window.remove_newest(3)
        self.assertEqual(window.total(11.0), 0)

    def test_memory_is_bounded_by_the_span(self):
        window = SlidingWindow(5.0)
        source = random.Random(1)
        for number in range(20_000):
            window.add(1, 10.0 + number / 1_000 + source.uniform(0, 0.4))
            window.total(10.0 + number / 1_000)
        self.assertLessEqual(len(window._buckets), 5.5 / BUCKET_S)
