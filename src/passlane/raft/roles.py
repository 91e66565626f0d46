"""The role of a replica: follower, candidate or leader, and the changes between them."""

import math

from passlane.messages.raft import (
    AnyRaftMessage,
    AppendReply,
    AppendRequest,
    SnapshotReply,
    SnapshotRequest,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from passlane.raft.election import Elections
from passlane.raft.errors import RaftInvariantError
from passlane.raft.follower import Follower
from passlane.raft.leader import Leader
from passlane.raft.state import ReplicaState


class Roles:
    """Holds the parts of a replica and changes its role as messages and elections require.

    Parameters
    ----------
    state
        The replica's shared state.
    elections, follower
        The parts that are active while the replica does not lead.
    leader_class
        Class of the leader part; an instance is created for each term that is won.

    Attributes
    ----------
    leader
        The leader part; ``None`` while this replica does not lead.
    """

    def __init__(
        self,
        state: ReplicaState,
        elections: Elections,
        follower: Follower,
        leader_class: type[Leader],
    ) -> None:
        self._state = state
        self._leader_class = leader_class
        self.elections = elections
        self.follower = follower
        self.leader: Leader | None = None

    def start_timer(self, now: float) -> None:
        """Set the first election deadline, unless one is set."""
        if self.elections.deadline == math.inf:
            self.elections.restart_timer(now)

    def update_role(self, now: float) -> None:
        """Become the leader after a won election; step down once removed from the group."""
        if self.elections.is_won and self.leader is None:
            self._become_leader(now)
        if self.leader is not None and self.leader.is_removed:
            self.leader.transfer_on_removal(now)
            self.step_down(now)

    def receive(self, message: AnyRaftMessage, now: float) -> None:
        """Handle a message from another replica, which may change the role.

        Raises
        ------
        RaftInvariantError
            When another replica claims to lead the term that this one leads.
        """
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

    def step_down(self, now: float) -> None:
        """Become a follower without a known leader."""
        self._state.set_leader(None, None)
        self.elections.cancel_election(now)
        if self.leader is not None:
            self.leader.stop()
            self.leader = None

    def _receive_vote_request(self, request: VoteRequest, now: float) -> None:
        if request.is_pre_vote:
            if self.leader is None:
                self.elections.answer_pre_vote(request, now)
            return
        if request.term > self._state.term:
            if self.leader is not None and not request.is_transfer:
                return
            if self.elections.is_leader_lease_active(request, now):
                return
            self._adopt_term(request.term, now)
        self.elections.answer_vote(request, now)

    def _receive_in_term(self, message: AnyRaftMessage, now: float) -> None:
        is_current = message.term == self._state.term
        match message:
            case AppendRequest():
                if is_current:
                    self._follow(message, now)
                    self.follower.handle_append(message)
                else:
                    self.follower.reject_stale_leader(message)
            case SnapshotRequest():
                if is_current:
                    self._follow(message, now)
                    self.follower.handle_snapshot(message)
            case AppendReply():
                if is_current and self.leader is not None:
                    self.leader.handle_append_reply(message, now)
            case SnapshotReply():
                if is_current and self.leader is not None:
                    self.leader.handle_snapshot_reply(message, now)
            case VoteReply():
                self.elections.handle_reply(message, now)
            case TimeoutNow():
                if is_current and self._state.is_voter:
                    self.elections.start(now, is_transfer=True)

    def _follow(self, message: AppendRequest | SnapshotRequest, now: float) -> None:
        if self.leader is not None:
            raise RaftInvariantError(f"{message.sender} also leads term {message.term}")
        self.elections.record_leader_contact(now)
        address = message.sender_address or self._state.leader_address
        self._state.set_leader(message.sender, address)

    def _adopt_term(self, term: int, now: float) -> None:
        self.step_down(now)
        self._state.save_hard_state(term, None)

    def _become_leader(self, now: float) -> None:
        self.elections.cancel_election(now)
        self.elections.end_leader_lease()
        self.leader = self._leader_class(self._state, now)
        self.leader.start(now)
