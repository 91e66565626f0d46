"""Who is told of finished calls: metrics and the trace recorder."""

from dataclasses import dataclass, field
from typing import Protocol

from passlane.errors import ErrorCode, Verdict
from passlane.identifiers import ProgramId
from passlane.messages.node import (
    CallAnswered,
    CallRefused,
    CallRequest,
    CreateProgramRequest,
)
from passlane.messages.store import CallKind
from passlane.policy.governor import PolicyProblemReport


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


@dataclass(frozen=True, slots=True)
class AttemptReport:
    """One attempt at a back end; ``verdict`` is ``RAN`` if it brought its answer."""

    kind: CallKind
    verdict: Verdict


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


class FailureSink(Protocol):
    """Takes reports of what did not go smoothly; its methods must not raise."""

    def take_attempt(self, report: AttemptReport) -> None:
        """Take in that an attempt at a back end is over."""
        ...

    def take_refusal(self, code: ErrorCode, verdict: Verdict) -> None:
        """Take in that a caller of this node was answered by an error."""
        ...

    def take_policy_failure(self, report: PolicyProblemReport) -> None:
        """Take in that a policy failed and its default was used."""
        ...


@dataclass
class CallReports:
    """Passes reports on to all sinks."""

    sinks: list[ReportSink] = field(default_factory=list)
    failure_sinks: list[FailureSink] = field(default_factory=list)

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

    def publish_attempt(self, report: AttemptReport) -> None:
        """Tell every failure sink of an attempt."""
        for sink in self.failure_sinks:
            sink.take_attempt(report)

    def publish_refusal(self, code: ErrorCode, verdict: Verdict) -> None:
        """Tell every failure sink of a refusal."""
        for sink in self.failure_sinks:
            sink.take_refusal(code, verdict)

    def publish_policy_failure(self, report: PolicyProblemReport) -> None:
        """Tell every failure sink of a policy that failed."""
        for sink in self.failure_sinks:
            sink.take_policy_failure(report)
