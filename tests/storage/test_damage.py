"""Property tests of log and snapshot files that are truncated or have a flipped bit."""

import random
import tempfile
import unittest
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.raft import GroupMembership
from passlane.runtime.disk import RealDisk
from passlane.simulation.disk import SimulatedDisk
from passlane.simulation.runner import run_simulation
from passlane.storage.formats import START_OF_LOG, LogPosition, SyncedMark, decode_payload
from passlane.storage.records import RecordKind, read_records
from passlane.storage.recovery import RecoveredLog, SegmentFile, recover_log
from passlane.storage.snapshot_data import BLOCK_BYTES, BlockChecksums, FileSnapshotData
from passlane.storage.snapshots import SnapshotStore
from storage.test_log import Writer, open_log

FOLDER = "g/0001"
GROUP = "g"

repeatable = settings(derandomize=True, database=None, deadline=None, max_examples=60)
seeds = st.integers(0, 2**32)


@dataclass
class WrittenLog:
    """The segments of a log, and the states that may be recovered from them.

    ``states`` holds the hard state and entries after each write; ``synced`` is the index of
    the last synced one. ``durable`` is the segment and offset of the last synced mark.
    """

    segments: list[SegmentFile]
    states: list
    synced: int
    durable: tuple[int, int]

    def damaged(self, number: int, data: bytes) -> list[SegmentFile]:
        return [
            SegmentFile(number, data) if segment.number == number else segment
            for segment in self.segments
        ]


def write_log(seed: int) -> WrittenLog:
    source = random.Random(seed)
    disk = SimulatedDisk(source)
    writers = []

    async def main() -> None:
        log, _ = await open_log(disk)
        writer = Writer(log, source)
        writers.append(writer)
        await writer.run()
        await writer.sync()
        for _ in range(source.randint(0, 2)):
            writer.write()

    run_simulation(main, seed)
    segments = [
        SegmentFile(int(name.removeprefix("segment-")), disk.read(f"{FOLDER}/{name}"))
        for name in disk.list_files(FOLDER)
        if name.startswith("segment-")
    ]
    marks = [
        decode_payload(SyncedMark, record.payload, "")
        for segment in segments
        for record in read_records(memoryview(segment.data))
        if record.kind is RecordKind.SYNCED_MARK
    ]
    durable = max((mark.segment, mark.offset) for mark in marks)
    return WrittenLog(segments, writers[0].states, writers[0].synced, durable)


def read_back(segments: list[SegmentFile]) -> RecoveredLog | None:
    """Return the recovered log; ``None`` if it is refused as damaged."""
    try:
        return recover_log(segments, GROUP, START_OF_LOG)
    except PasslaneError as error:
        assert error.code is ErrorCode.STORAGE_CORRUPT
        return None


