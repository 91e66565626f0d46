"""How processes that know only a few seeds find the others and follow the configuration."""

import enum

import msgspec

from passlane.messages.base import Message
from passlane.messages.common import Address


class FleetRole(enum.StrEnum):
    """What a process of the fleet does."""

    NODE = "node"
    CONTROL = "control"
    STORE = "store"


class NamedAddress(msgspec.Struct, frozen=True, order=True):
    """A replica's name in its group and its internal address."""

    name: str
    address: Address


class Announce(Message, frozen=True, kw_only=True):
    """A heartbeat: sent again and again by every process to the leader of the control group.

    Elsewhere it is called a heartbeat; the class keeps its name, under which it is sent.

    Attributes
    ----------
    name
        Name of the machine, as operators call it.
    replica_name
        Name of the process among the replicas of its group.
    may_found
        Whether the process is a store replica whose disk never held anything.
    group_members
        Replicas of the store group, told by the one that leads it; else empty.
    configuration_version
        Version in force at the sender; 0 for none.
    view_number
        Number of the view that the sender holds.
    backends_number
        Number of the list of back ends that the sender holds; 0 for none.
    reads_backends
        Whether the sender believes that it is to read that list for all.
    wait_s
        The answer is held for this long unless there is something new.
    """

    name: str
    role: FleetRole
    replica_name: str
    address: Address
    zone: str
    may_found: bool = False
    group_members: tuple[NamedAddress, ...] = ()
    configuration_version: int = 0
    view_number: int = 0
    backends_number: int = 0
    reads_backends: bool = False
    wait_s: float = 0.0


class FleetAddresses(msgspec.Struct, frozen=True):
    """Where replicas are reached.

    Attributes
    ----------
    controls
        Control replicas that send heartbeats.
    stores
        Members of the store group as its leader told them last; empty before.
    store_founders
        The initial members of the store group, under the name that is sent.
    retired_replicas
        Names of store replicas that are never to join again.
    """

    controls: tuple[NamedAddress, ...] = ()
    stores: tuple[NamedAddress, ...] = ()
    store_founders: tuple[NamedAddress, ...] = ()
    retired_replicas: tuple[str, ...] = ()


class FleetView(Message, frozen=True, kw_only=True):
    """What the leader of the control group knows of the fleet.

    ``configuration`` (packed, see ``fleet.state.packed_configuration``) is set only for nodes,
    and when it is newer than what the receiver holds. ``number`` changes with any of the
    ``addresses``, which are set only if the receiver holds others. ``has_store_leader`` is
    true once the leader of the store group has sent a heartbeat. ``backends_update`` (see
    ``fleet.state.listing_updates``) is set only when the receiver holds another list than that
    of ``backends_number``; it goes on from the list of ``backends_since``, 0 for none;
    ``backends_age_s`` tells how long ago it was last known to be right, ``None`` if there is
    no list. ``reads_backends`` tells the receiver to read it for all nodes.
    """

    number: int
    addresses: FleetAddresses | None = None
    has_store_leader: bool = False
    node_count: int
    configuration_version: int
    configuration: bytes | None = None
    backends_number: int = 0
    backends_since: int = 0
    backends_update: bytes | None = None
    backends_age_s: float | None = None
    reads_backends: bool = False


class FoundStoreGroup(Message, frozen=True):
    """Settles the initial members of the store group; only the first such command counts."""

    members: tuple[NamedAddress, ...]


class StoreGroupFounded(Message, frozen=True):
    """Answers ``FoundStoreGroup`` with the members that count."""

    members: tuple[NamedAddress, ...]


class RetirementState(enum.StrEnum):
    """How far the retirement of a store machine is: completed once its replica is no member."""

    RUNNING = "running"
    COMPLETED = "completed"


class RetireStore(Message, frozen=True):
    """Asks that the store machine of this name be retired."""

    name: str


class StoreRetirement(Message, frozen=True):
    """Answers ``RetireStore`` and ``ReadRetirement``."""

    name: str
    state: RetirementState


class ReadRetirement(Message, frozen=True):
    """Asks how far the retirement of a store machine is."""

    name: str


class ForbidReplica(Message, frozen=True):
    """Records that the machine of this name is retired and its replica never joins again."""

    name: str
    replica_name: str


class ReplicaForbidden(Message, frozen=True):
    """Answers ``ForbidReplica``."""

    name: str


class RemoveReplica(Message, frozen=True):
    """Asks the leader of the store group to replace a replica and remove it for good."""

    replica_name: str


class ReplicaRemoved(Message, frozen=True):
    """Answers ``RemoveReplica`` once its leader knows; the members tell when it is done."""

    replica_name: str
