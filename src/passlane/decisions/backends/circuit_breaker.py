"""Circuit breaker with half-open probes: leaves a failing back end alone for a while."""

import enum

from passlane.decisions.inputs.call_scheduler_config import BreakerConfig


class BreakerState(enum.StrEnum):
    """Whether requests may be sent."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Counts failures in a row; opens after some, then lets one probe through at a time.

    Each time the probe fails, the breaker stays open twice as long, up to a limit.

    Parameters
    ----------
    config
        Failures that open it and how long it stays open.
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

        ``None`` if requests are allowed now, or if a probe is under way, whose end
        decides.
        """
        return self._open_until if self.state(now) is BreakerState.OPEN else None

    def record_start(self, now: float) -> None:
        """Note that a request was sent; in the half-open state it is the probe."""
        if self.state(now) is BreakerState.HALF_OPEN:
            self._probe_in_flight = True

    def record_success(self) -> None:
        """Note a success: the breaker closes."""
        self._failures = 0
        self._open_until = None
        self._open_s = self._config.open_s
        self._probe_in_flight = False

    def record_abandoned(self) -> None:
        """Note a request that ended without telling anything, such as a withdrawn one."""
        self._probe_in_flight = False

    def record_failure(self, now: float) -> None:
        """Note a failure; the breaker opens after enough of them, or if the probe failed."""
        self._failures += 1
        if self._open_until is not None:
            if self.state(now) is BreakerState.HALF_OPEN:
                self._open_s = min(self._open_s * 2, self._config.max_open_s)
                self._open_until = now + self._open_s
            self._probe_in_flight = False
        elif self._failures >= self._config.failures_to_open:
            self._open_until = now + self._open_s
