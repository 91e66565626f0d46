"""Changes of membership: one at a time, learners first, a lost voter replaced."""

import unittest

from passlane.identifiers import ReplicaId
from passlane.messages.raft import EntryKind, GroupMember, GroupMembership, LogEntry, TimeoutNow
from passlane.raft.events import MemberAdded, MemberRemoved
from passlane.raft.instructions import AppendEntries, Instruction, MembershipChanged, SendMessage
from passlane.raft.membership import decode_membership, encode_membership
from raft.replicas import ADDRESSES, A, B, C, D, TestedReplica, of_kind, sent, voters

STEP_S = 0.1


def proposed_memberships(instructions: list[Instruction]) -> list[dict[ReplicaId, bool]]:
    """Return who votes by each membership that was appended."""
    return [
        {member.replica_id: member.is_voter for member in decode_membership(entry.data).members}
        for appended in of_kind(AppendEntries, instructions)
        for entry in appended.entries
        if entry.kind is EntryKind.MEMBERSHIP
    ]


class MembershipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tested = TestedReplica()
        self.tested.become_leader(B)
        self.tested.commit_all(B)

    def add(self, replica_id: ReplicaId) -> list[Instruction]:
        return self.tested.handle(MemberAdded(50, replica_id, ADDRESSES[replica_id]))

    def test_a_new_replica_is_a_learner_until_it_has_synced_all_that_is_committed(self) -> None:
        self.assertEqual(proposed_memberships(self.add(D)), [{A: True, B: True, C: True, D: False}])
        self.assertEqual(proposed_memberships(self.tested.commit_all(B)), [])
        last_index = self.tested.replica.log.last_index

        self.assertEqual(proposed_memberships(self.tested.acknowledge(D, last_index - 1)), [])
        self.assertEqual(
            proposed_memberships(self.tested.acknowledge(D, last_index)),
            [{A: True, B: True, C: True, D: True}],
        )

    def test_a_learner_is_not_counted_for_a_commit(self) -> None:
        self.add(D)
        commit_index = self.tested.replica.commit_index
        self.tested.commit_all(D)
        self.assertEqual(self.tested.replica.commit_index, commit_index)

    def test_a_second_change_waits_until_the_first_is_committed(self) -> None:
        self.add(D)
        self.assertEqual(proposed_memberships(self.tested.handle(MemberRemoved(51, C))), [])

        self.assertEqual(
            proposed_memberships(self.tested.commit_all(B)), [{A: True, B: True, D: False}]
        )

    def test_a_new_leader_changes_nothing_before_an_entry_of_its_term_is_committed(self) -> None:
        tested = TestedReplica()
        tested.become_leader(B)
        change = MemberAdded(50, D, ADDRESSES[D])
        self.assertEqual(proposed_memberships(tested.handle(change)), [])
        self.assertEqual(len(proposed_memberships(tested.commit_all(B))), 1)

    def test_a_learner_with_a_lost_voters_address_takes_its_place(self) -> None:
        renewed = ReplicaId("c-renewed")
        self.tested.handle(MemberAdded(50, renewed, ADDRESSES[C]))
        self.tested.commit_all(B)

        removal = self.tested.acknowledge(renewed, self.tested.replica.log.last_index)
        self.assertEqual(proposed_memberships(removal), [{A: True, B: True, renewed: False}])
        self.tested.commit_all(B)
        promotion = self.tested.acknowledge(renewed, self.tested.replica.log.last_index)
        self.assertEqual(proposed_memberships(promotion), [{A: True, B: True, renewed: True}])

    def promote_d_while_c_is_silent(self) -> None:
        self.tested.wait(STEP_S)
        self.add(D)
        self.tested.commit_all(B)
        self.tested.acknowledge(D, self.tested.replica.log.last_index)
        self.tested.commit_all(B, D)

    def hear_b_and_d_for(self, seconds: float) -> list[Instruction]:
        """Let time pass in which B and D answer heartbeats and C says nothing."""
        instructions: list[Instruction] = []
        for _ in range(int(seconds / STEP_S)):
            instructions += self.tested.wait(STEP_S)
            instructions += self.tested.commit_all(B, D)
        return instructions

    def test_a_voter_that_was_silent_when_another_was_promoted_is_replaced_by_it(self) -> None:
        self.promote_d_while_c_is_silent()
        self.assertEqual(proposed_memberships(self.hear_b_and_d_for(1.5)), [])
        self.assertEqual(
            proposed_memberships(self.hear_b_and_d_for(1.0)), [{A: True, B: True, D: True}]
        )

    def test_a_silent_voter_stays_where_none_is_newer(self) -> None:
        for _ in range(50):
            self.assertEqual(proposed_memberships(self.tested.wait(STEP_S)), [])
            self.assertEqual(proposed_memberships(self.tested.commit_all(B)), [])

    def test_a_voter_heard_after_the_promotion_stays(self) -> None:
        self.promote_d_while_c_is_silent()
        self.tested.commit_all(C)
        self.assertEqual(proposed_memberships(self.hear_b_and_d_for(5.0)), [])

    def test_a_removed_leader_hands_over_once_its_removal_is_committed(self) -> None:
        self.tested.handle(MemberRemoved(50, A))
        self.assertTrue(self.tested.replica.is_leader)

        # Its own copy counts no more: both others have to hold the entry.
        self.tested.commit_all(B)
        self.assertTrue(self.tested.replica.is_leader)
        asked = sent(TimeoutNow, self.tested.acknowledge(C, self.tested.replica.log.last_index))

        self.assertFalse(self.tested.replica.is_leader)
        self.assertEqual(len(asked), 1)

    def test_the_last_voter_cannot_be_removed(self) -> None:
        tested = TestedReplica(members=voters(A))
        tested.become_leader()
        tested.commit_all()
        self.assertEqual(proposed_memberships(tested.handle(MemberRemoved(50, A))), [])


class FollowerMembershipTest(unittest.TestCase):
    def test_a_membership_that_is_cut_off_the_log_is_no_longer_in_force(self) -> None:
        larger = GroupMembership(members=voters(A, B, C, D))
        change = LogEntry(1, 1, EntryKind.MEMBERSHIP, encode_membership(larger))
        tested = TestedReplica()
        tested.append(B, 1, log=[change])
        self.assertEqual(tested.replica.membership, larger)

        instructions = tested.append(C, 2, log=[LogEntry(1, 2, EntryKind.NO_OPERATION, b"")])

        self.assertEqual(tested.replica.membership.members, voters(A, B, C))
        self.assertEqual(len(of_kind(MembershipChanged, instructions)), 1)

    def test_a_replica_outside_the_group_never_stands_for_election(self) -> None:
        learner = GroupMember(D, ADDRESSES[D], is_voter=False)
        tested = TestedReplica(replica_id=D, members=(*voters(A, B, C), learner))
        for _ in range(5):
            self.assertEqual(of_kind(SendMessage, tested.wait(1.0)), [])


if __name__ == "__main__":
    unittest.main()
