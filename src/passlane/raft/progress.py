"""The leader's view of one follower: replication progress and flow control."""

import enum
from collections import deque

import msgspec

from passlane.messages.common import Address
from passlane.messages.raft import GroupMembership
from passlane.raft.snapshot_data import SnapshotData


class ReplicationMode(enum.Enum):
    """How entries are sent to a follower."""

    PROBE = "probe"
    """The matching index is unknown: only empty requests are sent."""
    PIPELINE = "pipeline"
    """Batches are sent before earlier ones are acknowledged, up to a window."""
    SNAPSHOT = "snapshot"
    """The entries that the follower needs are compacted: a snapshot is sent."""


class Snapshot(msgspec.Struct, frozen=True):
    """A snapshot of the state machine up to and including ``last_index``."""

    last_index: int
    last_term: int
    membership: GroupMembership
    data: SnapshotData


class SnapshotTransfer(msgspec.Struct):
    """The transfer of a snapshot to a follower, with one chunk in flight at a time.

    ``next_offset`` is the offset of the chunk in flight; ``sent_at`` is when it was sent.
    """

    snapshot: Snapshot
    next_offset: int
    sent_at: float


class FollowerProgress(msgspec.Struct):
    """Replication state of one follower, as tracked by the leader.

    Attributes
    ----------
    address
        Address of the follower.
    next_index
        Index of the next entry to send.
    last_heard
        Local time of the last message from the follower; initially the time when the
        leader began to replicate to it.
    synced_index
        Last index at which the follower's log matches the leader's and is durable.
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

    def is_synced_to(self, index: int) -> bool:
        """Return whether all entries up to ``index`` are durable on the follower."""
        return self.synced_index >= index

    def record_sent(self, last_index: int) -> None:
        """Record that a batch that ends at ``last_index`` was sent."""
        self.in_flight.append(last_index)
        self.next_index = last_index + 1

    def acknowledge(self, synced_index: int) -> bool:
        """Record the follower's durable index; return whether it has advanced."""
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
        """Move ``next_index`` back after a rejection; return whether to send a probe.

        Parameters
        ----------
        refused_index
            Index at which the follower has no entry, or one of another term. A rejection at
            an index that is known to match, or not the one being probed, is stale.
        conflict_index
            First index that may differ. It may lie before the known matching index, because
            it is the start of a term of which only some entries match.
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
        """Switch to ``SNAPSHOT`` mode and return the transfer."""
        self.mode = ReplicationMode.SNAPSHOT
        self.in_flight.clear()
        self.transfer = SnapshotTransfer(snapshot=snapshot, next_offset=0, sent_at=now)
        return self.transfer

    def _leave_snapshot(self, synced_index: int) -> None:
        self.transfer = None
        self.mode = ReplicationMode.PIPELINE
        self.next_index = synced_index + 1
