"""Groups the records of a state machine into the parts of a snapshot, by number and bytes."""

from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

MAX_PART_BYTES = 1_000_000
"""Size up to which records share a part; a larger record has a part of its own. Encoding a part
blocks the event loop, and a part is held in memory at once."""

RecordType = TypeVar("RecordType")


def grouped(
    records: Iterable[RecordType],
    max_records: int,
    size_bytes: Callable[[RecordType], int],
    max_bytes: int = MAX_PART_BYTES,
) -> Iterator[tuple[RecordType, ...]]:
    """Yield the records in order, in groups of at most ``max_records`` and ``max_bytes``.

    ``size_bytes`` returns about the encoded size of a record. A record above ``max_bytes`` is a
    group of its own.
    """
    group: list[RecordType] = []
    group_bytes = 0
    for record in records:
        record_bytes = size_bytes(record)
        is_full = len(group) >= max_records or group_bytes + record_bytes > max_bytes
        if group and is_full:
            yield tuple(group)
            group, group_bytes = [], 0
        group.append(record)
        group_bytes += record_bytes
    if group:
        yield tuple(group)
