"""The nodes that the store leader tracks, and their leases.

A node is identified by its name and incarnation, so that a restarted node is a new member.
"""

from collections.abc import Collection
from dataclasses import dataclass

from passlane.configuration.in_flight import sum_in_flight
from passlane.identifiers import NodeId, Revision
from passlane.membership.placement import NodeIncarnation
from passlane.membership.rejoin_backoff import RejoinBackoff
from passlane.messages.control import MemberVersion, TargetInFlight
from passlane.messages.membership import NodeHeartbeat

NO_LEASE = float("-inf")
"""Lease end of a member without a lease."""

MAX_LAGGARDS = 5
"""Maximum number of members listed as lagging behind the configuration."""


@dataclass(slots=True)
class Member:
    """One incarnation of a node, with its last heartbeat and the end of its lease.

    ``heartbeat`` is ``None`` if the member is known only from the partition table.
    """

    node: NodeIncarnation
    last_heartbeat_at: float
    heartbeat: NodeHeartbeat | None = None
    lease_until: float = NO_LEASE

    def has_lease(self, now: float) -> bool:
        """Return whether the lease may still be valid at the member."""
        return self.lease_until > now


@dataclass(frozen=True, slots=True)
class ConfigurationProgress:
    """Configuration progress of the members with a lease.

    The revisions are the newest that all of them have prepared and have in force; ``None``
    without members. ``in_flight`` sums their calls in flight at drained targets.
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
    lease_with_drift_s
        Duration of a lease plus the maximum clock drift, in seconds: how long after a
        reply the lease may still be valid at the node.
    rejoin_delay_s
        First delay of a node that lost its lease without a planned stop.
    """

    def __init__(self, lease_with_drift_s: float, rejoin_delay_s: float) -> None:
        self._lease_with_drift_s = lease_with_drift_s
        self._members: dict[NodeIncarnation, Member] = {}
        self._backoff = RejoinBackoff(rejoin_delay_s)

    def add_recovered(self, node: NodeIncarnation, now: float) -> None:
        """Assume a full lease for a node, which the previous store leader may have granted."""
        self._members[node] = Member(node, now, lease_until=now + self._lease_with_drift_s)

    def record_heartbeat(self, heartbeat: NodeHeartbeat, now: float) -> Member:
        """Record a heartbeat and return its member."""
        node = NodeIncarnation(heartbeat.node_id, heartbeat.incarnation)
        member = self._members.setdefault(node, Member(node, now))
        member.heartbeat = heartbeat
        member.last_heartbeat_at = now
        return member

    def grant(
        self, member: Member, is_leading: bool, required_revision: Revision, now: float
    ) -> bool:
        """Renew or grant a lease if the member may have one; return whether it has one."""
        if not member.has_lease(now):
            self._end_lease(member, is_leading, now)
            if not self._may_join(member, required_revision, now):
                return False
        member.lease_until = now + self._lease_with_drift_s
        return True

    def _may_join(self, member: Member, required_revision: Revision, now: float) -> bool:
        heartbeat = member.heartbeat
        if heartbeat is None or now < self._backoff.allowed_at(member.node.node_id):
            return False
        return heartbeat.prepared_revision >= required_revision

    def expire(self, leading: Collection[NodeIncarnation], now: float) -> None:
        """End expired leases and remove members without recent heartbeats.

        ``leading`` are the nodes in the partition table. Losing a lease while leading is
        never a planned stop.
        """
        for member in list(self._members.values()):
            if member.has_lease(now):
                continue
            self._end_lease(member, member.node in leading, now)
            if member.last_heartbeat_at + self._lease_with_drift_s < now:
                del self._members[member.node]
        self._backoff.expire_losses(now)

    def _end_lease(self, member: Member, is_leading: bool, now: float) -> None:
        if member.lease_until == NO_LEASE:
            return
        member.lease_until = NO_LEASE
        was_drained = member.heartbeat is not None and member.heartbeat.draining
        if is_leading or not was_drained:
            self._backoff.record_lease_loss(member.node.node_id, now)

    def active(self, now: float) -> list[Member]:
        """Return the members that may have a lease, ordered by name."""
        active = [member for member in self._members.values() if member.has_lease(now)]
        return sorted(active, key=lambda member: member.node)

    def reporting(self) -> list[Member]:
        """Return the members that have sent a heartbeat to this leader, ordered by name."""
        reporting = [member for member in self._members.values() if member.heartbeat is not None]
        return sorted(reporting, key=lambda member: member.node)

    def progress(self, held_revision: Revision, now: float) -> ConfigurationProgress:
        """Return the progress of members with a lease, and those behind ``held_revision``."""
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
    """Return whether the member gets no new partitions and hands over its own."""
    heartbeat = member.heartbeat
    return member.node.node_id in leaving or (heartbeat is not None and heartbeat.draining)


def _version_of(member: Member) -> MemberVersion:
    heartbeat = member.heartbeat
    return MemberVersion(
        node_id=member.node.node_id,
        prepared_revision=Revision(0) if heartbeat is None else heartbeat.prepared_revision,
        revision_in_force=Revision(0) if heartbeat is None else heartbeat.revision_in_force,
    )
