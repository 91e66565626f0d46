"""Reads recorded traces; every fault names the file and the line."""

from dataclasses import dataclass, replace
from pathlib import Path

import msgspec

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.traces import (
    TRACE_FORMAT,
    ProgramCreated,
    TraceAction,
    TraceLine,
    TraceOutcome,
    TraceStart,
)

_decoder = msgspec.json.Decoder(TraceLine)


@dataclass(frozen=True)
class NumberedAction:
    """Something that happened, and the line that tells it."""

    number: int
    action: TraceAction


@dataclass(frozen=True)
class NumberedOutcome:
    """A stated outcome, and the line that states it."""

    number: int
    outcome: TraceOutcome


@dataclass(frozen=True)
class Trace:
    """A whole trace."""

    path: Path
    start: TraceStart
    actions: tuple[NumberedAction, ...]
    outcomes: tuple[NumberedOutcome, ...]


def read_trace(path: Path) -> Trace:
    """Return the trace in a file.

    Raises
    ------
    PasslaneError
        With code ``bad_request`` when the file can't be read, a line is no trace line, or
        the first line is not a ``TraceStart`` of a known format.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise PasslaneError(ErrorCode.BAD_REQUEST, f"{path}: {error}") from error
    lines = [
        (number, _decode(path, number, line))
        for number, line in enumerate(text.splitlines(), start=1)
        if line.strip()
    ]
    start = lines[0][1] if lines else None
    if not isinstance(start, TraceStart) or start.format != TRACE_FORMAT:
        raise _fault(path, 1, f"expected a TraceStart of format {TRACE_FORMAT}")
    return Trace(
        path=path,
        start=start,
        actions=tuple(
            NumberedAction(number, line)
            for number, line in lines[1:]
            if isinstance(line, TraceAction)
        ),
        outcomes=tuple(
            NumberedOutcome(number, line)
            for number, line in lines[1:]
            if isinstance(line, TraceOutcome)
        ),
    )


def without_partial_programs(trace: Trace) -> Trace:
    """Return a trace without the lines of programs whose start it does not tell.

    A recording misses the start of programs that began before it, or under another leader.
    """
    known = {
        numbered.action.program
        for numbered in trace.actions
        if isinstance(numbered.action, ProgramCreated)
    }
    return replace(
        trace,
        actions=tuple(
            numbered
            for numbered in trace.actions
            if numbered.action.program is None or numbered.action.program in known
        ),
        outcomes=tuple(
            numbered
            for numbered in trace.outcomes
            if getattr(numbered.outcome, "program", None) in (None, *known)
        ),
    )


def _decode(path: Path, number: int, line: str) -> TraceLine:
    """Return one line."""
    try:
        return _decoder.decode(line)
    except msgspec.MsgspecError as error:
        raise _fault(path, number, str(error)) from error


def _fault(path: Path, number: int, message: str) -> PasslaneError:
    """Return the error for a line."""
    return PasslaneError(ErrorCode.BAD_REQUEST, f"{path}:{number}: {message}")
