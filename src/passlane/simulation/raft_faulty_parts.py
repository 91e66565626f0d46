"""Parts of a Raft replica that lack one rule each; see ``raft_defects``."""

from passlane.identifiers import ReplicaId
from passlane.messages.raft import AppendRequest, LogEntry, VoteRequest
from passlane.raft.election import Elections
from passlane.raft.follower import Follower
from passlane.raft.instructions import RejectProposals
from passlane.raft.leader import Leader
from passlane.raft.membership import voters_of, with_learner, with_voter
from passlane.raft.progress import FollowerProgress
from passlane.raft.reads import ReadRounds
from passlane.raft.replication import Replicator
from passlane.raft.voter_selection import GroupView, VoterChange, VoterChangeReason, VoterSelection
from passlane.simulation.raft_host import SimulatedReplicaHost


class HostThatVotesBeforeSync(SimulatedReplicaHost):
    """Sends messages although the term and the vote they rest on are not durable."""

    def _may_send(self) -> bool:
        return True


class FollowerThatAcknowledgesBeforeSync(Follower):
    """Acknowledges entries that a crash may still lose."""

    def _acknowledged_index(self) -> int:
        return self._matched_index

    def _should_reply_now(self, request: AppendRequest) -> bool:
        return True


class FollowerThatIgnoresMismatch(Follower):
    """Takes entries although the one before them differs from the leader's."""

    def _matches(self, request: AppendRequest) -> bool:
        return request.previous_index <= self._state.log.last_index


class FollowerThatKeepsConflicts(Follower):
    """Keeps an entry that differs from the leader's at the same index."""

    def _append_missing_entries(self, entries: tuple[LogEntry, ...]) -> None:
        last_index = self._state.log.last_index
        missing = tuple(entry for entry in entries if entry.index > last_index)
        if missing:
            self._state.append_entries(missing)


class ElectionsThatVoteTwice(Elections):
    """Gives a vote to every candidate of a term."""

    def _can_vote_for(self, request: VoteRequest) -> bool:
        return True


class ElectionsThatVoteForAnyLog(Elections):
    """Votes for a candidate that lacks entries which this replica holds."""

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        return True


class ReplicatorThatCommitsOldTerms(Replicator):
    """Commits an entry of an older term as soon as a majority holds it."""

    def advance_commit(self) -> bool:
        """Commit what a majority of voters holds durably, of whatever term."""
        index = self._majority_index()
        if index <= self._state.commit_index:
            return False
        self._state.commit(index)
        return True


class ReplicatorThatCountsItsUnsyncedEntries(Replicator):
    """Counts the leader's own entries before they are durable."""

    def _synced_index_of(self, voter: ReplicaId) -> int:
        if voter == self._state.own_id:
            return self._state.log.last_index
        return self.followers[voter].synced_index


class ReplicatorThatSkipsCheckQuorum(Replicator):
    """Goes on leading although no majority answers."""

    def is_quorum_active(self, now: float) -> bool:
        """Return that a majority was heard."""
        return True


class ReadsWithoutConfirmation(ReadRounds):
    """Allows a read without asking a majority whether this replica still leads."""

    def _is_confirmed(self) -> bool:
        return True


class LeaderThatReadsBeforeItsFirstCommit(Leader):
    """Allows reads before an entry of its own term is committed."""

    def _can_serve_reads(self) -> bool:
        return True


class LeaderThatPromotesEarly(Leader):
    """Lets a learner vote before it holds all that is committed."""

    def _has_caught_up(self, learner: FollowerProgress) -> bool:
        return True


class PlacesFilledTwice(VoterSelection):
    """Takes in every spare that offers itself and lets it vote, whoever votes already."""

    def _remove_unneeded_learner(self, view: GroupView) -> VoterChange | None:
        return None

    def _promote_caught_up_learner(self, view: GroupView) -> VoterChange | None:
        learner = self._caught_up_learner(view)
        if learner is None:
            return None
        membership = with_voter(view.membership, learner.replica_id)
        return VoterChange(membership, VoterChangeReason.CAUGHT_UP, learner.replica_id)

    def _add_learner(self, view: GroupView) -> VoterChange | None:
        offer = self._best_offer(view)
        if offer is None:
            return None
        membership = with_learner(view.membership, offer.replica_id, offer.address, offer.zone)
        return VoterChange(membership, VoterChangeReason.PLACE_FREE, offer.replica_id)


class PlacesFilledEarly(VoterSelection):
    """Lets a spare vote before it holds all that is committed."""

    @staticmethod
    def has_caught_up(progress: FollowerProgress | None, commit_index: int) -> bool:
        """Take each learner for caught up."""
        return progress is not None


class ReplicatorThatCountsRemovedVoters(Replicator):
    """Goes on replicating to replicas that were removed, and counts their copies."""

    def update_members(self, now: float) -> None:
        """Follow the newest membership, and keep whoever was followed before."""
        former = self.followers
        super().update_members(now)
        self.followers = former | self.followers

    def _majority_index(self) -> int:
        state = self._state
        synced = [follower.synced_index for follower in self.followers.values()]
        synced.append(state.log.synced_index)
        synced.sort(reverse=True)
        return synced[len(voters_of(state.membership)) // 2]


class LeaderThatChangesMembersAtOnce(Leader):
    """Begins a change of membership before the former one is committed."""

    def _is_change_under_way(self) -> bool:
        return False


class LeaderThatDeniesItsEntries(Leader):
    """Tells a caller that its command did not run although it may still be committed."""

    def _reject_uncommitted(self, tokens: tuple[int, ...]) -> None:
        rejection = RejectProposals(tokens=tokens, leader=None, may_be_committed=False)
        self._state.emit(rejection)
