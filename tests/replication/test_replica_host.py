"""Replicas of a group under failures of processes, machines and disks."""

import unittest

import anyio

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.common import Address
from passlane.messages.replication import GroupStatus, GroupStatusRequest
from passlane.observability.logging import configure_logging
from passlane.observability.ring import RingLog
from passlane.simulation.runner import run_simulation
from replication.cluster import DELAY_S, GROUP, running_cluster

SEEDS = range(6)


def setUpModule():
    configure_logging(RingLog(1_000))


def on_seeds(**settings):
    """Run a scenario on the virtual clock for each seed, with settings of the group."""

    def decorate(scenario):
        def test(self):
            for seed in SEEDS:

                async def main(seed=seed):
                    async with running_cluster(seed, **settings) as cluster:
                        await scenario(self, cluster)

                with self.subTest(seed=seed):
                    run_simulation(main, seed)

        test.__doc__ = scenario.__doc__
        return test

    return decorate


def numbered(first, last):
    return [b"%d" % number for number in range(first, last)]


async def propose_all(cluster, commands):
    for command in commands:
        await cluster.propose(command)


async def applied_everywhere(cluster, commands, names="abc"):
    await cluster.until(lambda: all(cluster.commands(name) == commands for name in names))


class ReplicaHostTest(unittest.TestCase):
    @on_seeds()
    async def test_acknowledged_commands_survive_power_loss_of_all_members(self, cluster):
        acknowledged = []

        async def propose_continuously():
            for command in numbered(0, 10_000):
                await cluster.propose(command)
                acknowledged.append(command)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(propose_continuously)
            for _ in range(3):
                await anyio.sleep(cluster.random.uniform(0.5, 1.5))
                for name in "abc":
                    cluster.kill(name)
                cluster.start()
            await cluster.until(cluster.leader)
            tasks.cancel_scope.cancel()
        self.assertGreater(len(acknowledged), 50)
        await cluster.propose(b"last")
        await cluster.until(lambda: all(b"last" in cluster.commands(n) for n in "abc"))
        for name in "abc":
            commands = cluster.commands(name)
            self.assertEqual(commands[: len(acknowledged)], acknowledged)

    @on_seeds(snapshot_every_entries=20, segment_bytes=500)
    async def test_restart_from_snapshot_and_log(self, cluster):
        """A member misses hundreds of commands while it is stopped; then all members restart."""
        commands = numbered(0, 300)
        await cluster.propose(commands[0])
        cluster.kill("c")
        await propose_all(cluster, commands)
        cluster.start("c")
        await applied_everywhere(cluster, commands)
        for name in "abc":
            cluster.kill(name)
        cluster.start()
        await applied_everywhere(cluster, commands)
        segments = cluster.members["a"].disk.list_files(f"{GROUP}/0001")
        self.assertIn("snapshot", segments)
        self.assertNotIn("segment-0000000001", segments)

    @on_seeds()
    async def test_damaged_log_is_repaired_before_a_second_machine_is_lost(self, cluster):
        commands = numbered(0, 50)
        await propose_all(cluster, commands)
        await applied_everywhere(cluster, commands)
        damaged = cluster.members["b"]
        old_id = damaged.host.replica_id
        cluster.kill("b", power=False)
        damaged.disk.flip_bit(f"{GROUP}/0001/segment-0000000001", 700)
        cluster.start("b")
        await cluster.until(lambda: damaged.host.is_voter)
        await cluster.until(lambda: not damaged.disk.list_files(f"{GROUP}/0001"))
        self.assertNotEqual(damaged.host.replica_id, old_id)
        # The repaired replica is a voter, so two of three replicas are a quorum.
        cluster.kill("c")
        cluster.members["c"].disk.wipe()
        await propose_all(cluster, numbered(50, 60))
        await applied_everywhere(cluster, numbered(0, 60), "ab")
        cluster.start("c")
        await applied_everywhere(cluster, numbered(0, 60))
        await cluster.until(lambda: cluster.members["c"].host.is_voter)
        members = cluster.leader().host._driver.replica.membership.members
        self.assertEqual(len(members), 3)
        self.assertNotIn(old_id, [member.replica_id for member in members])

    @on_seeds()
    async def test_wiped_replica_is_ready_only_once_it_is_a_voter(self, cluster):
        await propose_all(cluster, numbered(0, 30))
        cluster.kill("c")
        cluster.members["c"].disk.wipe()
        cluster.start("c")
        wiped = cluster.members["c"].host
        await cluster.until(lambda: wiped.leader_address is not None, every_s=DELAY_S / 10)
        self.assertFalse(wiped.is_ready)
        await cluster.until(lambda: wiped.is_ready)
        self.assertTrue(wiped.is_voter)

    @on_seeds()
    async def test_machine_at_a_new_address_replaces_the_lost_one(self, cluster):
        await self.move_c(cluster, keeps_files=False)

    @on_seeds()
    async def test_machine_that_moves_with_its_files_keeps_its_identity(self, cluster):
        await self.move_c(cluster, keeps_files=True)

    async def move_c(self, cluster, *, keeps_files):
        """Move a replica to another address; it must become a voter again."""
        moved = cluster.members["c"]
        await propose_all(cluster, numbered(0, 20))
        await cluster.until(lambda: moved.host.is_ready)
        old_id = moved.host.replica_id
        cluster.kill("c")
        await propose_all(cluster, numbered(20, 40))
        if not keeps_files:
            moved.disk.wipe()
        cluster.move("c", Address("127.0.0.9", 7000))
        cluster.start("c")
        await applied_everywhere(cluster, numbered(0, 40))
        await cluster.until(lambda: moved.host.is_ready)

        def voters():
            leader = cluster.leader()
            if leader is None:
                return {}
            members = leader.host._driver.replica.membership.members
            return {m.replica_id: m.address for m in members if m.is_voter}

        await cluster.until(lambda: len(voters()) == 3)
        self.assertEqual(voters()[moved.host.replica_id], moved.peer.internal)
        self.assertEqual(moved.host.replica_id == old_id, keeps_files)
        cluster.kill("a")
        await cluster.propose(b"after")

    @on_seeds()
    async def test_wiped_majority_does_not_found_the_group_again(self, cluster):
        await propose_all(cluster, numbered(0, 5))
        for name in "abc":
            cluster.kill(name)
        for name in "ab":
            cluster.members[name].disk.wipe()
        cluster.start()
        await anyio.sleep(20)
        self.assertIsNone(cluster.leader())
        self.assertEqual(cluster.commands("a"), [])
        handler = cluster.members["a"].router.unary_handler(GroupStatusRequest(GROUP))
        status = await handler(GroupStatusRequest(GROUP))
        self.assertIsInstance(status, GroupStatus)
        self.assertFalse(status.is_member)

    @on_seeds()
    async def test_full_disk_rejects_proposals_but_not_reads(self, cluster):
        await cluster.propose(b"0")
        for member in cluster.members.values():
            member.disk.capacity_bytes = member.disk.used_bytes() + 50

        async def rejection():
            leader = await cluster.until(cluster.leader)
            try:
                await leader.host.propose(b"x" * 1_000)
            except PasslaneError as error:
                return error
            return None

        errors = [await rejection() for _ in range(12)]
        full = [error for error in errors if error and error.code is ErrorCode.DISK_FULL]
        self.assertTrue(full)
        self.assertIs(full[0].verdict, Verdict.NOT_RUN)
        self.assertGreater(full[0].retry_after_s, 0)
        self.assertIn(b"0", await cluster.read())
        for member in cluster.members.values():
            member.disk.capacity_bytes = None
        await cluster.until(lambda: not any(m.host.is_disk_full for m in cluster.members.values()))
        await cluster.propose(b"1")
        await cluster.until(lambda: all(b"1" in cluster.commands(n) for n in "abc"))

    @on_seeds()
    async def test_recovers_from_a_full_disk_with_any_remaining_space(self, cluster):
        """The first failing write may be an entry, a term or a sync marker."""
        await cluster.propose(b"0")
        for space_left in range(0, 160, 32):
            command = b"at %d" % space_left
            for member in cluster.members.values():
                member.disk.capacity_bytes = member.disk.used_bytes() + space_left
            with anyio.move_on_after(2.0):
                await cluster.propose(command)
            for member in cluster.members.values():
                member.disk.capacity_bytes = None
            await cluster.propose(b"after " + command)

    @on_seeds()
    async def test_leader_with_a_full_disk_transfers_leadership(self, cluster):
        await cluster.propose(b"0")
        leader = cluster.leader()
        leader.disk.capacity_bytes = leader.disk.used_bytes() + 50
        await propose_all(cluster, numbered(1, 30))
        self.assertIsNot(await cluster.until(cluster.leader), leader)
        leader.disk.capacity_bytes = None
        await applied_everywhere(cluster, numbered(0, 30))

    @on_seeds()
    async def test_slow_sync_does_not_end_leadership(self, cluster):
        """Heartbeats and reads continue during a sync of several election timeouts."""
        await cluster.propose(b"0")
        leader = cluster.leader()
        term = leader.host.term
        for member in cluster.members.values():
            member.disk.sync_s = (1.0, 2.0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cluster.propose, b"1")
            await anyio.sleep(0.9)
            self.assertEqual(leader.machine.commands, [b"0"])
            await leader.host.read_barrier()
        self.assertEqual(leader.host.term, term)
        self.assertEqual(cluster.commands(leader.peer.name), [b"0", b"1"])

    @on_seeds()
    async def test_leader_with_a_stalled_disk_transfers_leadership(self, cluster):
        await cluster.propose(b"0")
        leader = cluster.leader()
        leader.disk.sync_s = (60.0, 60.0)
        await cluster.propose(b"1", timeout_s=10.0)
        self.assertIsNot(cluster.leader(), leader)
        self.assertTrue(leader.host.is_voter)

    @on_seeds()
    async def test_partitioned_leader_neither_commits_nor_reads(self, cluster):
        await cluster.propose(b"0")
        previous_leader = cluster.leader()
        cluster.cut.add(previous_leader.peer.name)
        with self.assertRaises(PasslaneError) as proposal:
            await previous_leader.host.propose(b"lost")
        self.assertIs(proposal.exception.verdict, Verdict.MAY_HAVE_RUN)
        with self.assertRaises(PasslaneError) as read:
            await previous_leader.host.read_barrier()
        self.assertIs(read.exception.verdict, Verdict.NOT_RUN)
        await cluster.until(lambda: cluster.leader() not in (None, previous_leader))
        await cluster.propose(b"1")
        cluster.cut.clear()
        await applied_everywhere(cluster, [b"0", b"1"])


if __name__ == "__main__":
    unittest.main()
