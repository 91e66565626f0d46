"""Who shall lead each partition: lost leaders replaced, live ones relieved in order.

A partition without a live leader is assigned at once: a node whose lease has ended
never takes up again what it led, even if it gets a new lease first. One that a live node
leads is never taken away: the node is ordered to hand it over, and only once it has
released the partition is the next leader assigned.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from passlane.identifiers import Epoch, Partition
from passlane.membership.placement import Move, NodeLife, balancing_moves, choose_target
from passlane.messages.common import Address
from passlane.messages.membership import HandoverOrder, PartitionRelease
from passlane.messages.store import PartitionAssignment

MIN_BALANCING_MOVES = 4
"""Partitions that may be on the move at once for even loads, in a small table."""

PARTITIONS_PER_BALANCING_MOVE = 8
"""In a large table, one partition in so many may be on the move at once."""


@dataclass(frozen=True, slots=True)
class Candidates:
    """The lives that matter to a plan.

    Attributes
    ----------
    active
        Lives that may hold a lease.
    eligible
        Those of ``active`` that may get new partitions, with their addresses.
    draining
        Those of ``active`` that shall give up theirs.
    """

    active: frozenset[NodeLife]
    eligible: Mapping[NodeLife, Address]
    draining: Sequence[NodeLife]


class PartitionPlanner:
    """Keeps the recorded table, the releases and the handovers, and plans the next steps.

    Parameters
    ----------
    partition_count
        Number of partitions; they are numbered from 0.

    Attributes
    ----------
    leading
        The lives that the recorded table names.
    """

    def __init__(self, partition_count: int) -> None:
        self._partition_count = partition_count
        self._max_balancing_moves = max(
            MIN_BALANCING_MOVES, partition_count // PARTITIONS_PER_BALANCING_MOVE
        )
        self.leading: frozenset[NodeLife] = frozenset()
        self._leaders: dict[Partition, NodeLife] = {}
        self._epochs: dict[Partition, Epoch] = {}
        self._released: dict[Partition, Epoch] = {}
        self._moves: dict[Partition, Move] = {}

    def record_assignments(self, assignments: Iterable[PartitionAssignment]) -> None:
        """Take over the recorded table; whatever was proposed is decided by it."""
        self._leaders.clear()
        self._epochs.clear()
        for assignment in assignments:
            partition = assignment.partition
            self._leaders[partition] = NodeLife(assignment.node_id, assignment.incarnation)
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

    def has_moves_from(self, life: NodeLife) -> bool:
        """Return whether ``life`` has partitions to hand over."""
        return any(move.source == life for move in self._moves.values())

    def count_led(self, life: NodeLife) -> int:
        """Return the number of partitions that the table gives to ``life``."""
        return sum(1 for leader in self._leaders.values() if leader == life)

    def take_releases(self, life: NodeLife, releases: Iterable[PartitionRelease]) -> None:
        """Note the partitions that a node says it has stopped leading."""
        for release in releases:
            partition = release.partition
            is_current = self._epochs.get(partition) == release.epoch
            if is_current and self._leaders.get(partition) == life:
                self._released[partition] = release.epoch

    def orders_for(
        self, life: NodeLife, addresses: Mapping[NodeLife, Address]
    ) -> tuple[HandoverOrder, ...]:
        """Return the handovers that ``life`` has to carry out."""
        return tuple(
            HandoverOrder(
                partition=partition,
                epoch=self._epochs[partition],
                to_node=move.target.node_id,
                to_address=addresses[move.target],
            )
            for partition, move in self._moves.items()
            if move.source == life and partition not in self._released and move.target in addresses
        )

    def plan(self, candidates: Candidates) -> tuple[PartitionAssignment, ...]:
        """Return the assignments to propose now, and order handovers where they are due."""
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

    def _leaderless(self, active: Collection[NodeLife]) -> list[Partition]:
        """Return the partitions that nobody leads, or whose leader has stopped."""
        return [
            partition
            for partition in map(Partition, range(self._partition_count))
            if partition in self._released or self._leaders.get(partition) not in active
        ]

    def _target_for(
        self, partition: Partition, candidates: Candidates, loads: Mapping[NodeLife, int]
    ) -> NodeLife | None:
        move = self._moves.get(partition)
        if move is not None and move.target in candidates.eligible:
            return move.target
        return choose_target(partition, candidates.eligible, loads)

    def _loads(self, active: Collection[NodeLife]) -> dict[NodeLife, int]:
        """Return how many partitions each life leads once the moves under way are done."""
        loads: dict[NodeLife, int] = {}
        for partition, leader in self._leaders.items():
            move = self._moves.get(partition)
            life = leader if move is None else move.target
            if life in active and (move is not None or partition not in self._released):
                loads[life] = loads.get(life, 0) + 1
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
            settled = self._settled_partitions()
            for source in candidates.draining:
                self._drain(source, settled.get(source, ()), candidates)
        else:
            self._balance(candidates)

    def _drain(
        self, source: NodeLife, partitions: Iterable[Partition], candidates: Candidates
    ) -> None:
        loads = self._loads(candidates.active)
        for partition in partitions:
            target = choose_target(partition, candidates.eligible, loads)
            if target is not None:
                loads[target] = loads.get(target, 0) + 1
                self._moves[partition] = Move(partition, source, target)

    def _balance(self, candidates: Candidates) -> None:
        if self._moves or self._leaderless(candidates.active):
            # One round after the other: loads are even again only when all have arrived.
            return
        settled = self._settled_partitions()
        led = {life: settled.get(life, []) for life in candidates.eligible}
        for move in balancing_moves(led, self._max_balancing_moves):
            self._moves[move.partition] = move

    def _settled_partitions(self) -> dict[NodeLife, list[Partition]]:
        """Return, for each life, what it leads and is not handing over, by number."""
        settled: dict[NodeLife, list[Partition]] = {}
        for partition in sorted(self._leaders):
            if partition not in self._moves and partition not in self._released:
                settled.setdefault(self._leaders[partition], []).append(partition)
        return settled
