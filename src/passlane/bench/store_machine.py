"""Processor time of store commands, memory of records, and cost of snapshots."""

import gc
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec

from passlane.bench.report_files import write_report
from passlane.bench.straight_line import Line, Point, fit_line
from passlane.errors import Verdict
from passlane.identifiers import CallId, Epoch, NodeId, Partition, ProgramId, TenantId
from passlane.messages.base import encode_message
from passlane.messages.common import Address, Amounts
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
from passlane.store.machine import StoreStateMachine

TURN_CHARACTERS = 1_700
"""Size of a turn: 200,000 tokens of 4 characters over 470 turns."""

TURN_POINTS = (2, 50, 200, 470)
PROGRAM_POINTS = (10, 1_000, 5_000, 10_000)
CALL_POINTS = (1, 5, 20, 60)
SNAPSHOT_POINTS = (100, 400, 1_000)
SNAPSHOT_CALLS = 10
MEASURED_CALLS = 500
MEASURED_PROGRAMS = 200
BUDGET = Amounts(tokens=10**9, calls=10**6)
PARTITION = Partition(0)
EPOCH = Epoch(1)
MICROSECONDS = 1e6
REPORT_FILE = "store-machine.json"


class StoreMachineReport(msgspec.Struct, frozen=True):
    """The lines measured.

    Attributes
    ----------
    call_by_turns, call_by_programs
        Processor time to apply one call (begin and finish), encoded commands in and
        results out, by the turns of its program and by the number of programs.
    memory_by_calls
        Memory of one program's record by its calls, two turns each.
    snapshot_time, restore_time, snapshot_size
        By the bytes of text in the records, in megabytes.
    """

    turn_characters: int
    call_by_turns: Line
    call_by_programs: Line
    memory_by_calls: Line
    snapshot_time: Line
    restore_time: Line
    snapshot_size: Line


class _Driver:
    """Drives a machine with encoded commands, as the replicated log does."""

    def __init__(self) -> None:
        self.machine = StoreStateMachine()
        self._sequences: dict[str, int] = {}
        assignment = PartitionAssignment(PARTITION, NodeId("n"), Address("127.0.0.1", 1), EPOCH)
        self._apply(encode_message(AssignPartitions(assignments=(assignment,))))

    def _apply(self, command: bytes) -> None:
        self.machine.apply(1, command)

    def create(self, program: str) -> None:
        """Create a program."""
        command = CreateProgram(ProgramId(program), TenantId("t"), PARTITION, EPOCH, BUDGET)
        self._apply(encode_message(command))
        self._sequences[program] = 0

    def encoded_call(self, program: str) -> tuple[bytes, bytes]:
        """Return the commands of a program's next call, one turn in each."""
        sequence = self._sequences[program]
        self._sequences[program] += 1
        call_id = CallId(f"{program}/{sequence}")
        question = f"{call_id} ".ljust(TURN_CHARACTERS, "q")
        answer = f"{call_id} ".ljust(TURN_CHARACTERS, "a")
        begin = BeginCall(
            program_id=ProgramId(program),
            partition=PARTITION,
            epoch=EPOCH,
            call_id=call_id,
            sequence=sequence,
            kind=CallKind.MODEL,
            target="model",
            repeatable=True,
            request_digest="0123456789abcdef",
            reserve=Amounts(tokens=1_000, calls=1),
            turns=(Turn(role="user", content=question),),
        )
        spent = Amounts(tokens=800, calls=1)
        finish = FinishCall(
            program_id=ProgramId(program),
            partition=PARTITION,
            epoch=EPOCH,
            call_id=call_id,
            outcome=CallOutcome(verdict=Verdict.RAN, body=answer, spent=spent),
            turns=(Turn(role="assistant", content=answer),),
        )
        return encode_message(begin), encode_message(finish)

    def call(self, program: str) -> None:
        """Apply a program's next call."""
        for command in self.encoded_call(program):
            self._apply(command)

    def time_calls(self, program: str, count: int) -> float:
        """Return microseconds of processor time for each of ``count`` further calls."""
        commands = [command for _ in range(count) for command in self.encoded_call(program)]
        began = time.process_time()
        for command in commands:
            self._apply(command)
        return (time.process_time() - began) / count * MICROSECONDS


