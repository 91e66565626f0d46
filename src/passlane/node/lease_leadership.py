"""Leadership of partitions according to the node's lease, on the node's own clock."""

import anyio

from passlane.identifiers import Epoch, Partition
from passlane.membership.node_lease import NodeLease
from passlane.messages.common import Address


class LeaseLeadership:
    """Evaluates the lease at the current time; implements ``Leadership``.

    A partition that is being handed over counts as led until it is released, so that
    its calls in flight can finish.
    """

    def __init__(self, lease: NodeLease) -> None:
        self._lease = lease

    def epoch_of(self, partition: Partition) -> Epoch | None:
        """Return the epoch in which this node leads, ``None`` if it does not or without a lease."""
        return self._lease.epoch_of(partition, anyio.current_time())

    def led_partitions(self) -> tuple[Partition, ...]:
        """Return the partitions that this node leads while its lease is valid."""
        return self._lease.led_partitions

    def leader_of(self, partition: Partition) -> Address | None:
        """Return the internal address of the leader, ``None`` if it is unknown."""
        assignment = self._lease.leader_of(partition)
        return None if assignment is None else assignment.address
