"""Who votes where the number of voters is bounded."""

import unittest

from passlane.identifiers import ReplicaId
from passlane.messages.common import Address
from passlane.messages.raft import GroupMember, GroupMembership
from passlane.raft.events import ReplicaOffered
from passlane.raft.progress import FollowerProgress
from passlane.raft.voter_places import OFFER_VALID_S, GroupView, PlaceReason, VoterPlaces

PLACES = 3
SILENCE_S = 2.0
COMMITTED = 10


def address(name: str) -> Address:
    return Address(host=f"10.0.0.{ord(name[0])}", port=1)


class Group:
    """A leader ``a``, its view of the others, and changes that commit at once."""

    def __init__(self, voters: str, zones: str = "") -> None:
        zone_of = zones or "x" * len(voters)
        self.membership = GroupMembership(
            tuple(
                GroupMember(ReplicaId(name), address(name), is_voter=True, zone=zone)
                for name, zone in zip(voters, zone_of, strict=True)
            )
        )
        self.now = 100.0
        self.reasons: list[PlaceReason] = []
        self.places = VoterPlaces(PLACES, SILENCE_S)
        self.heard_at = {name: self.now for name in voters}
        self.synced = dict.fromkeys(voters, COMMITTED)

    def offer(self, name: str, *, zone: str = "x", replaces: str = "") -> None:
        replaced = tuple(ReplicaId(one) for one in replaces)
        offered = ReplicaOffered(ReplicaId(name), address(name), zone, replaced)
        self.places.note_offer(offered, self.now)

    def hear(self, names: str) -> None:
        for name in names:
            self.heard_at[name] = self.now

    def step(self) -> str | None:
        """Make the next change; return the members, learners in brackets."""
        followers = {
            member.replica_id: FollowerProgress(
                address=member.address,
                next_index=COMMITTED + 1,
                last_heard=self.heard_at.setdefault(member.replica_id, self.now),
                synced_index=self.synced.setdefault(member.replica_id, 0),
            )
            for member in self.membership.members
            if member.replica_id != "a"
        }
        view = GroupView(
            membership=self.membership,
            own_id=ReplicaId("a"),
            followers=followers,
            commit_index=COMMITTED,
            now=self.now,
        )
        changed = self.places.next_change(view)
        if changed is None:
            return None
        self.reasons.append(changed.reason)
        self.membership = changed.membership
        for member in self.membership.members:
            self.heard_at.setdefault(member.replica_id, self.now)
        return " ".join(
            member.replica_id if member.is_voter else f"({member.replica_id})"
            for member in self.membership.members
        )


class VoterPlacesTest(unittest.TestCase):
    def test_a_spare_is_not_taken_in_while_all_places_are_taken(self) -> None:
        group = Group("abc")
        group.offer("d")
        self.assertIsNone(group.step())

    def test_a_free_place_is_filled_by_a_learner_that_votes_once_it_has_caught_up(self) -> None:
        group = Group("ab")
        group.offer("c")
        group.offer("d")
        self.assertEqual(group.step(), "a b (c)")
        self.assertIsNone(group.step())
        group.synced["c"] = COMMITTED - 1
        self.assertIsNone(group.step())
        group.synced["c"] = COMMITTED
        self.assertEqual(group.step(), "a b c")
        self.assertIsNone(group.step())

    def test_a_silent_voter_leaves_only_when_its_successor_may_vote(self) -> None:
        group = Group("abc")
        group.now += SILENCE_S
        group.hear("b")
        group.offer("d")
        self.assertEqual(group.step(), "a b c (d)")
        self.assertIsNone(group.step())
        group.synced["d"] = COMMITTED
        self.assertEqual(group.step(), "a b (d)")
        self.assertEqual(group.step(), "a b d")
        reasons = [PlaceReason.PLACE_FREE, PlaceReason.SILENT, PlaceReason.CAUGHT_UP]
        self.assertEqual(group.reasons, reasons)

    def test_a_voter_that_is_heard_again_keeps_its_place(self) -> None:
        group = Group("abc")
        group.now += SILENCE_S
        group.hear("b")
        group.offer("d")
        self.assertEqual(group.step(), "a b c (d)")
        group.hear("c")
        group.synced["d"] = COMMITTED
        self.assertEqual(group.step(), "a b c")
        self.assertIsNone(group.step())

    def test_a_silent_voter_stays_where_there_is_no_spare(self) -> None:
        group = Group("abc")
        group.now += 10 * SILENCE_S
        group.hear("b")
        self.assertIsNone(group.step())

    def test_an_identity_whose_files_are_lost_leaves_at_once(self) -> None:
        group = Group("abc")
        group.offer("d", replaces="c")
        self.assertEqual(group.step(), "a b")
        self.assertEqual(group.step(), "a b (d)")
        group.synced["d"] = COMMITTED
        self.assertEqual(group.step(), "a b d")

    def test_a_released_voter_leaves_after_its_successor_votes(self) -> None:
        group = Group("abc")
        group.places.release(ReplicaId("b"))
        self.assertIsNone(group.step())
        group.offer("b")
        group.offer("d")
        self.assertEqual(group.step(), "a b c (d)")
        group.synced["d"] = COMMITTED
        self.assertEqual(group.step(), "a b c d")
        self.assertEqual(group.step(), "a c d")
        self.assertIsNone(group.step())

    def test_a_released_leader_leaves_too(self) -> None:
        group = Group("abc")
        group.places.release(ReplicaId("a"))
        group.offer("d")
        group.step()
        group.synced["d"] = COMMITTED
        self.assertEqual(group.step(), "a b c d")
        self.assertEqual(group.step(), "b c d")

    def test_a_leader_that_knows_of_no_release_removes_the_youngest_voter_after_a_while(
        self,
    ) -> None:
        group = Group("abcd")
        self.assertIsNone(group.step())
        group.now += SILENCE_S / 2
        group.hear("bcd")
        self.assertIsNone(group.step())
        group.now += SILENCE_S / 2
        group.hear("bcd")
        self.assertEqual(group.step(), "a b c")
        self.assertIsNone(group.step())

    def test_a_learner_that_falls_silent_makes_room_for_another(self) -> None:
        group = Group("ab")
        group.offer("c")
        self.assertEqual(group.step(), "a b (c)")
        group.now += SILENCE_S
        group.hear("b")
        group.offer("d")
        self.assertEqual(group.step(), "a b")
        self.assertEqual(group.step(), "a b (d)")

    def test_an_old_offer_counts_no_more(self) -> None:
        group = Group("ab")
        group.offer("c")
        group.now += OFFER_VALID_S + 0.1
        group.hear("b")
        self.assertIsNone(group.step())

    def test_the_zone_with_the_fewest_members_is_served_first(self) -> None:
        group = Group("ab", zones="xy")
        group.offer("c", zone="x")
        group.offer("d", zone="y")
        group.offer("e", zone="z")
        self.assertEqual(group.step(), "a b (e)")

    def test_a_member_that_moved_keeps_its_vote_at_its_new_address(self) -> None:
        group = Group("abc")
        moved = ReplicaOffered(ReplicaId("c"), Address("10.0.0.250", 1), "x")
        group.places.note_offer(moved, group.now)
        self.assertEqual(group.step(), "a b c")
        self.assertEqual(group.membership.members[-1].address, moved.address)


if __name__ == "__main__":
    unittest.main()
