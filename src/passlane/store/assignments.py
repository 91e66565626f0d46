"""The partition table: the leader and epoch of each partition.

Part of the replicated state of the store group. Commands with an epoch other than the
recorded one are refused.
"""

from passlane.errors import ErrorCode
from passlane.identifiers import Epoch, Partition
from passlane.messages.store import AssignPartitions, PartitionAssignment
from passlane.store.refusal import CommandRefusedError

NEVER_ASSIGNED = Epoch(0)
"""Epoch of a partition that has never had a leader."""


class AssignmentTable:
    """Assignments by partition, with a version that increases with each change."""

    def __init__(self) -> None:
        self._by_partition: dict[Partition, PartitionAssignment] = {}
        # Ordered by version: a reassigned partition moves to the end.
        self._changed_at_version: dict[Partition, int] = {}
        # Results of ``changed_since`` at the current version, by its argument.
        self._cached_changes: dict[int, tuple[PartitionAssignment, ...]] = {}
        self.version = 0

    def epoch_of(self, partition: Partition) -> Epoch:
        """Return the recorded epoch of a partition."""
        assignment = self._by_partition.get(partition)
        return NEVER_ASSIGNED if assignment is None else assignment.epoch

    def all(self) -> tuple[PartitionAssignment, ...]:
        """Return all assignments, ordered by partition."""
        return tuple(self._by_partition[number] for number in sorted(self._by_partition))

    def changed_since(self, version: int) -> tuple[PartitionAssignment, ...]:
        """Return the assignments that changed after ``version``, ordered by partition.

        Results are cached, because many nodes request the same changes.
        """
        cached = self._cached_changes.get(version)
        if cached is None:
            cached = self._cached_changes[version] = self._find_changed_since(version)
        return cached

    def _find_changed_since(self, version: int) -> tuple[PartitionAssignment, ...]:
        changed: list[Partition] = []
        for partition in reversed(self._changed_at_version):
            if self._changed_at_version[partition] <= version:
                break
            changed.append(partition)
        return tuple(self._by_partition[partition] for partition in sorted(changed))

    def require_current(self, partition: Partition, epoch: Epoch) -> None:
        """Refuse a command whose epoch is not the recorded one.

        Raises
        ------
        CommandRefusedError
            ``STALE_EPOCH`` when another node leads by now or the epoch was never assigned.
        """
        recorded = self.epoch_of(partition)
        if epoch == recorded and epoch != NEVER_ASSIGNED:
            return
        reason = "is over" if epoch < recorded else "was never assigned"
        raise CommandRefusedError(
            ErrorCode.STALE_EPOCH, f"epoch {epoch} of partition {partition} {reason}"
        )

    def assign(self, command: AssignPartitions) -> None:
        """Record new leaders, all or none. Idempotent.

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
        self._cached_changes.clear()
        for assignment in changed:
            self._by_partition[assignment.partition] = assignment
            self._changed_at_version.pop(assignment.partition, None)
            self._changed_at_version[assignment.partition] = self.version

    def restore(self, assignments: tuple[PartitionAssignment, ...], version: int) -> None:
        """Replace the table with that of a snapshot."""
        self._by_partition = {assignment.partition: assignment for assignment in assignments}
        # A snapshot lacks the version of each change: older tables get every assignment.
        self._changed_at_version = {partition: version for partition in self._by_partition}
        self._cached_changes.clear()
        self.version = version
