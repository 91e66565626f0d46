"""Leadership changes that a node's lease reports to the node.

The node starts or stops leading partitions accordingly.
"""

from dataclasses import dataclass

from passlane.identifiers import Epoch, NodeId, Partition
from passlane.messages.common import Address


@dataclass(frozen=True, slots=True)
class LeadershipGained:
    """The node starts to lead a partition in ``epoch``."""

    partition: Partition
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class LeadershipLost:
    """The node no longer leads a partition and must accept no more work for it."""

    partition: Partition
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class HandoverRequested:
    """The node must finish its calls of a partition and then release it."""

    partition: Partition
    epoch: Epoch
    to_node: NodeId
    to_address: Address


@dataclass(frozen=True, slots=True)
class HandoverCancelled:
    """The node keeps a partition that it was going to hand over."""

    partition: Partition
    epoch: Epoch


MembershipChange = LeadershipGained | LeadershipLost | HandoverRequested | HandoverCancelled
