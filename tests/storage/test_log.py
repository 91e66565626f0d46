"""Tests of the log with crashes, damaged files and a full disk."""

import random
import tempfile
import unittest
from pathlib import Path

import anyio

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.raft import EntryKind, GroupMembership, LogEntry
from passlane.runtime.disk import RealDisk
from passlane.simulation.disk import SimulatedDisk
from passlane.simulation.runner import run_simulation
from passlane.storage.formats import START_OF_LOG, HardState, LogPosition
from passlane.storage.identity import IdentityFile
from passlane.storage.log import SegmentedLog
from passlane.storage.reserve import RESERVE_BYTES
from passlane.storage.snapshots import SnapshotStore

SEGMENT_BYTES = 400


def entry(index, term, size=20):
    return LogEntry(index=index, term=term, kind=EntryKind.COMMAND, data=b"d" * size)


async def open_log(disk, snapshot=START_OF_LOG):
    return await SegmentedLog.open(disk, "g/0001", "g", SEGMENT_BYTES, snapshot)


class Writer:
    """Makes random writes to a log and records the state after each."""

    def __init__(self, log, source):
        self.log = log
        self.source = source
        self.states = [(HardState(), [])]
        self.synced = 0

    def write(self):
        hard_state, entries = self.states[-1]
        if self.source.random() < 0.2:
            hard_state = HardState(term=hard_state.term + 1, voted_for="a")
            self.log.save_hard_state(hard_state)
        else:
            keep = len(entries)
            if entries and self.source.random() < 0.2:
                keep = self.source.randrange(len(entries))
            count = self.source.randint(1, 4)
            size = self.source.choice([0, 20, 300])
            new = tuple(entry(keep + n + 1, hard_state.term, size) for n in range(count))
            self.log.append(new)
            for number in range(1, count):
                # A crash may preserve only some entries of one append.
                self.states.append((hard_state, [*entries[:keep], *new[:number]]))
            entries = [*entries[:keep], *new]
        self.states.append((hard_state, entries))

    async def sync(self):
        count = len(self.states) - 1
        await self.log.sync()
        self.synced = max(self.synced, count)

    async def run(self):
        """Make random writes, some of them during a sync."""
        for _ in range(self.source.randint(1, 40)):
            self.write()
            if self.source.random() < 0.3:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.sync)
                    await anyio.sleep(0.0001)
                    self.write()


