"""The shell around a replica in the simulated cluster: disk, clock, state machine."""

import random as random_module
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec

from passlane.identifiers import ReplicaId
from passlane.messages.common import Address
from passlane.messages.raft import AnyRaftMessage, EntryKind, LogEntry
from passlane.raft.config import ReplicaConfig
from passlane.raft.events import (
    CommandsProposed,
    EntriesSynced,
    Event,
    HardStateSynced,
    MemberAdded,
    MemberRemoved,
    MessageReceived,
    ReadRequested,
    SnapshotInstalled,
    SnapshotTaken,
    TimeAdvanced,
)
from passlane.raft.instructions import (
    AllowRead,
    AppendEntries,
    ApplyEntries,
    InstallSnapshot,
    Instruction,
    LeadershipChanged,
    RejectProposals,
    RejectRead,
    SaveHardState,
    SendMessage,
    SendSnapshotChunk,
)
from passlane.raft.membership import decode_membership, voters_of
from passlane.raft.replica import Replica
from passlane.simulation.raft_command_log import CommandLog
from passlane.simulation.raft_disk import (
    DiskWrite,
    EntriesWrite,
    HardStateWrite,
    SimulatedRaftDisk,
    SnapshotWrite,
)
from passlane.simulation.raft_invariants import RaftInvariants

_TIMER_SLACK_S = 1e-6
_FASTEST_SYNC_S = 0.0002
_SLOWEST_SYNC_S = 0.002
_HANG_CHECK_S = 0.1
_LONGEST_BACKLOG_S = 0.005
_SNAPSHOT_EVERY_ENTRIES = 60


@dataclass(frozen=True, slots=True)
class ProposalOutcome:
    """What the host tells of a proposal."""

    committed: bool
    may_have_run: bool
    leader: Address | None = None


@dataclass(frozen=True, slots=True)
class ReadOutcome:
    """What the host tells of a read; ``applied_index`` is ``None`` when it was refused."""

    applied_index: int | None
    leader: Address | None = None


ReplicaFactory = Callable[..., Replica]


class ClusterServices(Protocol):
    """What a host needs of the cluster around it."""

    invariants: RaftInvariants
    random: random_module.Random

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        ...

    def schedule(self, time: float, action: Callable[[], None]) -> None:
        """Run an action at a virtual time."""
        ...

    def transmit(self, sender: Address, receiver: Address, message: AnyRaftMessage) -> None:
        """Send a message over the simulated network."""
        ...

    def durable_index_of(self, replica_id: ReplicaId) -> int:
        """Return the last index that is durable, or was when the disk was lost."""
        ...

    def note_trace(self, text: str) -> None:
        """Keep a line for the report of a failing run."""
        ...