def _call_time_by_turns(turns: int) -> Point:
    """Measure calls of programs that have ``turns`` already; each program is used briefly."""
    driver = _Driver()
    programs = [f"p{number}" for number in range(MEASURED_CALLS // 10)]
    for program in programs:
        driver.create(program)
        for _ in range(turns // 2):
            driver.call(program)
    per_program = [driver.time_calls(program, 10) for program in programs]
    return Point(turns, sum(per_program) / len(per_program))


def _call_time_by_programs(count: int) -> Point:
    driver = _Driver()
    for number in range(count):
        driver.create(f"p{number}")
    return Point(count, driver.time_calls("p0", MEASURED_CALLS))


def _memory_by_calls(calls: int) -> Point:
    driver = _Driver()
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(MEASURED_PROGRAMS):
        driver.create(f"p{number}")
        for _ in range(calls):
            driver.call(f"p{number}")
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return Point(calls, (after - before) / MEASURED_PROGRAMS)


def _timed(action: Callable[[], None]) -> float:
    """Return milliseconds of processor time."""
    began = time.process_time()
    action()
    return (time.process_time() - began) * 1e3


def _exhaust(steps: Iterator[None]) -> None:
    """Run an operation to its end that stops on the way to let the loop go on."""
    for _ in steps:
        pass


def _snapshot_points(programs: int) -> tuple[Point, Point, Point]:
    """Return time to take, time to restore (both ms), and size (MB) of one snapshot."""
    driver = _Driver()
    for number in range(programs):
        driver.create(f"p{number}")
        for _ in range(SNAPSHOT_CALLS):
            driver.call(f"p{number}")
    text_mb = programs * SNAPSHOT_CALLS * 2 * TURN_CHARACTERS / 1e6
    taken: list[bytes] = []
    take_ms = _timed(lambda: taken.extend(driver.machine.snapshot_parts()))
    restored = StoreStateMachine()
    restore_ms = _timed(lambda: _exhaust(restored.restore_parts(taken)))
    if len(restored.programs) != programs:
        raise RuntimeError("the snapshot did not restore")
    return (
        Point(text_mb, take_ms),
        Point(text_mb, restore_ms),
        Point(text_mb, sum(map(len, taken)) / 1e6),
    )


def measure_store_machine() -> StoreMachineReport:
    """Measure all lines."""
    by_turns = [_call_time_by_turns(turns) for turns in TURN_POINTS]
    by_programs = [_call_time_by_programs(count) for count in PROGRAM_POINTS]
    memory = [_memory_by_calls(calls) for calls in CALL_POINTS]
    snapshots = [_snapshot_points(programs) for programs in SNAPSHOT_POINTS]
    megabytes = "MB of text"
    return StoreMachineReport(
        turn_characters=TURN_CHARACTERS,
        call_by_turns=fit_line("call by turns", "turns", "us", by_turns),
        call_by_programs=fit_line("call by programs", "programs", "us", by_programs),
        memory_by_calls=fit_line("memory of a program", "calls", "bytes", memory),
        snapshot_time=fit_line("snapshot", megabytes, "ms", [row[0] for row in snapshots]),
        restore_time=fit_line("restore", megabytes, "ms", [row[1] for row in snapshots]),
        snapshot_size=fit_line("snapshot size", megabytes, "MB", [row[2] for row in snapshots]),
    )


def run(report: Path | None) -> int:
    """Measure, print and write ``store-machine.json``."""
    result = measure_store_machine()
    for line in (
        result.call_by_turns,
        result.call_by_programs,
        result.memory_by_calls,
        result.snapshot_time,
        result.restore_time,
        result.snapshot_size,
    ):
        print(line.to_text())
        print("  " + ", ".join(f"{point.x:g}: {point.y:.4g}" for point in line.points))
    write_report(report, REPORT_FILE, result)
    return 0


if __name__ == "__main__":
    sys.exit(run(None))
