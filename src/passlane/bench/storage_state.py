"""What a snapshot costs by the size of the store's state: time, stalls and memory.

Two ways are compared: the state encoded in one go, as was done at first, and in parts
with the loop going on in between.
"""

import gc
import resource
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import anyio

from passlane.bench.storage_disk import CountingDisk
from passlane.bench.storage_results import StateResult, Stopwatch
from passlane.errors import Verdict
from passlane.identifiers import CallId, Epoch, NodeId, Partition, ProgramId, TenantId
from passlane.messages.common import Address, Amounts
from passlane.messages.raft import EntryKind, GroupMembership, LogEntry
from passlane.messages.store import (
    AssignPartitions,
    BeginCall,
    CallKind,
    CallOutcome,
    CreateProgram,
    FinishCall,
    PartitionAssignment,
    Turn,
)
from passlane.replication.snapshot_keeper import restore_state
from passlane.storage.formats import LogPosition
from passlane.storage.log import SegmentedLog
from passlane.storage.snapshots import SnapshotStore
from passlane.store.machine import StoreStateMachine

FOLDER = "bench/0001"
GROUP = "bench"
TURNS_PER_PROGRAM = 470
BYTES_PER_TOKEN = 4
TICK_S = 0.001
APPEND_EVERY_S = 0.005
APPEND_BYTES = 2_000
SEGMENT_BYTES = 8_000_000
QUIET_S = 1.0
PARTITION = Partition(0)
EPOCH = Epoch(1)
NOTHING = Amounts()
_PAGE_BYTES = resource.getpagesize()


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * _PAGE_BYTES


def fill_state(programs: int, tokens_per_program: int) -> StoreStateMachine:
    """Return a store with programs whose histories hold so many tokens.

    Each call brings two turns, a question and the answer, as calls to a model do.
    """
    machine = StoreStateMachine()
    assignment = PartitionAssignment(
        partition=PARTITION, node_id=NodeId("node"), address=Address("127.0.0.1", 1), epoch=EPOCH
    )
    machine.execute(AssignPartitions(assignments=(assignment,)))
    turn_characters = tokens_per_program * BYTES_PER_TOKEN // TURNS_PER_PROGRAM
    for number in range(programs):
        program_id = ProgramId(f"program-{number}")
        create = CreateProgram(program_id, TenantId("tenant"), PARTITION, EPOCH, NOTHING)
        machine.execute(create)
        for sequence in range(TURNS_PER_PROGRAM // 2):
            _add_call(machine, program_id, sequence, turn_characters)
    return machine


def _add_call(
    machine: StoreStateMachine, program_id: ProgramId, sequence: int, turn_characters: int
) -> None:
    """Begin and finish one call, with one new turn each."""
    call_id = CallId(f"{program_id}/{sequence}")
    question = f"{call_id} ".ljust(turn_characters, "q")
    answer = f"{call_id} ".ljust(turn_characters, "a")
    begin = BeginCall(
        program_id=program_id,
        partition=PARTITION,
        epoch=EPOCH,
        call_id=call_id,
        sequence=sequence,
        kind=CallKind.MODEL,
        target="model",
        repeatable=True,
        request_digest="0123456789abcdef",
        reserve=NOTHING,
        turns=(Turn(role="user", content=question),),
    )
    finish = FinishCall(
        program_id=program_id,
        partition=PARTITION,
        epoch=EPOCH,
        call_id=call_id,
        outcome=CallOutcome(verdict=Verdict.RAN, body=answer),
        turns=(Turn(role="assistant", content=answer),),
    )
    machine.execute(begin)
    machine.execute(finish)


@dataclass(slots=True)
class _LoopWatch:
    """Notes how late a timer fires, and the most memory seen while it runs."""

    lateness: Stopwatch = field(default_factory=Stopwatch)
    longest_s: float = 0.0
    most_resident_bytes: int = 0

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            started = time.perf_counter()
            await anyio.sleep(TICK_S)
            late_s = max(0.0, time.perf_counter() - started - TICK_S)
            self.lateness.note(late_s)
            self.longest_s = max(self.longest_s, late_s)
            self.most_resident_bytes = max(self.most_resident_bytes, resident_bytes())


class _LogUnderLoad:
    """A log on the same disk that is appended to at a steady rate, each append synced."""

    def __init__(self, disk: CountingDisk) -> None:
        self._disk = disk
        self.latencies = Stopwatch()

    async def run(self) -> None:
        """Append until cancelled."""
        log, _ = await SegmentedLog.open(self._disk, f"{FOLDER}/log", GROUP, SEGMENT_BYTES)
        index = 0
        while True:
            index += 1
            started = time.perf_counter()
            log.append((LogEntry(index, 1, EntryKind.COMMAND, bytes(APPEND_BYTES)),))
            await log.sync()
            self.latencies.note(time.perf_counter() - started)
            await anyio.sleep(APPEND_EVERY_S)


@dataclass(frozen=True, slots=True)
class _Observed:
    """What was seen while an operation ran."""

    took_s: float
    longest_stall_s: float
    p99_stall_ms: float
    append_p99_ms: float
    extra_bytes: int


async def _observe(disk: CountingDisk, operation: "_Operation") -> _Observed:
    """Run an operation beside a log under load, and return what it does to the loop."""
    gc.collect()
    resident = resident_bytes()
    watch, log = _LoopWatch(), _LogUnderLoad(disk)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch.run)
        tasks.start_soon(log.run)
        await anyio.sleep(10 * TICK_S)
        started = time.perf_counter()
        await operation.run()
        took_s = time.perf_counter() - started
        extra = max(watch.most_resident_bytes, resident_bytes()) - resident
        await anyio.sleep(10 * TICK_S)
        tasks.cancel_scope.cancel()
    return _Observed(
        took_s=took_s,
        longest_stall_s=watch.longest_s,
        p99_stall_ms=watch.lateness.percentile_ms(99),
        append_p99_ms=log.latencies.percentile_ms(99),
        extra_bytes=max(0, extra),
    )


