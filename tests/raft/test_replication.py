"""How a leader finds where a follower's log agrees, and what it counts as committed."""

import unittest

from passlane.identifiers import ReplicaId
from passlane.messages.raft import AppendRequest, EntryKind, LogEntry
from passlane.raft.instructions import ApplyEntries, Instruction
from raft.replicas import B, C, TestedReplica, entries, of_kind, only, sent


def requests_to(receiver: ReplicaId, instructions: list[Instruction]) -> list[AppendRequest]:
    return [m for m in sent(AppendRequest, instructions) if m.receiver == receiver]


class ConflictTest(unittest.TestCase):
    def test_leader_goes_back_to_the_conflict_and_sends_what_follows(self) -> None:
        tested = TestedReplica(term=3, log=entries(1, 1, 1, 3, 3))
        tested.become_leader(B, C)

        probe = only(requests_to(B, tested.refuse(B, refused_index=4, conflict_index=3)))
        self.assertEqual((probe.previous_index, probe.previous_term, probe.entries), (2, 1, ()))

        batch = only(requests_to(B, tested.acknowledge(B, 2)))
        self.assertEqual([entry.index for entry in batch.entries], [3, 4, 5])

    def test_a_conflict_within_a_term_that_partly_agrees_is_overcome(self) -> None:
        """The hint names the start of the term, which lies before what is known to agree."""
        tested = TestedReplica(term=3, log=entries(1, 1, 1, 3, 3))
        tested.become_leader(B, C)
        tested.acknowledge(B, 2)

        probe = only(requests_to(B, tested.refuse(B, refused_index=4, conflict_index=1)))

        self.assertEqual(probe.previous_index, 2)


class CommitTest(unittest.TestCase):
    def test_entries_of_an_older_term_are_committed_only_along_with_an_own_one(self) -> None:
        tested = TestedReplica(term=1, log=entries(1, 1))
        tested.become_leader(B)
        tested.acknowledge(B, 1)
        self.assertEqual(tested.replica.commit_index, 0)

        tested.sync_log()
        applied = only(of_kind(ApplyEntries, tested.acknowledge(B, 2)))

        no_operation = LogEntry(2, 2, EntryKind.NO_OPERATION, b"")
        self.assertEqual(applied.entries, (*entries(1, 1), no_operation))


if __name__ == "__main__":
    unittest.main()
