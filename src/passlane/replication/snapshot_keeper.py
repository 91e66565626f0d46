"""Takes snapshots of a state machine, and restores it from them.

Both go part by part, and the loop goes on in between, however large the state is.
"""

from collections.abc import Iterable

import anyio
import anyio.lowlevel

from passlane.messages.raft import GroupMembership
from passlane.raft.instructions import InstallSnapshot
from passlane.replication.interfaces import StateMachine
from passlane.replication.snapshot_rule import SnapshotRule
from passlane.storage.formats import LogPosition
from passlane.storage.reserve import SPACE_RETRY_S, is_disk_full
from passlane.storage.snapshots import Snapshot, SnapshotStore


async def restore_state(state_machine: StateMachine, parts: Iterable[bytes]) -> None:
    """Replace the state by that of a snapshot.

    Raises
    ------
    PasslaneError
        ``STORAGE_CORRUPT`` when a part is damaged or missing; the state then stays.
    """
    for _ in state_machine.restore_parts(parts):
        await anyio.lowlevel.checkpoint()


class SnapshotKeeper:
    """The snapshots of one replica.

    Parameters
    ----------
    rule
        Says when a snapshot is due; it must be told of applied entries by the caller.
    """

    def __init__(
        self, store: SnapshotStore, state_machine: StateMachine, rule: SnapshotRule
    ) -> None:
        self._store = store
        self._state_machine = state_machine
        self._rule = rule

    async def take(self, last: LogPosition, membership: GroupMembership) -> Snapshot | None:
        """Save the state as of now, which is that of ``last``; ``None`` if the disk is full.

        Entries may be applied meanwhile.
        """
        self._rule.note_begun()
        parts = self._state_machine.snapshot_parts()
        try:
            snapshot = await self._store.save(last, membership, parts)
        except OSError as error:
            if not is_disk_full(error):
                raise
            return None
        self._rule.note_size(len(snapshot.data))
        return snapshot

    async def install(self, instruction: InstallSnapshot) -> Snapshot:
        """Save a snapshot of the leader, however long the disk is full, and restore it."""
        last = LogPosition(instruction.last_index, instruction.last_term)
        while True:
            try:
                snapshot = await self._store.save_received(
                    last, instruction.membership, instruction.data
                )
                break
            except OSError as error:
                if not is_disk_full(error):
                    raise
            await anyio.sleep(SPACE_RETRY_S)
        await restore_state(self._state_machine, snapshot.parts())
        self._rule.note_begun()
        self._rule.note_size(len(snapshot.data))
        return snapshot