def flip(data: bytes, bit: int) -> bytes:
    changed = bytearray(data)
    changed[bit // 8] ^= 1 << bit % 8
    return bytes(changed)


class DamagedLogTest(unittest.TestCase):
    @repeatable
    @given(seeds, st.data())
    def test_truncated_tail_loses_only_unsynced_writes(
        self, seed: int, data: st.DataObject
    ) -> None:
        log = write_log(seed)
        last = log.segments[-1]
        durable_bytes = log.durable[1] if log.durable[0] == last.number else 0
        length = data.draw(st.integers(durable_bytes, len(last.data)))
        recovered = read_back(log.damaged(last.number, last.data[:length]))
        assert recovered is not None
        found = (recovered.hard_state, recovered.entries)
        self.assertIn(found, log.states[log.synced :])

    @repeatable
    @given(seeds, st.data())
    def test_truncated_synced_data_is_refused_or_read_as_an_earlier_state(
        self, seed: int, data: st.DataObject
    ) -> None:
        """Guards against inventing a state; truncation within the last sync may go undetected."""
        log = write_log(seed)
        segment = data.draw(st.sampled_from(log.segments))
        length = data.draw(st.integers(0, len(segment.data)))
        recovered = read_back(log.damaged(segment.number, segment.data[:length]))
        if recovered is None:
            return
        self.assertIn((recovered.hard_state, recovered.entries), log.states)
        if segment is not log.segments[-1] and length < len(segment.data):
            self.assertGreaterEqual((segment.number, length), log.durable)

    @repeatable
    @given(seeds, st.data())
    def test_flipped_bit_in_synced_records_is_refused(self, seed: int, data: st.DataObject) -> None:
        log = write_log(seed)
        synced = [segment for segment in log.segments if segment.number <= log.durable[0]]
        segment = data.draw(st.sampled_from(synced))
        end = log.durable[1] if segment.number == log.durable[0] else len(segment.data)
        bit = data.draw(st.integers(0, 8 * end - 1))
        self.assertIsNone(read_back(log.damaged(segment.number, flip(segment.data, bit))))

    @repeatable
    @given(seeds, st.data())
    def test_flipped_bit_after_synced_records_loses_only_unsynced_writes(
        self, seed: int, data: st.DataObject
    ) -> None:
        log = write_log(seed)
        last = log.segments[-1]
        begin = log.durable[1] if log.durable[0] == last.number else 0
        bit = data.draw(st.integers(8 * begin, 8 * len(last.data) - 1))
        recovered = read_back(log.damaged(last.number, flip(last.data, bit)))
        assert recovered is not None
        self.assertIn((recovered.hard_state, recovered.entries), log.states[log.synced :])


async def save_snapshot(disk: SimulatedDisk, parts: list[bytes]) -> SnapshotStore:
    store = SnapshotStore(disk, FOLDER, GROUP)
    await store.save(LogPosition(7, 2), GroupMembership(()), parts)
    return store


class DamagedSnapshotTest(unittest.TestCase):
    parts = st.lists(st.binary(max_size=60), max_size=6)

    def check_damaged(
        self, seed: int, parts: list[bytes], change: st.DataObject, kind: str
    ) -> None:
        """Check that a snapshot is read back, and is refused after its file was damaged."""

        async def main() -> None:
            disk = SimulatedDisk(random.Random(seed))
            store = await save_snapshot(disk, parts)
            loaded = await store.load()
            self.assertEqual(list(loaded.parts()), parts)
            name = f"{FOLDER}/snapshot"
            content = disk.read(name)
            if kind == "cut":
                await disk.truncate(name, change.draw(st.integers(0, len(content) - 1)))
            else:
                await disk.replace(
                    name, flip(content, change.draw(st.integers(0, 8 * len(content) - 1)))
                )
            with self.assertRaises(PasslaneError) as caught:
                list((await store.load()).parts())
            self.assertIs(caught.exception.code, ErrorCode.STORAGE_CORRUPT)

        run_simulation(main, seed)

    @repeatable
    @given(seeds, parts, st.data())
    def test_truncated_snapshot_is_refused(self, seed, parts, data) -> None:
        self.check_damaged(seed, parts, data, "cut")

    @repeatable
    @given(seeds, parts, st.data())
    def test_snapshot_with_a_flipped_bit_is_refused(self, seed, parts, data) -> None:
        self.check_damaged(seed, parts, data, "flip")

    def test_damage_after_opening_is_detected_when_a_slice_is_read(self) -> None:
        async def main() -> None:
            disk = SimulatedDisk(random.Random(1))
            store = await save_snapshot(disk, [bytes(BLOCK_BYTES), bytes(BLOCK_BYTES)])
            snapshot = await store.load()
            content_read = snapshot.data[:]
            self.assertEqual(len(content_read), len(snapshot.data))
            middle = slice(BLOCK_BYTES - 5, BLOCK_BYTES + 5)
            self.assertEqual(snapshot.data[middle], content_read[middle])
            disk.flip_bit(f"{FOLDER}/snapshot", BLOCK_BYTES * 3 // 2)
            self.assertEqual(snapshot.data[:BLOCK_BYTES], content_read[:BLOCK_BYTES])
            with self.assertRaises(PasslaneError) as caught:
                snapshot.data[2 * BLOCK_BYTES - 10 : 2 * BLOCK_BYTES]
            self.assertIs(caught.exception.code, ErrorCode.STORAGE_CORRUPT)

        run_simulation(main, 1)

    @repeatable
    @given(st.binary(max_size=3_000), st.lists(st.integers(0, 3_000), max_size=4), st.data())
    def test_slices_of_the_file_equal_slices_of_its_content(
        self, content: bytes, cuts: list[int], data: st.DataObject
    ) -> None:
        """Also when the checksums were computed from pieces of any size."""

        async def main() -> None:
            disk = SimulatedDisk(random.Random(0))
            await disk.replace("f", b"head" + content)
            checksums = BlockChecksums(block_bytes=100)
            bounds = [0, *sorted(min(cut, len(content)) for cut in cuts), len(content)]
            for begin, end in pairwise(bounds):
                checksums.add(content[begin:end])
            stored = FileSnapshotData(disk.open_read("f"), 4, checksums)
            begin, end = sorted(data.draw(st.integers(0, 3_000)) for _ in range(2))
            self.assertEqual(stored[begin:end], content[begin:end])

        run_simulation(main, 0)


def file_names(folder: Path) -> list[str]:
    return [path.name for path in folder.iterdir()]


class RealDiskTest(unittest.TestCase):
    def test_failed_replacement_keeps_the_old_file(self) -> None:
        async def main(folder: str) -> None:
            disk = RealDisk(Path(folder))
            await disk.replace("a/f", b"old")
            old = disk.open_read("a/f")

            def failing_parts() -> Iterator[bytes]:
                yield b"new"
                raise OSError("no more")

            with self.assertRaises(OSError):
                await disk.replace_with_parts("a/f", failing_parts())
            self.assertEqual(disk.read("a/f"), b"old")
            self.assertEqual(file_names(Path(folder, "a")), ["f"])
            await disk.replace_with_parts("a/f", (b"new", b"er"))
            self.assertEqual(disk.read("a/f"), b"newer")
            self.assertEqual((old.size, old.read_at(1, 9)), (3, b"ld"))
            with self.assertRaises(FileNotFoundError):
                disk.open_read("a/g")

        with tempfile.TemporaryDirectory() as folder:
            anyio.run(main, folder)


if __name__ == "__main__":
    unittest.main()
