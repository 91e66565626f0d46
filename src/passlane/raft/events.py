"""Events that a Raft replica handles.

The replica is a plain state machine: ``Replica.handle(event, now)`` takes one event
and the local monotonic time in seconds, and returns instructions (see
``passlane.raft.instructions``) that the shell in ``passlane.replication`` carries out
in order. The replica does no I/O and reads no clock.
"""

import msgspec

from passlane.identifiers import ReplicaId
from passlane.messages.common import Address
from passlane.messages.raft import AnyRaftMessage
from passlane.raft.snapshot_data import SnapshotData


class TimeAdvanced(msgspec.Struct, frozen=True):
    """Time has advanced; the shell sends this at each tick and after each wake-up."""


class MessageReceived(msgspec.Struct, frozen=True):
    """A message from another replica arrived."""

    message: AnyRaftMessage


class CommandsProposed(msgspec.Struct, frozen=True):
    """Callers propose ``commands``; ``tokens`` identify them in later instructions."""

    tokens: tuple[int, ...]
    commands: tuple[bytes, ...]


class ReadRequested(msgspec.Struct, frozen=True):
    """A caller requests a linearizable read, identified by ``token``."""

    token: int


class EntriesSynced(msgspec.Struct, frozen=True):
    """All entries up to ``last_index``, which has term ``last_term``, are durable here."""

    last_index: int
    last_term: int


class HardStateSynced(msgspec.Struct, frozen=True):
    """The term and vote of the latest ``SaveHardState`` are durable here."""

    term: int


class SnapshotTaken(msgspec.Struct, frozen=True):
    """The state machine's snapshot up to ``last_index`` is durable; ``data`` reads it."""

    last_index: int
    last_term: int
    data: SnapshotData


class SnapshotInstalled(msgspec.Struct, frozen=True):
    """The snapshot received from the leader is durable and the state is restored from it.

    ``data`` reads the stored snapshot; ``None`` keeps the received data in use.
    """

    last_index: int
    data: SnapshotData | None = None


class TransferRequested(msgspec.Struct, frozen=True):
    """Leadership should move to the most advanced voter, as before a planned stop."""


class MemberAdded(msgspec.Struct, frozen=True):
    """An operator adds a replica as a learner; it becomes a voter once it has caught up."""

    token: int
    replica_id: ReplicaId
    address: Address


class MemberRemoved(msgspec.Struct, frozen=True):
    """An operator removes a replica."""

    token: int
    replica_id: ReplicaId


class ReplicaOffered(msgspec.Struct, frozen=True):
    """A replica offers to become a voter; only used in a group with bounded voters.

    ``replaces`` lists members whose files are lost: this replica was created in their
    place or uses their address.
    """

    replica_id: ReplicaId
    address: Address
    zone: str = ""
    replaces: tuple[ReplicaId, ...] = ()


class ReplicaDecommissioned(msgspec.Struct, frozen=True):
    """An operator decommissions a replica; only used in a group with bounded voters."""

    replica_id: ReplicaId


Event = (
    TimeAdvanced
    | MessageReceived
    | CommandsProposed
    | ReadRequested
    | EntriesSynced
    | HardStateSynced
    | SnapshotTaken
    | SnapshotInstalled
    | TransferRequested
    | MemberAdded
    | MemberRemoved
    | ReplicaOffered
    | ReplicaDecommissioned
)
