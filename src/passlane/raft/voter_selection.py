"""Selects the voters of a group with a target number of voters, without I/O.

A group that tolerates the loss of two replicas needs five voters, regardless of the number
of machines. The remaining replicas are standbys: they store no log and repeatedly offer to
join. The leader adds a standby as a learner when a voter is missing, and promotes it once it
has caught up. A lost voter is removed just before its replacement is promoted.
"""

import enum
from collections import Counter
from collections.abc import Mapping

import msgspec

from passlane.identifiers import ReplicaId
from passlane.messages.raft import GroupMember, GroupMembership
from passlane.raft.events import ReplicaOffered
from passlane.raft.membership import member_of, with_learner, with_voter, without_member
from passlane.raft.progress import FollowerProgress

OFFER_TTL_S = 3.0
"""Lifetime of an offer; standbys repeat it every second (``replication.joining``)."""


class VoterChangeReason(enum.StrEnum):
    """Reason for adding, promoting or removing a replica."""

    FILES_LOST = "files_lost"
    MOVED = "moved"
    LEARNER_NOT_NEEDED = "learner_not_needed"
    SILENT = "silent"
    CAUGHT_UP = "caught_up"
    SURPLUS = "surplus"
    PLACE_FREE = "place_free"


class VoterChange(msgspec.Struct, frozen=True):
    """The membership to change to, the replica that changes, and the reason."""

    membership: GroupMembership
    reason: VoterChangeReason
    replica_id: ReplicaId


class _Offer(msgspec.Struct, frozen=True):
    """The newest offer of a replica and the time at which it was received."""

    replica: ReplicaOffered
    received_at: float


class GroupView(msgspec.Struct, frozen=True):
    """The leader's view of its group at one time.

    Attributes
    ----------
    membership
        The newest membership.
    own_id
        The leader's identity.
    followers
        Replication state of each other member.
    commit_index
        Last committed index.
    now
        Local time in seconds.
    """

    membership: GroupMembership
    own_id: ReplicaId
    followers: Mapping[ReplicaId, FollowerProgress]
    commit_index: int
    now: float


