"""Messages by which the replicas of a group find, found and join it.

They are sent between the addresses of the group's settings, before the receiver's
replica identity is known, so they are no Raft messages.
"""

from passlane.identifiers import ReplicaId
from passlane.messages.base import Message
from passlane.messages.common import Address
from passlane.messages.raft import GroupMember


class GroupStatusRequest(Message, frozen=True):
    """Asks a replica what its disk says about a group; answered by ``GroupStatus``."""

    group: str


class GroupStatus(Message, frozen=True):
    """What a replica's disk says about a group.

    ``may_found`` is true while the disk has never held anything of the group;
    ``founders`` is set once the first members are settled; ``zone`` is where the replica
    runs.
    """

    replica_id: ReplicaId
    is_member: bool
    may_found: bool
    founders: tuple[GroupMember, ...] = ()
    zone: str = ""


class JoinRequest(Message, frozen=True):
    """Asks the leader to take in a replica, or its new address; sent until it votes.

    ``is_known`` is true for a replica that kept its identity and only moved; ``zone`` is
    where it runs. In a group with bounded voters this is an offer that may never be taken.
    """

    group: str
    replica_id: ReplicaId
    address: Address
    is_known: bool = False
    zone: str = ""


class JoinReply(Message, frozen=True):
    """How far the replica's joining has come.

    ``is_replaced`` is true once no older identity of the same process, or at the same
    address, is a member.
    """

    is_voter: bool
    is_replaced: bool
