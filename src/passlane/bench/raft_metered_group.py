"""A Raft group over an ideal network and disk that counts what it sends and computes."""

import random
import time
from collections import deque

from passlane.identifiers import ReplicaId
from passlane.messages.base import encode_message, message_decoder
from passlane.messages.common import Address
from passlane.messages.raft import AnyRaftMessage, GroupMember
from passlane.raft.config import ReplicaConfig
from passlane.raft.events import (
    EntriesSynced,
    Event,
    HardStateSynced,
    MessageReceived,
    SnapshotTaken,
    TimeAdvanced,
)
from passlane.raft.instructions import AppendEntries, ApplyEntries, SaveHardState, SendMessage
from passlane.raft.replica import Replica

GROUP = "measured"
_decoder = message_decoder(AnyRaftMessage)


class MeteredReplica:
    """A replica with the processor time that it and its codec have used.

    Parameters
    ----------
    config, members
        Who it is, and who belongs to the group.
    """

    def __init__(self, config: ReplicaConfig, members: tuple[GroupMember, ...]) -> None:
        self.address = config.address
        self.replica_id = config.replica_id
        self.replica = Replica(
            config,
            random.Random(config.replica_id),
            hard_term=0,
            voted_for=None,
            snapshot_last_index=0,
            snapshot_last_term=0,
            snapshot_data=b"",
            entries=(),
            members=members,
        )
        self.nanoseconds = 0
        self.applied_index = 0

    def handle(self, event: Event | bytes, now: float) -> list[tuple[Address, bytes]]:
        """Take an event or an encoded message; return encoded messages to send."""
        began = time.thread_time_ns()
        sent: list[tuple[Address, bytes]] = []
        if isinstance(event, bytes):
            event = MessageReceived(_decoder.decode(event))
        pending = deque([event])
        while pending:
            for instruction in self.replica.handle(pending.popleft(), now):
                match instruction:
                    case SendMessage():
                        sent.append((instruction.address, encode_message(instruction.message)))
                    case AppendEntries():
                        last = instruction.entries[-1]
                        pending.append(EntriesSynced(last.index, last.term))
                    case SaveHardState():
                        pending.append(HardStateSynced(instruction.term))
                    case ApplyEntries():
                        self.applied_index = instruction.entries[-1].index
        self.nanoseconds += time.thread_time_ns() - began
        return sent

    def compact(self, now: float) -> None:
        """Drop the applied entries from memory, as after a snapshot."""
        term = self.replica.log.term_at(self.applied_index)
        if term is not None:
            self.replica.handle(SnapshotTaken(self.applied_index, term, b""), now)


class MeteredGroup:
    """A group whose messages arrive at once; counts them.

    Parameters
    ----------
    replicas
        How many there are.
    """

    def __init__(self, replicas: int) -> None:
        members = tuple(
            GroupMember(ReplicaId(f"r{n}"), Address(host=f"10.0.0.{n + 1}", port=1), is_voter=True)
            for n in range(replicas)
        )
        self.replicas = [
            MeteredReplica(
                ReplicaConfig(group=GROUP, replica_id=member.replica_id, address=member.address),
                members,
            )
            for member in members
        ]
        self.by_address = {replica.address: replica for replica in self.replicas}
        self.leader = self.replicas[0]
        self.now = 0.0
        self.messages = 0
        self.message_bytes = 0
        self._elect()

    @property
    def followers(self) -> list[MeteredReplica]:
        """All replicas but the leader."""
        return self.replicas[1:]

    def run(self, replica: MeteredReplica, event: Event) -> None:
        """Give a replica an event, and all replicas the messages that follow from it."""
        waiting = deque(replica.handle(event, self.now))
        while waiting:
            address, data = waiting.popleft()
            self.messages += 1
            self.message_bytes += len(data)
            waiting.extend(self.by_address[address].handle(data, self.now))

    def reset(self) -> None:
        """Begin to measure."""
        self.messages = 0
        self.message_bytes = 0
        for replica in self.replicas:
            replica.nanoseconds = 0

    def _elect(self) -> None:
        for replica in self.replicas:
            replica.handle(TimeAdvanced(), self.now)
        while not self.leader.replica.is_leader:
            self.now += 1.0
            self.run(self.leader, TimeAdvanced())
