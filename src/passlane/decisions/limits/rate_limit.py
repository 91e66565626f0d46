"""Per-node limits of a tenant: a token bucket for its rate and a cap on concurrent calls.

``TenantLimiter`` owns both for one tenant. Times are local monotonic seconds.
"""

from dataclasses import dataclass

MIN_RETRY_AFTER_S = 0.05


class TokenBucket:
    """Token bucket that admits ``rate_per_s`` requests per second and bursts of ``burst``."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = max(burst, 1.0)
        self._tokens = self._burst
        self._updated_at: float | None = None

    def change(self, rate_per_s: float, burst: float) -> None:
        """Set another rate and burst; the tokens stay, up to the new burst."""
        self._rate_per_s = rate_per_s
        self._burst = max(burst, 1.0)
        self._tokens = min(self._tokens, self._burst)

    def try_take(self, now: float) -> float | None:
        """Take one token; return ``None``, or the seconds after which to retry."""
        self._refill(now)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return None
        if self._rate_per_s <= 0:
            return float("inf")
        return max((1.0 - self._tokens) / self._rate_per_s, MIN_RETRY_AFTER_S)

    def is_full(self, now: float) -> bool:
        """Return whether the bucket is full, that is, the same as a new one."""
        self._refill(now)
        return self._tokens >= self._burst

    def _refill(self, now: float) -> None:
        if self._updated_at is not None:
            elapsed_s = max(now - self._updated_at, 0.0)
            self._tokens = min(self._tokens + elapsed_s * self._rate_per_s, self._burst)
        self._updated_at = now


@dataclass(frozen=True, slots=True)
class TenantLimits:
    """Limits of a tenant at one node; the burst is one second's worth of calls."""

    calls_per_second: float
    max_calls_in_flight: int


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether a call is admitted; if not, it may be retried after ``retry_after_s``."""

    admitted: bool
    reason: str = ""
    retry_after_s: float | None = None


class TenantLimiter:
    """Rate and concurrency limits of one tenant.

    Call ``release`` once for each admitted call when it has ended.
    """

    def __init__(self, limits: TenantLimits) -> None:
        self._limits = limits
        self._bucket = TokenBucket(limits.calls_per_second, limits.calls_per_second)
        self._in_flight = 0

    def is_idle(self, now: float) -> bool:
        """Return whether the limiter is in the same state as a new one."""
        return self._in_flight == 0 and self._bucket.is_full(now)

    def change(self, limits: TenantLimits) -> None:
        """Set other limits."""
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
        """Record the end of an admitted call."""
        self._in_flight = max(self._in_flight - 1, 0)
