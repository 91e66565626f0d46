"""Messages between the replicas of one Raft group.

Each message names its group, so that several groups can share a connection.
"""

import enum

import msgspec

from passlane.identifiers import ReplicaId
from passlane.messages.base import Message
from passlane.messages.common import Address


class EntryKind(enum.IntEnum):
    """Kind of a log entry's data."""

    NO_OPERATION = 0
    COMMAND = 1
    MEMBERSHIP = 2


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log; ``index`` counts from 1."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


class GroupMember(msgspec.Struct, frozen=True):
    """A replica of the group; a learner receives the log but does not vote.

    ``zone`` is the zone where it runs; empty if unknown.
    """

    replica_id: ReplicaId
    address: Address
    is_voter: bool
    zone: str = ""


class GroupMembership(msgspec.Struct, frozen=True):
    """The members of a group, as recorded in its log."""

    members: tuple[GroupMember, ...]


class RaftMessage(Message, frozen=True, kw_only=True):
    """Base of Raft messages: group, sender, receiver and the sender's term.

    ``sender_address`` is where to send the answer if the receiver does not have the
    membership yet.
    """

    group: str
    sender: ReplicaId
    receiver: ReplicaId
    term: int
    sender_address: Address | None = None


class VoteRequest(RaftMessage, frozen=True):
    """Requests a vote; with ``is_pre_vote`` only asks whether it would be granted."""

    last_index: int
    last_term: int
    is_pre_vote: bool = False
    is_transfer: bool = False


class VoteReply(RaftMessage, frozen=True):
    """Answer to ``VoteRequest``."""

    granted: bool
    is_pre_vote: bool = False


class AppendRequest(RaftMessage, frozen=True):
    """Log entries after ``previous_index``; a heartbeat has none."""

    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[LogEntry, ...] = ()
    read_round: int = 0


class AppendReply(RaftMessage, frozen=True):
    """Answer to ``AppendRequest``.

    On success, the entries up to ``synced_index`` match and are durable. A refusal has the
    index of the entry that differs or is missing, ``refused_index``, and that of the first
    entry that may differ, ``conflict_index``, from which the leader retries.
    """

    success: bool
    synced_index: int
    refused_index: int = 0
    conflict_index: int = 0
    read_round: int = 0


class SnapshotRequest(RaftMessage, frozen=True):
    """One chunk of a snapshot that ends at ``last_index``."""

    last_index: int
    last_term: int
    membership: GroupMembership
    offset: int
    data: bytes
    is_last: bool


class SnapshotReply(RaftMessage, frozen=True):
    """Answer to ``SnapshotRequest``: the next offset to send.

    ``installed`` is true once the whole snapshot is durable.
    """

    last_index: int
    next_offset: int
    installed: bool


class TimeoutNow(RaftMessage, frozen=True):
    """Tells the receiver to start an election at once (leadership transfer)."""


AnyRaftMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | SnapshotReply
    | TimeoutNow
)
