"""Limits of a tenant: a token bucket for its rate and a count for its concurrency."""

from dataclasses import dataclass

MIN_RETRY_AFTER_S = 0.05


class TokenBucket:
    """Lets ``rate_per_s`` requests a second through, and up to ``burst`` at once."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = max(burst, 1.0)
        self._tokens = self._burst
        self._updated_at: float | None = None

    def change(self, rate_per_s: float, burst: float) -> None:
        """Use another rate and burst from now on; what was saved up is kept."""
        self._rate_per_s = rate_per_s
        self._burst = max(burst, 1.0)
        self._tokens = min(self._tokens, self._burst)

    def try_take(self, now: float) -> float | None:
        """Take one request; return ``None``, or the seconds after which to come back."""
        self._refill(now)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return None
        if self._rate_per_s <= 0:
            return float("inf")
        return max((1.0 - self._tokens) / self._rate_per_s, MIN_RETRY_AFTER_S)

    def is_full(self, now: float) -> bool:
        """Return whether as much is saved up as may be, so that a new bucket is the same."""
        self._refill(now)
        return self._tokens >= self._burst

    def _refill(self, now: float) -> None:
        if self._updated_at is not None:
            elapsed_s = max(now - self._updated_at, 0.0)
            self._tokens = min(self._tokens + elapsed_s * self._rate_per_s, self._burst)
        self._updated_at = now


@dataclass(frozen=True, slots=True)
class TenantLimits:
    """What a tenant may do at one node; one second's worth of calls may come at once."""

    calls_per_second: float
    max_calls_in_flight: int


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether a call may go on; ``retry_after_s`` tells a refused one when to come back."""

    admitted: bool
    reason: str = ""
    retry_after_s: float | None = None


class TenantLimiter:
    """Rate and concurrency of one tenant.

    Each call that was admitted must be given back with ``release`` when it has ended.
    """

    def __init__(self, limits: TenantLimits) -> None:
        self._limits = limits
        self._bucket = TokenBucket(limits.calls_per_second, limits.calls_per_second)
        self._in_flight = 0

    def is_idle(self, now: float) -> bool:
        """Return whether the limiter remembers nothing that a new one would not know."""
        return self._in_flight == 0 and self._bucket.is_full(now)

    def change(self, limits: TenantLimits) -> None:
        """Use other limits from now on."""
        if limits == self._limits:
            return
        self._limits = limits
        self._bucket.change(limits.calls_per_second, limits.calls_per_second)

    def admit(self, now: float) -> Admission:
        """Admit one call at ``now`` (local monotonic seconds) or refuse it."""
        if self._in_flight >= self._limits.max_calls_in_flight:
            return Admission(
                admitted=False,
                reason="the tenant has too many calls in flight",
                retry_after_s=max(1.0 / max(self._limits.calls_per_second, 0.1), MIN_RETRY_AFTER_S),
            )
        wait_s = self._bucket.try_take(now)
        if wait_s is not None:
            return Admission(
                admitted=False, reason="the tenant calls too often", retry_after_s=wait_s
            )
        self._in_flight += 1
        return Admission(admitted=True)

    def release(self) -> None:
        """Note that an admitted call has ended."""
        self._in_flight = max(self._in_flight - 1, 0)
