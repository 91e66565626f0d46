"""Who votes in a group with a bounded number of voters: the leader's decision, without I/O.

A group that has to bear the loss of two replicas needs five voters, however many machines
could hold one. The others are spares: they hold nothing and offer themselves to the leader
again and again. The leader takes one in as a learner when a place is free, and makes it a
voter once it holds all that is committed. A voter that is lost leaves the group just before
its successor votes, so that the number of voters stays the same.
"""

import enum
from collections import Counter
from collections.abc import Mapping

import msgspec

from passlane.identifiers import ReplicaId
from passlane.messages.raft import GroupMember, GroupMembership
from passlane.raft.events import ReplicaOffered
from passlane.raft.membership import member_of, with_learner, with_voter, without
from passlane.raft.progress import FollowerProgress

OFFER_VALID_S = 3.0
"""An offer counts for this long; spares repeat theirs each second (``replication.joining``)."""


class PlaceReason(enum.StrEnum):
    """Why a replica joins, votes or leaves."""

    FILES_LOST = "files_lost"
    MOVED = "moved"
    LEARNER_NOT_NEEDED = "learner_not_needed"
    SILENT = "silent"
    CAUGHT_UP = "caught_up"
    SURPLUS = "surplus"
    PLACE_FREE = "place_free"


class PlaceChange(msgspec.Struct, frozen=True):
    """A membership to change to, the replica that it is about, and why."""

    membership: GroupMembership
    reason: PlaceReason
    replica_id: ReplicaId


class _Offer(msgspec.Struct, frozen=True):
    """The newest offer of a replica and when it came."""

    replica: ReplicaOffered
    received_at: float


class GroupView(msgspec.Struct, frozen=True):
    """What the leader knows of its group at one moment.

    Attributes
    ----------
    membership
        The membership in force.
    own_id
        The leader's identity.
    followers
        What is known of each other member.
    commit_index
        Up to where entries are committed.
    now
        Local time in seconds.
    """

    membership: GroupMembership
    own_id: ReplicaId
    followers: Mapping[ReplicaId, FollowerProgress]
    commit_index: int
    now: float


