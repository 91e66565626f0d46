"""Heartbeats of nodes to their region's store group, and the replies.

A node sends heartbeats only to the leader of its region's store group. The reply renews the
node's lease. To stay small, it has only the changes since the versions that the node reported.
"""

import msgspec

from passlane.identifiers import EngineId, Epoch, NodeId, Partition, Revision
from passlane.messages.base import Message
from passlane.messages.common import Address
from passlane.messages.control import ConfigurationDelta, TargetInFlight
from passlane.messages.store import PartitionAssignment


class PartitionRelease(msgspec.Struct, frozen=True):
    """A node has stopped leading a partition in an epoch and will not resume in that epoch."""

    partition: Partition
    epoch: Epoch


class HandoverOrder(msgspec.Struct, frozen=True):
    """Tells a node to finish its calls of a partition and release it to another node."""

    partition: Partition
    epoch: Epoch
    to_node: NodeId
    to_address: Address


class NodeHeartbeat(Message, frozen=True):
    """Sent by a node at each heartbeat interval.

    Attributes
    ----------
    incarnation
        Differs for each start of the process.
    prepared_revision
        Newest configuration revision that the node has.
    revision_in_force
        Configuration revision that the node acts on.
    released
        Partitions that the node has released; each is repeated until the partition table has
        another epoch for it.
    configuration_floor
        ``floor_revision`` of the snapshot that the node's configuration is based on.
    in_flight
        Number of the node's calls at drained targets, at the time of this heartbeat.
    """

    node_id: NodeId
    incarnation: int
    address: Address
    zone: str
    prepared_revision: Revision
    revision_in_force: Revision
    table_version: int
    draining: bool = False
    released: tuple[PartitionRelease, ...] = ()
    configuration_floor: Revision = Revision(0)
    in_flight: tuple[TargetInFlight, ...] = ()


class NodeView(msgspec.Struct, frozen=True):
    """A node as the store leader sees it."""

    node_id: NodeId
    address: Address
    zone: str
    draining: bool
    has_lease: bool = False
    partitions: int = 0
    prepared_revision: Revision = Revision(0)
    revision_in_force: Revision = Revision(0)


class ReadMembers(Message, frozen=True):
    """Query for the nodes of the store leader's region; answered by ``Members``."""


class Members(Message, frozen=True):
    """Answer to ``ReadMembers``; the nodes are ordered by name."""

    nodes: tuple[NodeView, ...]


class HeartbeatReply(Message, frozen=True):
    """Renews the lease and carries updates.

    Attributes
    ----------
    lease_s
        Duration of the lease from the time at which the node sent the heartbeat; 0 if the
        node has no lease.
    accepted_revision
        Revision that the node acts on as soon as it has it.
    table
        Assignments that changed since the node's ``table_version``; ``None`` if there are
        none.
    handovers
        Handovers in progress; each is repeated until it ends.
    """

    lease_s: float
    table_version: int
    accepted_revision: Revision
    table: tuple[PartitionAssignment, ...] | None = None
    configuration: ConfigurationDelta | None = None
    leaving_engines: tuple[EngineId, ...] = ()
    handovers: tuple[HandoverOrder, ...] = ()
