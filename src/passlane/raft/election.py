"""Leader election: election timer, pre-vote, vote requests and votes.

A candidate first runs a pre-vote without a new term, so that a replica that returns after
a partition cannot depose a healthy leader. A replica with recent contact to a leader rejects
vote requests (leader lease), unless the leader itself started a leadership transfer.
"""

import enum
import math

from passlane.identifiers import ReplicaId
from passlane.messages.common import Address
from passlane.messages.raft import VoteReply, VoteRequest
from passlane.raft.membership import address_of, is_quorum
from passlane.raft.state import ReplicaState


class ElectionPhase(enum.Enum):
    """Phase of the election that a replica is running, if any."""

    IDLE = "idle"
    PRE_VOTE = "pre_vote"
    VOTE = "vote"


class Elections:
    """The part of a replica that votes and runs as a candidate.

    Parameters
    ----------
    state
        The replica's shared state.
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._phase = ElectionPhase.IDLE
        self._granted: set[ReplicaId] = set()
        self._leader_contact_at = -math.inf
        self._timeout_share = state.config.first_election_share
        self.deadline = math.inf

    @property
    def is_won(self) -> bool:
        """Whether a majority voted for this replica in its current term."""
        is_counting = self._phase is ElectionPhase.VOTE
        return is_counting and is_quorum(self._state.membership, self._granted)

    def restart_timer(self, now: float) -> None:
        """Restart the election timer with a new random timeout.

        After a restart of all replicas there is no leader. To elect one sooner, a replica
        that has not heard from a leader since its start waits for a share of the timeout
        only; the share doubles after each lost election. If there is a leader, its followers
        reject the early pre-vote.
        """
        timeout_s = self._timeout_share * self._state.config.election_timeout_s
        self.deadline = now + timeout_s * (1.0 + self._state.random.random())

    def cancel_election(self, now: float) -> None:
        """Cancel the current election, if any, and restart the timer."""
        self._phase = ElectionPhase.IDLE
        self._granted.clear()
        self.restart_timer(now)

    def record_leader_contact(self, now: float) -> None:
        """Record a message from the current leader."""
        self._leader_contact_at = now
        self._timeout_share = 1.0
        self.cancel_election(now)

    def end_leader_lease(self) -> None:
        """End the leader lease, so that other candidates can get a vote."""
        self._leader_contact_at = -math.inf

    def advance_time(self, now: float) -> None:
        """Start a pre-vote if the election timeout has elapsed."""
        if now < self.deadline:
            return
        self.restart_timer(now)
        self.end_leader_lease()
        self._state.set_leader(None, None)
        if self._state.is_voter:
            self._start_pre_vote(now)

    def start(self, now: float, *, is_transfer: bool) -> None:
        """Start an election in a new term."""
        state = self._state
        self._timeout_share = min(1.0, 2.0 * self._timeout_share)
        self.restart_timer(now)
        self._phase = ElectionPhase.VOTE
        self._granted.clear()
        state.save_hard_state(state.term + 1, state.own_id)
        state.set_leader(None, None)
        self._request_votes(is_pre_vote=False, is_transfer=is_transfer)

    def record_own_vote(self, term: int) -> None:
        """Count the replica's own vote, which is now durable."""
        if self._phase is ElectionPhase.VOTE and term == self._state.term:
            self._granted.add(self._state.own_id)

    def handle_reply(self, reply: VoteReply, now: float) -> None:
        """Count a vote."""
        if not reply.granted:
            return
        if reply.is_pre_vote:
            self._count_pre_vote(reply, now)
        elif self._phase is ElectionPhase.VOTE and reply.term == self._state.term:
            self._granted.add(reply.sender)

    def is_leader_lease_active(self, request: VoteRequest, now: float) -> bool:
        """Return whether the leader lease requires rejecting a vote request."""
        if request.is_transfer:
            return False
        timeout_s = self._state.config.election_timeout_s
        return now < self._leader_contact_at + timeout_s

    def answer_pre_vote(self, request: VoteRequest, now: float) -> None:
        """Reply whether this replica would vote for the sender, without changing state."""
        state = self._state
        granted = (
            request.term > state.term
            and not self.is_leader_lease_active(request, now)
            and self._is_up_to_date(request)
        )
        self._reply(request, granted=granted, term=request.term if granted else state.term)

    def answer_vote(self, request: VoteRequest, now: float) -> None:
        """Grant or reject a vote in the current term."""
        state = self._state
        granted = (
            request.term == state.term
            and self._can_vote_for(request)
            and self._is_up_to_date(request)
        )
        if granted:
            self.restart_timer(now)
            if state.voted_for is None:
                state.save_hard_state(state.term, request.sender)
        self._reply(request, granted=granted, term=state.term)

    def _start_pre_vote(self, now: float) -> None:
        state = self._state
        self._phase = ElectionPhase.PRE_VOTE
        self._granted = {state.own_id}
        if is_quorum(state.membership, self._granted):
            self.start(now, is_transfer=False)
            return
        self._request_votes(is_pre_vote=True, is_transfer=False)

    def _count_pre_vote(self, reply: VoteReply, now: float) -> None:
        if self._phase is not ElectionPhase.PRE_VOTE or reply.term != self._state.term + 1:
            return
        self._granted.add(reply.sender)
        if is_quorum(self._state.membership, self._granted):
            self.start(now, is_transfer=False)

    def _can_vote_for(self, request: VoteRequest) -> bool:
        return self._state.voted_for in (None, request.sender)

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        log = self._state.log
        return (request.last_term, request.last_index) >= (log.last_term, log.last_index)

    def _request_votes(self, *, is_pre_vote: bool, is_transfer: bool) -> None:
        state = self._state
        for member in state.membership.members:
            if member.replica_id == state.own_id or not member.is_voter:
                continue
            request = VoteRequest(
                **state.header_to(member.replica_id),
                term=state.term + 1 if is_pre_vote else state.term,
                last_index=state.log.last_index,
                last_term=state.log.last_term,
                is_pre_vote=is_pre_vote,
                is_transfer=is_transfer,
            )
            state.send(member.address, request)

    def _reply(self, request: VoteRequest, *, granted: bool, term: int) -> None:
        state = self._state
        address = self._reply_address(request)
        if address is None:
            return
        reply = VoteReply(
            **state.header_to(request.sender),
            term=term,
            granted=granted,
            is_pre_vote=request.is_pre_vote,
        )
        state.send(address, reply)

    def _reply_address(self, request: VoteRequest) -> Address | None:
        if request.sender_address is not None:
            return request.sender_address
        return address_of(self._state.membership, request.sender)
