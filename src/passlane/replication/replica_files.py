"""Opens the files of a replica, and builds the Raft replica from them."""

import random as random_module

import msgspec

from passlane.messages.raft import GroupMember
from passlane.raft.config import ReplicaConfig
from passlane.raft.replica import Replica
from passlane.runtime.interfaces import Disk
from passlane.storage.formats import START_OF_LOG, Identity, LogPosition, storage_corrupt
from passlane.storage.log import SegmentedLog
from passlane.storage.recovery import RecoveredLog
from passlane.storage.snapshots import Snapshot, SnapshotStore


class ReplicaFiles(msgspec.Struct, frozen=True):
    """Contents of a replica's folder; ``log`` is open and must be closed."""

    log: SegmentedLog
    recovered: RecoveredLog
    store: SnapshotStore
    snapshot: Snapshot | None

    @property
    def snapshot_last(self) -> LogPosition:
        """Position of the last entry in the snapshot; the log's start without a snapshot."""
        return self.snapshot.last if self.snapshot is not None else START_OF_LOG

    @property
    def snapshot_bytes(self) -> int:
        """Size of the snapshot's data; 0 without a snapshot."""
        return len(self.snapshot.data) if self.snapshot is not None else 0

    def members(self, identity: Identity) -> tuple[GroupMember, ...]:
        """Return the membership as of the snapshot, or the group's founders."""
        if self.snapshot is not None:
            return self.snapshot.membership.members
        return identity.founders


async def open_files(
    disk: Disk, folder: str, group: str, identity: Identity, segment_bytes: int
) -> ReplicaFiles:
    """Read snapshot and log in ``folder``.

    Raises
    ------
    PasslaneError
        ``STORAGE_CORRUPT`` when they are damaged, or when the log of a member is missing.
    """
    store = SnapshotStore(disk, folder, group)
    snapshot = await store.load()
    last = snapshot.last if snapshot is not None else START_OF_LOG
    log, recovered = await SegmentedLog.open(disk, folder, group, segment_bytes, last)
    if identity.is_member and recovered.is_new:
        log.close()
        raise storage_corrupt(f"group {group}: the log in {folder} is missing")
    return ReplicaFiles(log, recovered, store, snapshot)


def build_replica(
    config: ReplicaConfig, random: random_module.Random, identity: Identity, files: ReplicaFiles
) -> Replica:
    """Return the Raft replica restored from the files."""
    last = files.snapshot_last
    return Replica(
        config,
        random,
        hard_term=files.recovered.hard_state.term,
        voted_for=files.recovered.hard_state.voted_for,
        snapshot_last_index=last.index,
        snapshot_last_term=last.term,
        snapshot_data=files.snapshot.data if files.snapshot is not None else b"",
        entries=files.recovered.entries,
        members=files.members(identity),
    )
