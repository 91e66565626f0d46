"""Who is told of finished calls: metrics and the trace recorder."""

from dataclasses import dataclass, field
from typing import Protocol

from passlane.messages.node import CallAnswered, CallRefused, CallRequest


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
    """Takes reports of finished calls."""

    def take(self, report: CallReport) -> None:
        """Take in one report; must not raise."""
        ...


@dataclass
class CallReports:
    """Passes reports on to all sinks."""

    sinks: list[ReportSink] = field(default_factory=list)

    def publish(self, report: CallReport) -> None:
        """Give a report to every sink."""
        for sink in self.sinks:
            sink.take(report)
