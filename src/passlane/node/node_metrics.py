"""Metrics of a node.

Counters of calls, attempts, refusals and policy failures, latencies of calls, and gauges of
the state of the node's parts.
"""

from passlane.errors import ErrorCode, Verdict
from passlane.identifiers import ProgramId
from passlane.messages.node import CallAnswered, CreateProgramRequest
from passlane.node.call_reports import AttemptReport, CallReport
from passlane.node.node_core import NodeCore
from passlane.observability.metrics import Metrics
from passlane.policy.active_policies import PolicyProblemReport

ANSWERED = "answered"


class NodeMetrics:
    """Updates the metrics from reports; implements ``ReportSink`` and ``FailureSink``."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._calls = metrics.counter("calls", "Calls by kind and result", ("kind", "result"))
        self._latency = metrics.histogram(
            "call_seconds", "Time from a call's arrival at its leader to its answer", ("kind",)
        )
        self._first_token = metrics.histogram(
            "first_token_seconds", "Time from a call's arrival at its leader to its first token"
        )
        self._attempts = metrics.counter(
            "attempts", "Attempts at back ends, by whether they ran", ("kind", "verdict")
        )
        self._refusals = metrics.counter(
            "refusals", "Errors given to this node's callers", ("code", "verdict")
        )
        self._policy_failures = metrics.counter(
            "policy_failures", "Decisions by default because a policy failed", ("policy",)
        )
        self._programs = metrics.counter("programs", "Programs created and ended", ("event",))

    def record_call(self, report: CallReport) -> None:
        """Count a finished call and record its latency."""
        kind = report.request.kind.value
        answer = report.answer
        result = ANSWERED if isinstance(answer, CallAnswered) else answer.code.value
        self._calls.labels(kind, result).inc()
        self._latency.labels(kind).observe(report.ended_at - report.arrived_at)
        if report.first_token_at is not None:
            self._first_token.observe(report.first_token_at - report.arrived_at)

    def record_created(self, request: CreateProgramRequest) -> None:
        """Count a created program."""
        self._programs.labels("created").inc()

    def record_ended(self, program_id: ProgramId) -> None:
        """Count an ended program."""
        self._programs.labels("ended").inc()

    def record_attempt(self, report: AttemptReport) -> None:
        """Count an attempt at a backend."""
        self._attempts.labels(report.kind.value, report.verdict.value).inc()

    def record_refusal(self, code: ErrorCode, verdict: Verdict) -> None:
        """Count an error returned to a caller."""
        self._refusals.labels(code.value, verdict.value).inc()

    def record_policy_failure(self, report: PolicyProblemReport) -> None:
        """Count the failures of a policy."""
        self._policy_failures.labels(report.policy).inc(report.times)

    def register_gauges(self, core: NodeCore) -> None:
        """Register gauges that read the state of ``core`` whenever the metrics are exposed."""
        gauge = self._metrics.gauge
        gauge("pending_releases", "Releases of engine memory not acknowledged yet").set_function(
            lambda: core.releases.pending_count
        )
        gauge("programs_in_memory", "Programs that this node has in memory").set_function(
            lambda: len(core.directory.hosts)
        )
        gauge("requests_in_flight", "Requests admitted and not answered yet").set_function(
            lambda: core.admission.in_flight
        )
        gauge("calls_queued_for_engines", "Calls that wait for an engine").set_function(
            lambda: core.services.models.queued_calls
        )
        gauge(
            "calls_queued_in_programs", "Calls that wait for an earlier call of their program"
        ).set_function(lambda: sum(host.waiting_count for host in core.directory.hosts))
        gauge("led_partitions", "Partitions that this node leads").set_function(
            lambda: len(core.services.leadership.led_partitions())
        )
        gauge(
            "held_engine_memories", "Engines that hold memory, summed over programs in memory"
        ).set_function(lambda: sum(len(host.program.holds) for host in core.directory.hosts))
