"""A replica of a Raft group as a plain state machine."""

import math
import random as random_module
from collections.abc import Sequence
from dataclasses import replace
from typing import ClassVar

from passlane.identifiers import ReplicaId
from passlane.messages.common import Address
from passlane.messages.raft import (
    AnyRaftMessage,
    AppendReply,
    AppendRequest,
    GroupMember,
    GroupMembership,
    LogEntry,
    SnapshotReply,
    SnapshotRequest,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from passlane.raft.config import ReplicaConfig
from passlane.raft.election import Elections
from passlane.raft.errors import RaftInvariantError
from passlane.raft.events import (
    CommandsProposed,
    EntriesSynced,
    Event,
    HardStateSynced,
    MemberAdded,
    MemberRemoved,
    MessageReceived,
    ReadRequested,
    SnapshotInstalled,
    SnapshotTaken,
    TimeAdvanced,
    TransferRequested,
)
from passlane.raft.follower import Follower
from passlane.raft.instructions import Instruction, RejectProposals, RejectRead
from passlane.raft.leader import Leader
from passlane.raft.log_view import LogView
from passlane.raft.progress import Snapshot
from passlane.raft.snapshot_data import SnapshotData
from passlane.raft.state import ReplicaState


class Replica:
    """One replica: takes events, returns instructions to be carried out in order.

    The shell must keep these rules. Instructions of one ``handle`` call, and of later
    calls, are carried out in order; a ``SendMessage`` waits until every earlier
    ``SaveHardState`` is durable (it need not wait for ``AppendEntries``).
    ``HardStateSynced`` and ``EntriesSynced`` are only reported for what is durable, in the
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
        Durable log entries in order without gaps; those that the snapshot covers may be
        left out.
    members
        Membership as of the snapshot, or the first members of the group when there is no
        snapshot. Empty for a replica that has not joined yet: it stays a silent
        learner until a leader adds it.

    Attributes
    ----------
    elections_class, follower_class, leader_class
        Classes of the replica's parts. A subclass may name others, as the simulation
        does to put a deliberate fault in the place of one rule.
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
        self._elections = self.elections_class(self._state)
        self._follower = self.follower_class(self._state)
        self._leader: Leader | None = None

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take one event at local monotonic time ``now`` (seconds); return instructions.

        Raises
        ------
        RaftInvariantError
            When another replica lost durable state; this one must stop.
        """
        if self._elections.deadline == math.inf:
            self._elections.restart_timer(now)
        self._dispatch(event, now)
        if self._elections.is_won and self._leader is None:
            self._become_leader(now)
        if self._leader is not None and self._leader.is_removed:
            self._leader.hand_over(now)
            self._step_down(now)
        return self._state.take_instructions()

    def next_deadline(self) -> float:
        """Return the local time at which ``TimeAdvanced`` is next worth sending."""
        if self._leader is not None:
            return self._leader.next_heartbeat_at
        return self._elections.deadline

    @property
    def term(self) -> int:
        """Current term."""
        return self._state.term

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads its current term."""
        return self._leader is not None

    @property
    def is_voter(self) -> bool:
        """Whether this replica votes by the newest membership that it knows."""
        return self._state.is_voter

    @property
    def leader_address(self) -> Address | None:
        """Address of the leader as far as known."""
        return self._state.leader_address

    @property
    def log(self) -> LogView:
        """The log as held in memory; to be read only."""
        return self._state.log

    @property
    def commit_index(self) -> int:
        """Index up to which entries are known to be committed."""
        return self._state.commit_index

    @property
    def membership(self) -> GroupMembership:
        """Membership in force (appended, not yet committed)."""
        return self._state.membership

    def membership_at(self, index: int) -> GroupMembership:
        """Return the membership as of ``index``; a snapshot up to it must record that."""
        return self._state.memberships.at(index)

    def _dispatch(self, event: Event, now: float) -> None:
        match event:
            case TimeAdvanced():
                self._advance_time(now)
            case MessageReceived():
                self._receive(event.message, now)
            case CommandsProposed():
                self._propose(event, now)
            case ReadRequested():
                self._request_read(event, now)
            case EntriesSynced():
                self._note_synced(event, now)
            case HardStateSynced():
                self._elections.note_own_vote(event.term)
            case SnapshotTaken():
                self._state.keep_snapshot(event.last_index, event.last_term, event.data)
            case SnapshotInstalled():
                self._note_installed(event)
            case TransferRequested():
                if self._leader is not None:
                    self._leader.request_transfer(now)
            case MemberAdded() | MemberRemoved():
                self._request_change(event, now)

    def _advance_time(self, now: float) -> None:
        if self._leader is None:
            self._elections.advance_time(now)
        elif not self._leader.hears_quorum(now):
            self._step_down(now)
        else:
            self._leader.advance_time(now)

    def _propose(self, event: CommandsProposed, now: float) -> None:
        if self._leader is not None:
            self._leader.propose(event.tokens, event.commands, now)
            return
        self._reject_proposals(event.tokens)

    def _request_read(self, event: ReadRequested, now: float) -> None:
        if self._leader is not None:
            self._leader.request_read(event.token, now)
            return
        self._state.emit(RejectRead(token=event.token, leader=self._state.leader_address))

    def _request_change(self, event: MemberAdded | MemberRemoved, now: float) -> None:
        if self._leader is not None:
            self._leader.request_change(event, now)
            return
        self._reject_proposals((event.token,))

    def _reject_proposals(self, tokens: tuple[int, ...]) -> None:
        leader = self._state.leader_address
        self._state.emit(RejectProposals(tokens=tokens, leader=leader, may_be_committed=False))

    def _note_synced(self, event: EntriesSynced, now: float) -> None:
        self._state.log.mark_synced(event.last_index, event.last_term)
        self._state.apply_committed()
        if self._leader is not None:
            self._leader.advance(now)
        else:
            self._follower.note_synced()

    def _note_installed(self, event: SnapshotInstalled) -> None:
        snapshot = self._state.snapshot
        if snapshot is None or snapshot.last_index != event.last_index:
            return
        if event.data is not None:
            self._state.snapshot = replace(snapshot, data=event.data)
        self._state.log.mark_synced(snapshot.last_index, snapshot.last_term)
        self._follower.note_installed(event.last_index)

    def _receive(self, message: AnyRaftMessage, now: float) -> None:
        config = self._state.config
        if message.group != config.group or message.receiver != config.replica_id:
            return
        if isinstance(message, VoteRequest):
            self._receive_vote_request(message, now)
            return
        is_granted_pre_vote = (
            isinstance(message, VoteReply) and message.is_pre_vote and message.granted
        )
        if message.term > self._state.term and not is_granted_pre_vote:
            self._adopt_term(message.term, now)
        self._receive_in_term(message, now)

    def _receive_vote_request(self, request: VoteRequest, now: float) -> None:
        if request.is_pre_vote:
            if self._leader is None:
                self._elections.answer_pre_vote(request, now)
            return
        if request.term > self._state.term:
            if self._leader is not None and not request.is_transfer:
                return
            if self._elections.protects_leader(request, now):
                return
            self._adopt_term(request.term, now)
        self._elections.answer_vote(request, now)

    def _receive_in_term(self, message: AnyRaftMessage, now: float) -> None:
        is_current = message.term == self._state.term
        match message:
            case AppendRequest():
                if is_current:
                    self._follow(message, now)
                    self._follower.handle_append(message)
                else:
                    self._follower.refuse_leader(message)
            case SnapshotRequest():
                if is_current:
                    self._follow(message, now)
                    self._follower.handle_snapshot(message)
            case AppendReply():
                if is_current and self._leader is not None:
                    self._leader.handle_append_reply(message, now)
            case SnapshotReply():
                if is_current and self._leader is not None:
                    self._leader.handle_snapshot_reply(message, now)
            case VoteReply():
                self._elections.handle_reply(message, now)
            case TimeoutNow():
                if is_current and self._state.is_voter:
                    self._elections.start(now, is_transfer=True)

    def _follow(self, message: AppendRequest | SnapshotRequest, now: float) -> None:
        if self._leader is not None:
            raise RaftInvariantError(f"{message.sender} also leads term {message.term}")
        self._elections.note_leader(now)
        address = message.sender_address or self._state.leader_address
        self._state.set_leader(message.sender, address)

    def _adopt_term(self, term: int, now: float) -> None:
        self._step_down(now)
        self._state.save_hard_state(term, None)

    def _step_down(self, now: float) -> None:
        self._state.set_leader(None, None)
        self._elections.stand_down(now)
        if self._leader is not None:
            self._leader.stop()
            self._leader = None

    def _become_leader(self, now: float) -> None:
        self._elections.stand_down(now)
        self._elections.forget_leader()
        self._leader = self.leader_class(self._state, now)
        self._leader.start(now)
