"""Circuit breaker with half-open probes, which stops requests to a failing back end."""

import enum

from passlane.decisions.inputs.call_scheduler_config import BreakerConfig


class BreakerState(enum.StrEnum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Opens after several consecutive failures, then allows one probe at a time.

    Each failed probe doubles the time for which the breaker stays open, up to a maximum.

    Parameters
    ----------
    config
        Number of failures that open the breaker, and how long it stays open.
    """

    def __init__(self, config: BreakerConfig) -> None:
        self._config = config
        self._failures = 0
        self._open_s = config.open_s
        self._open_until: float | None = None
        self._probe_in_flight = False

    def state(self, now: float) -> BreakerState:
        """Return the state at ``now`` (local monotonic seconds)."""
        if self._open_until is None:
            return BreakerState.CLOSED
        if now < self._open_until:
            return BreakerState.OPEN
        return BreakerState.HALF_OPEN

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        state = self.state(now)
        if state is BreakerState.HALF_OPEN:
            return not self._probe_in_flight
        return state is BreakerState.CLOSED

    def opens_next_at(self, now: float) -> float | None:
        """Return when a probe is next allowed.

        ``None`` if requests are allowed now, or if a probe is in flight, whose result
        decides.
        """
        return self._open_until if self.state(now) is BreakerState.OPEN else None

    def record_start(self, now: float) -> None:
        """Record that a request was sent; in the half-open state it is the probe."""
        if self.state(now) is BreakerState.HALF_OPEN:
            self._probe_in_flight = True

    def record_success(self) -> None:
        """Record a success and close the breaker."""
        self._failures = 0
        self._open_until = None
        self._open_s = self._config.open_s
        self._probe_in_flight = False

    def record_abandoned(self) -> None:
        """Record a request that ended without a result, such as a withdrawn one."""
        self._probe_in_flight = False

    def record_failure(self, now: float) -> None:
        """Record a failure; open the breaker after enough of them or after a failed probe."""
        self._failures += 1
        if self._open_until is not None:
            if self.state(now) is BreakerState.HALF_OPEN:
                self._open_s = min(self._open_s * 2, self._config.max_open_s)
                self._open_until = now + self._open_s
            self._probe_in_flight = False
        elif self._failures >= self._config.failures_to_open:
            self._open_until = now + self._open_s
