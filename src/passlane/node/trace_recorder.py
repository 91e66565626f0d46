"""Records what callers did and what came of it, as a trace that can be replayed.

Off by default. With redaction the texts are replaced by as many ``x``; their lengths,
and so the work they cause, stay.
"""

import anyio
import msgspec

from passlane.identifiers import ProgramId
from passlane.messages.common import Amounts
from passlane.messages.node import CallAnswered, CallRefused, CreateProgramRequest
from passlane.messages.store import Turn
from passlane.messages.traces import (
    TRACE_FORMAT,
    CallMade,
    CallOutcomeStated,
    ProgramCreated,
    ProgramEndAsked,
    TraceLine,
    TraceStart,
)
from passlane.node.call_reports import CallReport
from passlane.observability.logging import get_logger
from passlane.runtime.interfaces import AppendFile, Disk

WRITE_INTERVAL_S = 1.0
LAST_WRITE_TIMEOUT_S = 1.0
MAX_WAITING_LINES = 50_000
"""Lines kept while the disk does not take them; further ones are dropped and counted."""

REDACTED_CHARACTER = "x"

_log = get_logger(__name__)
_encoder = msgspec.json.Encoder()


class TraceRecorder:
    """Collects lines in memory and appends them to a file now and then.

    Parameters
    ----------
    file_name
        Name on the disk; a new one for each start of the process.
    deployment
        Written into the first line.
    redacts_content
        Whether texts are replaced.
    """

    def __init__(
        self,
        file_name: str,
        deployment: str,
        *,
        redacts_content: bool,
    ) -> None:
        self._file_name = file_name
        self._redacts_content = redacts_content
        self._started_at: float | None = None
        self._dropped = 0
        start = TraceStart(format=TRACE_FORMAT, name=file_name, deployment=deployment)
        self._waiting: list[bytes] = [_encode(start)]

    # What is recorded.

    def take(self, report: CallReport) -> None:
        """Record a call and its outcome."""
        request = report.request
        is_open = isinstance(report.answer, CallRefused) and report.answer.retry_after_s is not None
        if is_open:
            # Refused for now: the caller's repeat is the call.
            return
        self._add(
            CallMade(
                at_s=self._at(report.arrived_at),
                program=request.program_id,
                sequence=report.sequence,
                kind=request.kind,
                target=request.target,
                turns=tuple(self._redacted_turn(turn) for turn in request.turns),
                arguments=self._redacted_json(request.arguments),
                max_tokens=request.max_tokens,
                idempotency_key=request.idempotency_key,
            )
        )
        self._add(self._outcome(report))

    def take_created(self, request: CreateProgramRequest) -> None:
        """Record a new program."""
        self._add(
            ProgramCreated(
                at_s=self._at(anyio.current_time()),
                tenant=request.tenant_id,
                program=request.program_id,
                parent=request.parent_id,
                budget=None if request.budget == Amounts() else request.budget,
            )
        )

    def take_ended(self, program_id: ProgramId) -> None:
        """Record a program's end."""
        self._add(ProgramEndAsked(at_s=self._at(anyio.current_time()), program=program_id))

    def _outcome(self, report: CallReport) -> CallOutcomeStated:
        answer = report.answer
        error_code = None if isinstance(answer, CallAnswered) else answer.code
        # What was answered is left open: back ends of a replay have answers of their own.
        return CallOutcomeStated(
            program=report.request.program_id,
            sequence=report.sequence,
            verdict=answer.verdict,
            idempotency_key=report.request.idempotency_key,
            error_code=error_code,
        )

    def _at(self, time: float) -> float:
        """Return seconds since the recording's first event."""
        if self._started_at is None:
            self._started_at = time
        return round(max(time - self._started_at, 0.0), 6)

    def _redacted_turn(self, turn: Turn) -> Turn:
        if not self._redacts_content:
            return turn
        content = REDACTED_CHARACTER * len(turn.content)
        return Turn(role=turn.role, content=content, name=turn.name)

    def _redacted_json(self, arguments: str) -> str:
        if not self._redacts_content or not arguments:
            return arguments
        return f'"{REDACTED_CHARACTER * max(len(arguments) - 2, 0)}"'

    def _add(self, line: TraceLine) -> None:
        if len(self._waiting) >= MAX_WAITING_LINES:
            self._dropped += 1
            return
        self._waiting.append(_encode(line))

    # The file.

    async def run(self, disk: Disk) -> None:
        """Write out what was recorded now and then, and when cancelled."""
        file = disk.open_append(self._file_name)
        try:
            while True:
                await anyio.sleep(WRITE_INTERVAL_S)
                await self._write_out(file)
        finally:
            with anyio.move_on_after(LAST_WRITE_TIMEOUT_S, shield=True):
                await self._write_out(file)
            file.close()

    async def _write_out(self, file: AppendFile) -> None:
        if not self._waiting:
            return
        lines, self._waiting = self._waiting, []
        try:
            file.write(b"".join(lines))
            await file.sync()
        except OSError as error:
            # A trace is a convenience: calls go on without it.
            self._dropped += len(lines)
            _log.warning("trace not written", error=str(error), dropped=self._dropped)


def _encode(line: TraceLine) -> bytes:
    return _encoder.encode(line) + b"\n"
