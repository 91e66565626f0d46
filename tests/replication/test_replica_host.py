"""Replicas of a group under failures of processes, machines and disks."""

import unittest

from passlane.observability.logging import configure_logging
from passlane.observability.ring import RingLog
from passlane.simulation.runner import run_simulation
from replication.cluster import running_cluster

SEEDS = range(5)


def on_seeds(scenario, **settings):
    """Run ``scenario(cluster, test)`` on the virtual clock for each seed."""

    def test(self):
        for seed in SEEDS:

            async def main(seed=seed):
                async with running_cluster(seed, **settings) as cluster:
                    await scenario(self, cluster)

            with self.subTest(seed=seed):
                run_simulation(main, seed)

    test.__doc__ = scenario.__doc__
    return test


def setUpModule():
    configure_logging(RingLog(1_000))


class ReplicaHostTest(unittest.TestCase):
    @on_seeds
    async def test_commands_reach_all_replicas(self, cluster):
        for number in range(20):
            await cluster.propose(b"%d" % number)
        expected = [b"%d" % number for number in range(20)]
        await cluster.until(lambda: all(cluster.commands(n) == expected for n in "abc"))


if __name__ == "__main__":
    unittest.main()
