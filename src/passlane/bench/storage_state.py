"""What a snapshot costs by the size of the store's state: time, stalls and memory."""

import gc
import resource
import tempfile
import time
from pathlib import Path

import anyio

from passlane.bench.storage_disk import CountingDisk
from passlane.bench.storage_results import StateResult
from passlane.identifiers import Epoch, NodeId, Partition, ProgramId, TenantId
from passlane.messages.common import Address, Amounts
from passlane.messages.raft import GroupMembership
from passlane.messages.store import (
    AssignPartitions,
    CreateProgram,
    PartitionAssignment,
    Turn,
)
from passlane.storage.formats import LogPosition
from passlane.storage.snapshots import Snapshot, SnapshotStore
from passlane.store.machine import StoreStateMachine

FOLDER = "bench/0001"
GROUP = "bench"
TURNS_PER_PROGRAM = 470
BYTES_PER_TOKEN = 4
TICK_S = 0.001
_PAGE_BYTES = resource.getpagesize()
_KILOBYTE = 1_024


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * _PAGE_BYTES


def peak_resident_bytes() -> int:
    """Return the highest resident memory that this process has had."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _KILOBYTE


def fill_state(programs: int, tokens_per_program: int) -> StoreStateMachine:
    """Return a store with programs whose histories hold so many tokens."""
    machine = StoreStateMachine()
    partition, epoch = Partition(0), Epoch(1)
    assignment = PartitionAssignment(
        partition=partition,
        node_id=NodeId("node"),
        address=Address("127.0.0.1", 1),
        epoch=epoch,
    )
    machine.execute(AssignPartitions(assignments=(assignment,)))
    turn_bytes = tokens_per_program * BYTES_PER_TOKEN // TURNS_PER_PROGRAM
    for number in range(programs):
        program_id = ProgramId(f"program-{number}")
        machine.execute(
            CreateProgram(
                program_id=program_id,
                tenant_id=TenantId("tenant"),
                partition=partition,
                epoch=epoch,
                budget=Amounts(tokens=1, calls=1, money_micros=1),
            )
        )
        program = machine.programs.get(program_id, partition)
        for turn in range(TURNS_PER_PROGRAM):
            # Each turn is a string of its own, as when it came in a command.
            program.turns.append(Turn(role="user", content=f"{turn:09d}" + "x" * turn_bytes))
    return machine


class _StallWatch:
    """Notes the longest time for which the loop did nothing else."""

    def __init__(self) -> None:
        self.longest_s = 0.0

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            started = time.perf_counter()
            await anyio.sleep(TICK_S)
            self.longest_s = max(self.longest_s, time.perf_counter() - started - TICK_S)


async def measure_state(root: Path, *, programs: int, tokens_per_program: int) -> StateResult:
    """Measure one snapshot of a store, and its restoration.

    Call it with growing sizes: the peak of memory is that of the whole process.
    """
    gc.collect()
    machine = fill_state(programs, tokens_per_program)
    filled = resident_bytes()
    watch = _StallWatch()
    with tempfile.TemporaryDirectory(dir=root) as folder:
        store = SnapshotStore(CountingDisk(folder), FOLDER, GROUP)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch.run)
            await anyio.sleep(10 * TICK_S)
            started = time.perf_counter()
            data = machine.take_snapshot()
            await store.save(Snapshot(LogPosition(1, 1), GroupMembership(()), data))
            snapshot_s = time.perf_counter() - started
            await anyio.sleep(10 * TICK_S)
            tasks.cancel_scope.cancel()
        peak = peak_resident_bytes()
        snapshot_bytes = len(data)
        del machine, data
        gc.collect()
        started = time.perf_counter()
        loaded = store.load()
        assert loaded is not None
        StoreStateMachine().restore_snapshot(loaded.data)
        restore_s = time.perf_counter() - started
    return StateResult(
        programs=programs,
        tokens_per_program=tokens_per_program,
        snapshot_bytes=snapshot_bytes,
        snapshot_s=round(snapshot_s, 4),
        longest_stall_ms=round(watch.longest_s * 1_000, 2),
        peak_extra_bytes=max(0, peak - filled),
        restore_s=round(restore_s, 4),
    )
