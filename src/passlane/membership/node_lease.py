"""The node's side of its lease: the partitions that it leads, and the end of the lease.

A state machine without I/O on the node's clock. The lease starts when the heartbeat was
*sent* and is shortened by the maximum clock drift. It therefore ends on the node before
the store leader assigns the partitions to another node.
"""

from passlane.identifiers import Epoch, NodeId, Partition
from passlane.membership.events import (
    HandoverCancelled,
    HandoverRequested,
    LeadershipGained,
    LeadershipLost,
    MembershipChange,
)
from passlane.messages.membership import HandoverOrder, HeartbeatReply, PartitionRelease
from passlane.messages.store import PartitionAssignment


class NodeLease:
    """Keeps the lease, the partition table and the handovers in progress.

    Parameters
    ----------
    node_id, incarnation
        Identity of this node; assignments to other incarnations are ignored.
    clock_drift_fraction
        Maximum relative error of the rate of this node's clock.
    """

    def __init__(self, node_id: NodeId, incarnation: int, clock_drift_fraction: float) -> None:
        self.node_id = node_id
        self.incarnation = incarnation
        self.table_version = 0
        self._usable_fraction = 1.0 - clock_drift_fraction
        self._valid_until = float("-inf")
        self._table: dict[Partition, PartitionAssignment] = {}
        self._led: dict[Partition, Epoch] = {}
        self._handovers: dict[Partition, HandoverOrder] = {}
        self._released: dict[Partition, Epoch] = {}

    @property
    def valid_until(self) -> float:
        """Time at which the lease ends, in seconds on the local clock."""
        return self._valid_until

    def is_valid(self, now: float) -> bool:
        """Return whether the node may act as a leader."""
        return now < self._valid_until

    def epoch_of(self, partition: Partition, now: float) -> Epoch | None:
        """Return the epoch in which the node leads a partition, or ``None``."""
        return self._led.get(partition) if self.is_valid(now) else None

    def leader_of(self, partition: Partition) -> PartitionAssignment | None:
        """Return the leader of a partition according to the local table."""
        return self._table.get(partition)

    def handover_of(self, partition: Partition) -> HandoverOrder | None:
        """Return the current order to hand over a partition, or ``None``."""
        return self._handovers.get(partition)

    @property
    def led_partitions(self) -> tuple[Partition, ...]:
        """Partitions that the node leads while its lease is valid."""
        return tuple(self._led)

    @property
    def releases(self) -> tuple[PartitionRelease, ...]:
        """Partitions that the node has released but the table still assigns to it."""
        return tuple(
            PartitionRelease(partition=partition, epoch=epoch)
            for partition, epoch in self._released.items()
        )

    def release(self, partition: Partition) -> list[MembershipChange]:
        """Stop leading a partition; call after its last call has finished."""
        epoch = self._led.pop(partition, None)
        if epoch is None:
            return []
        self._released[partition] = epoch
        self._handovers.pop(partition, None)
        return [LeadershipLost(partition=partition, epoch=epoch)]

    def handle_reply(
        self, reply: HeartbeatReply, sent_at: float, now: float
    ) -> list[MembershipChange]:
        """Apply the reply to a heartbeat that was sent at ``sent_at``."""
        changes = self.check_expiry(now)
        if reply.lease_s > 0:
            ends_at = sent_at + reply.lease_s * self._usable_fraction
            self._valid_until = max(self._valid_until, ends_at)
        if reply.table is not None and reply.table_version > self.table_version:
            self.table_version = reply.table_version
            self._table.update((assignment.partition, assignment) for assignment in reply.table)
        if reply.table_version < self.table_version:
            return changes
        return changes + self._update_led(now) + self._update_handovers(reply)

    def check_expiry(self, now: float) -> list[MembershipChange]:
        """Stop leading all partitions once the lease has ended.

        The partitions are treated as released. Even if the lease is granted again, the
        node leads them only in a new epoch, which identifies calls begun earlier.
        """
        if self.is_valid(now) or not self._led:
            return []
        lost: list[MembershipChange] = [
            LeadershipLost(partition=partition, epoch=epoch)
            for partition, epoch in self._led.items()
        ]
        self._released.update(self._led)
        self._led = {}
        self._handovers = {}
        return lost

    def _update_led(self, now: float) -> list[MembershipChange]:
        current = self._own_epochs() if self.is_valid(now) else {}
        changes: list[MembershipChange] = [
            LeadershipLost(partition=partition, epoch=epoch)
            for partition, epoch in self._led.items()
            if current.get(partition) != epoch
        ]
        changes.extend(
            LeadershipGained(partition=partition, epoch=epoch)
            for partition, epoch in current.items()
            if self._led.get(partition) != epoch
        )
        self._led = current
        return changes

    def _own_epochs(self) -> dict[Partition, Epoch]:
        """Return the epochs of the partitions that the table assigns to this incarnation."""
        assigned = {
            assignment.partition: assignment.epoch
            for assignment in self._table.values()
            if assignment.node_id == self.node_id and assignment.incarnation == self.incarnation
        }
        self._released = {
            partition: epoch
            for partition, epoch in self._released.items()
            if assigned.get(partition) == epoch
        }
        return {
            partition: epoch
            for partition, epoch in assigned.items()
            if self._released.get(partition) != epoch
        }

    def _update_handovers(self, reply: HeartbeatReply) -> list[MembershipChange]:
        ordered = {
            order.partition: order
            for order in reply.handovers
            if self._led.get(order.partition) == order.epoch
        }
        changes: list[MembershipChange] = [
            HandoverCancelled(partition=partition, epoch=order.epoch)
            for partition, order in self._handovers.items()
            if partition not in ordered and self._led.get(partition) == order.epoch
        ]
        changes.extend(
            HandoverRequested(
                partition=partition,
                epoch=order.epoch,
                to_node=order.to_node,
                to_address=order.to_address,
            )
            for partition, order in ordered.items()
            if self._handovers.get(partition) != order
        )
        self._handovers = ordered
        return changes
