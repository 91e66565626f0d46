"""A replica under test, and the messages that its peers send to it."""

import random
from collections.abc import Iterable, Sequence
from typing import TypeVar

from passlane.identifiers import ReplicaId
from passlane.messages.common import Address
from passlane.messages.raft import (
    AnyRaftMessage,
    AppendReply,
    AppendRequest,
    EntryKind,
    GroupMember,
    LogEntry,
    VoteReply,
    VoteRequest,
)
from passlane.raft.config import ReplicaConfig
from passlane.raft.events import (
    CommandsProposed,
    EntriesSynced,
    Event,
    HardStateSynced,
    MessageReceived,
    TimeAdvanced,
)
from passlane.raft.instructions import Instruction, SendMessage, SendSnapshotChunk
from passlane.raft.replica import Replica

GROUP = "tested"
ELECTION_TIMEOUT_S = 0.3
A, B, C, D = (ReplicaId(name) for name in "abcd")
ADDRESSES = {name: Address(host=f"10.0.0.{n}", port=1) for n, name in enumerate((A, B, C, D), 1)}

T = TypeVar("T")


def voters(*names: ReplicaId) -> tuple[GroupMember, ...]:
    return tuple(GroupMember(name, ADDRESSES[name], is_voter=True) for name in names)


def entries(first_index: int, *terms: int) -> tuple[LogEntry, ...]:
    """Return command entries of the given terms, with consecutive indexes."""
    return tuple(
        LogEntry(first_index + offset, term, EntryKind.COMMAND, b"x")
        for offset, term in enumerate(terms)
    )


