"""Instructions that a Raft replica returns; its shell carries them out in order."""

import msgspec

from passlane.identifiers import ReplicaId
from passlane.messages.common import Address
from passlane.messages.raft import AnyRaftMessage, GroupMembership, LogEntry, SnapshotRequest
from passlane.raft.snapshot_data import SnapshotData


class SaveHardState(msgspec.Struct, frozen=True):
    """Make term and vote durable; a later ``SendMessage`` waits until they are."""

    term: int
    voted_for: ReplicaId | None


class AppendEntries(msgspec.Struct, frozen=True):
    """Truncate the log from ``entries[0].index`` on, then write the entries.

    The shell reports ``EntriesSynced``; several writes may share one sync.
    """

    entries: tuple[LogEntry, ...]


class SendMessage(msgspec.Struct, frozen=True):
    """Send a message to a replica; delivery is not guaranteed."""

    address: Address
    message: AnyRaftMessage


class SendSnapshotChunk(msgspec.Struct, frozen=True):
    """Send the bytes of ``data`` from ``message.offset`` to ``end`` in ``message``.

    The shell reads the bytes, which may be on disk; ``message.data`` is empty.
    """

    address: Address
    message: SnapshotRequest
    data: SnapshotData
    end: int

    def read(self) -> SendMessage:
        """Return the message with the bytes of its chunk."""
        chunk = self.data[self.message.offset : self.end]
        message = msgspec.structs.replace(self.message, data=chunk)
        return SendMessage(address=self.address, message=message)


class ApplyEntries(msgspec.Struct, frozen=True):
    """Apply committed entries in order.

    ``tokens`` has the token of each entry that was proposed here, else ``None``.
    """

    entries: tuple[LogEntry, ...]
    tokens: tuple[int | None, ...]


class RejectProposals(msgspec.Struct, frozen=True):
    """Reject proposals that this replica cannot commit.

    ``may_be_committed`` is true if they were appended before leadership was lost.
    """

    tokens: tuple[int, ...]
    leader: Address | None
    may_be_committed: bool


class AllowRead(msgspec.Struct, frozen=True):
    """The read may be served once its read index ``index`` is applied here."""

    token: int
    index: int


class RejectRead(msgspec.Struct, frozen=True):
    """The read cannot be served here."""

    token: int
    leader: Address | None


class InstallSnapshot(msgspec.Struct, frozen=True):
    """Make the snapshot durable, restore the state from it, then drop the previous log."""

    last_index: int
    last_term: int
    membership: GroupMembership
    data: SnapshotData


class LeadershipChanged(msgspec.Struct, frozen=True):
    """The known leader changed; ``is_leader`` is true if it is this replica."""

    term: int
    leader: Address | None
    is_leader: bool


class MembershipChanged(msgspec.Struct, frozen=True):
    """The effective membership changed; its entry is appended, not necessarily committed."""

    membership: GroupMembership


class VoterChangeDecided(msgspec.Struct, frozen=True):
    """The leader of a group with bounded voters changes the membership; to be logged.

    Attributes
    ----------
    reason
        A ``voter_selection.VoterChangeReason``.
    replica_id
        The replica that is added, promoted or removed.
    voters, learners
        Number of voters and learners after the change.
    """

    reason: str
    replica_id: ReplicaId
    voters: int
    learners: int


Instruction = (
    SaveHardState
    | AppendEntries
    | SendMessage
    | SendSnapshotChunk
    | ApplyEntries
    | RejectProposals
    | AllowRead
    | RejectRead
    | InstallSnapshot
    | LeadershipChanged
    | MembershipChanged
    | VoterChangeDecided
)
