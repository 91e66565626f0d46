"""Decides whether a tool call may be sent to its application now.

Each application has a circuit breaker with half-open probes, a retry budget and a limit of
calls in flight from this node.
"""

from dataclasses import dataclass, field

from passlane.decisions.backends.circuit_breaker import CircuitBreaker
from passlane.decisions.failure.retry_budget import RetryBudget
from passlane.decisions.inputs.call_scheduler_config import BreakerConfig
from passlane.errors import ErrorCode
from passlane.identifiers import ApplicationId
from passlane.programs.call_events import PlacementGranted, PlacementRefused

BUSY_RETRY_AFTER_S = 0.5
"""Minimum retry-after when an application is at its limit or its circuit breaker is open."""


@dataclass
class _ApplicationState:
    breaker: CircuitBreaker = field(default_factory=lambda: CircuitBreaker(BreakerConfig()))
    budget: RetryBudget = field(default_factory=RetryBudget)
    in_flight: int = 0


class ToolDispatcher:
    """Owns the circuit breakers, retry budgets and in-flight counts of the applications."""

    def __init__(self) -> None:
        self._applications: dict[ApplicationId, _ApplicationState] = {}

    def check(
        self, application_id: ApplicationId, max_in_flight: int, now: float
    ) -> PlacementRefused | None:
        """Return the refusal that a call would get now, or ``None``."""
        state = self._state_of(application_id)
        if not state.breaker.allows(now):
            opens_at = state.breaker.opens_next_at(now)
            retry_after_s = BUSY_RETRY_AFTER_S if opens_at is None else opens_at - now
            message = f"application {application_id} is failing; its circuit breaker is open"
            return PlacementRefused(
                ErrorCode.UNAVAILABLE, message, max(retry_after_s, BUSY_RETRY_AFTER_S)
            )
        if state.in_flight >= max_in_flight:
            message = f"application {application_id} is at its limit of calls in flight"
            return PlacementRefused(ErrorCode.QUEUE_FULL, message, BUSY_RETRY_AFTER_S)
        return None

    def start(
        self, application_id: ApplicationId, max_in_flight: int, now: float
    ) -> PlacementGranted | PlacementRefused:
        """Acquire a slot at the application, which ``finish`` releases."""
        refusal = self.check(application_id, max_in_flight, now)
        if refusal is not None:
            return refusal
        state = self._state_of(application_id)
        state.breaker.record_start(now)
        state.budget.record_request()
        state.in_flight += 1
        return PlacementGranted(application_id)

    def finish(self, application_id: ApplicationId, *, healthy: bool | None, now: float) -> None:
        """Release a slot; ``healthy`` is ``None`` if the attempt gave no health signal."""
        state = self._state_of(application_id)
        state.in_flight -= 1
        if healthy is None:
            state.breaker.record_abandoned()
        elif healthy:
            state.breaker.record_success()
        else:
            state.breaker.record_failure(now)

    def in_flight_at(self, application_id: ApplicationId) -> int:
        """Return the number of this node's calls in flight at an application."""
        state = self._applications.get(application_id)
        return 0 if state is None else state.in_flight

    def try_retry(self, application_id: ApplicationId) -> bool:
        """Spend one retry of the application's budget; return ``False`` if it is exhausted."""
        return self._state_of(application_id).budget.try_spend()

    def _state_of(self, application_id: ApplicationId) -> _ApplicationState:
        return self._applications.setdefault(application_id, _ApplicationState())