class TestedReplica:
    """Replica ``a`` with a simulated clock."""

    def __init__(
        self,
        *,
        members: Sequence[GroupMember] = (),
        term: int = 0,
        voted_for: ReplicaId | None = None,
        log: Sequence[LogEntry] = (),
        replica_id: ReplicaId = A,
        max_batch_bytes: int = 1_000_000,
        max_in_flight_batches: int = 16,
        snapshot_chunk_bytes: int = 1_000,
        first_election_share: float = 1.0,
    ) -> None:
        config = ReplicaConfig(
            group=GROUP,
            replica_id=replica_id,
            address=ADDRESSES[replica_id],
            election_timeout_s=ELECTION_TIMEOUT_S,
            first_election_share=first_election_share,
            max_batch_bytes=max_batch_bytes,
            max_in_flight_batches=max_in_flight_batches,
            snapshot_chunk_bytes=snapshot_chunk_bytes,
            trailing_entries=0,
        )
        self.now = 0.0
        self.replica = Replica(
            config,
            random.Random(1),
            hard_term=term,
            voted_for=voted_for,
            snapshot_last_index=0,
            snapshot_last_term=0,
            snapshot_data=b"",
            entries=log,
            members=members or voters(A, B, C),
        )
        self.handle(TimeAdvanced())

    def handle(self, event: Event) -> list[Instruction]:
        return self.replica.handle(event, self.now)

    def receive(self, message: AnyRaftMessage) -> list[Instruction]:
        return self.handle(MessageReceived(message))

    def wait(self, seconds: float) -> list[Instruction]:
        self.now += seconds
        return self.handle(TimeAdvanced())

    def sync_vote(self) -> list[Instruction]:
        return self.handle(HardStateSynced(self.replica.term))

    def sync_log(self) -> list[Instruction]:
        log = self.replica.log
        return self.handle(EntriesSynced(log.last_index, log.last_term))

    def propose(self, token: int, command: bytes = b"x") -> list[Instruction]:
        return self.handle(CommandsProposed((token,), (command,)))

    def vote_request(
        self,
        sender: ReplicaId,
        term: int,
        *,
        last: tuple[int, int] = (0, 0),
        is_pre_vote: bool = False,
        is_transfer: bool = False,
    ) -> list[Instruction]:
        """Request a vote; ``last`` is the index and term of the sender's last entry."""
        return self.receive(
            VoteRequest(
                group=GROUP,
                sender=sender,
                receiver=A,
                term=term,
                sender_address=ADDRESSES[sender],
                last_index=last[0],
                last_term=last[1],
                is_pre_vote=is_pre_vote,
                is_transfer=is_transfer,
            )
        )

    def vote(
        self, sender: ReplicaId, *, term: int | None = None, is_pre_vote: bool = False
    ) -> list[Instruction]:
        """Grant the replica a vote in the term that it requests."""
        requested_term = self.replica.term + 1 if is_pre_vote else self.replica.term
        return self.receive(
            VoteReply(
                group=GROUP,
                sender=sender,
                receiver=A,
                term=requested_term if term is None else term,
                granted=True,
                is_pre_vote=is_pre_vote,
            )
        )

    def append(
        self,
        sender: ReplicaId,
        term: int,
        *,
        previous: tuple[int, int] = (0, 0),
        log: Sequence[LogEntry] = (),
        commit_index: int = 0,
    ) -> list[Instruction]:
        """Receive entries after ``previous``, an index and a term."""
        return self.receive(
            AppendRequest(
                group=GROUP,
                sender=sender,
                receiver=A,
                term=term,
                sender_address=ADDRESSES[sender],
                previous_index=previous[0],
                previous_term=previous[1],
                commit_index=commit_index,
                entries=tuple(log),
            )
        )

    def acknowledge(
        self,
        sender: ReplicaId,
        synced_index: int,
        *,
        read_round: int = 0,
    ) -> list[Instruction]:
        """Report a follower's matching and durable index to the leader."""
        return self._append_reply(sender, True, synced_index, read_round=read_round)

    def refuse(
        self, sender: ReplicaId, *, refused_index: int, conflict_index: int
    ) -> list[Instruction]:
        """Report to the leader that the entry at ``refused_index`` differs."""
        return self._append_reply(
            sender, False, 0, refused_index=refused_index, conflict_index=conflict_index
        )

    def _append_reply(
        self,
        sender: ReplicaId,
        success: bool,
        synced_index: int,
        *,
        refused_index: int = 0,
        conflict_index: int = 0,
        read_round: int = 0,
    ) -> list[Instruction]:
        return self.receive(
            AppendReply(
                group=GROUP,
                sender=sender,
                receiver=A,
                term=self.replica.term,
                success=success,
                synced_index=synced_index,
                refused_index=refused_index,
                conflict_index=conflict_index,
                read_round=read_round,
            )
        )

    def become_leader(self, *supporters: ReplicaId) -> list[Instruction]:
        """Win an election with the votes of the replica itself and of ``supporters``."""
        while not self.replica.is_leader:
            self.wait(2 * ELECTION_TIMEOUT_S)
            for supporter in supporters:
                self.vote(supporter, is_pre_vote=True)
            instructions = self.sync_vote()
            for supporter in supporters:
                instructions += self.vote(supporter)
        return instructions

    def commit_all(self, *followers: ReplicaId) -> list[Instruction]:
        """Make the leader's whole log durable on the leader and on ``followers``."""
        instructions = self.sync_log()
        for follower in followers:
            instructions += self.acknowledge(follower, self.replica.log.last_index)
        return instructions


def of_kind(kind: type[T], instructions: Iterable[Instruction]) -> list[T]:
    return [instruction for instruction in instructions if isinstance(instruction, kind)]


def with_chunk(instruction: Instruction) -> Instruction:
    """Return the instruction with the bytes of its snapshot chunk, as the shell does."""
    return instruction.read() if isinstance(instruction, SendSnapshotChunk) else instruction


def sent(kind: type[T], instructions: Iterable[Instruction]) -> list[T]:
    """Return the messages of one kind that the instructions send."""
    messages = [
        instruction.message
        for instruction in map(with_chunk, instructions)
        if isinstance(instruction, SendMessage)
    ]
    return [message for message in messages if isinstance(message, kind)]


def only(items: Sequence[T]) -> T:
    (item,) = items
    return item
