"""Instructions that a Raft replica gives to its shell, to be carried out in order."""

import msgspec

from passlane.identifiers import ReplicaId
from passlane.messages.common import Address
from passlane.messages.raft import AnyRaftMessage, GroupMembership, LogEntry, SnapshotRequest
from passlane.raft.snapshot_data import SnapshotData


class SaveHardState(msgspec.Struct, frozen=True):
    """Make term and vote durable; later ``SendMessage`` in this batch wait for that."""

    term: int
    voted_for: ReplicaId | None


class AppendEntries(msgspec.Struct, frozen=True):
    """Write entries to the log, after cutting it off from ``entries[0].index`` on.

    The shell answers with ``EntriesSynced``; several may share one sync.
    """

    entries: tuple[LogEntry, ...]


class SendMessage(msgspec.Struct, frozen=True):
    """Send a message to a replica; it may get lost."""

    address: Address
    message: AnyRaftMessage


class SendSnapshotChunk(msgspec.Struct, frozen=True):
    """Send the bytes of ``data`` from ``message.offset`` to ``end`` in ``message``.

    The shell reads them, since they may be on the disk; ``message.data`` is empty.
    """

    address: Address
    message: SnapshotRequest
    data: SnapshotData
    end: int

    def read(self) -> SendMessage:
        """Return the message with its bytes, to be sent like any other."""
        chunk = self.data[self.message.offset : self.end]
        message = msgspec.structs.replace(self.message, data=chunk)
        return SendMessage(address=self.address, message=message)


class ApplyEntries(msgspec.Struct, frozen=True):
    """Entries became committed; apply them in order. Tokens name local proposals."""

    entries: tuple[LogEntry, ...]
    tokens: tuple[int | None, ...]


class RejectProposals(msgspec.Struct, frozen=True):
    """Proposals that will not be appended here.

    ``may_be_committed`` is true when they were appended but leadership was lost.
    """

    tokens: tuple[int, ...]
    leader: Address | None
    may_be_committed: bool


class AllowRead(msgspec.Struct, frozen=True):
    """The read may go ahead once ``index`` is applied here."""

    token: int
    index: int


class RejectRead(msgspec.Struct, frozen=True):
    """The read cannot be served here."""

    token: int
    leader: Address | None


class InstallSnapshot(msgspec.Struct, frozen=True):
    """Make the snapshot durable, restore the state from it, then drop the old log."""

    last_index: int
    last_term: int
    membership: GroupMembership
    data: SnapshotData


class LeadershipChanged(msgspec.Struct, frozen=True):
    """The known leader changed; ``is_leader`` tells whether it is this replica."""

    term: int
    leader: Address | None
    is_leader: bool


class MembershipChanged(msgspec.Struct, frozen=True):
    """The membership in force changed (appended, not yet committed)."""

    membership: GroupMembership


class PlaceDecided(msgspec.Struct, frozen=True):
    """The leader of a group with bounded voters decided on a change; for the log.

    Attributes
    ----------
    reason
        A ``voter_places.PlaceReason``.
    replica_id
        The replica that joins, votes or leaves.
    voters, learners
        How many there are after the change.
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
    | PlaceDecided
)
