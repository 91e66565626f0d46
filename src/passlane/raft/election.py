"""Elections: timers, votes asked for, votes given.

A candidate first asks whether it would be elected (pre-vote) without a new term, so that
a replica that was cut off cannot depose a working leader when it comes back. A replica
that hears a leader refuses its vote, unless the leader itself asked for the election.
"""

import enum
import math

from passlane.identifiers import ReplicaId
from passlane.messages.common import Address
from passlane.messages.raft import VoteReply, VoteRequest
from passlane.raft.membership import address_of, is_quorum
from passlane.raft.state import ReplicaState


class ElectionPhase(enum.Enum):
    """What a replica that does not lead is doing."""

    IDLE = "idle"
    PRE_VOTE = "pre_vote"
    VOTE = "vote"


class Elections:
    """The part of a replica that votes and stands for election.

    Parameters
    ----------
    state
        The replica's shared state.
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._phase = ElectionPhase.IDLE
        self._granted: set[ReplicaId] = set()
        self._heard_from_leader_at = -math.inf
        self._timeout_share = state.config.first_election_share
        self.deadline = math.inf

    @property
    def is_won(self) -> bool:
        """Whether a majority elected this replica in its current term."""
        is_counting = self._phase is ElectionPhase.VOTE
        return is_counting and is_quorum(self._state.membership, self._granted)

    def restart_timer(self, now: float) -> None:
        """Put the next election off by a new random time.

        After a loss of all processes nobody leads, and each moment counts. So while no
        leader was heard since the start, this is only a share of the time-out, and twice as
        much after each election that was lost. Where there is a leader, its followers refuse
        the pre-vote of a replica that comes back too eagerly.
        """
        timeout_s = self._timeout_share * self._state.config.election_timeout_s
        self.deadline = now + timeout_s * (1.0 + self._state.random.random())

    def stand_down(self, now: float) -> None:
        """Give up an election under way."""
        self._phase = ElectionPhase.IDLE
        self._granted.clear()
        self.restart_timer(now)

    def note_leader(self, now: float) -> None:
        """Note that the current leader was heard."""
        self._heard_from_leader_at = now
        self._timeout_share = 1.0
        self.stand_down(now)

    def forget_leader(self) -> None:
        """Note that there is no leader to protect from other candidates."""
        self._heard_from_leader_at = -math.inf

    def advance_time(self, now: float) -> None:
        """Stand for election if no leader was heard for too long."""
        if now < self.deadline:
            return
        self.restart_timer(now)
        self.forget_leader()
        self._state.set_leader(None, None)
        if self._state.is_voter:
            self._start_pre_vote(now)

    def start(self, now: float, *, is_transfer: bool) -> None:
        """Stand for election in a new term."""
        state = self._state
        self._timeout_share = min(1.0, 2.0 * self._timeout_share)
        self.restart_timer(now)
        self._phase = ElectionPhase.VOTE
        self._granted.clear()
        state.save_hard_state(state.term + 1, state.own_id)
        state.set_leader(None, None)
        self._ask_for_votes(is_pre_vote=False, is_transfer=is_transfer)

    def note_own_vote(self, term: int) -> None:
        """Count the own vote, which is durable now."""
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

    def protects_leader(self, request: VoteRequest, now: float) -> bool:
        """Return whether a vote is refused because a leader is known to be at work."""
        if request.is_transfer:
            return False
        timeout_s = self._state.config.election_timeout_s
        return now < self._heard_from_leader_at + timeout_s

    def answer_pre_vote(self, request: VoteRequest, now: float) -> None:
        """Tell whether this replica would vote for the sender; changes nothing here."""
        state = self._state
        granted = (
            request.term > state.term
            and not self.protects_leader(request, now)
            and self._is_up_to_date(request)
        )
        self._reply(request, granted=granted, term=request.term if granted else state.term)

    def answer_vote(self, request: VoteRequest, now: float) -> None:
        """Give or refuse a vote in the current term."""
        state = self._state
        granted = (
            request.term == state.term
            and self._is_vote_free(request)
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
        self._ask_for_votes(is_pre_vote=True, is_transfer=False)

    def _count_pre_vote(self, reply: VoteReply, now: float) -> None:
        if self._phase is not ElectionPhase.PRE_VOTE or reply.term != self._state.term + 1:
            return
        self._granted.add(reply.sender)
        if is_quorum(self._state.membership, self._granted):
            self.start(now, is_transfer=False)

    def _is_vote_free(self, request: VoteRequest) -> bool:
        return self._state.voted_for in (None, request.sender)

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        log = self._state.log
        return (request.last_term, request.last_index) >= (log.last_term, log.last_index)

    def _ask_for_votes(self, *, is_pre_vote: bool, is_transfer: bool) -> None:
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
