"""Followers: log matching, snapshots and acknowledgements."""

import unittest

from passlane.messages.raft import AppendReply, GroupMembership, SnapshotReply, SnapshotRequest
from passlane.raft.errors import RaftInvariantError
from passlane.raft.events import SnapshotInstalled
from passlane.raft.instructions import AppendEntries, ApplyEntries, InstallSnapshot
from passlane.raft.snapshot_data import ReceivedSnapshotData
from raft.replicas import GROUP, A, B, C, TestedReplica, entries, of_kind, only, sent, voters


class LogTest(unittest.TestCase):
    def test_rejects_entries_if_the_previous_entry_differs_or_is_missing(self) -> None:
        tested = TestedReplica(term=3, log=entries(1, 1, 2, 2))
        for previous, conflict_index in (((3, 3), 2), ((5, 3), 4)):
            with self.subTest(previous=previous):
                instructions = tested.append(B, 3, previous=previous, log=entries(4, 3))
                reply = only(sent(AppendReply, instructions))
                self.assertFalse(reply.success)
                self.assertEqual(reply.refused_index, previous[0])
                self.assertEqual(reply.conflict_index, conflict_index)
                self.assertEqual(of_kind(AppendEntries, instructions), [])

    def test_replaces_conflicting_entries_and_keeps_matching_ones(self) -> None:
        tested = TestedReplica(term=3, log=entries(1, 1, 2, 2))
        instructions = tested.append(B, 3, previous=(1, 1), log=entries(2, 2, 3))
        self.assertEqual(only(of_kind(AppendEntries, instructions)).entries, entries(3, 3))

        again = tested.append(B, 3, previous=(1, 1), log=entries(2, 2))
        self.assertEqual(of_kind(AppendEntries, again), [])
        self.assertEqual(tested.replica.log.last_index, 3)

    def test_never_replaces_a_committed_entry(self) -> None:
        tested = TestedReplica(term=1, log=entries(1, 1))
        tested.append(B, 1, previous=(1, 1), commit_index=1)
        with self.assertRaises(RaftInvariantError):
            tested.append(C, 2, log=entries(1, 2))

    def test_acknowledges_and_applies_only_durable_entries(self) -> None:
        tested = TestedReplica(term=1)
        received = tested.append(B, 1, log=entries(1, 1, 1), commit_index=2)
        self.assertEqual(sent(AppendReply, received), [])
        self.assertEqual(of_kind(ApplyEntries, received), [])

        synced = tested.sync_log()

        self.assertEqual(only(sent(AppendReply, synced)).synced_index, 2)
        self.assertEqual(only(of_kind(ApplyEntries, synced)).entries, entries(1, 1, 1))

    def test_does_not_acknowledge_entries_of_a_previous_leader_to_a_new_one(self) -> None:
        tested = TestedReplica(term=1)
        tested.append(B, 1, log=entries(1, 1, 1))
        tested.append(C, 2)
        replies = sent(AppendReply, tested.sync_log())
        self.assertEqual([reply.synced_index for reply in replies], [])

    def test_rejects_a_leader_of_an_older_term_with_the_newer_term(self) -> None:
        reply = only(sent(AppendReply, TestedReplica(term=5).append(B, 4)))
        self.assertEqual((reply.success, reply.term), (False, 5))


class SnapshotTest(unittest.TestCase):
    def chunk(self, offset: int, data: bytes, *, is_last: bool) -> SnapshotRequest:
        return SnapshotRequest(
            group=GROUP,
            sender=B,
            receiver=A,
            term=2,
            sender_address=None,
            last_index=10,
            last_term=2,
            membership=GroupMembership(members=voters(A, B, C)),
            offset=offset,
            data=data,
            is_last=is_last,
        )

    def setUp(self) -> None:
        self.tested = TestedReplica(term=2, log=entries(1, 1))
        self.tested.append(B, 2)

    def test_is_assembled_from_chunks_and_ignores_one_out_of_order(self) -> None:
        early = only(sent(SnapshotReply, self.tested.receive(self.chunk(3, b"def", is_last=True))))
        self.assertEqual(early.next_offset, 0)
        self.tested.receive(self.chunk(0, b"abc", is_last=False))

        installed = self.tested.receive(self.chunk(3, b"def", is_last=True))

        self.assertEqual(only(of_kind(InstallSnapshot, installed)).data[:], b"abcdef")

    def test_is_acknowledged_only_once_it_is_durable(self) -> None:
        received = self.tested.receive(self.chunk(0, b"abc", is_last=True))
        self.assertEqual(sent(SnapshotReply, received), [])

        installed = self.tested.handle(SnapshotInstalled(10))

        self.assertTrue(only(sent(SnapshotReply, installed)).installed)
        self.assertEqual(self.tested.replica.log.synced_index, 10)

    def test_any_slice_of_received_chunks_can_be_read(self) -> None:
        data = ReceivedSnapshotData()
        for chunk in (b"abc", b"", b"d", b"efgh"):
            data.append(chunk)
        whole = b"abcdefgh"
        self.assertEqual(len(data), len(whole))
        for start in range(10):
            for stop in range(10):
                self.assertEqual(data[start:stop], whole[start:stop])
        self.assertEqual(data[:], whole)


if __name__ == "__main__":
    unittest.main()
