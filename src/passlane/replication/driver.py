"""Carries out the instructions of a Raft replica: writes, messages, applies, snapshots.

``ReplicaDriver.step`` passes an event to the replica and carries out the instructions
without waiting. Operations that take time (syncs, snapshots, sending) run in background
tasks, which report their results as further events.
"""

from collections import deque

import anyio

from passlane.errors import PasslaneError
from passlane.messages.common import Address
from passlane.messages.raft import EntryKind
from passlane.observability.logging import get_logger
from passlane.raft.errors import RaftInvariantError
from passlane.raft.events import (
    Event,
    MessageReceived,
    SnapshotInstalled,
    SnapshotTaken,
    TimeAdvanced,
    TransferRequested,
)
from passlane.raft.instructions import (
    AllowRead,
    AppendEntries,
    ApplyEntries,
    InstallSnapshot,
    Instruction,
    LeadershipChanged,
    MembershipChanged,
    RejectProposals,
    RejectRead,
    SaveHardState,
    SendMessage,
    SendSnapshotChunk,
    VoterChangeDecided,
)
from passlane.raft.replica import Replica
from passlane.replication.durable_writes import DurableWrites
from passlane.replication.interfaces import StateMachine
from passlane.replication.peer_sender import PeerSender
from passlane.replication.pending import PendingRequests, rejection
from passlane.replication.snapshot_manager import SnapshotManager
from passlane.replication.snapshot_policy import SnapshotPolicy
from passlane.storage.formats import HardState, LogPosition, storage_corrupt
from passlane.storage.log import SegmentedLog

MAX_DEFERRED_MESSAGES = 256
MIN_TICK_S = 0.001

logger = get_logger(__name__)


