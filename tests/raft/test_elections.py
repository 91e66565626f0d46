"""Elections: candidates, votes, step-down of a leader and leadership transfer."""

import unittest

from passlane.messages.raft import AppendReply, TimeoutNow, VoteReply, VoteRequest
from passlane.raft.errors import RaftInvariantError
from passlane.raft.events import TransferRequested
from passlane.raft.instructions import RejectProposals, SaveHardState
from raft.replicas import (
    ELECTION_TIMEOUT_S,
    GROUP,
    A,
    B,
    C,
    D,
    TestedReplica,
    entries,
    of_kind,
    only,
    sent,
)


class CandidateTest(unittest.TestCase):
    def test_runs_a_pre_vote_before_it_starts_a_term(self) -> None:
        tested = TestedReplica(term=3)

        requested = sent(VoteRequest, tested.wait(2 * ELECTION_TIMEOUT_S))
        self.assertEqual(
            [(r.receiver, r.term, r.is_pre_vote) for r in requested], [(B, 4, True), (C, 4, True)]
        )
        self.assertEqual(tested.replica.term, 3)

        instructions = tested.vote(B, is_pre_vote=True)
        self.assertEqual(of_kind(SaveHardState, instructions), [SaveHardState(4, A)])
        self.assertFalse(any(r.is_pre_vote for r in sent(VoteRequest, instructions)))

    def test_first_election_timeout_is_a_share_of_the_election_timeout(self) -> None:
        tested = TestedReplica(term=3, first_election_share=0.4)
        requested = sent(VoteRequest, tested.wait(ELECTION_TIMEOUT_S))
        self.assertEqual({request.receiver for request in requested}, {B, C})
        self.assertTrue(all(request.is_pre_vote for request in requested))

    def test_repeats_the_pre_vote_after_the_short_timeout_without_a_leader(self) -> None:
        tested = TestedReplica(term=3, first_election_share=0.4)
        for _ in range(5):
            requested = sent(VoteRequest, tested.wait(0.8 * ELECTION_TIMEOUT_S))
            self.assertTrue(requested)
            self.assertTrue(all(request.is_pre_vote for request in requested))
            self.assertEqual(tested.replica.term, 3)
            self.assertEqual(sent(VoteRequest, tested.wait(0.0)), [])

    def test_full_election_timeout_applies_after_contact_with_a_leader(self) -> None:
        tested = TestedReplica(term=3, first_election_share=0.4)
        tested.append(B, term=3)
        requested = sent(VoteRequest, tested.wait(2 * ELECTION_TIMEOUT_S))
        self.assertTrue(requested)
        self.assertEqual(sent(VoteRequest, tested.wait(0.99 * ELECTION_TIMEOUT_S)), [])

    def test_each_lost_election_doubles_the_timeout_up_to_the_full_one(self) -> None:
        tested = TestedReplica(term=3, first_election_share=0.2)
        for share in (0.4, 0.8, 1.0, 1.0):
            self.assertTrue(sent(VoteRequest, tested.wait(2 * ELECTION_TIMEOUT_S)))
            tested.vote(B, is_pre_vote=True)
            self.assertEqual(sent(VoteRequest, tested.wait(0.99 * share * ELECTION_TIMEOUT_S)), [])
            self.assertTrue(sent(VoteRequest, tested.wait(1.02 * share * ELECTION_TIMEOUT_S)))

    def test_no_early_election_after_contact_with_a_leader_at_start(self) -> None:
        tested = TestedReplica(term=3, first_election_share=0.4)
        tested.append(B, term=3)
        self.assertEqual(sent(VoteRequest, tested.wait(0.99 * ELECTION_TIMEOUT_S)), [])

    def test_counts_its_own_vote_only_once_it_is_durable(self) -> None:
        tested = TestedReplica()
        tested.wait(2 * ELECTION_TIMEOUT_S)
        tested.vote(B, is_pre_vote=True)
        tested.vote(B)
        self.assertFalse(tested.replica.is_leader)

        tested.sync_vote()

        self.assertTrue(tested.replica.is_leader)

    def test_ignores_votes_of_another_term_or_from_a_non_member(self) -> None:
        tested = TestedReplica(term=5)
        tested.wait(2 * ELECTION_TIMEOUT_S)
        tested.vote(B, is_pre_vote=True)
        tested.sync_vote()

        tested.vote(B, term=5)
        tested.vote(D)

        self.assertFalse(tested.replica.is_leader)

    def test_two_leaders_in_one_term_violate_an_invariant(self) -> None:
        tested = TestedReplica()
        tested.become_leader(B)

        with self.assertRaises(RaftInvariantError):
            tested.append(C, tested.replica.term)


