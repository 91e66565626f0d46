"""Which node a partition should go to: even loads, few moves, the same answer everywhere."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

import xxhash

from passlane.identifiers import NodeId, Partition


class NodeLife(NamedTuple):
    """One run of a node's process.

    A named tuple, because planning hashes and compares lives very often.
    """

    node_id: NodeId
    incarnation: int


@dataclass(frozen=True, slots=True)
class Move:
    """A partition to be handed from one live node to another."""

    partition: Partition
    source: NodeLife
    target: NodeLife


def rendezvous_weight(partition: Partition, node_id: NodeId) -> int:
    """Return the rendezvous-hashing weight of a node for a partition.

    It depends on the node's name alone, so a restarted node gets its old partitions back
    as far as loads allow.
    """
    return xxhash.xxh64_intdigest(f"{partition}/{node_id}".encode())


def choose_target(
    partition: Partition, candidates: Iterable[NodeLife], loads: Mapping[NodeLife, int]
) -> NodeLife | None:
    """Return the least loaded candidate, among equals the one of the highest weight."""
    least_loaded: list[NodeLife] = []
    least_load = 0
    for life in candidates:
        load = loads.get(life, 0)
        if not least_loaded or load < least_load:
            least_loaded = [life]
            least_load = load
        elif load == least_load:
            least_loaded.append(life)
    # Weights are worked out for these alone: hashing is most of the time of a large plan.
    return max(
        least_loaded,
        key=lambda life: rendezvous_weight(partition, life.node_id),
        default=None,
    )


def balancing_moves(
    led: Mapping[NodeLife, Sequence[Partition]], max_moves: int
) -> tuple[Move, ...]:
    """Return moves that even out the loads, at most ``max_moves``.

    A partition moves only from a node that leads at least two more than the receiver;
    so a fleet with equal loads is left alone.
    """
    remaining = {life: list(partitions) for life, partitions in led.items()}
    moves: list[Move] = []
    while len(moves) < max_moves and len(remaining) > 1:
        source = max(remaining, key=lambda life: (len(remaining[life]), life))
        target = min(remaining, key=lambda life: (len(remaining[life]), life))
        if len(remaining[source]) - len(remaining[target]) < 2:
            break
        partition = _best_for(remaining[source], target)
        remaining[source].remove(partition)
        remaining[target].append(partition)
        moves.append(Move(partition=partition, source=source, target=target))
    return tuple(moves)


def _best_for(partitions: Sequence[Partition], target: NodeLife) -> Partition:
    return max(partitions, key=lambda partition: rendezvous_weight(partition, target.node_id))
