"""Interface to the current leadership of partitions: this node's epochs and other leaders."""

from typing import Protocol

from passlane.identifiers import Epoch, Partition
from passlane.messages.common import Address


class Leadership(Protocol):
    """Leadership of partitions, as the parts of a node see it."""

    def epoch_of(self, partition: Partition) -> Epoch | None:
        """Return the epoch in which this node leads, ``None`` if it does not or without a lease."""
        ...

    def led_partitions(self) -> tuple[Partition, ...]:
        """Return the partitions that this node leads while its lease is valid."""
        ...

    def leader_of(self, partition: Partition) -> Address | None:
        """Return the internal address of the leader, ``None`` if it is unknown."""
        ...