class VoterTest(unittest.TestCase):
    def vote_of(self, tested: TestedReplica, *args: object, **options: object) -> VoteReply:
        return only(sent(VoteReply, tested.vote_request(*args, **options)))  # type: ignore[arg-type]

    def test_votes_once_per_term_even_after_a_restart(self) -> None:
        tested = TestedReplica()
        self.assertTrue(self.vote_of(tested, B, 1).granted)
        self.assertFalse(self.vote_of(tested, C, 1).granted)
        self.assertTrue(self.vote_of(tested, B, 1).granted)

        restarted = TestedReplica(term=1, voted_for=B)
        self.assertFalse(self.vote_of(restarted, C, 1).granted)
        self.assertTrue(self.vote_of(restarted, B, 1).granted)

    def test_saves_the_vote_before_it_replies(self) -> None:
        instructions = TestedReplica().vote_request(B, 1)
        kinds = [type(instruction) for instruction in instructions]
        last_save = max(n for n, kind in enumerate(kinds) if kind is SaveHardState)
        self.assertEqual(instructions[last_save], SaveHardState(1, B))
        self.assertEqual(len(sent(VoteReply, instructions[last_save:])), 1)

    def test_rejects_a_candidate_whose_log_is_behind(self) -> None:
        log = entries(1, 1, 2)
        for last, is_granted in (((2, 2), True), ((1, 3), True), ((9, 1), False), ((1, 2), False)):
            with self.subTest(last=last):
                tested = TestedReplica(term=3, log=log)
                self.assertEqual(self.vote_of(tested, B, 4, last=last).granted, is_granted)

    def test_a_pre_vote_changes_no_state(self) -> None:
        tested = TestedReplica(term=2)
        instructions = tested.vote_request(B, 3, is_pre_vote=True)
        self.assertTrue(only(sent(VoteReply, instructions)).granted)
        self.assertEqual(of_kind(SaveHardState, instructions), [])
        self.assertEqual(tested.replica.term, 2)

    def test_leader_lease_rejects_votes_except_for_a_transfer(self) -> None:
        tested = TestedReplica(term=2)
        tested.append(B, 2)

        self.assertFalse(self.vote_of(tested, C, 3, is_pre_vote=True).granted)
        self.assertEqual(tested.vote_request(C, 3), [])
        self.assertEqual(tested.replica.term, 2)
        self.assertTrue(self.vote_of(tested, C, 3, is_transfer=True).granted)

    def test_ignores_messages_for_another_identity(self) -> None:
        tested = TestedReplica()
        request = VoteRequest(group=GROUP, sender=B, receiver=C, term=1, last_index=0, last_term=0)
        self.assertEqual(tested.receive(request), [])


