"""Selection of the voters of a group with a target number of voters."""

import unittest

from passlane.identifiers import ReplicaId
from passlane.messages.common import Address
from passlane.messages.raft import GroupMember, GroupMembership
from passlane.raft.events import ReplicaOffered
from passlane.raft.progress import FollowerProgress
from passlane.raft.voter_selection import OFFER_TTL_S, GroupView, VoterChangeReason, VoterSelection

TARGET_VOTERS = 3
SILENCE_S = 2.0
COMMIT_INDEX = 10


def address(name: str) -> Address:
    return Address(host=f"10.0.0.{ord(name[0])}", port=1)


class Group:
    """A group led by ``a`` in which changes commit immediately."""

    def __init__(self, voters: str, zones: str = "") -> None:
        zone_of = zones or "x" * len(voters)
        self.membership = GroupMembership(
            tuple(
                GroupMember(ReplicaId(name), address(name), is_voter=True, zone=zone)
                for name, zone in zip(voters, zone_of, strict=True)
            )
        )
        self.now = 100.0
        self.reasons: list[VoterChangeReason] = []
        self.selection = VoterSelection(TARGET_VOTERS, SILENCE_S)
        self.last_response_at = {name: self.now for name in voters}
        self.synced = dict.fromkeys(voters, COMMIT_INDEX)

    def offer(self, name: str, *, zone: str = "x", replaces: str = "") -> None:
        replaced = tuple(ReplicaId(one) for one in replaces)
        offered = ReplicaOffered(ReplicaId(name), address(name), zone, replaced)
        self.selection.record_offer(offered, self.now)

    def respond(self, names: str) -> None:
        for name in names:
            self.last_response_at[name] = self.now

    def step(self) -> str | None:
        """Make the next change; return the members, with learners in parentheses."""
        followers = {
            member.replica_id: FollowerProgress(
                address=member.address,
                next_index=COMMIT_INDEX + 1,
                last_heard=self.last_response_at.setdefault(member.replica_id, self.now),
                synced_index=self.synced.setdefault(member.replica_id, 0),
            )
            for member in self.membership.members
            if member.replica_id != "a"
        }
        view = GroupView(
            membership=self.membership,
            own_id=ReplicaId("a"),
            followers=followers,
            commit_index=COMMIT_INDEX,
            now=self.now,
        )
        changed = self.selection.next_change(view)
        if changed is None:
            return None
        self.reasons.append(changed.reason)
        self.membership = changed.membership
        for member in self.membership.members:
            self.last_response_at.setdefault(member.replica_id, self.now)
        return " ".join(
            member.replica_id if member.is_voter else f"({member.replica_id})"
            for member in self.membership.members
        )


class VoterSelectionTest(unittest.TestCase):
    def test_no_standby_is_added_while_the_target_is_reached(self) -> None:
        group = Group("abc")
        group.offer("d")
        self.assertIsNone(group.step())

    def test_a_missing_voter_is_replaced_by_a_learner_that_is_promoted_once_caught_up(self) -> None:
        group = Group("ab")
        group.offer("c")
        group.offer("d")
        self.assertEqual(group.step(), "a b (c)")
        self.assertIsNone(group.step())
        group.synced["c"] = COMMIT_INDEX - 1
        self.assertIsNone(group.step())
        group.synced["c"] = COMMIT_INDEX
        self.assertEqual(group.step(), "a b c")
        self.assertIsNone(group.step())

    def test_a_silent_voter_is_removed_only_when_its_replacement_has_caught_up(self) -> None:
        group = Group("abc")
        group.now += SILENCE_S
        group.respond("b")
        group.offer("d")
        self.assertEqual(group.step(), "a b c (d)")
        self.assertIsNone(group.step())
        group.synced["d"] = COMMIT_INDEX
        self.assertEqual(group.step(), "a b (d)")
        self.assertEqual(group.step(), "a b d")
        reasons = [
            VoterChangeReason.PLACE_FREE,
            VoterChangeReason.SILENT,
            VoterChangeReason.CAUGHT_UP,
        ]
        self.assertEqual(group.reasons, reasons)

    def test_a_voter_that_responds_again_stays(self) -> None:
        group = Group("abc")
        group.now += SILENCE_S
        group.respond("b")
        group.offer("d")
        self.assertEqual(group.step(), "a b c (d)")
        group.respond("c")
        group.synced["d"] = COMMIT_INDEX
        self.assertEqual(group.step(), "a b c")
        self.assertIsNone(group.step())

    def test_a_silent_voter_stays_if_there_is_no_standby(self) -> None:
        group = Group("abc")
        group.now += 10 * SILENCE_S
        group.respond("b")
        self.assertIsNone(group.step())

    def test_an_identity_whose_files_are_lost_is_removed_immediately(self) -> None:
        group = Group("abc")
        group.offer("d", replaces="c")
        self.assertEqual(group.step(), "a b")
        self.assertEqual(group.step(), "a b (d)")
        group.synced["d"] = COMMIT_INDEX
        self.assertEqual(group.step(), "a b d")

    def test_a_released_voter_is_removed_after_its_replacement_is_promoted(self) -> None:
        group = Group("abc")
        group.selection.release(ReplicaId("b"))
        self.assertIsNone(group.step())
        group.offer("b")
        group.offer("d")
        self.assertEqual(group.step(), "a b c (d)")
        group.synced["d"] = COMMIT_INDEX
        self.assertEqual(group.step(), "a b c d")
        self.assertEqual(group.step(), "a c d")
        self.assertIsNone(group.step())

    def test_a_released_leader_is_removed(self) -> None:
        group = Group("abc")
        group.selection.release(ReplicaId("a"))
        group.offer("d")
        group.step()
        group.synced["d"] = COMMIT_INDEX
        self.assertEqual(group.step(), "a b c d")
        self.assertEqual(group.step(), "b c d")

    def test_without_a_known_release_the_newest_surplus_voter_is_removed_after_a_delay(
        self,
    ) -> None:
        group = Group("abcd")
        self.assertIsNone(group.step())
        group.now += SILENCE_S / 2
        group.respond("bcd")
        self.assertIsNone(group.step())
        group.now += SILENCE_S / 2
        group.respond("bcd")
        self.assertEqual(group.step(), "a b c")
        self.assertIsNone(group.step())

    def test_a_silent_learner_is_replaced_by_another(self) -> None:
        group = Group("ab")
        group.offer("c")
        self.assertEqual(group.step(), "a b (c)")
        group.now += SILENCE_S
        group.respond("b")
        group.offer("d")
        self.assertEqual(group.step(), "a b")
        self.assertEqual(group.step(), "a b (d)")

    def test_an_expired_offer_is_ignored(self) -> None:
        group = Group("ab")
        group.offer("c")
        group.now += OFFER_TTL_S + 0.1
        group.respond("b")
        self.assertIsNone(group.step())

    def test_an_offer_from_the_zone_with_the_fewest_members_is_preferred(self) -> None:
        group = Group("ab", zones="xy")
        group.offer("c", zone="x")
        group.offer("d", zone="y")
        group.offer("e", zone="z")
        self.assertEqual(group.step(), "a b (e)")

    def test_a_member_that_moved_stays_a_voter_at_its_new_address(self) -> None:
        group = Group("abc")
        moved = ReplicaOffered(ReplicaId("c"), Address("10.0.0.250", 1), "x")
        group.selection.record_offer(moved, group.now)
        self.assertEqual(group.step(), "a b c")
        self.assertEqual(group.membership.members[-1].address, moved.address)


if __name__ == "__main__":
    unittest.main()
