"""Discovery of the fleet's processes, and retirement of store replicas.

A process is configured with a few seed addresses. It sends heartbeats to the leader of the
control group and receives the addresses of the others, the route configuration and the list
of backends.
"""

import enum

import msgspec

from passlane.messages.base import Message
from passlane.messages.common import Address


class FleetRole(enum.StrEnum):
    """Role of a process in the fleet."""

    NODE = "node"
    CONTROL = "control"
    STORE = "store"


class NamedAddress(msgspec.Struct, frozen=True, order=True):
    """A replica's name in its group and its internal address."""

    name: str
    address: Address


class Announce(Message, frozen=True, kw_only=True):
    """A heartbeat, sent by every process to the leader of the control group.

    Other modules call it a heartbeat; the class name is the tag on the wire.

    Attributes
    ----------
    name
        Name of the machine, as operators call it.
    replica_name
        Name of the process among the replicas of its group.
    may_found
        Whether the process is a store replica whose disk has never had any data.
    group_members
        Replicas of the store group, if the sender leads it; else empty.
    configuration_version
        Version in force at the sender; 0 for none.
    view_number
        Number of the sender's ``FleetView``.
    backends_number
        Number of the sender's list of backends; 0 for none.
    reads_backends
        Whether the sender reads the platform's list of backends on behalf of all nodes.
    wait_s
        Maximum time for which the answer is delayed until there is an update.
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
    """Addresses of the replicas.

    Attributes
    ----------
    controls
        Control replicas that send heartbeats.
    stores
        Members of the store group in its leader's latest report; empty before the first.
    store_founders
        The initial members of the store group; the attribute's name is part of the message.
    retired_replicas
        Names of store replicas that must not join again.
    """

    controls: tuple[NamedAddress, ...] = ()
    stores: tuple[NamedAddress, ...] = ()
    store_founders: tuple[NamedAddress, ...] = ()
    retired_replicas: tuple[str, ...] = ()


class FleetView(Message, frozen=True, kw_only=True):
    """Answer to ``Announce``: the fleet as the leader of the control group sees it.

    Attributes
    ----------
    number
        Changes with every change of ``addresses``.
    addresses
        ``None`` if the receiver has the current ones.
    has_store_leader
        Whether the leader of the store group has sent a heartbeat.
    configuration
        Packed configuration (see ``fleet.state.packed_configuration``); set only for nodes,
        if it is newer than the receiver's.
    backends_number
        Number of the current list of backends; 0 for none.
    backends_since
        Number of the list that ``backends_update`` is based on; 0 for none.
    backends_update
        Update to the current list (see ``fleet.state.listing_updates``); ``None`` if the
        receiver has it.
    backends_age_s
        Seconds since the list was last confirmed; ``None`` if there is no list.
    reads_backends
        Whether the receiver is to read the list on behalf of all nodes.
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
    """Sets the initial members of the store group; only the first such command has effect."""

    members: tuple[NamedAddress, ...]


class StoreGroupFounded(Message, frozen=True):
    """Answers ``FoundStoreGroup`` with the recorded initial members."""

    members: tuple[NamedAddress, ...]


class RetirementState(enum.StrEnum):
    """Progress of a store machine's retirement; completed once its replica is not a member."""

    RUNNING = "running"
    COMPLETED = "completed"


class RetireStore(Message, frozen=True):
    """Requests the retirement of the store machine of this name."""

    name: str


class StoreRetirement(Message, frozen=True):
    """Answers ``RetireStore`` and ``ReadRetirement``."""

    name: str
    state: RetirementState


class ReadRetirement(Message, frozen=True):
    """Query for the progress of a store machine's retirement."""

    name: str


class ForbidReplica(Message, frozen=True):
    """Records that the machine of this name is retired and its replica must not join again."""

    name: str
    replica_name: str


class ReplicaForbidden(Message, frozen=True):
    """Answers ``ForbidReplica``."""

    name: str


class RemoveReplica(Message, frozen=True):
    """Requests that the leader of the store group replace a replica and remove it for good."""

    replica_name: str


class ReplicaRemoved(Message, frozen=True):
    """Answers ``RemoveReplica`` once the leader has received it.

    The removal is complete when the replica is no longer a member of the group.
    """

    replica_name: str
