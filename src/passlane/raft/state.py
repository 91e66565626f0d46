"""State shared by all roles of a replica, and the instructions of the current event."""

import random as random_module
from collections.abc import Sequence
from typing import TypedDict

import msgspec

from passlane.identifiers import ReplicaId
from passlane.messages.common import Address
from passlane.messages.raft import AnyRaftMessage, EntryKind, GroupMembership, LogEntry
from passlane.raft.config import ReplicaConfig
from passlane.raft.errors import RaftInvariantError
from passlane.raft.instructions import (
    AppendEntries,
    ApplyEntries,
    InstallSnapshot,
    Instruction,
    LeadershipChanged,
    MembershipChanged,
    SaveHardState,
    SendMessage,
)
from passlane.raft.log_view import RaftLog
from passlane.raft.membership import MembershipHistory, decode_membership, voters_of
from passlane.raft.progress import Snapshot
from passlane.raft.snapshot_data import SnapshotData


class MessageHeader(TypedDict):
    """Fields for group, sender and receiver that all messages of a replica share."""

    group: str
    sender: ReplicaId
    receiver: ReplicaId
    sender_address: Address


class ReplicaState(msgspec.Struct):
    """Durable and volatile state of one replica.

    Attributes
    ----------
    term, voted_for
        Current term and the vote given in it; durable before a message depends on them.
    commit_index
        Last index that is known to be committed.
    applied_index
        Last index that was included in ``ApplyEntries``.
    leader_id, leader_address
        The leader of the current term, if known.
    tokens
        Tokens of the proposals of this leader by log index, until they are applied.
    """

    config: ReplicaConfig
    random: random_module.Random
    term: int
    voted_for: ReplicaId | None
    log: RaftLog
    snapshot: Snapshot | None
    memberships: MembershipHistory
    commit_index: int
    applied_index: int
    leader_id: ReplicaId | None = None
    leader_address: Address | None = None
    tokens: dict[int, int] = msgspec.field(default_factory=dict)
    _instructions: list[Instruction] = msgspec.field(default_factory=list)

    @classmethod
    def restore(
        cls,
        config: ReplicaConfig,
        random: random_module.Random,
        *,
        hard_term: int,
        voted_for: ReplicaId | None,
        snapshot: Snapshot,
        entries: Sequence[LogEntry],
    ) -> "ReplicaState":
        """Return the state restored from disk.

        Without a snapshot, ``snapshot`` has index 0 and only the group's initial members.
        """
        base_index = snapshot.last_index
        memberships = MembershipHistory(base_index, snapshot.membership.members)
        for entry in entries:
            if entry.index > base_index and entry.kind is EntryKind.MEMBERSHIP:
                memberships.append(entry.index, decode_membership(entry.data))
        log = RaftLog(base_index, snapshot.last_term, entries)
        if log.last_term > hard_term:
            # The entries became durable before the term, so no vote of that term was sent.
            hard_term, voted_for = log.last_term, None
        return cls(
            config=config,
            random=random,
            term=hard_term,
            voted_for=voted_for,
            log=log,
            snapshot=snapshot if base_index > 0 else None,
            memberships=memberships,
            commit_index=base_index,
            applied_index=base_index,
        )

    @property
    def own_id(self) -> ReplicaId:
        """Identity of this replica."""
        return self.config.replica_id

    @property
    def membership(self) -> GroupMembership:
        """The newest membership, committed or not."""
        return self.memberships.current

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter in its newest membership."""
        return self.own_id in voters_of(self.membership)

    def emit(self, instruction: Instruction) -> None:
        """Add an instruction to those of the current event."""
        self._instructions.append(instruction)

    def take_instructions(self) -> list[Instruction]:
        """Return the collected instructions and start a new list."""
        instructions = self._instructions
        self._instructions = []
        return instructions

    def header_to(self, receiver: ReplicaId) -> MessageHeader:
        """Return the common fields of a message to ``receiver``."""
        return {
            "group": self.config.group,
            "sender": self.own_id,
            "receiver": receiver,
            "sender_address": self.config.address,
        }

    def send(self, address: Address, message: AnyRaftMessage) -> None:
        """Send a message."""
        self.emit(SendMessage(address=address, message=message))

    def save_hard_state(self, term: int, voted_for: ReplicaId | None) -> None:
        """Set term and vote and make them durable."""
        self.term = term
        self.voted_for = voted_for
        self.emit(SaveHardState(term=term, voted_for=voted_for))

    def set_leader(self, leader_id: ReplicaId | None, address: Address | None) -> None:
        """Set the leader of the current term; emit ``LeadershipChanged`` if it changed."""
        if leader_id == self.leader_id and address == self.leader_address:
            return
        self.leader_id = leader_id
        self.leader_address = address
        is_leader = leader_id == self.own_id
        self.emit(LeadershipChanged(term=self.term, leader=address, is_leader=is_leader))

    def append_entries(self, entries: Sequence[LogEntry]) -> None:
        """Truncate the log from the index of the first entry on, then append the entries."""
        first_index = entries[0].index
        if first_index <= self.commit_index:
            raise RaftInvariantError(
                f"cannot replace entry {first_index}: committed up to {self.commit_index}"
            )
        is_membership_changed = self.memberships.truncate_from(first_index)
        self.log.append(entries)
        self.emit(AppendEntries(entries=tuple(entries)))
        for entry in entries:
            if entry.kind is EntryKind.MEMBERSHIP:
                self.memberships.append(entry.index, decode_membership(entry.data))
                is_membership_changed = True
        if is_membership_changed:
            self.emit(MembershipChanged(membership=self.membership))

    def commit(self, index: int) -> None:
        """Advance the commit index and apply committed entries."""
        self.commit_index = max(self.commit_index, min(index, self.log.last_index))
        self.apply_committed()

    def apply_committed(self) -> None:
        """Emit ``ApplyEntries`` for entries that are committed and durable here.

        Applying only durable entries ensures that a snapshot never covers an index that the
        durable log has not reached.
        """
        last_index = min(self.commit_index, self.log.synced_index)
        if last_index <= self.applied_index:
            return
        entries = self.log.entries_between(self.applied_index + 1, last_index)
        tokens = tuple(self.tokens.pop(entry.index, None) for entry in entries)
        self.applied_index = last_index
        self.emit(ApplyEntries(entries=entries, tokens=tokens))

    def record_snapshot(self, last_index: int, last_term: int, data: SnapshotData) -> None:
        """Record a snapshot that was taken here, and compact the log."""
        if self.snapshot is not None and last_index <= self.snapshot.last_index:
            return
        if last_index > self.applied_index:
            raise RaftInvariantError(f"snapshot at {last_index} runs ahead of what was applied")
        membership = self.memberships.at(last_index)
        self.snapshot = Snapshot(last_index, last_term, membership, data)
        config = self.config
        self.log.compact(
            self.log.index_before(last_index, config.trailing_entries, config.trailing_bytes)
        )
        self.memberships.compact(self.log.base_index)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the state and the log with a snapshot from the leader."""
        self.snapshot = snapshot
        self.log.reset(snapshot.last_index, snapshot.last_term)
        self.memberships.reset(snapshot.last_index, snapshot.membership)
        self.commit_index = snapshot.last_index
        self.applied_index = snapshot.last_index
        self.emit(
            InstallSnapshot(
                last_index=snapshot.last_index,
                last_term=snapshot.last_term,
                membership=snapshot.membership,
                data=snapshot.data,
            )
        )
        self.emit(MembershipChanged(membership=snapshot.membership))
