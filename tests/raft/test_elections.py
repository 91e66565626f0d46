"""Who gets a vote, when a replica stands for election, when a leader steps down."""

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
    def test_asks_whether_it_would_win_before_it_starts_a_term(self) -> None:
        tested = TestedReplica(term=3)

        asked = sent(VoteRequest, tested.wait(2 * ELECTION_TIMEOUT_S))
        self.assertEqual(
            [(r.receiver, r.term, r.is_pre_vote) for r in asked], [(B, 4, True), (C, 4, True)]
        )
        self.assertEqual(tested.replica.term, 3)

        instructions = tested.vote(B, is_pre_vote=True)
        self.assertEqual(of_kind(SaveHardState, instructions), [SaveHardState(4, A)])
        self.assertFalse(any(r.is_pre_vote for r in sent(VoteRequest, instructions)))

    def test_a_replica_that_has_just_started_may_wait_for_less_than_one_time_out(self) -> None:
        tested = TestedReplica(term=3, first_election_share=0.4)
        asked = sent(VoteRequest, tested.wait(ELECTION_TIMEOUT_S))
        self.assertEqual({request.receiver for request in asked}, {B, C})
        self.assertTrue(all(request.is_pre_vote for request in asked))

    def test_it_asks_again_as_soon_while_no_leader_was_heard(self) -> None:
        tested = TestedReplica(term=3, first_election_share=0.4)
        for _ in range(5):
            asked = sent(VoteRequest, tested.wait(0.8 * ELECTION_TIMEOUT_S))
            self.assertTrue(asked)
            self.assertTrue(all(request.is_pre_vote for request in asked))
            self.assertEqual(tested.replica.term, 3)
            self.assertEqual(sent(VoteRequest, tested.wait(0.0)), [])

    def test_once_a_leader_was_heard_it_waits_for_a_whole_time_out(self) -> None:
        tested = TestedReplica(term=3, first_election_share=0.4)
        tested.append(B, term=3)
        asked = sent(VoteRequest, tested.wait(2 * ELECTION_TIMEOUT_S))
        self.assertTrue(asked)
        self.assertEqual(sent(VoteRequest, tested.wait(0.99 * ELECTION_TIMEOUT_S)), [])

    def test_each_election_that_is_lost_doubles_the_wait_up_to_the_whole(self) -> None:
        tested = TestedReplica(term=3, first_election_share=0.2)
        for share in (0.4, 0.8, 1.0, 1.0):
            self.assertTrue(sent(VoteRequest, tested.wait(2 * ELECTION_TIMEOUT_S)))
            tested.vote(B, is_pre_vote=True)
            self.assertEqual(sent(VoteRequest, tested.wait(0.99 * share * ELECTION_TIMEOUT_S)), [])
            self.assertTrue(sent(VoteRequest, tested.wait(1.02 * share * ELECTION_TIMEOUT_S)))

    def test_a_replica_that_hears_a_leader_at_its_start_stands_for_nothing(self) -> None:
        tested = TestedReplica(term=3, first_election_share=0.4)
        tested.append(B, term=3)
        self.assertEqual(sent(VoteRequest, tested.wait(0.99 * ELECTION_TIMEOUT_S)), [])

    def test_counts_its_own_vote_only_once_that_is_durable(self) -> None:
        tested = TestedReplica()
        tested.wait(2 * ELECTION_TIMEOUT_S)
        tested.vote(B, is_pre_vote=True)
        tested.vote(B)
        self.assertFalse(tested.replica.is_leader)

        tested.sync_vote()

        self.assertTrue(tested.replica.is_leader)

    def test_a_vote_of_another_term_or_from_a_stranger_counts_for_nothing(self) -> None:
        tested = TestedReplica(term=5)
        tested.wait(2 * ELECTION_TIMEOUT_S)
        tested.vote(B, is_pre_vote=True)
        tested.sync_vote()

        tested.vote(B, term=5)
        tested.vote(D)

        self.assertFalse(tested.replica.is_leader)

    def test_two_leaders_of_one_term_stop_the_replica(self) -> None:
        tested = TestedReplica()
        tested.become_leader(B)

        with self.assertRaises(RaftInvariantError):
            tested.append(C, tested.replica.term)


