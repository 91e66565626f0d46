"""Plans the leader of each partition: failover, handovers, and balancing.

A partition without an active leader is reassigned at once. This is safe because a node
whose lease has ended leads its partitions again only in a new epoch. An active leader is
ordered to hand over a partition, and the next leader is assigned after the release.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from passlane.identifiers import Epoch, Partition
from passlane.membership.placement import Move, NodeIncarnation, balancing_moves, choose_target
from passlane.messages.common import Address
from passlane.messages.membership import HandoverOrder, PartitionRelease
from passlane.messages.store import PartitionAssignment

MIN_BALANCING_MOVES = 4
"""Number of concurrent balancing moves in a small table."""

PARTITIONS_PER_BALANCING_MOVE = 8
"""Number of partitions per concurrent balancing move in a large table."""


@dataclass(frozen=True, slots=True)
class Candidates:
    """The nodes that a plan considers.

    Attributes
    ----------
    active
        Nodes that may have a lease.
    eligible
        Nodes of ``active`` that may get new partitions, with their addresses.
    draining
        Nodes of ``active`` that must hand over their partitions.
    """

    active: frozenset[NodeIncarnation]
    eligible: Mapping[NodeIncarnation, Address]
    draining: Sequence[NodeIncarnation]


class PartitionPlanner:
    """Tracks the recorded table, releases and handovers, and plans assignments.

    Parameters
    ----------
    partition_count
        Number of partitions; they are numbered from 0.

    Attributes
    ----------
    leading
        The nodes in the recorded table.
    """

    def __init__(self, partition_count: int) -> None:
        self._partition_count = partition_count
        self._max_balancing_moves = max(
            MIN_BALANCING_MOVES, partition_count // PARTITIONS_PER_BALANCING_MOVE
        )
        self.leading: frozenset[NodeIncarnation] = frozenset()
        self._leaders: dict[Partition, NodeIncarnation] = {}
        self._epochs: dict[Partition, Epoch] = {}
        self._released: dict[Partition, Epoch] = {}
        self._moves: dict[Partition, Move] = {}

    def record_assignments(self, assignments: Iterable[PartitionAssignment]) -> None:
        """Replace the recorded table; drop releases and moves that it makes obsolete."""
        self._leaders.clear()
        self._epochs.clear()
        for assignment in assignments:
            partition = assignment.partition
            self._leaders[partition] = NodeIncarnation(assignment.node_id, assignment.incarnation)
            self._epochs[partition] = assignment.epoch
        self.leading = frozenset(self._leaders.values())
        self._released = {
            partition: epoch
            for partition, epoch in self._released.items()
            if self._epochs.get(partition) == epoch
        }
        self._moves = {
            partition: move
            for partition, move in self._moves.items()
            if self._leaders.get(partition) == move.source
        }

    def has_moves_from(self, node: NodeIncarnation) -> bool:
        """Return whether ``node`` has partitions to hand over."""
        return any(move.source == node for move in self._moves.values())

    def count_led(self, node: NodeIncarnation) -> int:
        """Return the number of partitions that the table assigns to ``node``."""
        return sum(1 for leader in self._leaders.values() if leader == node)

    def record_releases(self, node: NodeIncarnation, releases: Iterable[PartitionRelease]) -> None:
        """Record the partitions that a node has stopped leading."""
        for release in releases:
            partition = release.partition
            is_current = self._epochs.get(partition) == release.epoch
            if is_current and self._leaders.get(partition) == node:
                self._released[partition] = release.epoch

    def orders_for(
        self, node: NodeIncarnation, addresses: Mapping[NodeIncarnation, Address]
    ) -> tuple[HandoverOrder, ...]:
        """Return the handovers that ``node`` has to perform."""
        return tuple(
            HandoverOrder(
                partition=partition,
                epoch=self._epochs[partition],
                to_node=move.target.node_id,
                to_address=addresses[move.target],
            )
            for partition, move in self._moves.items()
            if move.source == node and partition not in self._released and move.target in addresses
        )

    def plan(self, candidates: Candidates) -> tuple[PartitionAssignment, ...]:
        """Return the assignments to propose now, and start handovers that are due."""
        self._plan_moves(candidates)
        loads = self._loads(candidates.active)
        planned = []
        for partition in self._leaderless(candidates.active):
            target = self._target_for(partition, candidates, loads)
            if target is None:
                continue
            loads[target] = loads.get(target, 0) + 1
            planned.append(
                PartitionAssignment(
                    partition=partition,
                    node_id=target.node_id,
                    address=candidates.eligible[target],
                    epoch=Epoch(self._epochs.get(partition, 0) + 1),
                    incarnation=target.incarnation,
                )
            )
        return tuple(planned)

    def _leaderless(self, active: Collection[NodeIncarnation]) -> list[Partition]:
        """Return the partitions that have no active leader or were released."""
        return [
            partition
            for partition in map(Partition, range(self._partition_count))
            if partition in self._released or self._leaders.get(partition) not in active
        ]

    def _target_for(
        self, partition: Partition, candidates: Candidates, loads: Mapping[NodeIncarnation, int]
    ) -> NodeIncarnation | None:
        move = self._moves.get(partition)
        if move is not None and move.target in candidates.eligible:
            return move.target
        return choose_target(partition, candidates.eligible, loads)

    def _loads(self, active: Collection[NodeIncarnation]) -> dict[NodeIncarnation, int]:
        """Return the number of partitions of each node after the current moves."""
        loads: dict[NodeIncarnation, int] = {}
        for partition, leader in self._leaders.items():
            move = self._moves.get(partition)
            node = leader if move is None else move.target
            if node in active and (move is not None or partition not in self._released):
                loads[node] = loads.get(node, 0) + 1
        return loads

    def _plan_moves(self, candidates: Candidates) -> None:
        self._moves = {
            partition: move
            for partition, move in self._moves.items()
            if move.source in candidates.active and move.target in candidates.eligible
        }
        if not candidates.eligible:
            return
        if candidates.draining:
            stable = self._stable_partitions()
            for source in candidates.draining:
                self._drain(source, stable.get(source, ()), candidates)
        else:
            self._balance(candidates)

    def _drain(
        self, source: NodeIncarnation, partitions: Iterable[Partition], candidates: Candidates
    ) -> None:
        loads = self._loads(candidates.active)
        for partition in partitions:
            target = choose_target(partition, candidates.eligible, loads)
            if target is not None:
                loads[target] = loads.get(target, 0) + 1
                self._moves[partition] = Move(partition, source, target)

    def _balance(self, candidates: Candidates) -> None:
        if self._moves or self._leaderless(candidates.active):
            # Finish the current moves first, because loads are even only after them.
            return
        stable = self._stable_partitions()
        led = {node: stable.get(node, []) for node in candidates.eligible}
        for move in balancing_moves(led, self._max_balancing_moves):
            self._moves[move.partition] = move

    def _stable_partitions(self) -> dict[NodeIncarnation, list[Partition]]:
        """Return the partitions of each node that are not moving, ordered by number."""
        stable: dict[NodeIncarnation, list[Partition]] = {}
        for partition in sorted(self._leaders):
            if partition not in self._moves and partition not in self._released:
                stable.setdefault(self._leaders[partition], []).append(partition)
        return stable
