"""A simulated disk under one Raft replica; what was not synced may be lost in a crash."""

import random as random_module
from collections import deque
from dataclasses import dataclass

from passlane.identifiers import ReplicaId
from passlane.messages.raft import GroupMember, GroupMembership, LogEntry


@dataclass(frozen=True, slots=True)
class HardStateWrite:
    """Term and vote, written as a whole file in place of the former one."""

    term: int
    voted_for: ReplicaId | None


@dataclass(frozen=True, slots=True)
class EntriesWrite:
    """Entries appended after cutting the log off from the first one's index on."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class SnapshotWrite:
    """A snapshot; ``replaces_log`` if it came from the leader and the log is dropped."""

    last_index: int
    last_term: int
    membership: GroupMembership
    data: bytes
    replaces_log: bool


DiskWrite = HardStateWrite | EntriesWrite | SnapshotWrite


class SimulatedRaftDisk:
    """The durable state of one replica, and the writes on their way to it.

    Term and vote live in another file than log and snapshots, so that a crash may keep
    a newer part of the one than of the other.

    Parameters
    ----------
    replica_id
        Identity that was written when the disk was fresh.
    members
        First members of the group; empty for a replica that joins later.
    """

    def __init__(self, replica_id: ReplicaId, members: tuple[GroupMember, ...]) -> None:
        self.replica_id = replica_id
        self.members = members
        self.hard_state = HardStateWrite(term=0, voted_for=None)
        self.snapshot: SnapshotWrite | None = None
        self.entries: list[LogEntry] = []
        self.unsynced: deque[DiskWrite] = deque()

    @property
    def last_index(self) -> int:
        """Last index that is durable, in the log or in the snapshot."""
        if self.entries:
            return self.entries[-1].index
        return self.snapshot.last_index if self.snapshot is not None else 0

    @property
    def last_term(self) -> int:
        """Term of the last entry that is durable, in the log or in the snapshot."""
        if self.entries:
            return self.entries[-1].term
        return self.snapshot.last_term if self.snapshot is not None else 0

    @property
    def has_unsynced_hard_state(self) -> bool:
        """Whether a term or vote is not durable yet."""
        return any(isinstance(write, HardStateWrite) for write in self.unsynced)

    @property
    def unsynced_vote(self) -> ReplicaId | None:
        """Whom a vote names that is not durable yet; ``None`` if there is none."""
        votes = [w.voted_for for w in self.unsynced if isinstance(w, HardStateWrite)]
        return votes[-1] if votes else None

    def sync(self, count: int) -> list[DiskWrite]:
        """Make the oldest ``count`` writes durable and return them."""
        synced = [self.unsynced.popleft() for _ in range(count)]
        for write in synced:
            self._make_durable(write)
        return synced

    def crash(self, random: random_module.Random) -> None:
        """Keep a random prefix of the unsynced writes to each file; lose the others."""
        hard_states = [w for w in self.unsynced if isinstance(w, HardStateWrite)]
        log_writes = [w for w in self.unsynced if not isinstance(w, HardStateWrite)]
        self.unsynced.clear()
        for writes in (hard_states, log_writes):
            for write in writes[: random.randint(0, len(writes))]:
                self._make_durable(write)

    def _make_durable(self, write: DiskWrite) -> None:
        match write:
            case HardStateWrite():
                self.hard_state = write
            case EntriesWrite():
                first_index = write.entries[0].index
                self.entries = [e for e in self.entries if e.index < first_index]
                self.entries.extend(write.entries)
            case SnapshotWrite():
                self.snapshot = write
                self.members = write.membership.members
                kept = [] if write.replaces_log else self.entries
                self.entries = [e for e in kept if e.index > write.last_index]