class LogTest(unittest.TestCase):
    def simulate(self, scenario, seeds):
        for seed in seeds:
            with self.subTest(seed=seed):
                source = random.Random(seed)
                disk = SimulatedDisk(source)
                run_simulation(lambda s=source, d=disk: scenario(s, d), seed)

    def test_power_loss_keeps_what_was_synced(self):
        """Also on repeated power loss during a sync, with torn and corrupted writes."""

        async def scenario(source, disk):
            log, _ = await open_log(disk)
            writer = Writer(log, source)
            for _ in range(3):
                await writer.run()
                with anyio.move_on_after(source.uniform(0, 0.001)):
                    await writer.sync()
                disk.lose_power()
                log, recovered = await open_log(disk)
                found = (recovered.hard_state, recovered.entries)
                self.assertTrue(found in writer.states[writer.synced :])
                writer.states = [found]
                writer.synced = 0
                writer.log = log

        self.simulate(scenario, range(150))

    def test_flipped_bit_in_synced_data_is_refused_or_harmless(self):
        refused = 0

        async def scenario(source, disk):
            nonlocal refused
            log, _ = await open_log(disk)
            writer = Writer(log, source)
            await writer.run()
            await writer.sync()
            name = "g/0001/" + source.choice(disk.list_files("g/0001")[1:])
            disk.kill_process()
            disk.flip_bit(name, source.randrange(len(disk.read(name))))
            try:
                _, recovered = await open_log(disk)
            except PasslaneError as error:
                self.assertIs(error.code, ErrorCode.STORAGE_CORRUPT)
                refused += 1
            else:
                found = (recovered.hard_state, recovered.entries)
                self.assertTrue(found == writer.states[-1])

        self.simulate(scenario, range(150))
        self.assertGreater(refused, 100)

    def test_missing_segment_is_refused(self):
        async def scenario(source, disk):
            log, _ = await open_log(disk)
            for index in range(1, 40):
                log.append((entry(index, 1),))
            await log.sync()
            await disk.remove("g/0001/" + disk.list_files("g/0001")[2])
            with self.assertRaisesRegex(PasslaneError, "missing"):
                await open_log(disk)

        self.simulate(scenario, [0])

    def test_old_segments_are_removed_after_a_snapshot_and_the_log_continues(self):
        async def scenario(source, disk):
            log, _ = await open_log(disk)
            log.save_hard_state(HardState(term=3, voted_for="b"))
            for index in range(1, 41):
                log.append((entry(index, 3),))
            await log.sync()
            before = disk.used_bytes()
            self.assertGreater(await log.remove_before(30), 2)
            self.assertLess(disk.used_bytes(), before)
            _, recovered = await open_log(disk, LogPosition(30, 3))
            self.assertEqual([e.index for e in recovered.entries], list(range(31, 41)))
            self.assertEqual(recovered.hard_state, HardState(term=3, voted_for="b"))
            # A snapshot from another replica may be ahead of the whole log.
            log, recovered = await open_log(disk, LogPosition(60, 4))
            self.assertEqual(recovered.entries, [])
            log.append((entry(61, 4),))
            await log.sync()
            _, recovered = await open_log(disk, LogPosition(60, 4))
            self.assertEqual([e.index for e in recovered.entries], [61])
            with self.assertRaises(PasslaneError):
                await open_log(disk)

        self.simulate(scenario, [0])

    def test_writes_on_a_full_disk_keep_their_order_and_are_recovered(self):
        async def scenario(source, disk):
            log, _ = await open_log(disk)
            log.append((entry(1, 1),))
            await log.sync()
            disk.capacity_bytes = disk.used_bytes() + 30
            for index in range(2, 60):
                log.append((entry(index, 1, 300),))
            self.assertTrue(log.is_full and log.has_backlog)
            self.assertLess((await log.sync()).last.index, 59)
            # Releasing the reserve frees space for the backlog, but not for a new reserve.
            self.assertFalse(await log.recover_space())
            self.assertFalse(log.has_backlog)
            self.assertEqual((await log.sync()).last.index, 59)
            self.assertTrue(log.is_full)
            disk.capacity_bytes = None
            self.assertTrue(await log.recover_space())
            disk.lose_power()
            _, recovered = await open_log(disk)
            self.assertEqual([e.index for e in recovered.entries], list(range(1, 60)))

        self.simulate(scenario, [0])

    def test_disk_that_fills_up_during_space_recovery_is_detected(self):
        async def scenario(source, disk):
            log, _ = await open_log(disk)
            disk.capacity_bytes = disk.used_bytes()
            log.append((entry(1, 1),))
            disk.capacity_bytes = None
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(log.recover_space)
                for _ in range(1_000):
                    await anyio.sleep(0.00001)
                    if not log.has_backlog and disk.used_bytes() >= RESERVE_BYTES:
                        break
                disk.capacity_bytes = disk.used_bytes()
                log.append((entry(2, 1),))
            self.assertTrue(log.has_backlog)
            self.assertTrue(log.is_full)

        self.simulate(scenario, range(10))

    def test_flipped_bit_in_snapshot_or_identity_is_refused(self):
        async def scenario(source, disk):
            store = SnapshotStore(disk, "g/0001", "g")
            identities = IdentityFile(disk, "g", "g", "a")
            identity = await identities.create(source, may_found=True)
            parts = [b"state" * 50, b"", b"more"]
            await store.save(LogPosition(7, 2), GroupMembership(()), parts)
            loaded = await store.load()
            self.assertEqual(loaded.last, LogPosition(7, 2))
            self.assertEqual(list(loaded.parts()), parts)
            for name in ("g/0001/snapshot", "g/identity"):
                disk.flip_bit(name, source.randrange(len(disk.read(name))))
            with self.assertRaises(PasslaneError):
                list((await store.load()).parts())
            with self.assertRaises(PasslaneError):
                identities.load()
            renewed = await identities.create(source, may_found=False)
            self.assertNotEqual(renewed.replica_id, identity.replica_id)
            self.assertGreater(renewed.generation, identity.generation)
            self.assertEqual(identities.load(), renewed)

        self.simulate(scenario, range(30))

    def test_truncated_and_removed_segments_on_a_real_disk(self):
        async def scenario(folder):
            disk = RealDisk(Path(folder))
            log, _ = await open_log(disk)
            for index in range(1, 40):
                log.append((entry(index, 1),))
            await log.sync()
            log.close()
            await disk.truncate("g/0001/segment-0000000003", 100)
            with self.assertRaises(PasslaneError):
                await open_log(disk)
            await disk.replace("g/0001/segment-0000000003", b"")
            await disk.remove("g/0001/segment-0000000003")
            self.assertNotIn("segment-0000000003", disk.list_files("g/0001"))
            with self.assertRaises(OSError):
                disk.read("../outside")

        with tempfile.TemporaryDirectory() as folder:
            anyio.run(scenario, folder)


if __name__ == "__main__":
    unittest.main()
