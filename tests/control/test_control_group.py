"""The control group from the view of operators and regions, under process and link failures."""

import unittest

import anyio

from control.control_cluster import REGIONS, put, running_control
from passlane.errors import PasslaneError, Verdict
from passlane.messages.control import (
    Progress,
    PutResult,
    ReadDocuments,
    ReadProgress,
    VersionConflict,
)
from passlane.observability.logging import configure_logging
from passlane.observability.ring import RingLog
from passlane.simulation.runner import run_simulation

SEEDS = range(3)
CHAOS_SEEDS = range(6)
MANY_CHANGES = 250
# Fewer heartbeats during long partitions, with the usual ratio to the election timeout.
SLOW_TIMERS = {"heartbeat_s": 0.2, "election_timeout_s": 1.2}


def on_seeds(seeds, **settings):
    def decorate(scenario):
        def test(self):
            for seed in seeds:

                async def main(seed=seed):
                    async with running_control(seed, **settings) as cluster:
                        await scenario(self, cluster)

                with self.subTest(seed=seed):
                    run_simulation(main, seed)

        return test

    return decorate


def setUpModule():
    configure_logging(RingLog(1_000))


class ControlGroupTest(unittest.TestCase):
    def assert_revisions_consistent(self, cluster):
        """Check that revisions increase on each node and have equal contents on all nodes."""
        state_of = {}
        for region in cluster.regions.values():
            for seen in region.seen:
                revisions = [revision for revision, _ in seen]
                self.assertEqual(revisions, sorted(set(revisions)))
                for revision, state in seen:
                    self.assertEqual(state_of.setdefault(revision, state), state)

    @staticmethod
    def states(cluster):
        """Return all states that any node has acted on."""
        nodes = [seen for region in cluster.regions.values() for seen in region.seen]
        return [state for seen in nodes for _, state in seen]

    @on_seeds(SEEDS)
    async def test_one_of_two_concurrent_changes_of_a_version_succeeds(self, cluster):
        await cluster.send(put("p", "old", 0, "k0"))
        results = {}

        async def write(name):
            results[name] = await cluster.send(put("p", name, 1, name), name)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write, "ann")
            tasks.start_soon(write, "ben")
        won = [r for r in results.values() if isinstance(r, PutResult)]
        lost = [r for r in results.values() if isinstance(r, VersionConflict)]
        self.assertEqual((len(won), len(lost)), (1, 1))
        self.assertEqual(lost[0].current, won[0].document)

    @on_seeds(SEEDS, snapshot_every_entries=4)
    async def test_resend_gets_first_result_after_leader_changes_and_snapshots(self, cluster):
        command = put("p", "once", 0, "k1")
        first = await cluster.send(command)
        for number in range(10):
            await cluster.send(put(f"q{number}", "x", 0, f"q{number}"))
        for name in "abc":
            cluster.kill(name)
            await anyio.sleep(2.0)
            cluster.start(name)
            await anyio.sleep(2.0)
            self.assertEqual(await cluster.send(command), first)
        found = await cluster.send(ReadDocuments("policy", "p"))
        self.assertEqual(found.documents, (first.document,))

    @on_seeds(SEEDS, **SLOW_TIMERS)
    async def test_nothing_is_accepted_while_a_region_is_partitioned(self, cluster):
        good = await cluster.send(put("p", "good", 0, "k1"))
        await cluster.until_in_force(good.document.revision)
        cluster.sides["south"] = 1
        bad = await cluster.send(put("p", "bad", 1, "k2"))
        await anyio.sleep(30.0)
        progress = await cluster.send(ReadProgress(bad.document.revision))
        self.assertIsInstance(progress, Progress)
        self.assertEqual(progress.accepted_revision, good.document.revision)
        self.assertFalse(progress.in_force_everywhere)
        restored = await cluster.withdraw(bad.document.revision, "k3")
        cluster.sides.clear()
        await cluster.until_in_force(restored.document.revision)
        self.assertNotIn({"p": "bad"}, self.states(cluster))
        self.assert_revisions_consistent(cluster)

    @on_seeds(SEEDS, **SLOW_TIMERS)
    async def test_partitioned_leader_accepts_nothing_and_its_changes_apply_once(self, cluster):
        base = await cluster.send(put("p", "base", 0, "k1"))
        await cluster.until_in_force(base.document.revision)
        for name in ("ann", "amy"):  # so that their clients find the leader
            await cluster.send(ReadDocuments(), name)
        old = (await cluster.until(cluster.leader)).peer.name
        for name in (old, "ann", "amy", "north"):
            cluster.sides[name] = 1
        self.assertTrue(cluster.members[old].host.is_leader)
        with self.assertRaises(PasslaneError):
            await cluster.send(ReadDocuments(), "amy", timeout_s=0.05)
        with self.assertRaises(PasslaneError) as caught:
            await cluster.send(put("p", "ann", 1, "ann"), "ann", timeout_s=5.0)
        self.assertIs(caught.exception.verdict, Verdict.MAY_HAVE_RUN)
        ben = await cluster.send(put("p", "ben", 1, "ben"), "ben")
        self.assertIsInstance(ben, PutResult)
        await anyio.sleep(60.0)
        for region in cluster.regions.values():
            self.assertEqual(region.in_force(), base.document.revision)
        cluster.sides.clear()
        await cluster.until_in_force(ben.document.revision)
        self.assertIsInstance(await cluster.send(put("p", "ann", 1, "ann")), VersionConflict)
        self.assert_revisions_consistent(cluster)

    @on_seeds(range(1), snapshot_every_entries=100)
    async def test_region_catches_up_after_hundreds_of_missed_changes(self, cluster):
        cluster.sides["south"] = 1
        last = None
        for number in range(MANY_CHANGES):
            last = await cluster.send(
                put(f"p{number % 40}", str(number), number // 40, f"{number}")
            )
        self.assertEqual(cluster.regions["north"].in_force(), 0)
        cluster.sides.clear()
        await cluster.until_in_force(last.document.revision)
        newest = {f"p{n % 40}": str(n) for n in range(MANY_CHANGES)}
        for region in REGIONS:
            for seen in cluster.regions[region].seen:
                self.assertEqual(seen[-1], (last.document.revision, newest))

    @on_seeds(CHAOS_SEEDS, snapshot_every_entries=15)
    async def test_random_kills_and_partitions_keep_all_confirmed_changes(self, cluster):
        chaos = Chaos(cluster)
        await chaos.run()
        await cluster.until_in_force(chaos.last_revision)
        self.assert_revisions_consistent(cluster)
        found = await cluster.send(ReadDocuments("policy"))
        for document in found.documents:
            confirmed = chaos.newest_confirmed[document.name]
            self.assertGreaterEqual(document.version, confirmed.version)
        seen = {source for state in self.states(cluster) for source in state.values()}
        self.assertEqual(seen & set(chaos.not_run), set())
        for command, result in chaos.answers:
            self.assertEqual(await cluster.send(command), result)


class Chaos:
    """Writes and resends changes while replicas are killed and partitioned at random."""

    STEPS = 60
    PAUSE_S = 0.4

    def __init__(self, cluster):
        self.cluster = cluster
        self.random = cluster.random
        self.answers = []
        self.not_run = []
        self.newest_confirmed = {}
        self.last_revision = 0

    async def run(self):
        for number in range(self.STEPS):
            self.inject_fault()
            await self.write(number)
            await anyio.sleep(self.random.uniform(0, self.PAUSE_S))
        self.cluster.sides.clear()
        self.restart_killed()

    def inject_fault(self):
        choice = self.random.random()
        if choice < 0.1:
            self.restart_killed()
            self.cluster.kill(self.random.choice("abc"))
        elif choice < 0.2:
            self.cluster.sides = {self.random.choice(["a", "b", "c", *REGIONS]): 1}
        elif choice < 0.5:
            self.cluster.sides.clear()
            self.restart_killed()

    def restart_killed(self):
        for name, member in self.cluster.members.items():
            if member.scope is None:
                self.cluster.start(name)

    async def write(self, number):
        name = f"p{self.random.randrange(4)}"
        confirmed = self.newest_confirmed.get(name)
        command = put(name, str(number), confirmed.version if confirmed else 0, f"k{number}")
        verdicts = set()
        for _ in range(2):
            try:
                result = await self.cluster.send(command, timeout_s=3.0)
            except PasslaneError as error:
                verdicts.add(error.verdict)
                continue
            self.record(command, result)
            return
        if verdicts == {Verdict.NOT_RUN}:
            self.not_run.append(str(number))

    def record(self, command, result):
        if isinstance(result, PutResult):
            self.answers.append((command, result))
            self.newest_confirmed[command.name] = result.document
            self.last_revision = max(self.last_revision, result.document.revision)
        elif isinstance(result, VersionConflict):
            self.newest_confirmed[command.name] = result.current


if __name__ == "__main__":
    unittest.main()
