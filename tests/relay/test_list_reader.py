"""How a node applies lists of backends that other nodes have read."""

import random
import unittest

import anyio

from passlane.decisions.backends.registry import BackendRegistry
from passlane.relay.list_reader import BackendListReader
from relay.fakes import backend


class TakeOverTest(unittest.TestCase):
    def take_over(self, *steps):
        """Apply lists that were valid at given times; return the registry."""
        registry = BackendRegistry()
        reader = BackendListReader(
            None, registry, 40.0, lambda: 1, lambda: False, None, random.Random(0)
        )

        async def main():
            for records, at in steps:
                if callable(records):
                    records(registry)
                else:
                    reader.apply(records, at)

        anyio.run(main)
        return registry

    def test_the_same_list_again_only_confirms_it(self):
        records = (backend("i-1"), backend("i-2"))
        registry = self.take_over((records, 1.0), (records, 2.0))
        self.assertEqual((len(registry), registry.updated_at), (2, 2.0))

    def test_an_older_list_is_ignored(self):
        registry = self.take_over(((backend("i-1"),), 2.0), ((), 1.0))
        self.assertEqual((len(registry), registry.updated_at), (1, 2.0))

    def test_a_removed_backend_is_restored_by_the_next_list_that_names_it(self):
        records = (backend("i-1"), backend("i-2"))
        registry = self.take_over(
            (records, 1.0), (lambda current: current.remove("i-1"), 0.0), (records, 2.0)
        )
        self.assertEqual(len(registry), 2)


if __name__ == "__main__":
    unittest.main()
