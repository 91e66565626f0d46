"""Which partition a program belongs to."""

import xxhash

from passlane.identifiers import Partition, ProgramId


def partition_of(program_id: ProgramId, partition_count: int) -> Partition:
    """Return the partition (0 to ``partition_count`` - 1) that a program belongs to."""
    return Partition(xxhash.xxh64_intdigest(program_id.encode()) % partition_count)
