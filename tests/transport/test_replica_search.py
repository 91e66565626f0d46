"""The search among replicas: all at once, again and again, until one gives what is wanted."""

import itertools
import random
import unittest

import anyio
import trio.testing

from passlane.messages.common import Address
from passlane.transport.replica_search import ReplicaSearch, SearchPauses

A, B, C = (Address(f"10.0.0.{n}", 1) for n in range(1, 4))
PAUSES = SearchPauses(first_s=0.1, longest_s=0.4, growth=2.0)


class ReplicaSearchTest(unittest.TestCase):
    def setUp(self):
        self.known = [A, B]
        self.asked = []
        self.answers = {}
        self.delays = {}
        self.is_over = False

    async def ask(self, address):
        self.asked.append((round(anyio.current_time() - self.started_at, 3), address))
        await anyio.sleep(self.delays.get(address, 0.0))
        return self.answers.get(address, False)

    def search(self, meanwhile=None):
        """Run a search on the virtual clock; return how long it took."""

        async def main():
            self.started_at = anyio.current_time()
            search = ReplicaSearch(
                lambda: self.known, self.ask, lambda: self.is_over, PAUSES, random.Random(1)
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

    def test_all_are_asked_at_once_and_a_silent_one_holds_up_nothing(self):
        self.delays[A] = 30.0
        self.answers[B] = True
        self.assertLess(self.search(), 0.01)
        self.assertEqual({address for at, address in self.asked if at == 0.0}, {A, B})

    def test_pauses_grow_up_to_the_longest(self):
        async def end():
            await anyio.sleep(3.0)
            self.is_over = True

        self.known = [A]
        self.search(end)
        times = [at for at, _ in self.asked]
        pauses = [later - sooner for sooner, later in itertools.pairwise(times)]
        for pause, bound in zip(pauses, (0.1, 0.2, 0.4, 0.4, 0.4), strict=False):
            self.assertTrue(bound / 2 - 0.001 <= pause <= bound + 0.001, (pause, bound))
        self.assertGreaterEqual(len(times), 8)

    def test_replicas_that_become_known_are_asked_too(self):
        async def learn():
            await anyio.sleep(1.0)
            self.known.append(C)

        self.answers[C] = True
        took_s = self.search(learn)
        self.assertTrue(1.0 <= took_s <= 1.1, took_s)

    def test_it_ends_when_it_is_over_for_another_reason(self):
        async def end():
            await anyio.sleep(1.0)
            self.is_over = True

        took_s = self.search(end)
        self.assertTrue(1.0 <= took_s <= 1.1, took_s)
