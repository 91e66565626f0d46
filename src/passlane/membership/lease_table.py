"""The store leader's side of leases: members and the planned leader of each partition.

A state machine without I/O, on the store leader's clock, for one term. A new store leader
assumes that each node in the partition table has a full lease from its predecessor. The
caller must confirm leadership with a read barrier that starts after a heartbeat arrives
and before it is answered, so that a lease starts before the next leader's table does.
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
from passlane.membership.placement import NodeIncarnation
from passlane.messages.common import Address
from passlane.messages.membership import HandoverOrder, NodeHeartbeat, NodeView
from passlane.messages.store import PartitionAssignment
from passlane.settings.model import MembershipSettings


@dataclass(frozen=True, slots=True)
class LeaseDecision:
    """Result of a heartbeat; ``lease_s`` is 0 when the node gets no lease yet."""

    lease_s: float
    handovers: tuple[HandoverOrder, ...] = ()


class LeaseTable:
    """Grants leases, detects failed nodes, and plans the leader of each partition.

    Parameters
    ----------
    settings
        Durations of leases and delays, and the number of partitions.
    assignments
        The recorded partition table at the start of this leader's term.
    now
        Time on the local clock, in seconds.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        assignments: Iterable[PartitionAssignment],
        now: float,
    ) -> None:
        lease_with_drift_s = settings.lease_s * (1.0 + settings.clock_drift_fraction)
        self._lease_s = settings.lease_s
        self._members = MemberRegister(lease_with_drift_s, settings.rejoin_delay_s)
        self._planner = PartitionPlanner(settings.partitions)
        self._leaving: frozenset[NodeId] = frozenset()
        self._all_tracked_at = now + lease_with_drift_s
        self._planner.record_assignments(assignments)
        for node in sorted(self._planner.leading):
            self._members.add_recovered(node, now)

    def record_assignments(self, assignments: Iterable[PartitionAssignment]) -> None:
        """Update the recorded partition table after a proposal has a result."""
        self._planner.record_assignments(assignments)

    def set_leaving(self, nodes: Collection[NodeId]) -> None:
        """Set the nodes to drain, from the platform's list or an operator's drain documents."""
        self._leaving = frozenset(nodes)

    def answer_heartbeat(
        self, heartbeat: NodeHeartbeat, required_revision: Revision, now: float
    ) -> LeaseDecision:
        """Renew, grant or refuse a lease.

        Parameters
        ----------
        required_revision
            Configuration that a node must have prepared before it gets a new lease.
        """
        member = self._members.record_heartbeat(heartbeat, now)
        node = member.node
        self._planner.record_releases(node, heartbeat.released)
        if not self._members.grant(member, node in self._planner.leading, required_revision, now):
            return LeaseDecision(lease_s=0.0)
        if not self._planner.has_moves_from(node):
            return LeaseDecision(lease_s=self._lease_s)
        orders = self._planner.orders_for(node, self._eligible(now))
        return LeaseDecision(lease_s=self._lease_s, handovers=orders)

    def plan_assignments(self, now: float) -> tuple[PartitionAssignment, ...]:
        """Return the partitions that need a new leader now, with their next epochs.

        The caller proposes them and calls ``record_assignments`` with the resulting table
        before the next call.
        """
        self._members.expire(self._planner.leading, now)
        if not self._planner.leading and not self.tracks_all_members(now):
            # Before the first assignment, wait for more nodes to spread partitions evenly.
            return ()
        active = self._members.active(now)
        candidates = Candidates(
            active=frozenset(member.node for member in active),
            eligible=self._eligible(now),
            draining=[member.node for member in active if is_draining(member, self._leaving)],
        )
        return self._planner.plan(candidates)

    def tracks_all_members(self, now: float) -> bool:
        """Return whether each node with a lease has sent a heartbeat to this leader."""
        return now >= self._all_tracked_at

    def progress(self, held_revision: Revision, now: float) -> ConfigurationProgress | None:
        """Return the members' configuration progress, ``None`` until all members are tracked."""
        if not self.tracks_all_members(now):
            return None
        return self._members.progress(held_revision, now)

    def views(self, now: float) -> tuple[NodeView, ...]:
        """Return the status of the nodes for operators, ordered by name."""
        return tuple(
            self._view(member, member.heartbeat, now)
            for member in self._members.reporting()
            if member.heartbeat is not None
        )

    def _eligible(self, now: float) -> dict[NodeIncarnation, Address]:
        """Return the nodes that may get new partitions, with their addresses."""
        return {
            member.node: member.heartbeat.address
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
            partitions=self._planner.count_led(member.node),
            prepared_revision=heartbeat.prepared_revision,
            revision_in_force=heartbeat.revision_in_force,
        )
