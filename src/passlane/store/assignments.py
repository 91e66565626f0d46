"""The partition table: which node leads which partition, in which epoch."""

from passlane.errors import ErrorCode
from passlane.identifiers import Epoch, Partition
from passlane.messages.store import AssignPartitions, PartitionAssignment
from passlane.store.refusal import CommandRefusedError

NEVER_ASSIGNED = Epoch(0)
"""Recorded epoch of a partition that no node has led yet."""


class AssignmentTable:
    """Assignments by partition, and a version that grows with each change."""

    def __init__(self) -> None:
        self._by_partition: dict[Partition, PartitionAssignment] = {}
        # In the order of changes: a partition that is assigned anew moves to the end.
        self._changed_in: dict[Partition, int] = {}
        # Answers of ``changed_since`` for the present version, by the version asked about.
        self._changes: dict[int, tuple[PartitionAssignment, ...]] = {}
        self.version = 0

    def epoch_of(self, partition: Partition) -> Epoch:
        """Return the recorded epoch of a partition."""
        assignment = self._by_partition.get(partition)
        return NEVER_ASSIGNED if assignment is None else assignment.epoch

    def all(self) -> tuple[PartitionAssignment, ...]:
        """Return all assignments by number of the partition."""
        return tuple(self._by_partition[number] for number in sorted(self._by_partition))

    def changed_since(self, version: int) -> tuple[PartitionAssignment, ...]:
        """Return what a holder of the table as of ``version`` lacks, by partition.

        Many nodes lack the same after a change, so each answer is worked out once.
        """
        known = self._changes.get(version)
        if known is None:
            known = self._changes[version] = self._find_changed_since(version)
        return known

    def _find_changed_since(self, version: int) -> tuple[PartitionAssignment, ...]:
        changed: list[Partition] = []
        for partition in reversed(self._changed_in):
            if self._changed_in[partition] <= version:
                break
            changed.append(partition)
        return tuple(self._by_partition[partition] for partition in sorted(changed))

    def require_current(self, partition: Partition, epoch: Epoch) -> None:
        """Refuse a command whose epoch is not the recorded one.

        Raises
        ------
        CommandRefusedError
            ``STALE_EPOCH``: another node leads by now, or the epoch was never given.
        """
        recorded = self.epoch_of(partition)
        if epoch == recorded and epoch != NEVER_ASSIGNED:
            return
        reason = "is over" if epoch < recorded else "was never assigned"
        raise CommandRefusedError(
            ErrorCode.STALE_EPOCH, f"epoch {epoch} of partition {partition} {reason}"
        )

    def assign(self, command: AssignPartitions) -> None:
        """Record new leaders, all or none; sent again it changes nothing.

        Raises
        ------
        CommandRefusedError
            ``STALE_EPOCH`` when an epoch is not the recorded one plus one;
            ``BAD_REQUEST`` when a partition is named twice.
        """
        changed = [
            assignment
            for assignment in command.assignments
            if self._by_partition.get(assignment.partition) != assignment
        ]
        if len({assignment.partition for assignment in changed}) != len(changed):
            raise CommandRefusedError(ErrorCode.BAD_REQUEST, "a partition is named twice")
        for assignment in changed:
            if assignment.epoch != self.epoch_of(assignment.partition) + 1:
                raise CommandRefusedError(
                    ErrorCode.STALE_EPOCH,
                    f"partition {assignment.partition} was assigned by another command",
                )
        if not changed:
            return
        self.version += 1
        self._changes.clear()
        for assignment in changed:
            self._by_partition[assignment.partition] = assignment
            self._changed_in.pop(assignment.partition, None)
            self._changed_in[assignment.partition] = self.version

    def restore(self, assignments: tuple[PartitionAssignment, ...], version: int) -> None:
        """Replace the table by that of a snapshot."""
        self._by_partition = {assignment.partition: assignment for assignment in assignments}
        # A snapshot does not tell when each changed: holders of older tables get all.
        self._changed_in = {partition: version for partition in self._by_partition}
        self._changes.clear()
        self.version = version
