"""Mapping of programs to partitions."""

import xxhash

from passlane.identifiers import Partition, ProgramId


def partition_of(program_id: ProgramId, partition_count: int) -> Partition:
    """Return the partition (0 to ``partition_count`` - 1) of a program."""
    return Partition(xxhash.xxh64_intdigest(program_id.encode()) % partition_count)
