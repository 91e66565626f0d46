"""Chooses the node of a partition by load and rendezvous hashing.

Loads are evened out with few moves, and results are deterministic.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

import xxhash

from passlane.identifiers import NodeId, Partition


class NodeIncarnation(NamedTuple):
    """One incarnation of a node, that is, one run of its process.

    A named tuple, because planning hashes and compares it very often.
    """

    node_id: NodeId
    incarnation: int


@dataclass(frozen=True, slots=True)
class Move:
    """A planned handover of a partition between two active nodes."""

    partition: Partition
    source: NodeIncarnation
    target: NodeIncarnation


def rendezvous_weight(partition: Partition, node_id: NodeId) -> int:
    """Return the rendezvous-hashing weight of a node for a partition.

    It depends only on the node's name, so a restarted node gets its previous partitions
    back if the loads permit.
    """
    return xxhash.xxh64_intdigest(f"{partition}/{node_id}".encode())


def choose_target(
    partition: Partition,
    candidates: Iterable[NodeIncarnation],
    loads: Mapping[NodeIncarnation, int],
) -> NodeIncarnation | None:
    """Return the least loaded candidate; of several, the one with the highest weight."""
    least_loaded: list[NodeIncarnation] = []
    least_load = 0
    for node in candidates:
        load = loads.get(node, 0)
        if not least_loaded or load < least_load:
            least_loaded = [node]
            least_load = load
        elif load == least_load:
            least_loaded.append(node)
    # Weights are computed only for these, because hashing dominates a large plan.
    return max(
        least_loaded,
        key=lambda node: rendezvous_weight(partition, node.node_id),
        default=None,
    )


def balancing_moves(
    led: Mapping[NodeIncarnation, Sequence[Partition]], max_moves: int
) -> tuple[Move, ...]:
    """Return moves that even out the loads, at most ``max_moves``.

    A partition moves only from a node that leads at least two more than the target, so
    balanced nodes keep their partitions.
    """
    remaining = {node: list(partitions) for node, partitions in led.items()}
    moves: list[Move] = []
    while len(moves) < max_moves and len(remaining) > 1:
        source = max(remaining, key=lambda node: (len(remaining[node]), node))
        target = min(remaining, key=lambda node: (len(remaining[node]), node))
        if len(remaining[source]) - len(remaining[target]) < 2:
            break
        partition = _preferred_partition(remaining[source], target)
        remaining[source].remove(partition)
        remaining[target].append(partition)
        moves.append(Move(partition=partition, source=source, target=target))
    return tuple(moves)


def _preferred_partition(partitions: Sequence[Partition], target: NodeIncarnation) -> Partition:
    return max(partitions, key=lambda partition: rendezvous_weight(partition, target.node_id))
