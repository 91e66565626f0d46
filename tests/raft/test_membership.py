"""Membership changes: one at a time, learners first, replacement of lost voters."""

import unittest

from passlane.identifiers import ReplicaId
from passlane.messages.raft import EntryKind, GroupMember, GroupMembership, LogEntry, TimeoutNow
from passlane.raft.events import MemberAdded, MemberRemoved
from passlane.raft.instructions import AppendEntries, Instruction, MembershipChanged, SendMessage
from passlane.raft.membership import decode_membership, encode_membership
from raft.replicas import ADDRESSES, A, B, C, D, TestedReplica, of_kind, sent, voters

STEP_S = 0.1


def proposed_memberships(instructions: list[Instruction]) -> list[dict[ReplicaId, bool]]:
    """Return the members of each appended membership, and whether each is a voter."""
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

    def test_a_new_replica_is_a_learner_until_it_has_caught_up(self) -> None:
        self.assertEqual(proposed_memberships(self.add(D)), [{A: True, B: True, C: True, D: False}])
        self.assertEqual(proposed_memberships(self.tested.commit_all(B)), [])
        last_index = self.tested.replica.log.last_index

        self.assertEqual(proposed_memberships(self.tested.acknowledge(D, last_index - 1)), [])
        self.assertEqual(
            proposed_memberships(self.tested.acknowledge(D, last_index)),
            [{A: True, B: True, C: True, D: True}],
        )

    def test_a_learner_does_not_count_towards_a_commit(self) -> None:
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

    def test_a_new_leader_makes_no_change_before_an_entry_of_its_term_is_committed(self) -> None:
        tested = TestedReplica()
        tested.become_leader(B)
        change = MemberAdded(50, D, ADDRESSES[D])
        self.assertEqual(proposed_memberships(tested.handle(change)), [])
        self.assertEqual(len(proposed_memberships(tested.commit_all(B))), 1)

    def test_a_learner_replaces_a_lost_voter_at_the_same_address(self) -> None:
        replacement = ReplicaId("c-renewed")
        self.tested.handle(MemberAdded(50, replacement, ADDRESSES[C]))
        self.tested.commit_all(B)

        removal = self.tested.acknowledge(replacement, self.tested.replica.log.last_index)
        self.assertEqual(proposed_memberships(removal), [{A: True, B: True, replacement: False}])
        self.tested.commit_all(B)
        promotion = self.tested.acknowledge(replacement, self.tested.replica.log.last_index)
        self.assertEqual(proposed_memberships(promotion), [{A: True, B: True, replacement: True}])

    def promote_d_while_c_is_silent(self) -> None:
        self.tested.wait(STEP_S)
        self.add(D)
        self.tested.commit_all(B)
        self.tested.acknowledge(D, self.tested.replica.log.last_index)
        self.tested.commit_all(B, D)

    def advance_with_b_and_d_responding(self, seconds: float) -> list[Instruction]:
        """Advance the time while B and D respond to heartbeats and C does not."""
        instructions: list[Instruction] = []
        for _ in range(int(seconds / STEP_S)):
            instructions += self.tested.wait(STEP_S)
            instructions += self.tested.commit_all(B, D)
        return instructions

    def test_a_voter_silent_since_before_a_promotion_is_removed(self) -> None:
        self.promote_d_while_c_is_silent()
        self.assertEqual(proposed_memberships(self.advance_with_b_and_d_responding(1.5)), [])
        self.assertEqual(
            proposed_memberships(self.advance_with_b_and_d_responding(1.0)),
            [{A: True, B: True, D: True}],
        )

    def test_a_silent_voter_stays_without_a_promotion(self) -> None:
        for _ in range(50):
            self.assertEqual(proposed_memberships(self.tested.wait(STEP_S)), [])
            self.assertEqual(proposed_memberships(self.tested.commit_all(B)), [])

    def test_a_voter_that_responds_after_the_promotion_stays(self) -> None:
        self.promote_d_while_c_is_silent()
        self.tested.commit_all(C)
        self.assertEqual(proposed_memberships(self.advance_with_b_and_d_responding(5.0)), [])

    def test_a_removed_leader_transfers_leadership_once_its_removal_is_committed(self) -> None:
        self.tested.handle(MemberRemoved(50, A))
        self.assertTrue(self.tested.replica.is_leader)

        # A removed leader does not count itself, so both others must acknowledge the entry.
        self.tested.commit_all(B)
        self.assertTrue(self.tested.replica.is_leader)
        requested = sent(TimeoutNow, self.tested.acknowledge(C, self.tested.replica.log.last_index))

        self.assertFalse(self.tested.replica.is_leader)
        self.assertEqual(len(requested), 1)

    def test_the_last_voter_cannot_be_removed(self) -> None:
        tested = TestedReplica(members=voters(A))
        tested.become_leader()
        tested.commit_all()
        self.assertEqual(proposed_memberships(tested.handle(MemberRemoved(50, A))), [])


class FollowerMembershipTest(unittest.TestCase):
    def test_a_membership_truncated_from_the_log_is_no_longer_effective(self) -> None:
        larger = GroupMembership(members=voters(A, B, C, D))
        change = LogEntry(1, 1, EntryKind.MEMBERSHIP, encode_membership(larger))
        tested = TestedReplica()
        tested.append(B, 1, log=[change])
        self.assertEqual(tested.replica.membership, larger)

        instructions = tested.append(C, 2, log=[LogEntry(1, 2, EntryKind.NO_OPERATION, b"")])

        self.assertEqual(tested.replica.membership.members, voters(A, B, C))
        self.assertEqual(len(of_kind(MembershipChanged, instructions)), 1)

    def test_a_learner_never_starts_an_election(self) -> None:
        learner = GroupMember(D, ADDRESSES[D], is_voter=False)
        tested = TestedReplica(replica_id=D, members=(*voters(A, B, C), learner))
        for _ in range(5):
            self.assertEqual(of_kind(SendMessage, tested.wait(1.0)), [])


if __name__ == "__main__":
    unittest.main()
