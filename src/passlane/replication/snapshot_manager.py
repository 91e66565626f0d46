"""Takes snapshots of a state machine, and restores it from them.

Both process the state in parts and let the event loop run in between.
"""

from collections.abc import Iterable

import anyio
import anyio.lowlevel

from passlane.messages.raft import GroupMembership
from passlane.raft.instructions import InstallSnapshot
from passlane.replication.interfaces import StateMachine
from passlane.replication.snapshot_policy import SnapshotPolicy
from passlane.storage.formats import LogPosition
from passlane.storage.reserve import SPACE_RETRY_S, is_disk_full
from passlane.storage.snapshots import Snapshot, SnapshotStore


async def restore_state(state_machine: StateMachine, parts: Iterable[bytes]) -> None:
    """Replace the state with that of a snapshot.

    Raises
    ------
    PasslaneError
        ``STORAGE_CORRUPT`` when a part is damaged or missing; the state is then unchanged.
    """
    for _ in state_machine.restore_parts(parts):
        await anyio.lowlevel.checkpoint()


class SnapshotManager:
    """Takes and installs the snapshots of one replica.

    Parameters
    ----------
    policy
        Decides when a snapshot is due; the caller records applied entries in it.
    """

    def __init__(
        self, store: SnapshotStore, state_machine: StateMachine, policy: SnapshotPolicy
    ) -> None:
        self._store = store
        self._state_machine = state_machine
        self._policy = policy

    async def take(self, last: LogPosition, membership: GroupMembership) -> Snapshot | None:
        """Save the current state, which includes entries up to ``last``.

        Entries may be applied meanwhile. Returns ``None`` if the disk is full.
        """
        self._policy.record_snapshot_started()
        parts = self._state_machine.snapshot_parts()
        try:
            snapshot = await self._store.save(last, membership, parts)
        except OSError as error:
            if not is_disk_full(error):
                raise
            return None
        self._policy.record_snapshot_size(len(snapshot.data))
        return snapshot

    async def install(self, instruction: InstallSnapshot) -> Snapshot:
        """Save a snapshot from the leader, retrying while the disk is full, and restore it."""
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
        self._policy.record_snapshot_started()
        self._policy.record_snapshot_size(len(snapshot.data))
        return snapshot
