"""A replica of a Raft group as a plain state machine."""

import random as random_module
from collections.abc import Sequence
from typing import ClassVar

import msgspec

from passlane.identifiers import ReplicaId
from passlane.messages.common import Address
from passlane.messages.raft import (
    GroupMember,
    GroupMembership,
    LogEntry,
)
from passlane.raft.config import ReplicaConfig
from passlane.raft.election import Elections
from passlane.raft.events import (
    CommandsProposed,
    EntriesSynced,
    Event,
    HardStateSynced,
    MemberAdded,
    MemberRemoved,
    MessageReceived,
    ReadRequested,
    ReplicaDecommissioned,
    ReplicaOffered,
    SnapshotInstalled,
    SnapshotTaken,
    TimeAdvanced,
    TransferRequested,
)
from passlane.raft.follower import Follower
from passlane.raft.instructions import Instruction, RejectProposals, RejectRead
from passlane.raft.leader import Leader
from passlane.raft.log_view import RaftLog
from passlane.raft.progress import Snapshot
from passlane.raft.roles import Roles
from passlane.raft.snapshot_data import SnapshotData
from passlane.raft.state import ReplicaState


class Replica:
    """One replica: handles events and returns instructions to be carried out in order.

    The shell must follow these rules:

    1. Instructions of one ``handle`` call, and of later calls, are carried out in order.
    2. A ``SendMessage`` waits until every earlier ``SaveHardState`` is durable; it does not
       wait for ``AppendEntries``.
    3. ``HardStateSynced`` and ``EntriesSynced`` are reported only for durable data, in the
       order of the writes.

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
        Durable log entries in order without gaps; entries in the snapshot may be omitted.
    members
        Membership as of the snapshot, or the initial members of the group if there is no
        snapshot. Empty for a replica that has not joined yet; it starts no election until
        a leader makes it a voter.

    Attributes
    ----------
    elections_class, follower_class, leader_class
        Classes of the replica's parts. A subclass may override them; the simulation does
        so to inject defects.
    """

    elections_class: ClassVar[type[Elections]] = Elections
    follower_class: ClassVar[type[Follower]] = Follower
    leader_class: ClassVar[type[Leader]] = Leader

    def __init__(
        self,
        config: ReplicaConfig,
        random: random_module.Random,
        *,
        hard_term: int,
        voted_for: ReplicaId | None,
        snapshot_last_index: int,
        snapshot_last_term: int,
        snapshot_data: SnapshotData,
        entries: Sequence[LogEntry],
        members: Sequence[GroupMember],
    ) -> None:
        self._state = ReplicaState.restore(
            config,
            random,
            hard_term=hard_term,
            voted_for=voted_for,
            snapshot=Snapshot(
                snapshot_last_index,
                snapshot_last_term,
                GroupMembership(members=tuple(members)),
                snapshot_data,
            ),
            entries=entries,
        )
        self._roles = Roles(
            self._state,
            self.elections_class(self._state),
            self.follower_class(self._state),
            self.leader_class,
        )

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Handle one event at local monotonic time ``now`` (seconds); return instructions.

        Raises
        ------
        RaftInvariantError
            When a safety invariant is violated; the replica must stop.
        """
        self._roles.start_timer(now)
        self._dispatch(event, now)
        self._roles.update_role(now)
        return self._state.take_instructions()

    def next_deadline(self) -> float:
        """Return the local time at which the next ``TimeAdvanced`` is due."""
        if self._roles.leader is not None:
            return self._roles.leader.next_heartbeat_at
        return self._roles.elections.deadline

    @property
    def term(self) -> int:
        """Current term."""
        return self._state.term

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads its current term."""
        return self._roles.leader is not None

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter in its newest membership."""
        return self._state.is_voter

    @property
    def leader_address(self) -> Address | None:
        """Address of the leader, if known."""
        return self._state.leader_address

    @property
    def log(self) -> RaftLog:
        """The in-memory log; callers must not change it."""
        return self._state.log

    @property
    def commit_index(self) -> int:
        """Last index that is known to be committed."""
        return self._state.commit_index

    @property
    def membership(self) -> GroupMembership:
        """The newest membership, committed or not."""
        return self._state.membership

    def membership_at(self, index: int) -> GroupMembership:
        """Return the membership as of ``index``, to be stored in a snapshot up to it."""
        return self._state.memberships.at(index)

    def _dispatch(self, event: Event, now: float) -> None:
        match event:
            case TimeAdvanced():
                self._advance_time(now)
            case MessageReceived():
                self._roles.receive(event.message, now)
            case CommandsProposed():
                self._propose(event, now)
            case ReadRequested():
                self._request_read(event, now)
            case EntriesSynced():
                self._handle_entries_synced(event, now)
            case HardStateSynced():
                self._roles.elections.record_own_vote(event.term)
            case SnapshotTaken():
                self._state.record_snapshot(event.last_index, event.last_term, event.data)
            case SnapshotInstalled():
                self._handle_snapshot_installed(event)
            case TransferRequested():
                if self._roles.leader is not None:
                    self._roles.leader.request_transfer(now)
            case MemberAdded() | MemberRemoved():
                self._request_change(event, now)
            case ReplicaOffered():
                if self._roles.leader is not None:
                    self._roles.leader.record_offer(event, now)
            case ReplicaDecommissioned():
                if self._roles.leader is not None:
                    self._roles.leader.release(event)

    def _advance_time(self, now: float) -> None:
        if self._roles.leader is None:
            self._roles.elections.advance_time(now)
        elif not self._roles.leader.is_quorum_active(now):
            self._roles.step_down(now)
        else:
            self._roles.leader.advance_time(now)

    def _propose(self, event: CommandsProposed, now: float) -> None:
        if self._roles.leader is not None:
            self._roles.leader.propose(event.tokens, event.commands, now)
            return
        self._reject_proposals(event.tokens)

    def _request_read(self, event: ReadRequested, now: float) -> None:
        if self._roles.leader is not None:
            self._roles.leader.request_read(event.token, now)
            return
        self._state.emit(RejectRead(token=event.token, leader=self._state.leader_address))

    def _request_change(self, event: MemberAdded | MemberRemoved, now: float) -> None:
        if self._roles.leader is not None:
            self._roles.leader.request_change(event, now)
            return
        self._reject_proposals((event.token,))

    def _reject_proposals(self, tokens: tuple[int, ...]) -> None:
        leader = self._state.leader_address
        self._state.emit(RejectProposals(tokens=tokens, leader=leader, may_be_committed=False))

    def _handle_entries_synced(self, event: EntriesSynced, now: float) -> None:
        self._state.log.mark_synced(event.last_index, event.last_term)
        self._state.apply_committed()
        if self._roles.leader is not None:
            self._roles.leader.advance(now)
        else:
            self._roles.follower.acknowledge_synced()

    def _handle_snapshot_installed(self, event: SnapshotInstalled) -> None:
        snapshot = self._state.snapshot
        if snapshot is None or snapshot.last_index != event.last_index:
            return
        if event.data is not None:
            self._state.snapshot = msgspec.structs.replace(snapshot, data=event.data)
        self._state.log.mark_synced(snapshot.last_index, snapshot.last_term)
        self._roles.follower.acknowledge_snapshot(event.last_index)
