"""The leader: proposals, linearizable reads, membership changes and leadership transfer."""

from collections import deque
from collections.abc import Sequence
from typing import ClassVar

from passlane.identifiers import ReplicaId
from passlane.messages.raft import (
    AppendReply,
    EntryKind,
    GroupMembership,
    LogEntry,
    SnapshotReply,
)
from passlane.raft.disk_stall import STALL_ELECTION_TIMEOUTS, DiskStallDetector
from passlane.raft.events import MemberAdded, MemberRemoved, ReplicaDecommissioned, ReplicaOffered
from passlane.raft.instructions import RejectProposals, VoterChangeDecided
from passlane.raft.membership import (
    encode_membership,
    member_of,
    replaced_voter,
    voters_of,
    with_learner,
    with_voter,
    without_member,
)
from passlane.raft.progress import FollowerProgress
from passlane.raft.reads import ReadRounds
from passlane.raft.replication import Replicator
from passlane.raft.state import ReplicaState
from passlane.raft.transfer import LeadershipTransfer
from passlane.raft.voter_selection import GroupView, VoterSelection


class Leader:
    """The part of a replica that leads; one instance for each term that it wins.

    Parameters
    ----------
    state
        The replica's shared state.
    now
        Local time at which the election was won.

    Attributes
    ----------
    replicator_class, reads_class, voter_selection_class
        Classes of the leader's parts; see ``Replica``.
    """

    replicator_class: ClassVar[type[Replicator]] = Replicator
    reads_class: ClassVar[type[ReadRounds]] = ReadRounds
    voter_selection_class: ClassVar[type[VoterSelection]] = VoterSelection

    def __init__(self, state: ReplicaState, now: float) -> None:
        self._state = state
        self._replicator = self.replicator_class(state, now)
        self._reads = self.reads_class(state)
        self._changes: deque[MemberAdded | MemberRemoved] = deque()
        self._transfer = LeadershipTransfer(state, self._replicator)
        self._disk = DiskStallDetector(
            STALL_ELECTION_TIMEOUTS * state.config.election_timeout_s, now
        )
        self._promoted_at: float | None = None
        config = state.config
        self._places: VoterSelection | None = None
        if config.places is not None:
            self._places = self.voter_selection_class(
                config.places, config.replaced_voter_silence_s
            )
        self.next_heartbeat_at = now

    def start(self, now: float) -> None:
        """Announce the leadership and append an empty entry of the new term.

        Entries of older terms are committed only together with an entry of the leader's
        term. Without the empty entry, reads and older proposals would wait for the next
        command.
        """
        state = self._state
        state.set_leader(state.own_id, state.config.address)
        self._append([(EntryKind.NO_OPERATION, b"")], now)
        self._send_heartbeats(now)

    def advance_time(self, now: float) -> None:
        """Send due heartbeats, abort an overdue transfer, and check the leader's disk."""
        self._transfer.abort_if_overdue(now)
        self._transfer_if_disk_stalled(now)
        if now >= self.next_heartbeat_at:
            self._advance_places(now)
            self._send_heartbeats(now)

    def is_quorum_active(self, now: float) -> bool:
        """Return whether a majority responded recently; otherwise the leader must step down."""
        return self._replicator.is_quorum_active(now)

    def propose(self, tokens: Sequence[int], commands: Sequence[bytes], now: float) -> None:
        """Append commands; reject them during a leadership transfer."""
        if self._transfer.is_under_way:
            self._reject_not_appended(tokens)
            return
        first_index = self._state.log.last_index + 1
        for offset, token in enumerate(tokens):
            self._state.tokens[first_index + offset] = token
        self._append([(EntryKind.COMMAND, command) for command in commands], now)

    def request_read(self, token: int, now: float) -> None:
        """Queue a read until the leadership is confirmed."""
        self._reads.request(token)
        self._advance_reads(now)

    def request_change(self, change: MemberAdded | MemberRemoved, now: float) -> None:
        """Queue a membership change; one change is under way at a time."""
        self._changes.append(change)
        self._advance_membership(now)

    def record_offer(self, offered: ReplicaOffered, now: float) -> None:
        """Record a replica's offer to become a voter."""
        if self._places is not None:
            self._places.record_offer(offered, now)

    def release(self, released: ReplicaDecommissioned) -> None:
        """Record that a replica is to be replaced and removed."""
        if self._places is not None:
            self._places.release(released.replica_id)

    def request_transfer(self, now: float) -> None:
        """Start a leadership transfer to the most advanced voter."""
        self._transfer.request(now)

    def handle_append_reply(self, reply: AppendReply, now: float) -> None:
        """Handle a follower's reply to entries or a heartbeat."""
        progress = self._replicator.followers.get(reply.sender)
        if progress is None:
            return
        progress.last_heard = now
        self._reads.confirm(reply.sender, reply.read_round)
        self._replicator.handle_append_reply(reply, self._reads.current_round, now)
        self.advance(now)
        if self._is_learner(reply.sender):
            self._advance_places(now)

    def handle_snapshot_reply(self, reply: SnapshotReply, now: float) -> None:
        """Handle a follower's reply to a snapshot chunk."""
        progress = self._replicator.followers.get(reply.sender)
        if progress is None:
            return
        progress.last_heard = now
        self._replicator.handle_snapshot_reply(reply, self._reads.current_round, now)
        self.advance(now)

    def advance(self, now: float) -> None:
        """Advance the commit index, and the reads, changes and transfer that depend on it."""
        self._replicator.advance_commit()
        self._advance_reads(now)
        self._advance_membership(now)
        self._transfer.advance()

    @property
    def is_removed(self) -> bool:
        """Whether this replica is no longer a member of the committed membership."""
        state = self._state
        return not self._is_change_under_way() and member_of(state.membership, state.own_id) is None

    def stop(self) -> None:
        """Reject all waiting callers because leadership was lost."""
        state = self._state
        if state.tokens:
            tokens = tuple(state.tokens.values())
            state.tokens.clear()
            self._reject_uncommitted(tokens)
        self._reject_not_appended([change.token for change in self._changes])
        self._reads.reject_all()

    def transfer_on_removal(self, now: float) -> None:
        """Make the most advanced voter start an election now."""
        self._transfer.transfer_now(now)

    def _send_heartbeats(self, now: float) -> None:
        self.next_heartbeat_at = now + self._state.config.heartbeat_s
        self._replicator.send_heartbeats(self._reads.current_round, now)

    def _append(self, contents: Sequence[tuple[EntryKind, bytes]], now: float) -> None:
        state = self._state
        first_index = state.log.last_index + 1
        entries = [
            LogEntry(index=first_index + offset, term=state.term, kind=kind, data=data)
            for offset, (kind, data) in enumerate(contents)
        ]
        state.append_entries(entries)
        self._replicator.send_entries_to_all(self._reads.current_round, now)

    def _reject_not_appended(self, tokens: Sequence[int]) -> None:
        """Reject proposals that were not appended."""
        if tokens:
            self._state.emit(
                RejectProposals(tokens=tuple(tokens), leader=None, may_be_committed=False)
            )

    def _reject_uncommitted(self, tokens: tuple[int, ...]) -> None:
        """Reject appended proposals whose outcome is unknown."""
        self._state.emit(RejectProposals(tokens=tokens, leader=None, may_be_committed=True))

    def _has_committed_in_own_term(self) -> bool:
        state = self._state
        return state.log.term_at(state.commit_index) == state.term

    def _advance_reads(self, now: float) -> None:
        if not self._can_serve_reads():
            return
        self._reads.allow_confirmed()
        while self._reads.start_round():
            self._send_heartbeats(now)
            self._reads.allow_confirmed()

    def _can_serve_reads(self) -> bool:
        # A new leader may not know the current commit index until it has committed an entry
        # of its own term.
        return self._has_committed_in_own_term()

    def _advance_membership(self, now: float) -> None:
        if self._is_change_under_way() or not self._has_committed_in_own_term():
            return
        if self._changes:
            change = self._changes.popleft()
            self._append_change(change, now)
            return
        membership = self._next_automatic_change(now)
        if membership is not None:
            self._append_membership(membership, now)

    def _advance_places(self, now: float) -> None:
        """Append the next membership change that the target number of voters requires.

        Called with each heartbeat and each reply of a learner. A change is only made while
        a majority responds: otherwise a leader that resumes after a process pause would
        consider all other members lost.
        """
        if self._places is None or self._is_change_under_way():
            return
        if not self._has_committed_in_own_term() or not self.is_quorum_active(now):
            return
        state = self._state
        view = GroupView(
            membership=state.membership,
            own_id=state.own_id,
            followers=self._replicator.followers,
            commit_index=state.commit_index,
            now=now,
        )
        change = self._places.next_change(view)
        if change is None:
            return
        voters = len(voters_of(change.membership))
        learners = len(change.membership.members) - voters
        state.emit(VoterChangeDecided(change.reason, change.replica_id, voters, learners))
        self._append_membership(change.membership, now)

    def _is_learner(self, replica_id: ReplicaId) -> bool:
        member = member_of(self._state.membership, replica_id)
        return member is not None and not member.is_voter

    def _is_change_under_way(self) -> bool:
        state = self._state
        return state.memberships.current_index > state.commit_index

    def _append_change(self, change: MemberAdded | MemberRemoved, now: float) -> None:
        state = self._state
        if isinstance(change, MemberAdded):
            membership = with_learner(state.membership, change.replica_id, change.address)
        else:
            membership = without_member(state.membership, change.replica_id)
        if not voters_of(membership):
            self._reject_not_appended([change.token])
            return
        state.tokens[state.log.last_index + 1] = change.token
        self._append_membership(membership, now)

    def _next_automatic_change(self, now: float) -> GroupMembership | None:
        """Return the next automatic membership change, if there is one."""
        if self._places is not None:
            return None
        return self._next_promotion(now) or self._next_removal(now)

    def _next_promotion(self, now: float) -> GroupMembership | None:
        """Return the membership that promotes a caught-up learner, if there is one.

        A voter with the same address as the learner is lost and is removed first, because
        it would still count towards the quorum size.
        """
        state = self._state
        for member in state.membership.members:
            progress = self._replicator.followers.get(member.replica_id)
            if member.is_voter or progress is None:
                continue
            if not self._has_caught_up(progress):
                continue
            lost = replaced_voter(state.membership, member)
            if lost is not None and lost.replica_id != state.own_id:
                return without_member(state.membership, lost.replica_id)
            self._promoted_at = now
            return with_voter(state.membership, member.replica_id)
        return None

    def _next_removal(self, now: float) -> GroupMembership | None:
        """Return the membership without a replaced voter, if there is one.

        A voter that has been silent since before another was promoted counts as replaced,
        because a lost machine would still count towards the quorum size. If the voter
        returns, it requests to join again.
        """
        if self._promoted_at is None:
            return None
        for voter in voters_of(self._state.membership):
            progress = self._replicator.followers.get(voter)
            if progress is None or progress.last_heard >= self._promoted_at:
                continue
            if now - progress.last_heard >= self._state.config.replaced_voter_silence_s:
                return without_member(self._state.membership, voter)
        return None

    def _has_caught_up(self, learner: FollowerProgress) -> bool:
        """Return whether all committed entries are durable on a learner."""
        return learner.is_synced_to(self._state.commit_index)

    def _transfer_if_disk_stalled(self, now: float) -> None:
        """Transfer leadership to a follower with more durable entries if the disk stalls.

        Heartbeats do not use the disk, so followers cannot detect the stall. Until the
        leader's disk recovers, no entry is applied and no caller gets a reply.
        """
        log = self._state.log
        self._disk.record_progress(log.synced_index, log.last_index, now)
        if not self._disk.is_stalled(now):
            return
        self._disk.restart(now)
        if self._replicator.is_follower_ahead(now):
            self.request_transfer(now)

    def _append_membership(self, membership: GroupMembership, now: float) -> None:
        self._append([(EntryKind.MEMBERSHIP, encode_membership(membership))], now)
        self._replicator.update_members(now)
        self._replicator.send_entries_to_all(self._reads.current_round, now)
