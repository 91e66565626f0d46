"""Reports of programs, calls and failures, and the sinks that receive them.

The sinks are the metrics and the trace recorder.
"""

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
from passlane.policy.active_policies import PolicyProblemReport


@dataclass(frozen=True, slots=True)
class CallReport:
    """One finished call.

    Times are local monotonic seconds; ``first_token_at`` is ``None`` if there was no token.
    """

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
    """One attempt at a back end; ``verdict`` is ``RAN`` if it completed."""

    kind: CallKind
    verdict: Verdict


class ReportSink(Protocol):
    """Receives reports of programs and finished calls; its methods must not raise."""

    def record_call(self, report: CallReport) -> None:
        """Record an answered call."""
        ...

    def record_created(self, request: CreateProgramRequest) -> None:
        """Record a new program."""
        ...

    def record_ended(self, program_id: ProgramId) -> None:
        """Record the end of a program."""
        ...


class FailureSink(Protocol):
    """Receives reports of attempts, refusals and policy failures; its methods must not raise."""

    def record_attempt(self, report: AttemptReport) -> None:
        """Record a finished attempt at a back end."""
        ...

    def record_refusal(self, code: ErrorCode, verdict: Verdict) -> None:
        """Record a request of this node that was answered with an error."""
        ...

    def record_policy_failure(self, report: PolicyProblemReport) -> None:
        """Record a policy that failed, so that its default was used."""
        ...


@dataclass
class CallReports:
    """Forwards reports to all sinks."""

    sinks: list[ReportSink] = field(default_factory=list)
    failure_sinks: list[FailureSink] = field(default_factory=list)

    def publish(self, report: CallReport) -> None:
        """Report an answered call to every sink."""
        for sink in self.sinks:
            sink.record_call(report)

    def publish_created(self, request: CreateProgramRequest) -> None:
        """Report a new program to every sink."""
        for sink in self.sinks:
            sink.record_created(request)

    def publish_ended(self, program_id: ProgramId) -> None:
        """Report the end of a program to every sink."""
        for sink in self.sinks:
            sink.record_ended(program_id)

    def publish_attempt(self, report: AttemptReport) -> None:
        """Report a finished attempt to every failure sink."""
        for sink in self.failure_sinks:
            sink.record_attempt(report)

    def publish_refusal(self, code: ErrorCode, verdict: Verdict) -> None:
        """Report a refusal to every failure sink."""
        for sink in self.failure_sinks:
            sink.record_refusal(code, verdict)

    def publish_policy_failure(self, report: PolicyProblemReport) -> None:
        """Report a policy that failed to every failure sink."""
        for sink in self.failure_sinks:
            sink.record_policy_failure(report)
