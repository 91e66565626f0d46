"""Decides which start of a back end counts when lists differ about it.

Lists come late and by several ways, so one may tell of a start that is over. Of all that is told of
one back end the newest start counts.
"""

from collections.abc import Iterable

from passlane.messages.listing import BackendRecord


def newest_starts(
    listed: Iterable[BackendRecord], known: Iterable[BackendRecord]
) -> list[BackendRecord]:
    """Return one record for each listed back end: that of its newest start, listed or known."""
    newest = {record.instance_id: record for record in known}
    chosen: dict[str, BackendRecord] = {}
    for record in listed:
        before = chosen.get(record.instance_id) or newest.get(record.instance_id)
        is_older = before is not None and record.is_older_than(before)
        chosen[record.instance_id] = before if before is not None and is_older else record
    return list(chosen.values())
