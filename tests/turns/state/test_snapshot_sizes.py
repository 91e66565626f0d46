"""Snapshots of large turns are written in parts of bounded size, and read back.

Guards against stores that never come back: a part with many large turns was written above the size
at which records are read, and the log before it was removed.
"""

import random
import unittest

import anyio

from passlane.messages.raft import GroupMembership
from passlane.messages.snapshot_parts import MAX_PART_BYTES, grouped
from passlane.messages.turns import RetainedTurn, SettleTurn
from passlane.simulation.disk import SimulatedDisk
from passlane.storage.formats import LogPosition
from passlane.storage.records import HEADER_BYTES
from passlane.storage.snapshots import SnapshotStore
from passlane.turns.state.machine import TurnStateMachine

LARGE_BYTES = 3_300_000
"""Below the largest body that the platform lets clients send (4,194,304 bytes)."""
NAMES_BYTES = 1_000


def with_turns(count, size_bytes):
    machine = TurnStateMachine()
    for number in range(count):
        turn = RetainedTurn(
            turn_id=f"t{number}", previous=None, content=bytes(size_bytes), retention_s=60.0
        )
        machine.execute(SettleTurn(program_id="p", attempt_id=f"a{number}", tokens=0, turn=turn))
    return machine


async def saved(parts):
    """Return a snapshot as it is read after a restart."""
    disk = SimulatedDisk(random.Random(1))
    await SnapshotStore(disk, "folder", "turns").save(
        LogPosition(1, 1), GroupMembership(members=()), parts
    )
    return await SnapshotStore(disk, "folder", "turns").load()


class SnapshotSizeTest(unittest.TestCase):
    def test_parts_hold_turns_up_to_a_size(self):
        parts = list(with_turns(250, 100_000).snapshot_parts())
        self.assertLessEqual(max(len(part) for part in parts), MAX_PART_BYTES)
        self.assertLess(len(parts), 40)

    def test_a_turn_above_the_size_has_a_part_of_its_own(self):
        parts = list(with_turns(3, LARGE_BYTES).snapshot_parts())
        self.assertLessEqual(max(len(part) for part in parts), LARGE_BYTES + NAMES_BYTES)

    def test_large_turns_are_there_after_a_restart(self):
        """66 MB in all, more than the 64 MB above which records were not read."""

        async def main():
            snapshot = await saved(with_turns(20, LARGE_BYTES).snapshot_parts())
            machine = TurnStateMachine()
            for _ in machine.restore_parts(snapshot.parts()):
                pass
            self.assertEqual(len(machine.history_of("t19")), LARGE_BYTES)
            self.assertEqual(machine.size.turns, 20)

        anyio.run(main)

    def test_a_part_that_an_older_build_wrote_too_large_is_read(self):
        async def main():
            large = bytes(66_000_000)
            snapshot = await saved([b"first", large])
            self.assertGreater(len(snapshot.data), len(large) + HEADER_BYTES)
            self.assertEqual([len(part) for part in snapshot.parts()], [5, len(large)])

        anyio.run(main)


class GroupedTest(unittest.TestCase):
    def test_groups_keep_the_order_and_both_bounds(self):
        sizes = [3, 4, 3, 1, 1, 1, 1, 20, 2]
        groups = list(grouped(sizes, 3, int, max_bytes=10))
        self.assertEqual(groups, [(3, 4, 3), (1, 1, 1), (1,), (20,), (2,)])

    def test_nothing_makes_no_group(self):
        self.assertEqual(list(grouped([], 3, int)), [])


if __name__ == "__main__":
    unittest.main()
