"""Linearizable reads: a read is allowed only after a majority has confirmed the leader."""

import unittest

from passlane.messages.raft import AppendRequest
from passlane.raft.events import ReadRequested
from passlane.raft.instructions import AllowRead, Instruction, RejectRead
from raft.replicas import ADDRESSES, A, B, C, TestedReplica, of_kind, only, sent, voters


def round_sent(instructions: list[Instruction]) -> int:
    """Return the read round of the heartbeats that were sent."""
    return max(message.read_round for message in sent(AppendRequest, instructions))


class ReadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tested = TestedReplica()
        self.tested.become_leader(B)
        self.tested.commit_all(B)

    def test_waits_for_a_majority_to_confirm_the_leader(self) -> None:
        requested = self.tested.handle(ReadRequested(1))
        self.assertEqual(of_kind(AllowRead, requested), [])

        allowed = self.tested.acknowledge(C, 0, read_round=round_sent(requested))

        self.assertEqual(only(of_kind(AllowRead, allowed)), AllowRead(1, index=1))

    def test_a_reply_to_an_earlier_heartbeat_does_not_confirm_a_read(self) -> None:
        requested = self.tested.handle(ReadRequested(1))
        stale = self.tested.acknowledge(B, 1, read_round=round_sent(requested) - 1)
        self.assertEqual(of_kind(AllowRead, stale), [])

    def test_a_read_requested_during_a_round_waits_for_the_next(self) -> None:
        first_round = round_sent(self.tested.handle(ReadRequested(1)))
        self.tested.handle(ReadRequested(2))

        confirmed = self.tested.acknowledge(B, 1, read_round=first_round)
        self.assertEqual([read.token for read in of_kind(AllowRead, confirmed)], [1])

        confirmed = self.tested.acknowledge(B, 1, read_round=round_sent(confirmed))
        self.assertEqual([read.token for read in of_kind(AllowRead, confirmed)], [2])

    def test_a_new_leader_allows_reads_only_after_its_first_commit(self) -> None:
        tested = TestedReplica()
        tested.become_leader(B)
        tested.handle(ReadRequested(1))
        self.assertEqual(of_kind(AllowRead, tested.acknowledge(B, 0, read_round=1)), [])

        requested = tested.commit_all(B)
        allowed = tested.acknowledge(B, 1, read_round=round_sent(requested))
        self.assertEqual(only(of_kind(AllowRead, allowed)), AllowRead(1, index=1))

    def test_a_deposed_leader_rejects_waiting_reads(self) -> None:
        self.tested.handle(ReadRequested(1))
        deposed = self.tested.append(B, self.tested.replica.term + 1)
        self.assertEqual(only(of_kind(RejectRead, deposed)).token, 1)

        rejected = only(of_kind(RejectRead, self.tested.handle(ReadRequested(2))))
        self.assertEqual(rejected.leader, ADDRESSES[B])

    def test_a_single_voter_needs_no_confirmation(self) -> None:
        tested = TestedReplica(members=voters(A))
        tested.become_leader()
        tested.commit_all()
        self.assertEqual(len(of_kind(AllowRead, tested.handle(ReadRequested(1)))), 1)


if __name__ == "__main__":
    unittest.main()
