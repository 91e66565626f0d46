"""Heartbeats of nodes to their region's store group, and what they get back.

A node speaks only to its regional store leader. The reply renews its lease and
carries what has changed since the versions the node named, so that a quiet
heartbeat stays small.
"""

import msgspec

from passlane.identifiers import EngineId, NodeId, Revision
from passlane.messages.base import Message
from passlane.messages.common import Address
from passlane.messages.control import ConfigurationDelta
from passlane.messages.store import PartitionAssignment


class NodeHeartbeat(Message, frozen=True):
    """Sent by a node at each heartbeat interval.

    ``incarnation`` differs for each start of the process. ``prepared_revision`` is the
    newest configuration the node holds, ``revision_in_force`` the one it acts on.
    """

    node_id: NodeId
    incarnation: int
    address: Address
    zone: str
    prepared_revision: Revision
    revision_in_force: Revision
    table_version: int
    draining: bool = False


class NodeView(msgspec.Struct, frozen=True):
    """A node as the store leader sees it."""

    node_id: NodeId
    address: Address
    zone: str
    draining: bool


class HeartbeatReply(Message, frozen=True):
    """Renews the lease and brings what is new.

    The lease lasts ``lease_s`` seconds counted from when the node sent the heartbeat.
    ``table`` is ``None`` when the node's ``table_version`` is current. The node acts on
    ``accepted_revision`` as soon as it holds it.
    """

    lease_s: float
    table_version: int
    accepted_revision: Revision
    table: tuple[PartitionAssignment, ...] | None = None
    configuration: ConfigurationDelta | None = None
    leaving_engines: tuple[EngineId, ...] = ()