class _Operation:
    """Something that takes long."""

    async def run(self) -> None:
        """Do nothing for a while, to see the loop and the log undisturbed."""
        await anyio.sleep(QUIET_S)


class _TakeSnapshot(_Operation):
    """Saves a snapshot."""

    def __init__(self, machine: StoreStateMachine, store: SnapshotStore, *, in_parts: bool) -> None:
        self._machine = machine
        self._store = store
        self._in_parts = in_parts
        self.bytes = 0

    async def run(self) -> None:
        """Encode and save the state."""
        parts = self._machine.snapshot_parts()
        if not self._in_parts:
            parts = _joined(parts)
        snapshot = await self._store.save(LogPosition(1, 1), GroupMembership(()), parts)
        self.bytes = len(snapshot.data)


def _joined(parts: Iterator[bytes]) -> Iterator[bytes]:
    """Encode all parts before the first is written."""
    return iter(list(parts))


class _RestoreSnapshot(_Operation):
    """Reads the snapshot back into an empty store."""

    def __init__(self, store: SnapshotStore) -> None:
        self._store = store
        self.machine = StoreStateMachine()

    async def run(self) -> None:
        """Load and restore."""
        loaded = await self._store.load()
        assert loaded is not None
        await restore_state(self.machine, loaded.parts())


async def measure_state(
    root: Path, *, programs: int, tokens_per_program: int, in_parts: bool
) -> StateResult:
    """Measure one snapshot of a store, and its restoration."""
    machine = fill_state(programs, tokens_per_program)
    with tempfile.TemporaryDirectory(dir=root) as folder:
        disk = CountingDisk(folder)
        store = SnapshotStore(disk, FOLDER, GROUP)
        quiet = await _observe(disk, _Operation())
        take = _TakeSnapshot(machine, store, in_parts=in_parts)
        taking = await _observe(disk, take)
        del machine, take._machine
        restore = _RestoreSnapshot(store)
        restoring = await _observe(disk, restore)
        assert len(restore.machine.programs) == programs
    return StateResult(
        name="in parts" if in_parts else "in one go",
        programs=programs,
        tokens_per_program=tokens_per_program,
        snapshot_bytes=take.bytes,
        snapshot_s=round(taking.took_s, 4),
        quiet_longest_stall_ms=round(quiet.longest_stall_s * 1_000, 2),
        longest_stall_ms=round(taking.longest_stall_s * 1_000, 2),
        p99_stall_ms=taking.p99_stall_ms,
        quiet_append_p99_ms=quiet.append_p99_ms,
        append_p99_ms=taking.append_p99_ms,
        extra_bytes=taking.extra_bytes,
        restore_s=round(restoring.took_s, 4),
        restore_longest_stall_ms=round(restoring.longest_stall_s * 1_000, 2),
    )
