"""How far the leader knows one follower to be, and what it may send next."""

import enum
from collections import deque

import msgspec

from passlane.messages.common import Address
from passlane.messages.raft import GroupMembership
from passlane.raft.snapshot_data import SnapshotData


class ReplicationMode(enum.Enum):
    """How entries are sent to a follower."""

    PROBE = "probe"
    """Where its log ends is not known: only empty requests are sent."""
    PIPELINE = "pipeline"
    """Batches are sent ahead of their acknowledgements, within a window."""
    SNAPSHOT = "snapshot"
    """It is so far behind that it gets a snapshot."""


class Snapshot(msgspec.Struct, frozen=True):
    """A snapshot of the state machine up to and with ``last_index``."""

    last_index: int
    last_term: int
    membership: GroupMembership
    data: SnapshotData


class SnapshotTransfer(msgspec.Struct):
    """A snapshot on its way to a follower, one chunk in flight at a time.

    ``next_offset`` is where the chunk in flight starts; ``sent_at`` when it was sent.
    """

    snapshot: Snapshot
    next_offset: int
    sent_at: float


class FollowerProgress(msgspec.Struct):
    """What the leader knows of one follower.

    Attributes
    ----------
    address
        Where the follower is reached.
    next_index
        First entry to send next.
    last_heard
        Local time of the last message from it, or of the leader's election.
    synced_index
        Entries up to here are the leader's own and durable there.
    in_flight
        Last index of each batch sent and not yet acknowledged.
    transfer
        The snapshot being sent, in mode ``SNAPSHOT``.
    """

    address: Address
    next_index: int
    last_heard: float
    synced_index: int = 0
    mode: ReplicationMode = ReplicationMode.PIPELINE
    in_flight: deque[int] = msgspec.field(default_factory=deque)
    transfer: SnapshotTransfer | None = None

    def holds(self, index: int) -> bool:
        """Return whether it durably holds all entries up to ``index``."""
        return self.synced_index >= index

    def note_sent(self, last_index: int) -> None:
        """Note that a batch that ends at ``last_index`` was sent."""
        self.in_flight.append(last_index)
        self.next_index = last_index + 1

    def acknowledge(self, synced_index: int) -> bool:
        """Note that entries are durable there; return whether that is news."""
        if self.transfer is not None and synced_index >= self.transfer.snapshot.last_index:
            self._leave_snapshot(synced_index)
        if self.mode is ReplicationMode.PROBE:
            self.mode = ReplicationMode.PIPELINE
        if synced_index <= self.synced_index:
            return False
        self.synced_index = synced_index
        self.next_index = max(self.next_index, synced_index + 1)
        while self.in_flight and self.in_flight[0] <= synced_index:
            self.in_flight.popleft()
        return True

    def reject(self, refused_index: int, conflict_index: int) -> bool:
        """Go back to where its log may match; return whether a new probe is due.

        Parameters
        ----------
        refused_index
            The entry that the follower lacks, or holds with another term. A report about
            one that is known to be equal there, or about another one than is being probed,
            is an old one that was overtaken.
        conflict_index
            The first entry that may differ. It may lie before what is known to be equal,
            because only a part of a term's entries agrees.
        """
        if self.mode is ReplicationMode.SNAPSHOT or refused_index <= self.synced_index:
            return False
        if self.mode is ReplicationMode.PROBE and refused_index != self.next_index - 1:
            return False
        self.next_index = max(min(conflict_index, refused_index), self.synced_index + 1)
        self.in_flight.clear()
        self.mode = ReplicationMode.PROBE
        return True

    def start_snapshot(self, snapshot: Snapshot, now: float) -> SnapshotTransfer:
        """Begin to send a snapshot and return its transfer."""
        self.mode = ReplicationMode.SNAPSHOT
        self.in_flight.clear()
        self.transfer = SnapshotTransfer(snapshot=snapshot, next_offset=0, sent_at=now)
        return self.transfer

    def _leave_snapshot(self, synced_index: int) -> None:
        self.transfer = None
        self.mode = ReplicationMode.PIPELINE
        self.next_index = synced_index + 1
