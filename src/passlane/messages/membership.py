"""Heartbeats of nodes to their region's store group, and what they get back.

A node speaks only to its regional store leader. The reply renews its lease and
carries what has changed since the versions the node named, so that a quiet
heartbeat stays small.
"""

import msgspec

from passlane.identifiers import EngineId, Epoch, NodeId, Partition, Revision
from passlane.messages.base import Message
from passlane.messages.common import Address
from passlane.messages.control import ConfigurationDelta, TargetInFlight
from passlane.messages.store import PartitionAssignment


class PartitionRelease(msgspec.Struct, frozen=True):
    """A node has stopped leading a partition in an epoch and will not take it up again."""

    partition: Partition
    epoch: Epoch


class HandoverOrder(msgspec.Struct, frozen=True):
    """A node shall finish its calls of a partition and release it to another node."""

    partition: Partition
    epoch: Epoch
    to_node: NodeId
    to_address: Address


class NodeHeartbeat(Message, frozen=True):
    """Sent by a node at each heartbeat interval.

    ``incarnation`` differs for each start of the process. ``prepared_revision`` is the
    newest configuration the node holds, ``revision_in_force`` the one it acts on.
    ``configuration_floor`` is the ``floor_revision`` of the snapshot that it began with.
    ``released`` is repeated until the table names another epoch for the partition.
    ``in_flight`` counts the node's calls at what is being drained, as of the same moment.
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
    """Query to the store leader: the nodes of its region; answered by ``Members``."""


class Members(Message, frozen=True):
    """Answer to ``ReadMembers``, by name of the node."""

    nodes: tuple[NodeView, ...]


class HeartbeatReply(Message, frozen=True):
    """Renews the lease and brings what is new.

    The lease lasts ``lease_s`` seconds counted from when the node sent the heartbeat; 0
    means that the node has no lease (yet). ``handovers`` are repeated while they stand.
    ``table`` holds the assignments that changed since the node's ``table_version``, and
    is ``None`` when that is current. The node acts on ``accepted_revision`` as soon as it
    holds it.
    """

    lease_s: float
    table_version: int
    accepted_revision: Revision
    table: tuple[PartitionAssignment, ...] | None = None
    configuration: ConfigurationDelta | None = None
    leaving_engines: tuple[EngineId, ...] = ()
    handovers: tuple[HandoverOrder, ...] = ()
