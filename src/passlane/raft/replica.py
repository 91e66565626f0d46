"""A replica of a Raft group as a plain state machine."""

import random as random_module
from collections.abc import Sequence

from passlane.identifiers import ReplicaId
from passlane.messages.raft import GroupMember, GroupMembership, LogEntry
from passlane.raft.config import ReplicaConfig
from passlane.raft.events import Event
from passlane.raft.instructions import Instruction


class Replica:
    """One replica: takes events, returns instructions to be carried out in order.

    The shell must keep two rules. Instructions of one ``handle`` call, and of later
    calls, are carried out in order; a ``SendMessage`` waits until every earlier
    ``SaveHardState`` is durable (it need not wait for ``AppendEntries``). And
    ``EntriesSynced`` is only reported for entries that are durable, in the order of the
    syncs.

    Parameters
    ----------
    config
        Identity, timing and limits.
    random
        Source of the random election timeouts.
    hard_term, voted_for
        Term and vote found on disk; 0 and ``None`` on a fresh disk.
    snapshot_last_index, snapshot_last_term, snapshot_data
        The newest snapshot on disk; 0, 0 and ``b""`` when there is none.
    entries
        Durable log entries in order without gaps; those that the snapshot covers may be
        left out.
    members
        Membership as of the snapshot, or the first members of the group when there is no
        snapshot. Empty for a replica that has not joined yet: it stays a silent
        learner until a leader adds it.
    """

    def __init__(
        self,
        config: ReplicaConfig,
        random: random_module.Random,
        *,
        hard_term: int,
        voted_for: ReplicaId | None,
        snapshot_last_index: int,
        snapshot_last_term: int,
        snapshot_data: bytes,
        entries: Sequence[LogEntry],
        members: Sequence[GroupMember],
    ) -> None:
        raise NotImplementedError

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take one event at local monotonic time ``now`` (seconds); return instructions."""
        raise NotImplementedError

    def next_deadline(self) -> float:
        """Return the local time at which ``TimeAdvanced`` is next worth sending."""
        raise NotImplementedError

    @property
    def membership(self) -> GroupMembership:
        """Membership in force (appended, not yet committed)."""
        raise NotImplementedError

    def membership_at(self, index: int) -> GroupMembership:
        """Return the membership as of ``index``; a snapshot up to it must record that."""
        raise NotImplementedError
