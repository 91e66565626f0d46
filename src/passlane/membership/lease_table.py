"""The store leader's side of leases: who is a member, and who shall lead what.

A plain state machine on the store leader's clock. It exists for one term: a new store
leader starts a new table and gives every node that the partition table names a full
lease, because it cannot know what its predecessor promised.

The caller must make sure that it was still the leader when a heartbeat is answered
(by a read barrier begun after the heartbeat came): a lease then counts from a moment
before the next leader's table begins.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from passlane.identifiers import NodeId, Revision
from passlane.membership.members import (
    ConfigurationProgress,
    Member,
    MemberRegister,
    is_draining,
)
from passlane.membership.partition_planner import Candidates, PartitionPlanner
from passlane.membership.placement import NodeLife
from passlane.messages.common import Address
from passlane.messages.membership import HandoverOrder, NodeHeartbeat, NodeView
from passlane.messages.store import PartitionAssignment
from passlane.settings.model import MembershipSettings


@dataclass(frozen=True, slots=True)
class LeaseDecision:
    """Answer to a heartbeat; ``lease_s`` is 0 when the node gets no lease yet."""

    lease_s: float
    handovers: tuple[HandoverOrder, ...] = ()


class LeaseTable:
    """Grants leases, finds lost nodes, and plans who leads each partition.

    Parameters
    ----------
    settings
        Lengths of leases and delays, and the number of partitions.
    assignments
        The recorded partition table when this leader's term began.
    now
        Time on the own clock, in seconds.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        assignments: Iterable[PartitionAssignment],
        now: float,
    ) -> None:
        guarded_lease_s = settings.lease_s * (1.0 + settings.clock_drift_fraction)
        self._lease_s = settings.lease_s
        self._members = MemberRegister(guarded_lease_s, settings.rejoin_delay_s)
        self._planner = PartitionPlanner(settings.partitions)
        self._leaving: frozenset[NodeId] = frozenset()
        self._all_known_at = now + guarded_lease_s
        self._planner.record_assignments(assignments)
        for life in sorted(self._planner.leading):
            self._members.add_recovered(life, now)

    def record_assignments(self, assignments: Iterable[PartitionAssignment]) -> None:
        """Take over the recorded partition table once a proposal has been decided."""
        self._planner.record_assignments(assignments)

    def set_leaving(self, nodes: Collection[NodeId]) -> None:
        """Name the nodes that are leaving, by the platform's list or an operator's wish."""
        self._leaving = frozenset(nodes)

    def answer_heartbeat(
        self, heartbeat: NodeHeartbeat, required_revision: Revision, now: float
    ) -> LeaseDecision:
        """Renew or grant a lease, or put the node off.

        Parameters
        ----------
        required_revision
            Configuration that a node must hold before it gets its first lease.
        """
        member = self._members.hear(heartbeat, now)
        life = member.life
        self._planner.take_releases(life, heartbeat.released)
        if not self._members.grant(member, life in self._planner.leading, required_revision, now):
            return LeaseDecision(lease_s=0.0)
        if not self._planner.has_moves_from(life):
            return LeaseDecision(lease_s=self._lease_s)
        orders = self._planner.orders_for(life, self._eligible(now))
        return LeaseDecision(lease_s=self._lease_s, handovers=orders)

    def plan_assignments(self, now: float) -> tuple[PartitionAssignment, ...]:
        """Return the partitions that need a new leader now, with their next epochs.

        The service proposes them and calls ``record_assignments`` with what became of it
        before it asks again.
        """
        self._members.expire(self._planner.leading, now)
        if not self._planner.leading and not self.knows_all_members(now):
            # Nothing has ever been assigned: wait for more nodes, to spread evenly at once.
            return ()
        active = self._members.active(now)
        candidates = Candidates(
            active=frozenset(member.life for member in active),
            eligible=self._eligible(now),
            draining=[member.life for member in active if is_draining(member, self._leaving)],
        )
        return self._planner.plan(candidates)

    def knows_all_members(self, now: float) -> bool:
        """Return whether every node that holds a lease has been heard by this leader."""
        return now >= self._all_known_at

    def progress(self, held_revision: Revision, now: float) -> ConfigurationProgress | None:
        """Return how far the members are with the configuration; ``None`` if not known yet."""
        if not self.knows_all_members(now):
            return None
        return self._members.progress(held_revision, now)

    def views(self, now: float) -> tuple[NodeView, ...]:
        """Return the nodes as operators see them, by name."""
        return tuple(
            self._view(member, member.heartbeat, now)
            for member in self._members.heard()
            if member.heartbeat is not None
        )

    def _eligible(self, now: float) -> dict[NodeLife, Address]:
        """Return the lives that may get new partitions, with their addresses."""
        return {
            member.life: member.heartbeat.address
            for member in self._members.active(now)
            if member.heartbeat is not None and not is_draining(member, self._leaving)
        }

    def _view(self, member: Member, heartbeat: NodeHeartbeat, now: float) -> NodeView:
        return NodeView(
            node_id=heartbeat.node_id,
            address=heartbeat.address,
            zone=heartbeat.zone,
            draining=is_draining(member, self._leaving),
            has_lease=member.has_lease(now),
            partitions=self._planner.count_led(member.life),
            prepared_revision=heartbeat.prepared_revision,
            revision_in_force=heartbeat.revision_in_force,
        )
