"""How a node applies lists of backends, and goes on when reading them fails."""

import random
import unittest

import anyio

from passlane.decisions.backends.registry import BackendRegistry
from passlane.observability.metrics import Metrics
from passlane.relay.list_reader import BackendListReader
from passlane.simulation.runner import run_simulation
from passlane.supervision.specification import ChildSpecification
from passlane.supervision.supervisor import Supervisor
from relay.fakes import backend

FAILED_READS = 30


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


class FailingSource:
    """A list whose reads raise an error that nothing foresees, but for the first and last ones."""

    def __init__(self, records):
        self.records = records
        self.reads = 0

    async def read(self):
        self.reads += 1
        if 1 < self.reads <= 1 + FAILED_READS:
            raise OverflowError("can't serialize")
        return self.records


class UnforeseenErrorTest(unittest.TestCase):
    """Guards against an error of the reader that ends the node or the reading of the list."""

    def test_reading_goes_on_with_the_last_list_kept(self):
        source = FailingSource((backend("i-1"),))
        registry, metrics, reports = BackendRegistry(), Metrics(), []

        async def report(records):
            reports.append(len(registry))

        reader = BackendListReader(
            source, registry, 40.0, lambda: 1, lambda: True, report, random.Random(0)
        )
        metrics.define_when_exposed(reader.define_metrics)
        child = ChildSpecification("backend_list", reader.run, max_restarts=None)

        async def main():
            with anyio.move_on_after(30.0):
                await Supervisor("node", [child]).run()
                self.fail("the supervisor ended")

        run_simulation(main, seed=1)
        self.assertEqual(source.reads > FAILED_READS + 1, len(reports) > 1)
        self.assertEqual(set(reports), {1})
        self.assertEqual(len(registry), 1)
        counted = f"passlane_backend_list_failures_total {min(source.reads - 1, FAILED_READS)}.0"
        self.assertIn(counted, metrics.expose().decode())


if __name__ == "__main__":
    unittest.main()
