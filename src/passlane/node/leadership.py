"""Which partitions this node leads right now, and who leads the others."""

from typing import Protocol

from passlane.identifiers import Epoch, Partition
from passlane.messages.common import Address


class Leadership(Protocol):
    """What the parts of a node need to know about partitions and leases."""

    def epoch_of(self, partition: Partition) -> Epoch | None:
        """Return the epoch in which this node leads, or ``None``; only under a valid lease."""
        ...

    def led_partitions(self) -> tuple[Partition, ...]:
        """Return the partitions that this node leads as long as its lease is valid."""
        ...

    def leader_of(self, partition: Partition) -> Address | None:
        """Return the internal address of the leader as far as known."""
        ...
