"""What the node's side of a lease tells the node to do."""

from dataclasses import dataclass

from passlane.identifiers import Epoch, NodeId, Partition
from passlane.messages.common import Address


@dataclass(frozen=True, slots=True)
class LeadershipGained:
    """The node leads a partition from now on, in ``epoch``."""

    partition: Partition
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class LeadershipLost:
    """The node no longer leads a partition; it takes no more work for it."""

    partition: Partition
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class HandoverRequested:
    """The node shall finish its calls of a partition and then release it."""

    partition: Partition
    epoch: Epoch
    to_node: NodeId
    to_address: Address


@dataclass(frozen=True, slots=True)
class HandoverCancelled:
    """The node keeps a partition that it was about to hand over."""

    partition: Partition
    epoch: Epoch


MembershipChange = LeadershipGained | LeadershipLost | HandoverRequested | HandoverCancelled
