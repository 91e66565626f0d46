"""Records programs, calls and outcomes as a trace file that can be replayed.

Off by default. Redaction replaces each character of a text by ``x``, which preserves its length
and therefore the load of a replay.
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

FLUSH_INTERVAL_S = 1.0
FINAL_FLUSH_TIMEOUT_S = 1.0
MAX_BUFFERED_LINES = 50_000
"""Lines buffered while the disk is slow; further lines are dropped and counted."""

REDACTED_CHARACTER = "x"

_log = get_logger(__name__)
_encoder = msgspec.json.Encoder()


class TraceRecorder:
    """Buffers lines in memory and appends them to a file every ``FLUSH_INTERVAL_S``.

    Parameters
    ----------
    file_name
        Name on the disk; must be new for each start of the process.
    deployment
        Name of the deployment, written into the first line.
    redacts_content
        Whether texts are redacted.
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
        self._buffered_lines: list[bytes] = [_encode(start)]

    # Recorded events.

    def record_call(self, report: CallReport) -> None:
        """Record a call and its outcome."""
        request = report.request
        is_retryable = (
            isinstance(report.answer, CallRefused) and report.answer.retry_after_s is not None
        )
        if is_retryable:
            # Refused temporarily: the caller's repeat is recorded instead.
            return
        self._add(
            CallMade(
                at_s=self._relative_time(report.arrived_at),
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

    def record_created(self, request: CreateProgramRequest) -> None:
        """Record a new program."""
        self._add(
            ProgramCreated(
                at_s=self._relative_time(anyio.current_time()),
                tenant=request.tenant_id,
                program=request.program_id,
                parent=request.parent_id,
                budget=None if request.budget == Amounts() else request.budget,
            )
        )

    def record_ended(self, program_id: ProgramId) -> None:
        """Record the end of a program."""
        self._add(
            ProgramEndAsked(at_s=self._relative_time(anyio.current_time()), program=program_id)
        )

    def _outcome(self, report: CallReport) -> CallOutcomeStated:
        answer = report.answer
        error_code = None if isinstance(answer, CallAnswered) else answer.code
        # The answer is omitted: the back ends of a replay generate their own.
        return CallOutcomeStated(
            program=report.request.program_id,
            sequence=report.sequence,
            verdict=answer.verdict,
            idempotency_key=report.request.idempotency_key,
            error_code=error_code,
        )

    def _relative_time(self, time: float) -> float:
        """Return the seconds since the first recorded event."""
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
        if len(self._buffered_lines) >= MAX_BUFFERED_LINES:
            self._dropped += 1
            return
        self._buffered_lines.append(_encode(line))

    # The file.

    async def run(self, disk: Disk) -> None:
        """Flush the buffered lines at intervals and on cancellation."""
        file = disk.open_append(self._file_name)
        try:
            while True:
                await anyio.sleep(FLUSH_INTERVAL_S)
                await self._flush(file)
        finally:
            with anyio.move_on_after(FINAL_FLUSH_TIMEOUT_S, shield=True):
                await self._flush(file)
            file.close()

    async def _flush(self, file: AppendFile) -> None:
        if not self._buffered_lines:
            return
        lines, self._buffered_lines = self._buffered_lines, []
        try:
            file.write(b"".join(lines))
            await file.sync()
        except OSError as error:
            # A failed trace write must not affect calls.
            self._dropped += len(lines)
            _log.warning("trace_write_failed", error=str(error), dropped=self._dropped)


def _encode(line: TraceLine) -> bytes:
    return _encoder.encode(line) + b"\n"
