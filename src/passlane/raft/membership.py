"""Membership of a group: its history by log index, and changes by one voter.

Any two majorities of memberships that differ by one voter overlap, so a change needs no
joint consensus. A membership is effective as soon as its entry is appended.
"""

from collections.abc import Collection, Sequence

import msgspec

from passlane.identifiers import ReplicaId
from passlane.messages.common import Address
from passlane.messages.raft import GroupMember, GroupMembership

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(GroupMembership)


def encode_membership(membership: GroupMembership) -> bytes:
    """Return the data of a ``MEMBERSHIP`` log entry."""
    return _encoder.encode(membership)


def decode_membership(data: bytes) -> GroupMembership:
    """Return the membership in the data of a ``MEMBERSHIP`` log entry."""
    return _decoder.decode(data)


def voters_of(membership: GroupMembership) -> tuple[ReplicaId, ...]:
    """Return the replicas that vote."""
    return tuple(member.replica_id for member in membership.members if member.is_voter)


def member_of(membership: GroupMembership, replica_id: ReplicaId) -> GroupMember | None:
    """Return the member with this identity, or ``None`` if there is none."""
    for member in membership.members:
        if member.replica_id == replica_id:
            return member
    return None


def address_of(membership: GroupMembership, replica_id: ReplicaId) -> Address | None:
    """Return the address of a member, or ``None`` if the replica is not a member."""
    member = member_of(membership, replica_id)
    return member.address if member is not None else None


def is_quorum(membership: GroupMembership, replicas: Collection[ReplicaId]) -> bool:
    """Return whether ``replicas`` include a majority of the voters."""
    voters = voters_of(membership)
    present = sum(1 for voter in voters if voter in replicas)
    return bool(voters) and present > len(voters) // 2


def with_learner(
    membership: GroupMembership, replica_id: ReplicaId, address: Address, zone: str = ""
) -> GroupMembership:
    """Return the membership with a replica added as a learner.

    If the replica is a member already, only its address and zone are updated. Another
    learner at the same address is removed, because its identity was lost with its disk.
    """
    known = member_of(membership, replica_id)
    is_voter = known is not None and known.is_voter
    kept = [
        member
        for member in membership.members
        if member.replica_id != replica_id and (member.is_voter or member.address != address)
    ]
    added = GroupMember(replica_id=replica_id, address=address, is_voter=is_voter, zone=zone)
    return GroupMembership(members=(*kept, added))


def with_voter(membership: GroupMembership, replica_id: ReplicaId) -> GroupMembership:
    """Return the membership with a learner promoted to voter."""
    members = tuple(
        msgspec.structs.replace(member, is_voter=True)
        if member.replica_id == replica_id
        else member
        for member in membership.members
    )
    return GroupMembership(members=members)


def without_member(membership: GroupMembership, replica_id: ReplicaId) -> GroupMembership:
    """Return the membership without a replica."""
    members = tuple(m for m in membership.members if m.replica_id != replica_id)
    return GroupMembership(members=members)


def replaced_voter(membership: GroupMembership, learner: GroupMember) -> GroupMember | None:
    """Return the voter that has the same address as a learner, if there is one.

    Two processes cannot share an address, so the disk of that voter is lost.
    """
    for member in membership.members:
        if member.is_voter and member.address == learner.address:
            return member
    return None


class MembershipHistory:
    """The memberships since the log's base, each with the index of its entry.

    Parameters
    ----------
    base_index
        Index of the log's base.
    members
        Membership as of ``base_index``.
    """

    def __init__(self, base_index: int, members: Sequence[GroupMember]) -> None:
        self._changes = [(base_index, GroupMembership(members=tuple(members)))]

    @property
    def current(self) -> GroupMembership:
        """The newest membership, committed or not."""
        return self._changes[-1][1]

    @property
    def current_index(self) -> int:
        """Index of the entry with the newest membership."""
        return self._changes[-1][0]

    def at(self, index: int) -> GroupMembership:
        """Return the membership as of ``index``."""
        for change_index, membership in reversed(self._changes):
            if change_index <= index:
                return membership
        return self._changes[0][1]

    def append(self, index: int, membership: GroupMembership) -> None:
        """Record the membership in the entry at ``index``."""
        self._changes.append((index, membership))

    def truncate_from(self, index: int) -> bool:
        """Discard changes from ``index`` on; return whether there were any."""
        kept = [change for change in self._changes if change[0] < index]
        if not kept:
            kept = self._changes[:1]
        is_changed = len(kept) < len(self._changes)
        self._changes = kept
        return is_changed

    def compact(self, index: int) -> None:
        """Discard the memberships that were replaced up to ``index``."""
        later = [change for change in self._changes if change[0] > index]
        self._changes = [(index, self.at(index)), *later]

    def reset(self, index: int, membership: GroupMembership) -> None:
        """Replace the history by the membership of a snapshot."""
        self._changes = [(index, membership)]
