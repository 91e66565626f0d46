"""Selects the newest incarnation of each back end when lists differ.

Lists arrive late and from several sources, so one may contain an incarnation that has ended.
The record with the newest incarnation is used.
"""

from collections.abc import Iterable

from passlane.messages.listing import BackendRecord


def newest_incarnations(
    listed: Iterable[BackendRecord], known: Iterable[BackendRecord]
) -> list[BackendRecord]:
    """Return one record for each listed back end: its newest incarnation, listed or known."""
    newest = {record.instance_id: record for record in known}
    chosen: dict[str, BackendRecord] = {}
    for record in listed:
        previous = chosen.get(record.instance_id) or newest.get(record.instance_id)
        is_older = previous is not None and record.is_older_than(previous)
        chosen[record.instance_id] = previous if previous is not None and is_older else record
    return list(chosen.values())
