"""Leaders: conflict resolution, commit, pipelining and snapshot transfer."""

import unittest

from passlane.identifiers import ReplicaId
from passlane.messages.raft import (
    AppendRequest,
    EntryKind,
    LogEntry,
    SnapshotReply,
    SnapshotRequest,
)
from passlane.raft.events import SnapshotTaken
from passlane.raft.instructions import ApplyEntries, Instruction
from raft.replicas import GROUP, A, B, C, TestedReplica, entries, of_kind, only, sent


def requests_to(receiver: ReplicaId, instructions: list[Instruction]) -> list[AppendRequest]:
    return [m for m in sent(AppendRequest, instructions) if m.receiver == receiver]


class ConflictTest(unittest.TestCase):
    def test_leader_probes_before_the_conflict_and_sends_the_entries_after_it(self) -> None:
        tested = TestedReplica(term=3, log=entries(1, 1, 1, 3, 3))
        tested.become_leader(B, C)

        probe = only(requests_to(B, tested.refuse(B, refused_index=4, conflict_index=3)))
        self.assertEqual((probe.previous_index, probe.previous_term, probe.entries), (2, 1, ()))

        batch = only(requests_to(B, tested.acknowledge(B, 2)))
        self.assertEqual([entry.index for entry in batch.entries], [3, 4, 5])

    def test_a_conflict_index_before_the_matching_index_is_limited_to_it(self) -> None:
        """The conflict index is the start of the term, before the known matching index."""
        tested = TestedReplica(term=3, log=entries(1, 1, 1, 3, 3))
        tested.become_leader(B, C)
        tested.acknowledge(B, 2)

        probe = only(requests_to(B, tested.refuse(B, refused_index=4, conflict_index=1)))

        self.assertEqual(probe.previous_index, 2)


class CommitTest(unittest.TestCase):
    def test_entries_of_an_older_term_are_committed_only_with_one_of_the_own_term(self) -> None:
        tested = TestedReplica(term=1, log=entries(1, 1))
        tested.become_leader(B)
        tested.acknowledge(B, 1)
        self.assertEqual(tested.replica.commit_index, 0)

        tested.sync_log()
        applied = only(of_kind(ApplyEntries, tested.acknowledge(B, 2)))

        no_operation = LogEntry(2, 2, EntryKind.NO_OPERATION, b"")
        self.assertEqual(applied.entries, (*entries(1, 1), no_operation))

    def test_the_leaders_own_entries_count_only_once_they_are_durable(self) -> None:
        tested = TestedReplica()
        tested.become_leader(B)
        tested.acknowledge(B, 1)
        self.assertEqual(tested.replica.commit_index, 0)

        tested.sync_log()

        self.assertEqual(tested.replica.commit_index, 1)


class PipelineTest(unittest.TestCase):
    def test_batches_are_pipelined_up_to_a_window(self) -> None:
        tested = TestedReplica(max_batch_bytes=1, max_in_flight_batches=3)
        tested.become_leader(B)
        self.assertEqual(
            [len(requests_to(B, tested.propose(token))) for token in range(4)], [1, 1, 0, 0]
        )

        freed = requests_to(B, tested.acknowledge(B, 2))

        self.assertEqual([entry.index for m in freed for entry in m.entries], [4, 5])

    def test_a_lost_batch_is_sent_again_after_a_rejected_heartbeat(self) -> None:
        tested = TestedReplica()
        tested.become_leader(B)
        tested.propose(1)
        tested.refuse(B, refused_index=2, conflict_index=1)
        again = requests_to(B, tested.acknowledge(B, 0))
        self.assertEqual([entry.index for m in again for entry in m.entries], [1, 2])


class SnapshotTest(unittest.TestCase):
    def test_a_follower_behind_the_log_gets_a_snapshot_in_chunks(self) -> None:
        tested = TestedReplica(snapshot_chunk_bytes=4)
        tested.become_leader(B)
        tested.propose(1)
        tested.commit_all(B)
        tested.handle(SnapshotTaken(2, tested.replica.term, b"abcdef"))

        first = only(sent(SnapshotRequest, tested.refuse(C, refused_index=2, conflict_index=1)))
        self.assertEqual((first.receiver, first.data, first.is_last), (C, b"abcd", False))
        second = only(sent(SnapshotRequest, self.reply(tested, next_offset=4)))
        self.assertEqual((second.offset, second.data, second.is_last), (4, b"ef", True))

        self.reply(tested, next_offset=0, installed=True)
        self.assertEqual(requests_to(C, tested.propose(2))[0].previous_index, 2)

    def reply(
        self, tested: TestedReplica, *, next_offset: int, installed: bool = False
    ) -> list[Instruction]:
        return tested.receive(
            SnapshotReply(
                group=GROUP,
                sender=C,
                receiver=A,
                term=tested.replica.term,
                last_index=2,
                next_offset=next_offset,
                installed=installed,
            )
        )


if __name__ == "__main__":
    unittest.main()