class VoterTest(unittest.TestCase):
    def vote_of(self, tested: TestedReplica, *args: object, **options: object) -> VoteReply:
        return only(sent(VoteReply, tested.vote_request(*args, **options)))  # type: ignore[arg-type]

    def test_votes_once_in_a_term_also_after_a_restart(self) -> None:
        tested = TestedReplica()
        self.assertTrue(self.vote_of(tested, B, 1).granted)
        self.assertFalse(self.vote_of(tested, C, 1).granted)
        self.assertTrue(self.vote_of(tested, B, 1).granted)

        restarted = TestedReplica(term=1, voted_for=B)
        self.assertFalse(self.vote_of(restarted, C, 1).granted)
        self.assertTrue(self.vote_of(restarted, B, 1).granted)

    def test_saves_the_vote_before_it_answers(self) -> None:
        instructions = TestedReplica().vote_request(B, 1)
        kinds = [type(instruction) for instruction in instructions]
        last_save = max(n for n, kind in enumerate(kinds) if kind is SaveHardState)
        self.assertEqual(instructions[last_save], SaveHardState(1, B))
        self.assertEqual(len(sent(VoteReply, instructions[last_save:])), 1)

    def test_refuses_a_candidate_whose_log_is_behind(self) -> None:
        log = entries(1, 1, 2)
        for last, is_granted in (((2, 2), True), ((1, 3), True), ((9, 1), False), ((1, 2), False)):
            with self.subTest(last=last):
                tested = TestedReplica(term=3, log=log)
                self.assertEqual(self.vote_of(tested, B, 4, last=last).granted, is_granted)

    def test_a_pre_vote_changes_nothing(self) -> None:
        tested = TestedReplica(term=2)
        instructions = tested.vote_request(B, 3, is_pre_vote=True)
        self.assertTrue(only(sent(VoteReply, instructions)).granted)
        self.assertEqual(of_kind(SaveHardState, instructions), [])
        self.assertEqual(tested.replica.term, 2)

    def test_protects_a_leader_that_it_hears_unless_that_one_asked(self) -> None:
        tested = TestedReplica(term=2)
        tested.append(B, 2)

        self.assertFalse(self.vote_of(tested, C, 3, is_pre_vote=True).granted)
        self.assertEqual(tested.vote_request(C, 3), [])
        self.assertEqual(tested.replica.term, 2)
        self.assertTrue(self.vote_of(tested, C, 3, is_transfer=True).granted)

    def test_ignores_messages_for_the_former_identity_of_its_disk(self) -> None:
        tested = TestedReplica()
        request = VoteRequest(group=GROUP, sender=B, receiver=C, term=1, last_index=0, last_term=0)
        self.assertEqual(tested.receive(request), [])


class LeaderTest(unittest.TestCase):
    def test_steps_down_when_no_majority_was_heard_for_an_election_timeout(self) -> None:
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

    def test_goes_on_while_one_of_two_followers_answers(self) -> None:
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
    def test_asks_the_most_advanced_voter_once_it_has_everything(self) -> None:
        tested = TestedReplica()
        tested.become_leader(B, C)
        tested.commit_all(C)
        tested.propose(1)

        waiting = tested.handle(TransferRequested())
        self.assertEqual(sent(TimeoutNow, waiting), [])
        refused = only(of_kind(RejectProposals, tested.propose(2)))
        self.assertFalse(refused.may_be_committed)

        asked = sent(TimeoutNow, tested.acknowledge(C, tested.replica.log.last_index))
        self.assertEqual(only(asked).receiver, C)

    def test_takes_proposals_again_when_the_transfer_fails(self) -> None:
        tested = TestedReplica()
        tested.become_leader(B, C)
        tested.handle(TransferRequested())
        for _ in range(3):
            tested.acknowledge(B, 0)
            tested.wait(0.5 * ELECTION_TIMEOUT_S)
        self.assertEqual(of_kind(RejectProposals, tested.propose(2)), [])

    def test_the_one_asked_stands_for_election_at_once(self) -> None:
        tested = TestedReplica(term=2)
        tested.append(B, 2)
        asked = tested.receive(TimeoutNow(group=GROUP, sender=B, receiver=A, term=2))
        self.assertEqual(
            {(r.term, r.is_pre_vote, r.is_transfer) for r in sent(VoteRequest, asked)},
            {(3, False, True)},
        )


class HangingDiskTest(unittest.TestCase):
    """The leader's disk hangs: a follower holds everything, but nothing is answered."""

    def wait_for_transfer(self, tested: TestedReplica, *, follower_index: int) -> list[TimeoutNow]:
        asked: list[TimeoutNow] = []
        for _ in range(20):
            asked += sent(TimeoutNow, tested.wait(0.5 * ELECTION_TIMEOUT_S))
            asked += sent(TimeoutNow, tested.acknowledge(B, follower_index))
        return asked

    def test_hands_over_to_a_follower_that_holds_more(self) -> None:
        tested = TestedReplica()
        tested.become_leader(B)
        tested.commit_all(B)
        tested.propose(1)
        asked = self.wait_for_transfer(tested, follower_index=2)
        self.assertEqual(asked[0].receiver, B)

    def test_keeps_leading_when_no_follower_holds_more(self) -> None:
        tested = TestedReplica()
        tested.become_leader(B)
        tested.commit_all(B)
        tested.propose(1)
        self.assertEqual(self.wait_for_transfer(tested, follower_index=1), [])

    def test_keeps_leading_while_its_disk_goes_on(self) -> None:
        tested = TestedReplica()
        tested.become_leader(B)
        tested.commit_all(B)
        for token in range(20):
            tested.propose(token)
            self.assertEqual(sent(TimeoutNow, tested.wait(0.5 * ELECTION_TIMEOUT_S)), [])
            tested.commit_all(B)


if __name__ == "__main__":
    unittest.main()
