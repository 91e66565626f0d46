"""Messages with which replicas discover a group, bootstrap it and join it.

They are sent between the addresses in the group's settings, before the receiver's replica
identity is known, so they are not Raft messages.
"""

from passlane.identifiers import ReplicaId
from passlane.messages.base import Message
from passlane.messages.common import Address
from passlane.messages.raft import GroupMember


class GroupStatusRequest(Message, frozen=True):
    """Query for a replica's stored state of a group; answered by ``GroupStatus``."""

    group: str


class GroupStatus(Message, frozen=True):
    """A replica's stored state of a group.

    ``may_found`` is true as long as the disk has never had data of the group. ``founders``
    is set once the initial members are decided. ``zone`` is the zone where the replica runs.
    """

    replica_id: ReplicaId
    is_member: bool
    may_found: bool
    founders: tuple[GroupMember, ...] = ()
    zone: str = ""


class JoinRequest(Message, frozen=True):
    """Asks the leader to add a replica or to update its address; repeated until it votes.

    ``is_known`` is true for a replica that kept its identity and only has a new address.
    ``zone`` is the zone where it runs. A group with a maximum number of voters may never
    add the replica.
    """

    group: str
    replica_id: ReplicaId
    address: Address
    is_known: bool = False
    zone: str = ""


class JoinReply(Message, frozen=True):
    """Answer to ``JoinRequest``.

    ``is_voter`` tells whether the replica votes. ``is_replaced`` is true once no earlier
    identity of the same process or at the same address is a member.
    """

    is_voter: bool
    is_replaced: bool