class VoterPlaces:
    """Fills a fixed number of places, one change of membership at a time.

    Soft state: a new leader gathers offers and releases anew.

    Parameters
    ----------
    places
        How many voters the group is to have.
    silence_s
        A member that was silent for so long counts as lost.
    """

    def __init__(self, places: int, silence_s: float) -> None:
        self._places = places
        self._silence_s = silence_s
        self._offers: dict[ReplicaId, _Offer] = {}
        self._released: set[ReplicaId] = set()
        self._wiped: set[ReplicaId] = set()
        self._surplus_since: float | None = None

    def note_offer(self, offered: ReplicaOffered, now: float) -> None:
        """Note that a replica would vote, and whose files it lost."""
        self._offers[offered.replica_id] = _Offer(offered, now)
        self._wiped.update(offered.replaces)

    def release(self, replica_id: ReplicaId) -> None:
        """Note that a replica is to be replaced and to leave the group for good."""
        self._released.add(replica_id)

    def next_change(self, view: GroupView) -> PlaceChange | None:
        """Return the next change, if one is due.

        The order matters: what only hinders comes out first, then learners that have
        caught up vote, then voters beyond the places leave, then free places are filled.
        """
        return (
            self._without_wiped(view)
            or self._with_new_address(view)
            or self._without_useless_learner(view)
            or self._with_caught_up_learner(view)
            or self._without_surplus_voter(view)
            or self._with_new_learner(view)
        )

    def _without_wiped(self, view: GroupView) -> PlaceChange | None:
        """Remove an identity whose files are gone: it can never answer again."""
        for member in view.membership.members:
            if member.replica_id in self._wiped and member.replica_id != view.own_id:
                return _leave(view, member, PlaceReason.FILES_LOST)
        self._wiped.clear()
        return None

    def _with_new_address(self, view: GroupView) -> PlaceChange | None:
        """Take over the address of a member that has moved with its files."""
        for offer in self._offers.values():
            replica = offer.replica
            member = member_of(view.membership, replica.replica_id)
            if member is not None and member.address != replica.address:
                return _take_in(view, replica, PlaceReason.MOVED)
        return None

    def _without_useless_learner(self, view: GroupView) -> PlaceChange | None:
        """Remove a learner that is silent, released, or for which there is no place."""
        is_full = len(self._staying_voters(view)) >= self._places
        for learner in _learners(view):
            if is_full or self._is_leaving(learner, view):
                self._offers.pop(learner.replica_id, None)
                return _leave(view, learner, PlaceReason.LEARNER_NOT_NEEDED)
        return None

    def _with_caught_up_learner(self, view: GroupView) -> PlaceChange | None:
        """Make a learner vote that holds all that is committed.

        If all places are taken, a silent voter leaves first: it would only make majorities
        harder to reach. A released voter still answers, so it leaves afterwards, and before
        the next learner votes: there is never more than one voter beyond the places.
        """
        learner = self._caught_up_learner(view)
        if learner is None or len(_voters(view)) > self._places:
            return None
        silent = self._silent_voter(view)
        if len(_voters(view)) >= self._places and silent is not None:
            return _leave(view, silent, PlaceReason.SILENT)
        membership = with_voter(view.membership, learner.replica_id)
        return PlaceChange(membership, PlaceReason.CAUGHT_UP, learner.replica_id)

    def _without_surplus_voter(self, view: GroupView) -> PlaceChange | None:
        """Remove a voter beyond the places: a silent one, else a released one.

        A leader that was elected in the middle of a replacement has not heard which voter
        was released. It waits to be told, and then removes the youngest voter instead.
        """
        if len(_voters(view)) <= self._places:
            self._surplus_since = None
            return None
        surplus = self._silent_voter(view) or self._released_voter(view)
        if surplus is not None:
            return _leave(view, surplus, PlaceReason.SURPLUS)
        if self._surplus_since is None:
            self._surplus_since = view.now
        if view.now - self._surplus_since < self._silence_s:
            return None
        youngest = [voter for voter in _voters(view) if voter.replica_id != view.own_id][-1]
        return _leave(view, youngest, PlaceReason.SURPLUS)

    def _with_new_learner(self, view: GroupView) -> PlaceChange | None:
        """Take in the best offer if a place is free that no learner is to fill."""
        if len(self._staying_voters(view)) + len(_learners(view)) >= self._places:
            return None
        offer = self._best_offer(view)
        if offer is None:
            return None
        return _take_in(view, offer, PlaceReason.PLACE_FREE)

    def _best_offer(self, view: GroupView) -> ReplicaOffered | None:
        """Return an offer from the zone with the fewest members that stay."""
        self._forget_old_offers(view.now)
        free = [
            offer.replica
            for name, offer in self._offers.items()
            if name not in self._released and member_of(view.membership, name) is None
        ]
        in_zone = Counter(m.zone for m in (*self._staying_voters(view), *_learners(view)))
        return min(free, key=lambda r: (in_zone[r.zone], r.replica_id), default=None)

    def _forget_old_offers(self, now: float) -> None:
        self._offers = {
            name: offer
            for name, offer in self._offers.items()
            if now - offer.received_at <= OFFER_VALID_S
        }

    def _caught_up_learner(self, view: GroupView) -> GroupMember | None:
        for learner in _learners(view):
            if self.has_caught_up(view.followers.get(learner.replica_id), view.commit_index):
                return learner
        return None

    @staticmethod
    def has_caught_up(progress: FollowerProgress | None, commit_index: int) -> bool:
        """Return whether a learner durably holds all that is committed."""
        return progress is not None and progress.holds(commit_index)

    def _staying_voters(self, view: GroupView) -> list[GroupMember]:
        return [voter for voter in _voters(view) if not self._is_leaving(voter, view)]

    def _silent_voter(self, view: GroupView) -> GroupMember | None:
        silent = [voter for voter in _voters(view) if self._is_silent(voter, view)]
        return silent[0] if silent else None

    def _released_voter(self, view: GroupView) -> GroupMember | None:
        released = [voter for voter in _voters(view) if voter.replica_id in self._released]
        return released[0] if released else None

    def _is_leaving(self, member: GroupMember, view: GroupView) -> bool:
        return member.replica_id in self._released or self._is_silent(member, view)

    def _is_silent(self, member: GroupMember, view: GroupView) -> bool:
        progress = view.followers.get(member.replica_id)
        return progress is not None and view.now - progress.last_heard >= self._silence_s


def _voters(view: GroupView) -> list[GroupMember]:
    return [member for member in view.membership.members if member.is_voter]


def _learners(view: GroupView) -> list[GroupMember]:
    return [member for member in view.membership.members if not member.is_voter]


def _leave(view: GroupView, member: GroupMember, reason: PlaceReason) -> PlaceChange:
    membership = without(view.membership, member.replica_id)
    return PlaceChange(membership, reason, member.replica_id)


def _take_in(view: GroupView, replica: ReplicaOffered, reason: PlaceReason) -> PlaceChange:
    membership = with_learner(view.membership, replica.replica_id, replica.address, replica.zone)
    return PlaceChange(membership, reason, replica.replica_id)
