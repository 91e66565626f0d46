"""Events that a Raft replica is told of.

The replica is a plain state machine: ``Replica.handle(event, now)`` takes one event
and the local monotonic time in seconds, and returns instructions (see
``passlane.raft.instructions``) that the shell in ``passlane.replication`` carries out
in order. The replica does no I/O and reads no clock.
"""

from dataclasses import dataclass

from passlane.identifiers import ReplicaId
from passlane.messages.common import Address
from passlane.messages.raft import AnyRaftMessage, GroupMember
from passlane.raft.snapshot_data import SnapshotData


@dataclass(frozen=True, slots=True)
class TimeAdvanced:
    """Time went on; the shell sends this at each tick and after each wake-up."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from another replica arrived."""

    message: AnyRaftMessage


@dataclass(frozen=True, slots=True)
class CommandsProposed:
    """Callers want ``commands`` appended; ``tokens`` name them in later instructions."""

    tokens: tuple[int, ...]
    commands: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ReadRequested:
    """A caller wants a linearizable read; ``token`` names it."""

    token: int


@dataclass(frozen=True, slots=True)
class EntriesSynced:
    """All entries up to ``last_index``, written in ``term``, are durable here."""

    last_index: int
    last_term: int


@dataclass(frozen=True, slots=True)
class HardStateSynced:
    """The term and vote of the latest ``SaveHardState`` are durable here."""

    term: int


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """The state machine's snapshot up to ``last_index`` is durable; ``data`` is kept."""

    last_index: int
    last_term: int
    data: SnapshotData


@dataclass(frozen=True, slots=True)
class SnapshotInstalled:
    """The snapshot received from the leader is durable and the state restored from it.

    ``data`` is where it is kept from now on; ``None`` keeps it as it was received.
    """

    last_index: int
    data: SnapshotData | None = None


@dataclass(frozen=True, slots=True)
class TransferRequested:
    """This leader should hand leadership to the most advanced voter (planned stop)."""


@dataclass(frozen=True, slots=True)
class MemberAdded:
    """An operator adds a replica, at first as a learner; it votes once caught up."""

    token: int
    replica_id: ReplicaId
    address: Address


@dataclass(frozen=True, slots=True)
class MemberRemoved:
    """An operator removes a replica."""

    token: int
    replica_id: ReplicaId


@dataclass(frozen=True, slots=True)
class ReplicaStarted:
    """What this replica finds on its disk when it starts.

    ``members`` is empty for a replica that has not joined yet: it stays a silent
    learner until a leader adds it.
    """

    members: tuple[GroupMember, ...]


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
)