class VoterSelection:
    """Keeps the group at its target number of voters, one membership change at a time.

    The state is volatile: a new leader collects offers and releases again.

    Parameters
    ----------
    target_voters
        Target number of voters.
    silence_s
        Seconds of silence after which a member counts as lost.
    """

    def __init__(self, target_voters: int, silence_s: float) -> None:
        self._target_voters = target_voters
        self._silence_s = silence_s
        self._offers: dict[ReplicaId, _Offer] = {}
        self._released: set[ReplicaId] = set()
        self._lost_identities: set[ReplicaId] = set()
        self._surplus_since: float | None = None

    def record_offer(self, offered: ReplicaOffered, now: float) -> None:
        """Record a replica's offer to become a voter, and the members whose files are lost."""
        self._offers[offered.replica_id] = _Offer(offered, now)
        self._lost_identities.update(offered.replaces)

    def release(self, replica_id: ReplicaId) -> None:
        """Record that a replica is to be replaced and removed permanently."""
        self._released.add(replica_id)

    def next_change(self, view: GroupView) -> VoterChange | None:
        """Return the next change, if one is due.

        The first rule that yields a change applies:

        1. Remove a member whose files are lost.
        2. Update the address of a member that moved.
        3. Remove a learner that is silent, released or not needed.
        4. Promote a learner that has caught up, after removing a silent voter if the
           target is reached.
        5. Remove a voter beyond the target.
        6. Add a learner if a voter is missing.
        """
        return (
            self._remove_lost_identity(view)
            or self._update_address(view)
            or self._remove_unneeded_learner(view)
            or self._promote_caught_up_learner(view)
            or self._remove_surplus_voter(view)
            or self._add_learner(view)
        )

    def _remove_lost_identity(self, view: GroupView) -> VoterChange | None:
        """Remove an identity whose files are lost, because it cannot return."""
        for member in view.membership.members:
            if member.replica_id in self._lost_identities and member.replica_id != view.own_id:
                return _removal(view, member, VoterChangeReason.FILES_LOST)
        self._lost_identities.clear()
        return None

    def _update_address(self, view: GroupView) -> VoterChange | None:
        """Update the address of a member that has moved with its files."""
        for offer in self._offers.values():
            replica = offer.replica
            member = member_of(view.membership, replica.replica_id)
            if member is not None and member.address != replica.address:
                return _addition(view, replica, VoterChangeReason.MOVED)
        return None

    def _remove_unneeded_learner(self, view: GroupView) -> VoterChange | None:
        """Remove a learner that is silent, released or not needed to reach the target."""
        is_target_reached = len(self._remaining_voters(view)) >= self._target_voters
        for learner in _learners(view):
            if is_target_reached or self._is_to_be_removed(learner, view):
                self._offers.pop(learner.replica_id, None)
                return _removal(view, learner, VoterChangeReason.LEARNER_NOT_NEEDED)
        return None

    def _promote_caught_up_learner(self, view: GroupView) -> VoterChange | None:
        """Promote a learner that has caught up.

        If the target is reached, a silent voter is removed first, because it would still
        count towards the quorum size. A released voter still responds, so it is removed
        after the promotion and before the next one. The number of voters never exceeds the
        target by more than one.
        """
        learner = self._caught_up_learner(view)
        if learner is None or len(_voters(view)) > self._target_voters:
            return None
        silent = self._silent_voter(view)
        if len(_voters(view)) >= self._target_voters and silent is not None:
            return _removal(view, silent, VoterChangeReason.SILENT)
        membership = with_voter(view.membership, learner.replica_id)
        return VoterChange(membership, VoterChangeReason.CAUGHT_UP, learner.replica_id)

    def _remove_surplus_voter(self, view: GroupView) -> VoterChange | None:
        """Remove a voter beyond the target: a silent one, otherwise a released one.

        A leader that was elected during a replacement does not know which voter was
        released. It waits ``silence_s`` for another release, then removes the voter that was
        added last.
        """
        if len(_voters(view)) <= self._target_voters:
            self._surplus_since = None
            return None
        surplus = self._silent_voter(view) or self._released_voter(view)
        if surplus is not None:
            return _removal(view, surplus, VoterChangeReason.SURPLUS)
        if self._surplus_since is None:
            self._surplus_since = view.now
        if view.now - self._surplus_since < self._silence_s:
            return None
        newest = [voter for voter in _voters(view) if voter.replica_id != view.own_id][-1]
        return _removal(view, newest, VoterChangeReason.SURPLUS)

    def _add_learner(self, view: GroupView) -> VoterChange | None:
        """Add the best offer as a learner if voters and learners are below the target."""
        if len(self._remaining_voters(view)) + len(_learners(view)) >= self._target_voters:
            return None
        offer = self._best_offer(view)
        if offer is None:
            return None
        return _addition(view, offer, VoterChangeReason.PLACE_FREE)

    def _best_offer(self, view: GroupView) -> ReplicaOffered | None:
        """Return an offer from the zone with the fewest remaining members."""
        self._discard_expired_offers(view.now)
        candidates = [
            offer.replica
            for name, offer in self._offers.items()
            if name not in self._released and member_of(view.membership, name) is None
        ]
        members_by_zone = Counter(m.zone for m in (*self._remaining_voters(view), *_learners(view)))
        return min(candidates, key=lambda r: (members_by_zone[r.zone], r.replica_id), default=None)

    def _discard_expired_offers(self, now: float) -> None:
        self._offers = {
            name: offer
            for name, offer in self._offers.items()
            if now - offer.received_at <= OFFER_TTL_S
        }

    def _caught_up_learner(self, view: GroupView) -> GroupMember | None:
        for learner in _learners(view):
            if self.has_caught_up(view.followers.get(learner.replica_id), view.commit_index):
                return learner
        return None

    @staticmethod
    def has_caught_up(progress: FollowerProgress | None, commit_index: int) -> bool:
        """Return whether all committed entries are durable on a learner."""
        return progress is not None and progress.is_synced_to(commit_index)

    def _remaining_voters(self, view: GroupView) -> list[GroupMember]:
        return [voter for voter in _voters(view) if not self._is_to_be_removed(voter, view)]

    def _silent_voter(self, view: GroupView) -> GroupMember | None:
        silent = [voter for voter in _voters(view) if self._is_silent(voter, view)]
        return silent[0] if silent else None

    def _released_voter(self, view: GroupView) -> GroupMember | None:
        released = [voter for voter in _voters(view) if voter.replica_id in self._released]
        return released[0] if released else None

    def _is_to_be_removed(self, member: GroupMember, view: GroupView) -> bool:
        return member.replica_id in self._released or self._is_silent(member, view)

    def _is_silent(self, member: GroupMember, view: GroupView) -> bool:
        progress = view.followers.get(member.replica_id)
        return progress is not None and view.now - progress.last_heard >= self._silence_s


def _voters(view: GroupView) -> list[GroupMember]:
    return [member for member in view.membership.members if member.is_voter]


def _learners(view: GroupView) -> list[GroupMember]:
    return [member for member in view.membership.members if not member.is_voter]


def _removal(view: GroupView, member: GroupMember, reason: VoterChangeReason) -> VoterChange:
    membership = without_member(view.membership, member.replica_id)
    return VoterChange(membership, reason, member.replica_id)


def _addition(view: GroupView, replica: ReplicaOffered, reason: VoterChangeReason) -> VoterChange:
    membership = with_learner(view.membership, replica.replica_id, replica.address, replica.zone)
    return VoterChange(membership, reason, replica.replica_id)
