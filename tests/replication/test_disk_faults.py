"""Replicas with disks that lose, tear, corrupt or reject writes."""

import unittest
from functools import partial
from unittest import mock

import anyio

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.observability.logging import configure_logging
from passlane.observability.ring import RingLog
from passlane.raft.config import ReplicaConfig
from passlane.replication import replica_host
from passlane.storage import snapshots
from passlane.storage.snapshot_data import BlockChecksums
from replication.cluster import GROUP
from replication.test_replica_host import (
    applied_everywhere,
    numbered,
    on_seeds,
    propose_all,
)

SNAPSHOT = f"{GROUP}/0001/snapshot"


def setUpModule():
    configure_logging(RingLog(1_000))


async def propose_steadily(cluster):
    """Propose continuously, so that a crash interrupts writes."""
    for command in numbered(0, 10_000):
        await cluster.propose(command)
        await anyio.sleep(0.005)


def folder_names(member):
    """Return the numbered folders of a member; there is more than one during a repair."""
    return {name.split("/")[1] for name in member.disk.file_names() if name.count("/") == 2}


class DiskFaultTest(unittest.TestCase):
    def setUp(self):
        # Few entries are retained before a snapshot, so that a slow replica needs the snapshot.
        config = partial(ReplicaConfig, trailing_entries=5)
        # Small blocks, because the block that was read last is not read from disk again.
        checksums = partial(BlockChecksums, block_bytes=64)
        for module, name, value in (
            (replica_host, "ReplicaConfig", config),
            (snapshots, "BlockChecksums", checksums),
        ):
            patched = mock.patch.object(module, name, value)
            patched.start()
            self.addCleanup(patched.stop)

    @on_seeds()
    async def test_torn_writes_need_no_repair(self, cluster):
        """After repeated power loss during syncs, each replica keeps its identity."""
        await cluster.propose(b"first")
        ids = {name: member.host.replica_id for name, member in cluster.members.items()}
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(propose_steadily, cluster)
            for _ in range(10):
                await anyio.sleep(cluster.random.uniform(0.02, 0.3))
                name = cluster.random.choice("abc")
                cluster.kill(name)
                cluster.start(name)
            tasks.cancel_scope.cancel()
        await cluster.propose(b"last")
        await cluster.until(lambda: all(b"last" in cluster.commands(n) for n in "abc"))
        for name, member in cluster.members.items():
            self.assertEqual(member.host.replica_id, ids[name])
            self.assertEqual(folder_names(member), {"0001"})

    @on_seeds(snapshot_every_entries=20, segment_bytes=500)
    async def test_snapshot_damaged_while_down_is_repaired(self, cluster):
        commands = numbered(0, 60)
        await propose_all(cluster, commands)
        await applied_everywhere(cluster, commands)
        member = cluster.members["b"]
        old_id = member.host.replica_id
        cluster.kill("b", power=False)
        member.disk.flip_bit(SNAPSHOT, cluster.random.randrange(len(member.disk.read(SNAPSHOT))))
        cluster.start("b")
        await cluster.until(
            lambda: member.host.is_voter and not member.disk.list_files("store/0001")
        )
        self.assertNotEqual(member.host.replica_id, old_id)
        await applied_everywhere(cluster, commands)

    @on_seeds(snapshot_every_entries=20, segment_bytes=500)
    async def test_leader_does_not_send_a_corrupted_snapshot(self, cluster):
        """The damage is detected when the snapshot is read for a follower."""
        commands = numbered(0, 84)
        await cluster.propose(commands[0])
        cluster.kill("c")
        await propose_all(cluster, commands)
        leader = cluster.leader()
        old_id = leader.host.replica_id
        # Neither in the header, which is not sent, nor in the last block.
        from_end = cluster.random.randrange(80, 250)
        leader.disk.flip_bit(SNAPSHOT, len(leader.disk.read(SNAPSHOT)) - from_end)
        cluster.start("c")
        await cluster.until(lambda: leader.host.replica_id != old_id)
        await cluster.until(lambda: all(m.host.is_voter for m in cluster.members.values()))
        await applied_everywhere(cluster, commands)

    @on_seeds(snapshot_every_entries=20, segment_bytes=500)
    async def test_unreadable_files_are_repaired(self, cluster):
        """The operating system reports a bad sector in any file as an error."""
        commands = numbered(0, 60)
        await propose_all(cluster, commands)
        await applied_everywhere(cluster, commands)
        member = cluster.members["b"]
        old_id = member.host.replica_id
        cluster.kill("b", power=False)
        names = [name for name in member.disk.file_names() if not name.endswith("reserve")]
        member.disk.unreadable = {cluster.random.choice(names)}
        cluster.start("b")
        await cluster.until(lambda: member.host.is_voter and member.host.replica_id != old_id)
        await applied_everywhere(cluster, commands)

    @on_seeds()
    async def test_failed_write_stops_the_replica_but_not_its_connections(self, cluster):
        await cluster.propose(b"0")
        leader = cluster.leader()
        broken = next(m for m in cluster.members.values() if m is not leader)
        old_id = broken.host.replica_id
        broken.disk.refuses_writes = True
        await propose_all(cluster, numbered(1, 10))
        self.assertFalse(broken.host.is_voter)
        broken.disk.refuses_writes = False
        await cluster.until(lambda: broken.host.is_voter and broken.host.replica_id != old_id)
        await applied_everywhere(cluster, numbered(0, 10))

    @on_seeds(snapshot_every_entries=20, segment_bytes=500)
    async def test_replica_that_discovers_its_group_is_repaired(self, cluster):
        """Guards against a store that ends at each start though two others could repair it."""
        commands = numbered(0, 60)
        await propose_all(cluster, commands)
        await applied_everywhere(cluster, commands)
        member = cluster.members["b"]
        old_id = member.host.replica_id
        cluster.kill("b", power=False)
        member.disk.flip_bit(SNAPSHOT, cluster.random.randrange(len(member.disk.read(SNAPSHOT))))
        cluster.start("b", discovers=True)
        await cluster.until(lambda: member.failure is not None or member.host.is_voter)
        self.assertIsNone(member.failure)
        self.assertNotEqual(member.host.replica_id, old_id)
        await applied_everywhere(cluster, commands)

    @on_seeds(snapshot_every_entries=20, segment_bytes=500)
    async def test_damaged_majority_keeps_its_files(self, cluster):
        """Nobody could repair them, so a new identity would only hide what is left."""
        await propose_all(cluster, numbered(0, 60))
        await applied_everywhere(cluster, numbered(0, 60))
        for name in "abc":
            cluster.kill(name, power=False)
        for name in "ab":
            disk = cluster.members[name].disk
            disk.flip_bit(SNAPSHOT, cluster.random.randrange(len(disk.read(SNAPSHOT))))
        cluster.start("a", "b", "c", discovers=True)
        for name in "ab":
            member = cluster.members[name]
            await cluster.until(lambda member=member: member.failure is not None, timeout_s=60.0)
            self.assertEqual(folder_names(member), {"0001"})

    @on_seeds()
    async def test_single_replica_does_not_start_on_a_damaged_log(self, cluster):
        await propose_all(cluster, numbered(0, 20))
        for name in "abc":
            cluster.kill(name, power=False)
        member = cluster.members["a"]
        member.disk.flip_bit(f"{GROUP}/0001/segment-0000000001", 100)
        cluster.settings = type(cluster.settings)(members=(member.peer,))
        cluster.start("a")
        await cluster.until(lambda: member.failure is not None)
        error = member.failure
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        self.assertIs(error.code, ErrorCode.STORAGE_CORRUPT)

    @on_seeds(snapshot_every_entries=20, segment_bytes=500)
    async def test_snapshot_without_disk_space_keeps_the_previous_one(self, cluster):
        await propose_all(cluster, numbered(0, 60))
        await applied_everywhere(cluster, numbered(0, 60))
        for member in cluster.members.values():
            await cluster.until(lambda m=member: SNAPSHOT in m.disk.file_names())
            # Enough space for the log, but not for a second snapshot.
            member.disk.capacity_bytes = member.disk.used_bytes() + 400
        with anyio.move_on_after(20):
            await propose_all(cluster, numbered(60, 200))
        for member in cluster.members.values():
            self.assertIsNone(member.failure)
            self.assertLessEqual(member.disk.used_bytes(), member.disk.capacity_bytes)
            member.disk.capacity_bytes = None
        await cluster.propose(b"last")
        await cluster.until(lambda: all(b"last" in cluster.commands(n) for n in "abc"))
        for name in "abc":
            cluster.kill(name)
        cluster.start()
        await cluster.until(lambda: all(b"last" in cluster.commands(n) for n in "abc"))
        self.assertEqual([folder_names(m) for m in cluster.members.values()], [{"0001"}] * 3)

    @on_seeds()
    async def test_command_rejected_on_a_full_disk_is_never_applied(self, cluster):
        """A command rejected as not run is not applied after space is available again."""
        await cluster.propose(b"0")
        for member in cluster.members.values():
            member.disk.capacity_bytes = member.disk.used_bytes() + 50
        rejected = []
        for number in range(60):
            command = b"%d" % number + bytes(300)
            leader = await cluster.until(cluster.leader)
            try:
                await leader.host.propose(command)
            except PasslaneError as error:
                if error.verdict is Verdict.NOT_RUN:
                    rejected.append(command)
        self.assertGreater(len(rejected), 10)
        for member in cluster.members.values():
            member.disk.capacity_bytes = None
        await cluster.until(lambda: not any(m.host.is_disk_full for m in cluster.members.values()))
        await cluster.propose(b"last")
        await cluster.until(lambda: all(b"last" in cluster.commands(n) for n in "abc"))
        for name in "abc":
            self.assertFalse(set(rejected) & set(cluster.commands(name)))


if __name__ == "__main__":
    unittest.main()