class ReplicaDriver:
    """Connects one replica to its files, its peers and its state machine.

    Parameters
    ----------
    applied
        Position of the last entry that ``state_machine`` already includes, which is that of
        its snapshot.
    """

    def __init__(
        self,
        replica: Replica,
        log: SegmentedLog,
        snapshots: SnapshotManager,
        state_machine: StateMachine,
        sender: PeerSender,
        proposals: PendingRequests,
        reads: PendingRequests,
        snapshot_policy: SnapshotPolicy,
        applied: LogPosition,
    ) -> None:
        self.replica = replica
        self.log = log
        self.applied = applied
        self.leader_address: Address | None = None
        self.term = 0
        self._snapshots = snapshots
        self._state_machine = state_machine
        self._writes = DurableWrites(log, sender, self.step)
        self._proposals = proposals
        self._reads = reads
        self._snapshot_policy = snapshot_policy
        self._is_leading = False
        self._waiting_reads: list[AllowRead] = []
        self._installing: InstallSnapshot | None = None
        self._deferred_instructions: list[Instruction] = []
        self._deferred_events: deque[Event] = deque()
        self._wake_at = 0.0
        self._time_changed = anyio.Event()
        self._snapshot_requested = anyio.Event()
        self._failure: PasslaneError | RaftInvariantError | None = None
        self._failed = anyio.Event()

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads and has applied an entry of its own term."""
        return self._is_leading and self.applied.term == self.term

    async def run(self) -> None:
        """Run the background tasks until one fails or all are cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._advance_time)
            tasks.start_soon(self._writes.run_syncs)
            tasks.start_soon(self._run_snapshots)
            tasks.start_soon(self._handle_full_disk)
            tasks.start_soon(self._raise_failure)

    def step(self, event: Event) -> None:
        """Pass an event to the replica and carry out its instructions."""
        if self._failure is not None:
            return
        if self._installing is not None and not isinstance(event, SnapshotInstalled):
            self._defer(event)
            return
        try:
            self._carry_out(self.replica.handle(event, anyio.current_time()))
        except (PasslaneError, RaftInvariantError) as error:
            self._fail(error)
            return
        except OSError as error:
            self._fail(storage_corrupt(f"the disk failed: {error}"))
            return
        if self.replica.next_deadline() < self._wake_at:
            self._time_changed.set()

    def _fail(self, error: PasslaneError | RaftInvariantError) -> None:
        """Stop the replica without raising to the caller, which may be unrelated to the fault."""
        self._failure = error
        self._failed.set()

    async def _raise_failure(self) -> None:
        """Raise the failure that stopped the replica, once there is one."""
        await self._failed.wait()
        assert self._failure is not None
        raise self._failure

    def _defer(self, event: Event) -> None:
        """Defer an event until the snapshot is installed; excess messages are dropped."""
        if isinstance(event, TimeAdvanced):
            return
        if isinstance(event, MessageReceived) and (
            len(self._deferred_events) >= MAX_DEFERRED_MESSAGES
        ):
            return
        self._deferred_events.append(event)

    def _carry_out(self, instructions: list[Instruction]) -> None:
        """Carry out instructions in order; those after ``InstallSnapshot`` wait for it."""
        for position, instruction in enumerate(instructions):
            if isinstance(instruction, InstallSnapshot):
                self._installing = instruction
                self._deferred_instructions = instructions[position + 1 :]
                self._snapshot_requested.set()
                return
            self._carry_out_one(instruction)

    def _carry_out_one(self, instruction: Instruction) -> None:
        """Carry out one instruction."""
        match instruction:
            case SendMessage():
                self._writes.send(instruction)
            case SendSnapshotChunk():
                self._writes.send(instruction.read())
            case AppendEntries():
                self._writes.append(instruction.entries)
            case ApplyEntries():
                self._apply(instruction)
            case SaveHardState(term, voted_for):
                self._writes.save_hard_state(HardState(term=term, voted_for=voted_for))
            case AllowRead():
                self._waiting_reads.append(instruction)
                self._release_reads()
            case RejectProposals():
                for token in instruction.tokens:
                    error = rejection(
                        instruction.leader, may_be_committed=instruction.may_be_committed
                    )
                    self._proposals.fail(token, error)
            case RejectRead():
                error = rejection(instruction.leader, may_be_committed=False)
                self._reads.fail(instruction.token, error)
            case LeadershipChanged():
                self._change_leadership(instruction)
            case VoterChangeDecided():
                logger.info(
                    "voter_place_decided",
                    reason=instruction.reason,
                    replica=instruction.replica_id,
                    voters=instruction.voters,
                    learners=instruction.learners,
                    term=self.term,
                )
            case MembershipChanged():
                logger.info("membership", members=instruction.membership.members)

    async def _handle_full_disk(self) -> None:
        """When the disk is full, transfer leadership and wait until space is available."""
        while True:
            await self._writes.wait_until_full()
            logger.error("disk_full", term=self.term, is_leader=self._is_leading)
            if self._is_leading:
                self.step(TransferRequested())
            await self._writes.recover_space()
            logger.warning("disk_space_available", term=self.term)

    # Applying and reading.

    def _apply(self, instruction: ApplyEntries) -> None:
        """Apply committed entries and complete the proposals made on this replica."""
        for entry, token in zip(instruction.entries, instruction.tokens, strict=True):
            result = b""
            if entry.kind is EntryKind.COMMAND:
                result = self._state_machine.apply(entry.index, entry.data)
            self.applied = LogPosition(entry.index, entry.term)
            self._snapshot_policy.record_applied(len(entry.data))
            if token is not None:
                self._proposals.complete(token, result)
        self._release_reads()
        if self._snapshot_policy.is_due:
            self._snapshot_requested.set()

    def _release_reads(self) -> None:
        """Complete the reads whose index is applied."""
        waiting = self._waiting_reads
        self._waiting_reads = [read for read in waiting if read.index > self.applied.index]
        for read in waiting:
            if read.index <= self.applied.index:
                self._reads.complete(read.token, b"")

    def _change_leadership(self, change: LeadershipChanged) -> None:
        """Update the term and the known leader."""
        self.term = change.term
        self.leader_address = change.leader
        self._is_leading = change.is_leader
        logger.info("leadership", term=change.term, leader=change.leader, own=change.is_leader)

    # Snapshots.

    async def _run_snapshots(self) -> None:
        """Take and install snapshots, one at a time."""
        while True:
            await self._snapshot_requested.wait()
            self._snapshot_requested = anyio.Event()
            if self._installing is not None:
                await self._install(self._installing)
            elif self._snapshot_policy.is_due:
                await self._take_snapshot()

    async def _take_snapshot(self) -> None:
        """Save the state of the state machine, then remove the log before it."""
        last = self.applied
        snapshot = await self._snapshots.take(last, self.replica.membership_at(last.index))
        if snapshot is None:
            self._writes.mark_full()
            return
        if self._installing is not None:
            return
        taken = SnapshotTaken(last_index=last.index, last_term=last.term, data=snapshot.data)
        self.step(taken)
        await self.log.remove_before(last.index)

    async def _install(self, instruction: InstallSnapshot) -> None:
        """Replace the state and the log with a snapshot from the leader."""
        snapshot = await self._snapshots.install(instruction)
        last = snapshot.last
        self.applied = last
        self._writes.reset_log(last)
        self._installing = None
        self._carry_out(self._deferred_instructions)
        self.step(SnapshotInstalled(last_index=last.index, data=snapshot.data))
        await self.log.remove_before(last.index)
        deferred = list(self._deferred_events)
        self._deferred_events.clear()
        for event in deferred:
            self.step(event)

    # Time.

    async def _advance_time(self) -> None:
        """Pass ``TimeAdvanced`` to the replica at each of its deadlines."""
        while True:
            self.step(TimeAdvanced())
            self._time_changed = anyio.Event()
            min_wake_at = anyio.current_time() + MIN_TICK_S
            self._wake_at = max(self.replica.next_deadline(), min_wake_at)
            with anyio.CancelScope(deadline=self._wake_at):
                await self._time_changed.wait()
