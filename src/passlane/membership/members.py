"""The lives of nodes that the store leader knows, and their leases."""

from collections.abc import Collection
from dataclasses import dataclass

from passlane.configuration.in_flight import sum_in_flight
from passlane.identifiers import NodeId, Revision
from passlane.membership.placement import NodeLife
from passlane.membership.rejoin import RejoinDamper
from passlane.messages.control import MemberVersion, TargetInFlight
from passlane.messages.membership import NodeHeartbeat

NO_LEASE = float("-inf")
"""End of the lease of a member that has none."""

MAX_LAGGARDS = 5
"""Most members named as being behind with the configuration."""


@dataclass(slots=True)
class Member:
    """One life of a node: its last heartbeat and the end of its lease.

    ``heartbeat`` is ``None`` for one that is known from the partition table only.
    """

    life: NodeLife
    heard_at: float
    heartbeat: NodeHeartbeat | None = None
    lease_until: float = NO_LEASE

    def has_lease(self, now: float) -> bool:
        """Return whether the member may believe that it holds a lease."""
        return self.lease_until > now


@dataclass(frozen=True, slots=True)
class ConfigurationProgress:
    """How far the members with a lease have come with the configuration.

    The revisions are the newest that all of them hold and act on; ``None`` without
    members. ``in_flight`` sums their calls at what is being drained.
    """

    member_count: int
    prepared_revision: Revision | None
    revision_in_force: Revision | None
    laggards: tuple[MemberVersion, ...]
    in_flight: tuple[TargetInFlight, ...] = ()


class MemberRegister:
    """Grants, renews and ends leases.

    Parameters
    ----------
    guarded_lease_s
        Seconds after an answer during which the lease may still be valid at the node,
        whatever the drift between the clocks.
    rejoin_delay_s
        First delay for a node that lost its lease without a planned stop.
    """

    def __init__(self, guarded_lease_s: float, rejoin_delay_s: float) -> None:
        self._guarded_lease_s = guarded_lease_s
        self._members: dict[NodeLife, Member] = {}
        self._damper = RejoinDamper(rejoin_delay_s)

    def add_recovered(self, life: NodeLife, now: float) -> None:
        """Give a full lease to a life that the previous store leader may have promised one."""
        self._members[life] = Member(life, now, lease_until=now + self._guarded_lease_s)

    def hear(self, heartbeat: NodeHeartbeat, now: float) -> Member:
        """Take down a heartbeat."""
        life = NodeLife(heartbeat.node_id, heartbeat.incarnation)
        member = self._members.setdefault(life, Member(life, now))
        member.heartbeat = heartbeat
        member.heard_at = now
        return member

    def grant(
        self, member: Member, is_leading: bool, required_revision: Revision, now: float
    ) -> bool:
        """Renew or give a lease if the member may have one; return whether it has."""
        if not member.has_lease(now):
            self._end_lease(member, is_leading, now)
            if not self._may_join(member, required_revision, now):
                return False
        member.lease_until = now + self._guarded_lease_s
        return True

    def _may_join(self, member: Member, required_revision: Revision, now: float) -> bool:
        heartbeat = member.heartbeat
        if heartbeat is None or now < self._damper.allowed_at(member.life.node_id):
            return False
        return heartbeat.prepared_revision >= required_revision

    def expire(self, leading: Collection[NodeLife], now: float) -> None:
        """End the leases whose time has passed and forget members not heard for long.

        ``leading`` are the lives that the partition table names: losing a lease while
        leading is never a planned stop.
        """
        for member in list(self._members.values()):
            if member.has_lease(now):
                continue
            self._end_lease(member, member.life in leading, now)
            if member.heard_at + self._guarded_lease_s < now:
                del self._members[member.life]
        self._damper.forget_old(now)

    def _end_lease(self, member: Member, is_leading: bool, now: float) -> None:
        if member.lease_until == NO_LEASE:
            return
        member.lease_until = NO_LEASE
        was_drained = member.heartbeat is not None and member.heartbeat.draining
        if is_leading or not was_drained:
            self._damper.lease_lost(member.life.node_id, now)

    def active(self, now: float) -> list[Member]:
        """Return the members that may hold a lease, by name."""
        held = [member for member in self._members.values() if member.has_lease(now)]
        return sorted(held, key=lambda member: member.life)

    def heard(self) -> list[Member]:
        """Return the members that have sent a heartbeat to this leader, by name."""
        heard = [member for member in self._members.values() if member.heartbeat is not None]
        return sorted(heard, key=lambda member: member.life)

    def progress(self, held_revision: Revision, now: float) -> ConfigurationProgress:
        """Return how far the members with a lease are, and who is behind ``held_revision``."""
        members = self.active(now)
        versions = [_version_of(member) for member in members]
        behind = [version for version in versions if version.prepared_revision < held_revision]
        return ConfigurationProgress(
            member_count=len(versions),
            prepared_revision=min((v.prepared_revision for v in versions), default=None),
            revision_in_force=min((v.revision_in_force for v in versions), default=None),
            laggards=tuple(behind[:MAX_LAGGARDS]),
            in_flight=sum_in_flight(
                entry
                for member in members
                if member.heartbeat is not None
                for entry in member.heartbeat.in_flight
            ),
        )


def is_draining(member: Member, leaving: Collection[NodeId]) -> bool:
    """Return whether the member is to get no new partitions and give up its own."""
    heartbeat = member.heartbeat
    return member.life.node_id in leaving or (heartbeat is not None and heartbeat.draining)


def _version_of(member: Member) -> MemberVersion:
    heartbeat = member.heartbeat
    return MemberVersion(
        node_id=member.life.node_id,
        prepared_revision=Revision(0) if heartbeat is None else heartbeat.prepared_revision,
        revision_in_force=Revision(0) if heartbeat is None else heartbeat.revision_in_force,
    )
