"""Messages between the replicas of one Raft group.

Every message names its group, so that one connection carries several groups.
"""

import enum

import msgspec

from passlane.identifiers import ReplicaId
from passlane.messages.base import Message
from passlane.messages.common import Address


class EntryKind(enum.IntEnum):
    """What a log entry holds."""

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

    ``zone`` is where it runs, empty if that is not told.
    """

    replica_id: ReplicaId
    address: Address
    is_voter: bool
    zone: str = ""


class GroupMembership(msgspec.Struct, frozen=True):
    """The members of a group, as recorded in its log."""

    members: tuple[GroupMember, ...]


class RaftMessage(Message, frozen=True, kw_only=True):
    """Common part: group, sender, receiver and the sender's term.

    ``sender_address`` lets a replica answer that does not know the membership yet.
    """

    group: str
    sender: ReplicaId
    receiver: ReplicaId
    term: int
    sender_address: Address | None = None


class VoteRequest(RaftMessage, frozen=True):
    """Asks for a vote; with ``is_pre_vote`` only asks whether it would be given."""

    last_index: int
    last_term: int
    is_pre_vote: bool = False
    is_transfer: bool = False


class VoteReply(RaftMessage, frozen=True):
    """Answer to ``VoteRequest``."""

    granted: bool
    is_pre_vote: bool = False


class AppendRequest(RaftMessage, frozen=True):
    """Entries after ``previous_index``; empty as a heartbeat."""

    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[LogEntry, ...] = ()
    read_round: int = 0


class AppendReply(RaftMessage, frozen=True):
    """Answer: entries up to ``synced_index`` match and are durable, or a hint where to retry.

    A refusal names the entry that differs or lacks, ``refused_index``, and the first one
    that may differ, ``conflict_index``.
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
    """Answer: next offset wanted, or the whole snapshot is durable."""

    last_index: int
    next_offset: int
    installed: bool


class TimeoutNow(RaftMessage, frozen=True):
    """Asks the receiver to start an election at once (leadership transfer)."""


AnyRaftMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | SnapshotReply
    | TimeoutNow
)
