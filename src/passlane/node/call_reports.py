"""Who is told of finished calls: metrics and the trace recorder."""

from dataclasses import dataclass, field
from typing import Protocol

from passlane.identifiers import ProgramId
from passlane.messages.node import (
    CallAnswered,
    CallRefused,
    CallRequest,
    CreateProgramRequest,
)


@dataclass(frozen=True, slots=True)
class CallReport:
    """One finished call. Times are local monotonic seconds; ``None`` if it never came."""

    request: CallRequest
    call_id: str
    sequence: int
    arrived_at: float
    first_token_at: float | None
    ended_at: float
    backend: str
    attempts: int
    answer: CallAnswered | CallRefused


class ReportSink(Protocol):
    """Takes reports of programs and finished calls; its methods must not raise."""

    def take(self, report: CallReport) -> None:
        """Take in that a call was answered."""
        ...

    def take_created(self, request: CreateProgramRequest) -> None:
        """Take in that a program was created."""
        ...

    def take_ended(self, program_id: ProgramId) -> None:
        """Take in that a program ended."""
        ...


@dataclass
class CallReports:
    """Passes reports on to all sinks."""

    sinks: list[ReportSink] = field(default_factory=list)

    def publish(self, report: CallReport) -> None:
        """Give a report to every sink."""
        for sink in self.sinks:
            sink.take(report)

    def publish_created(self, request: CreateProgramRequest) -> None:
        """Tell every sink of a new program."""
        for sink in self.sinks:
            sink.take_created(request)

    def publish_ended(self, program_id: ProgramId) -> None:
        """Tell every sink of a program's end."""
        for sink in self.sinks:
            sink.take_ended(program_id)
