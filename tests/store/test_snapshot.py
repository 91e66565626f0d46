"""Snapshots that are encoded while commands continue."""

import random
import unittest
from unittest import mock

from passlane.store import snapshot
from passlane.store.machine import StoreStateMachine
from store.command_streams import Stream, restore, snapshot_of


class ConcurrentSnapshotTest(unittest.TestCase):
    SEEDS = range(25)
    COMMANDS_BEFORE = 300

    def setUp(self) -> None:
        small_parts = mock.patch.object(snapshot, "ITEMS_PER_PART", 4)
        small_parts.start()
        self.addCleanup(small_parts.stop)

    def advance(self, machine: StoreStateMachine, stream: Stream, commands: int) -> int:
        """Apply commands; return how many programs they removed."""
        before = len(machine.programs)
        for _ in range(commands):
            command = stream.draw()
            stream.record_result(command, machine.execute(command))
        return max(0, before - len(machine.programs))

    def test_snapshot_has_the_state_at_its_start(self) -> None:
        changed = 0
        removed = 0
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                machine = StoreStateMachine()
                stream = Stream(machine, random.Random(seed))
                self.advance(machine, stream, self.COMMANDS_BEFORE)
                expected = snapshot_of(machine)
                parts = []
                for part in machine.snapshot_parts():
                    parts.append(part)
                    removed += self.advance(machine, stream, 20)
                self.assertEqual(parts, expected)
                changed += snapshot_of(machine) != expected
                restored = StoreStateMachine()
                restore(restored, parts)
                self.assertEqual(snapshot_of(restored), expected)
        self.assertEqual(changed, len(self.SEEDS))
        self.assertGreater(removed, 0)

    def test_abandoned_snapshot_is_garbage_collected(self) -> None:
        machine = StoreStateMachine()
        stream = Stream(machine, random.Random(1))
        self.advance(machine, stream, self.COMMANDS_BEFORE)
        parts = machine.snapshot_parts()
        next(parts)
        del parts
        self.advance(machine, stream, 20)
        self.assertIsNone(machine.programs._capture)

    def test_state_is_replaced_only_after_the_last_part(self) -> None:
        machine = StoreStateMachine()
        self.advance(machine, Stream(machine, random.Random(2)), self.COMMANDS_BEFORE)
        parts = snapshot_of(machine)
        other = StoreStateMachine()
        restoring = other.restore_parts(parts)
        for _ in parts:
            next(restoring)
            self.assertEqual(len(other.programs), 0)
        self.assertIsNone(next(restoring, None))
        self.assertEqual(snapshot_of(other), parts)

    def test_parts_without_a_header_are_refused(self) -> None:
        machine = StoreStateMachine()
        with self.assertRaises(ValueError):
            restore(machine, [])


if __name__ == "__main__":
    unittest.main()
