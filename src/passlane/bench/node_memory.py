"""Memory of a led program and bytes of a call's commands, measured on the objects themselves."""

import gc
import tracemalloc
from collections.abc import Callable

import msgspec

from passlane.bench.straight_line import Line, measure_line
from passlane.errors import Verdict
from passlane.identifiers import CallId, EngineId, Epoch, Partition, ProgramId, TenantId
from passlane.messages.base import Message, encode_message
from passlane.messages.common import Amounts
from passlane.messages.store import (
    BeginCall,
    CallKind,
    CallOutcome,
    CallRecord,
    CallState,
    EngineHold,
    FinishCall,
    ProgramRecord,
    RecordHold,
    Turn,
)
from passlane.node.led_program import LedProgram
from passlane.programs.token_estimate import BYTES_PER_TOKEN
from passlane.transport.frames import HEADER_BYTES

PROGRAMS_POINTS = (50, 100, 200)
TURNS_POINTS = (2, 50, 120, 240, 470)
TOKENS_POINTS = (1_000, 25_000, 50_000, 100_000, 200_000)
ANSWER_POINTS = (8, 64, 256, 1_024)
TURNS_OF_TOKENS_SERIES = 100
SAMPLES = 8
PROMPT_TOKENS = 32
PROGRAM = ProgramId("p-0123456789abcdef0123456789abcdef")


def _record(number: int, turns: int, tokens_in_all: int) -> ProgramRecord:
    """Return a record as it comes from the store; each two turns are a finished call."""
    text = "x" * max(1, tokens_in_all * BYTES_PER_TOKEN // max(turns, 1))
    program_id = ProgramId(f"p-{number:032x}")
    calls = tuple(_call(program_id, sequence, text) for sequence in range(turns // 2))
    record = ProgramRecord(
        program_id=program_id,
        tenant_id=TenantId("corner-shop"),
        partition=Partition(1),
        budget_owner=program_id,
        budget=Amounts(tokens=200_000, calls=470, money_micros=10),
        next_sequence=len(calls),
        turns=tuple(Turn("user" if one % 2 == 0 else "assistant", text) for one in range(turns)),
        calls=calls,
        holds=(EngineHold(EngineId("engine-1"), 1),),
    )
    # As from the store: no text is shared between two turns.
    return msgspec.msgpack.decode(msgspec.msgpack.encode(record), type=ProgramRecord)


def _call(program_id: ProgramId, sequence: int, text: str) -> CallRecord:
    return CallRecord(
        call_id=CallId(f"{program_id}/k{sequence:032x}"),
        sequence=sequence,
        kind=CallKind.MODEL,
        target="agent",
        repeatable=True,
        request_digest=f"{sequence:032x}",
        reserved=Amounts(tokens=300, calls=1),
        epoch=Epoch(3),
        state=CallState.FINISHED,
        outcome=CallOutcome(Verdict.RAN, body=text, spent=Amounts(tokens=200, calls=1)),
    )


def _bytes_of(count: int, turns: int, tokens: int) -> float:
    """Return the memory that ``count`` led programs take."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    programs = [LedProgram(_record(one, turns, tokens), Epoch(3), 0.0) for one in range(count)]
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del programs
    return float(after - before)


def _line(name: str, x_unit: str, xs: tuple[int, ...], measure: Callable[[int], float]) -> Line:
    return measure_line(name, x_unit, "bytes", xs, measure)


def memory_lines() -> tuple[Line, ...]:
    """Return the memory of led programs, by their number, turns and tokens."""
    return (
        _line(
            "memory by programs led (2 turns of 32 tokens each)",
            "programs",
            PROGRAMS_POINTS,
            lambda count: _bytes_of(count, 2, 2 * PROMPT_TOKENS),
        ),
        _line(
            "memory of a program by turns (1 byte of text each)",
            "turns",
            TURNS_POINTS,
            lambda turns: _bytes_of(SAMPLES, turns, 0) / SAMPLES,
        ),
        _line(
            f"memory of a program by tokens of history ({TURNS_OF_TOKENS_SERIES} turns)",
            "tokens",
            TOKENS_POINTS,
            lambda tokens: _bytes_of(SAMPLES, TURNS_OF_TOKENS_SERIES, tokens) / SAMPLES,
        ),
    )


def _command_bytes(answer_tokens: int) -> float:
    """Return the bytes of a first model call's commands with their frames."""
    begin = BeginCall(
        program_id=PROGRAM,
        partition=Partition(100),
        epoch=Epoch(3),
        call_id=CallId(f"{PROGRAM}/k0123456789abcdef0123456789abcdef"),
        sequence=3,
        kind=CallKind.MODEL,
        target="agent",
        repeatable=True,
        request_digest="0123456789abcdef0123456789abcdef",
        reserve=Amounts(tokens=500, calls=1),
        turns=(Turn("user", "x" * PROMPT_TOKENS * BYTES_PER_TOKEN),),
    )
    hold = EngineHold(EngineId("engine-1"), 1)
    record_hold = RecordHold(begin.program_id, begin.partition, begin.epoch, hold)
    answer = "x" * answer_tokens * BYTES_PER_TOKEN
    finish = FinishCall(
        program_id=begin.program_id,
        partition=begin.partition,
        epoch=begin.epoch,
        call_id=begin.call_id,
        outcome=CallOutcome(Verdict.RAN, body=answer, spent=Amounts(tokens=300, calls=1)),
        turns=(Turn("assistant", answer),),
        hold=hold,
    )
    commands: tuple[Message, ...] = (begin, record_hold, finish)
    return float(sum(HEADER_BYTES + len(encode_message(command)) for command in commands))


def store_bytes_line() -> Line:
    """Return the bytes from node to store for one model call, by tokens of its answer."""
    return _line(
        f"bytes from node to store per call ({PROMPT_TOKENS} tokens of prompt)",
        "tokens of the answer",
        ANSWER_POINTS,
        _command_bytes,
    )