class LeaderTest(unittest.TestCase):
    def test_steps_down_without_a_quorum_for_an_election_timeout(self) -> None:
        tested = TestedReplica()
        tested.become_leader(B)
        tested.propose(7)
        tested.wait(0.9 * ELECTION_TIMEOUT_S)
        self.assertTrue(tested.replica.is_leader)

        instructions = tested.wait(0.2 * ELECTION_TIMEOUT_S)

        self.assertFalse(tested.replica.is_leader)
        self.assertEqual(
            only(of_kind(RejectProposals, instructions)),
            RejectProposals((7,), leader=None, may_be_committed=True),
        )

    def test_keeps_leading_while_one_of_two_followers_responds(self) -> None:
        tested = TestedReplica()
        tested.become_leader(B)
        for _ in range(10):
            tested.wait(0.5 * ELECTION_TIMEOUT_S)
            tested.acknowledge(B, 0)
        self.assertTrue(tested.replica.is_leader)

    def test_steps_down_at_a_newer_term(self) -> None:
        tested = TestedReplica()
        tested.become_leader(B)
        tested.receive(
            AppendReply(group=GROUP, sender=C, receiver=A, term=9, success=False, synced_index=0)
        )
        self.assertFalse(tested.replica.is_leader)
        self.assertEqual(tested.replica.term, 9)


class TransferTest(unittest.TestCase):
    def test_target_gets_timeout_now_once_it_has_the_whole_log(self) -> None:
        tested = TestedReplica()
        tested.become_leader(B, C)
        tested.commit_all(C)
        tested.propose(1)

        waiting = tested.handle(TransferRequested())
        self.assertEqual(sent(TimeoutNow, waiting), [])
        refused = only(of_kind(RejectProposals, tested.propose(2)))
        self.assertFalse(refused.may_be_committed)

        requested = sent(TimeoutNow, tested.acknowledge(C, tested.replica.log.last_index))
        self.assertEqual(only(requested).receiver, C)

    def test_accepts_proposals_again_after_a_failed_transfer(self) -> None:
        tested = TestedReplica()
        tested.become_leader(B, C)
        tested.handle(TransferRequested())
        for _ in range(3):
            tested.acknowledge(B, 0)
            tested.wait(0.5 * ELECTION_TIMEOUT_S)
        self.assertEqual(of_kind(RejectProposals, tested.propose(2)), [])

    def test_timeout_now_starts_an_election_without_pre_vote(self) -> None:
        tested = TestedReplica(term=2)
        tested.append(B, 2)
        requested = tested.receive(TimeoutNow(group=GROUP, sender=B, receiver=A, term=2))
        self.assertEqual(
            {(r.term, r.is_pre_vote, r.is_transfer) for r in sent(VoteRequest, requested)},
            {(3, False, True)},
        )


class DiskStallTest(unittest.TestCase):
    """The leader's disk has stalled while the disks of its followers work."""

    def wait_for_transfer(self, tested: TestedReplica, *, follower_index: int) -> list[TimeoutNow]:
        requested: list[TimeoutNow] = []
        for _ in range(20):
            requested += sent(TimeoutNow, tested.wait(0.5 * ELECTION_TIMEOUT_S))
            requested += sent(TimeoutNow, tested.acknowledge(B, follower_index))
        return requested

    def test_transfers_leadership_to_a_follower_with_more_durable_entries(self) -> None:
        tested = TestedReplica()
        tested.become_leader(B)
        tested.commit_all(B)
        tested.propose(1)
        requested = self.wait_for_transfer(tested, follower_index=2)
        self.assertEqual(requested[0].receiver, B)

    def test_keeps_leading_when_no_follower_has_more_durable_entries(self) -> None:
        tested = TestedReplica()
        tested.become_leader(B)
        tested.commit_all(B)
        tested.propose(1)
        self.assertEqual(self.wait_for_transfer(tested, follower_index=1), [])

    def test_keeps_leading_while_its_disk_makes_progress(self) -> None:
        tested = TestedReplica()
        tested.become_leader(B)
        tested.commit_all(B)
        for token in range(20):
            tested.propose(token)
            self.assertEqual(sent(TimeoutNow, tested.wait(0.5 * ELECTION_TIMEOUT_S)), [])
            tested.commit_all(B)


if __name__ == "__main__":
    unittest.main()
