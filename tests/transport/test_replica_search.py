"""Tests of the concurrent search among replicas."""

import itertools
import random
import unittest

import anyio
import trio.testing

from passlane.messages.common import Address
from passlane.transport.replica_search import ReplicaSearch, RetryIntervals

A, B, C = (Address(f"10.0.0.{n}", 1) for n in range(1, 4))
INTERVALS = RetryIntervals(first_s=0.1, longest_s=0.4, growth=2.0)


class ReplicaSearchTest(unittest.TestCase):
    def setUp(self):
        self.replicas = [A, B]
        self.queried = []
        self.answers = {}
        self.delays = {}
        self.is_over = False

    async def query(self, address):
        self.queried.append((round(anyio.current_time() - self.started_at, 3), address))
        await anyio.sleep(self.delays.get(address, 0.0))
        return self.answers.get(address, False)

    def search(self, meanwhile=None):
        """Run a search on a virtual clock; return its duration."""

        async def main():
            self.started_at = anyio.current_time()
            search = ReplicaSearch(
                lambda: self.replicas, self.query, lambda: self.is_over, INTERVALS, random.Random(1)
            )
            async with anyio.create_task_group() as tasks:
                if meanwhile is not None:
                    tasks.start_soon(meanwhile)
                with anyio.fail_after(60.0):
                    await search.run()
                took_s = anyio.current_time() - self.started_at
            return took_s

        clock = trio.testing.MockClock(autojump_threshold=0)
        return anyio.run(main, backend="trio", backend_options={"clock": clock})

    def test_replicas_are_queried_concurrently_and_a_slow_one_delays_nothing(self):
        self.delays[A] = 30.0
        self.answers[B] = True
        self.assertLess(self.search(), 0.01)
        self.assertEqual({address for at, address in self.queried if at == 0.0}, {A, B})

    def test_intervals_grow_up_to_the_maximum(self):
        async def end():
            await anyio.sleep(3.0)
            self.is_over = True

        self.replicas = [A]
        self.search(end)
        times = [at for at, _ in self.queried]
        intervals_s = [later - earlier for earlier, later in itertools.pairwise(times)]
        for interval_s, max_s in zip(intervals_s, (0.1, 0.2, 0.4, 0.4, 0.4), strict=False):
            self.assertTrue(max_s / 2 - 0.001 <= interval_s <= max_s + 0.001, (interval_s, max_s))
        self.assertGreaterEqual(len(times), 8)

    def test_replicas_added_during_the_search_are_queried(self):
        async def add_replica():
            await anyio.sleep(1.0)
            self.replicas.append(C)

        self.answers[C] = True
        took_s = self.search(add_replica)
        self.assertTrue(1.0 <= took_s <= 1.1, took_s)

    def test_search_ends_when_it_is_over_for_another_reason(self):
        async def end():
            await anyio.sleep(1.0)
            self.is_over = True

        took_s = self.search(end)
        self.assertTrue(1.0 <= took_s <= 1.1, took_s)