class SimulatedReplicaHost:
    """One machine: a replica while it is up, its disk, its drifting clock.

    Parameters
    ----------
    cluster
        The cluster around it.
    config
        Configuration of the replica; the identity is that of the disk.
    disk
        Its disk.
    replica_factory
        Makes the replica; a seeded defect puts another class here.
    """

    def __init__(
        self,
        cluster: ClusterServices,
        config: ReplicaConfig,
        disk: SimulatedRaftDisk,
        replica_factory: ReplicaFactory,
    ) -> None:
        self.cluster = cluster
        self.config = config
        self.disk = disk
        self.replica: Replica | None = None
        self.replica_factory = replica_factory
        self.frozen_until = 0.0
        self.sync_slowdown = 1.0
        self.disk_hangs_until = 0.0
        self.machine = CommandLog()
        self.applied_index = 0
        self._clock_rate = 1.0 + cluster.random.uniform(-0.02, 0.02)
        self._clock_offset = cluster.random.uniform(0.0, 1_000.0)
        self._incarnation = 0
        self._wake_at: float | None = None
        self._is_syncing = False
        self._is_snapshot_pending = False
        self._held: deque[SendMessage] = deque()
        self._next_token = 0
        self._proposals: dict[int, Callable[[ProposalOutcome], None]] = {}
        self._reads: dict[int, Callable[[ReadOutcome], None]] = {}
        self._allowed_reads: list[tuple[int, int]] = []

    @property
    def address(self) -> Address:
        """Where the host is reached; survives restarts and wipes."""
        return self.config.address

    @property
    def is_leader(self) -> bool:
        """Whether the replica is up and believes to lead."""
        return self.replica is not None and self.replica.is_leader

    def start(self) -> None:
        """Start the replica from its disk."""
        disk = self.disk
        snapshot = disk.snapshot
        self.machine = CommandLog()
        self.applied_index = 0
        if snapshot is not None:
            self.machine = CommandLog.from_snapshot(snapshot.data)
            self.applied_index = snapshot.last_index
        self.replica = self.replica_factory(
            msgspec.structs.replace(self.config, replica_id=disk.replica_id),
            random_module.Random(self.cluster.random.random()),
            hard_term=disk.hard_state.term,
            voted_for=disk.hard_state.voted_for,
            snapshot_last_index=snapshot.last_index if snapshot else 0,
            snapshot_last_term=snapshot.last_term if snapshot else 0,
            snapshot_data=snapshot.data if snapshot else b"",
            entries=tuple(disk.entries),
            members=disk.members,
        )
        self.deliver(TimeAdvanced())

    def crash(self) -> None:
        """Stop at once; unsynced writes may be lost and callers get no answer."""
        self.replica = None
        self.disk.crash(self.cluster.random)
        self._incarnation += 1
        self._wake_at = None
        self._is_syncing = False
        self._is_snapshot_pending = False
        self._held.clear()
        self._proposals.clear()
        self._reads.clear()
        self._allowed_reads.clear()

    def receive(self, message: AnyRaftMessage) -> None:
        """Take a message from the network."""
        self.deliver(MessageReceived(message=message))

    def propose(self, command: bytes, reply: Callable[[ProposalOutcome], None]) -> None:
        """Take a client's command."""
        token = self._new_token()
        self._proposals[token] = reply
        self.deliver(CommandsProposed(tokens=(token,), commands=(command,)))

    def read(self, reply: Callable[[ReadOutcome], None]) -> None:
        """Take a client's read."""
        token = self._new_token()
        self._reads[token] = reply
        self.deliver(ReadRequested(token=token))

    def add_member(self, replica_id: ReplicaId, address: Address) -> None:
        """Take an operator's wish to add a replica."""
        self.deliver(MemberAdded(self._new_token(), replica_id, address))

    def remove_member(self, replica_id: ReplicaId) -> None:
        """Take an operator's wish to remove a replica."""
        self.deliver(MemberRemoved(self._new_token(), replica_id))

    def deliver(self, event: Event) -> None:
        """Hand an event to the replica, later if the process is frozen."""
        if self.replica is None:
            return
        if self.cluster.now < self.frozen_until:
            # What gathers up during a freeze is handled in any order: a timer that is
            # long overdue need not come before messages that have just arrived.
            backlog_s = self.cluster.random.uniform(0.0, _LONGEST_BACKLOG_S)
            self._schedule(self.frozen_until + backlog_s, lambda: self.deliver(event))
            return
        for instruction in self.replica.handle(event, self._local_time()):
            self._carry_out(instruction)
        self._serve_allowed_reads()
        self._take_snapshot_if_due()
        self._start_sync()
        self._schedule_wake()

    def _new_token(self) -> int:
        self._next_token += 1
        return self._next_token

    def _local_time(self) -> float:
        return self._clock_offset + self._clock_rate * self.cluster.now

    def _schedule(self, time: float, action: Callable[[], None]) -> None:
        """Run an action unless the process has crashed by then."""
        incarnation = self._incarnation

        def run() -> None:
            if self._incarnation == incarnation:
                action()

        self.cluster.schedule(time, run)

    def _schedule_wake(self) -> None:
        if self.replica is None:
            return
        local_deadline = self.replica.next_deadline()
        wake_at = (local_deadline - self._clock_offset) / self._clock_rate + _TIMER_SLACK_S
        wake_at = max(wake_at, self.cluster.now + _TIMER_SLACK_S)
        if self._wake_at is not None and self._wake_at <= wake_at:
            return
        self._wake_at = wake_at
        self._schedule(wake_at, lambda: self._wake(wake_at))

    def _wake(self, wake_at: float) -> None:
        if self._wake_at != wake_at:
            return
        self._wake_at = None
        self.deliver(TimeAdvanced())

    def _carry_out(self, instruction: Instruction) -> None:
        match instruction:
            case SaveHardState():
                self._write(HardStateWrite(instruction.term, instruction.voted_for))
            case AppendEntries():
                self._append(instruction)
            case SendMessage():
                self._held.append(instruction)
                self._release_messages()
            case SendSnapshotChunk():
                self._held.append(instruction.read())
                self._release_messages()
            case ApplyEntries():
                self._apply(instruction)
            case RejectProposals():
                self._reject(instruction)
            case AllowRead():
                self._allowed_reads.append((instruction.token, instruction.index))
            case RejectRead():
                self._reads.pop(instruction.token)(ReadOutcome(None, instruction.leader))
            case InstallSnapshot():
                self._install(instruction)
            case LeadershipChanged():
                self._note_leadership(instruction)

    def _write(self, write: DiskWrite) -> None:
        self.disk.unsynced.append(write)

    def _start_sync(self) -> None:
        if self._is_syncing or not self.disk.unsynced:
            return
        self._is_syncing = True
        count = len(self.disk.unsynced)
        duration = self.cluster.random.uniform(_FASTEST_SYNC_S, _SLOWEST_SYNC_S)
        finish_at = self.cluster.now + duration * self.sync_slowdown
        self._schedule(finish_at, lambda: self._finish_sync(count))

    def _finish_sync(self, count: int) -> None:
        if self.cluster.now < self.frozen_until:
            self._schedule(self.frozen_until, lambda: self._finish_sync(count))
            return
        if self.cluster.now < self.disk_hangs_until:
            self._schedule(self.cluster.now + _HANG_CHECK_S, lambda: self._finish_sync(count))
            return
        self._is_syncing = False
        writes = self.disk.sync(count)
        self._release_messages()
        events: dict[type, Event] = {}
        for write in writes:
            match write:
                case HardStateWrite():
                    events[HardStateWrite] = HardStateSynced(term=write.term)
                case EntriesWrite():
                    last = write.entries[-1]
                    events[EntriesWrite] = EntriesSynced(last.index, last.term)
                case SnapshotWrite() if write.replaces_log:
                    events.pop(EntriesWrite, None)
                    events[SnapshotWrite] = SnapshotInstalled(last_index=write.last_index)
                case SnapshotWrite():
                    self._is_snapshot_pending = False
                    self.deliver(SnapshotTaken(write.last_index, write.last_term, write.data))
        for event in events.values():
            self.deliver(event)
        self._start_sync()

    def _release_messages(self) -> None:
        if not self._may_send():
            return
        while self._held:
            instruction = self._held.popleft()
            self.cluster.transmit(self.address, instruction.address, instruction.message)

    def _may_send(self) -> bool:
        """Return whether the term and the vote that messages rest on are durable."""
        return not self.disk.has_unsynced_hard_state

    def _append(self, instruction: AppendEntries) -> None:
        assert self.replica is not None
        first = instruction.entries[0]
        log = self.replica.log
        self.cluster.invariants.note_appended(instruction.entries, log.term_at(first.index - 1))
        if self.replica.is_leader:
            for entry in instruction.entries:
                self._check_promotion(entry)
        self._write(EntriesWrite(instruction.entries))

    def _check_promotion(self, entry: LogEntry) -> None:
        assert self.replica is not None
        if entry.kind is not EntryKind.MEMBERSHIP:
            return
        former = set(voters_of(self.replica.membership_at(entry.index - 1)))
        voters = voters_of(decode_membership(entry.data))
        self.cluster.invariants.note_voters(len(voters), self.config.places)
        for voter in voters:
            if voter not in former:
                self.cluster.note_trace(f"{voter} becomes a voter by entry {entry.index}")
                durable_index = self.cluster.durable_index_of(voter)
                commit_index = self.replica.commit_index
                self.cluster.invariants.note_promotion(voter, durable_index, commit_index)

    def _apply(self, instruction: ApplyEntries) -> None:
        assert self.replica is not None
        invariants = self.cluster.invariants
        for entry, token in zip(instruction.entries, instruction.tokens, strict=True):
            if entry.kind is EntryKind.COMMAND:
                self.machine.apply(entry.data)
            self.applied_index = entry.index
            invariants.note_applied(
                self.disk.replica_id, self.replica.term, entry, self.machine.digest
            )
            if token is not None and token in self._proposals:
                invariants.note_acknowledged(entry.data, self.cluster.now)
                self._proposals.pop(token)(ProposalOutcome(committed=True, may_have_run=True))

    def _reject(self, instruction: RejectProposals) -> None:
        outcome = ProposalOutcome(False, instruction.may_be_committed, instruction.leader)
        for token in instruction.tokens:
            reply = self._proposals.pop(token, None)
            if reply is not None:
                reply(outcome)

    def _serve_allowed_reads(self) -> None:
        waiting = []
        for token, index in self._allowed_reads:
            if index <= self.applied_index:
                self._reads.pop(token)(ReadOutcome(self.applied_index))
            else:
                waiting.append((token, index))
        self._allowed_reads = waiting

    def _install(self, instruction: InstallSnapshot) -> None:
        self.machine = CommandLog.from_snapshot(instruction.data[:])
        self.applied_index = instruction.last_index
        self.cluster.invariants.note_restored(
            self.disk.replica_id, instruction.last_index, self.machine.digest
        )
        self.cluster.note_trace(
            f"{self.disk.replica_id} installs snapshot {instruction.last_index}"
        )
        self._write(
            SnapshotWrite(
                instruction.last_index,
                instruction.last_term,
                instruction.membership,
                instruction.data[:],
                replaces_log=True,
            )
        )

    def _take_snapshot_if_due(self) -> None:
        assert self.replica is not None
        log = self.replica.log
        if self._is_snapshot_pending or self.applied_index <= log.base_index:
            return
        last = self.disk.snapshot.last_index if self.disk.snapshot else 0
        if self.applied_index - last < _SNAPSHOT_EVERY_ENTRIES:
            return
        last_term = log.term_at(self.applied_index)
        assert last_term is not None
        self._is_snapshot_pending = True
        self._write(
            SnapshotWrite(
                self.applied_index,
                last_term,
                self.replica.membership_at(self.applied_index),
                self.machine.take_snapshot(),
                replaces_log=False,
            )
        )

    def _note_leadership(self, instruction: LeadershipChanged) -> None:
        assert self.replica is not None
        self.cluster.note_trace(
            f"{self.disk.replica_id} term {instruction.term} leader {instruction.leader}"
        )
        if instruction.is_leader:
            log = self.replica.log
            replica_id = self.disk.replica_id
            self.cluster.invariants.note_leader(instruction.term, replica_id, log)
