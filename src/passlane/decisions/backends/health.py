"""Passive health checks: detects back ends that fail, stall or are slow, from their requests.

Owns the health state of each back end; times are local. The result is logged in the fields
``is_outlier``, ``long_queue`` and ``short_queue`` of ``backend_chosen`` and in the line
``outliers_changed``. There are no active checks, since they can be wrong and take a slot. An
outlier is used only after all other back ends. If most back ends of a service qualify as outliers,
none is one.
"""

import math
from collections.abc import Sequence
from statistics import median

import msgspec

HALF_LIFE_S = 4.0
"""Half-life in seconds of the counts of failures and successes."""
MIN_FAILURES = 1.0
"""Minimum decayed number of failures for a back end to count as failing."""
MAX_FAILURE_SHARE = 0.2
"""Share of failures among ended requests above which a back end counts as failing."""
STALL_WEIGHT = 2.0
"""Number of failures that a stalled request counts as."""
LATENCY_WEIGHT = 0.2
"""Weight of a new sample in the moving average of a back end's latency."""
LATENCY_EXPIRY_S = 3.0
"""Seconds without a sample after which a back end's latency is unknown."""
SLOW_FACTOR = 3.0
"""Multiple of the typical latency that a slow back end exceeds."""
SLOW_MARGIN_S = 0.1
"""Seconds by which a slow back end exceeds the typical latency, in addition to the multiple."""
STALL_FACTOR = 5.0
"""Multiple of the typical latency without progress after which a request is stalled."""
MIN_STALL_S = 0.4
"""Minimum time in seconds without progress after which a request is stalled."""
MAX_OUTLIER_SHARE = 0.5
"""Maximum share of a service's back ends that can be outliers; above it none is one."""
MAX_CONGESTION_LEVEL = 3
"""Maximum congestion level, as a multiple of the tolerated wait."""


class AttemptWatch:
    """Tracks the progress of one request at a back end; times are local."""

    def __init__(self, health: "BackendHealth", now: float) -> None:
        self._health = health
        self._is_over = False
        self.started_at = now
        self.has_answered = False
        self.last_progress_at = now
        health.watches.add(self)

    def progressed(self, now: float) -> None:
        """Record that a part of the answer arrived."""
        self.last_progress_at = now
        if not self.has_answered:
            self.has_answered = True
            self._health.record_latency(now - self.started_at, now)

    def succeeded(self, now: float) -> None:
        """Record that the answer is complete; later results are ignored."""
        if self._end():
            self._health.record_success(now)

    def failed(self, now: float) -> None:
        """Record that the answer was incomplete or an error of the back end."""
        if self._end():
            self._health.record_failure(now, 1.0)

    def dropped(self, now: float, stall_limit_s: float) -> bool:
        """Record that the request was abandoned; counts as a failure if it had stalled.

        Returns whether it was abandoned because of that.
        """
        is_stalled = now - self.last_progress_at > stall_limit_s
        counts = self._end() and is_stalled
        if counts:
            self._health.record_failure(now, STALL_WEIGHT)
        return counts

    def _end(self) -> bool:
        """Stop tracking; return whether the request was still tracked."""
        was_over = self._is_over
        self._is_over = True
        self._health.watches.discard(self)
        return not was_over


class BackendHealth(msgspec.Struct):
    """Health of one back end as seen by this node's requests.

    Attributes
    ----------
    watches
        Requests in flight.
    last_failed_at
        Time of the last recorded failure.
    """

    watches: set[AttemptWatch] = msgspec.field(default_factory=set)
    _succeeded: float = 0.0
    _failed: float = 0.0
    _counted_at: float = 0.0
    _latency_s: float = 0.0
    _measured_at: float = -math.inf
    last_failed_at: float = -math.inf

    def watch(self, now: float) -> AttemptWatch:
        """Start to track a request."""
        return AttemptWatch(self, now)

    def record_success(self, now: float) -> None:
        """Count a complete answer."""
        self._decay(now)
        self._succeeded += 1.0

    def record_failure(self, now: float, weight: float) -> None:
        """Count a failure with a weight."""
        self._decay(now)
        self._failed += weight
        self.last_failed_at = now

    def clear_failures(self) -> None:
        """Clear the failure count after the back end has served a request again."""
        self._failed = 0.0

    def record_latency(self, latency_s: float, now: float) -> None:
        """Add a time to the first part of an answer to the moving average."""
        if self.latency_s(now) is None:
            self._latency_s = latency_s
        self._latency_s += LATENCY_WEIGHT * (latency_s - self._latency_s)
        self._measured_at = now

    def latency_s(self, now: float) -> float | None:
        """Return the average time to the first part of an answer; ``None`` if unknown."""
        is_recent = now - self._measured_at <= LATENCY_EXPIRY_S
        return self._latency_s if is_recent else None

    def is_failing(self, now: float) -> bool:
        """Whether too many of its requests failed recently."""
        self._decay(now)
        all_ended = self._failed + self._succeeded
        return self._failed >= MIN_FAILURES and self._failed > MAX_FAILURE_SHARE * all_ended

    def is_stalled(self, now: float, stall_limit_s: float) -> bool:
        """Whether a request there has made no progress for too long."""
        return any(now - watch.last_progress_at > stall_limit_s for watch in self.watches)

    def max_wait_s(self, now: float) -> float:
        """Return the maximum time that a request has waited for the first part of its answer."""
        waiting = [now - watch.started_at for watch in self.watches if not watch.has_answered]
        return max(waiting, default=0.0)

    def is_slow(self, now: float, typical_s: float) -> bool:
        """Whether its latency is far above the typical one."""
        latency_s = self.latency_s(now)
        if latency_s is None:
            return False
        return latency_s > max(SLOW_FACTOR * typical_s, typical_s + SLOW_MARGIN_S)

    def _decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self._counted_at) / HALF_LIFE_S)
        self._succeeded *= factor
        self._failed *= factor
        self._counted_at = now


def typical_latency_s(backends: Sequence[BackendHealth], now: float) -> float:
    """Return the median latency of the back ends, in seconds; 0 if none is known."""
    known = [latency for health in backends if (latency := health.latency_s(now)) is not None]
    return median(known) if known else 0.0


def stall_limit_s(typical_s: float) -> float:
    """Return the time without progress, in seconds, after which a request is stalled."""
    return max(MIN_STALL_S, STALL_FACTOR * typical_s)


def congestion_level(health: BackendHealth, tolerated_s: float, now: float) -> int:
    """Return the wait there in multiples of the tolerated one, from 0 to the maximum level."""
    return min(MAX_CONGESTION_LEVEL, int(health.max_wait_s(now) / tolerated_s))


def find_outliers(backends: Sequence[BackendHealth], typical_s: float, now: float) -> set[int]:
    """Return the indexes of the outliers: back ends that fail, stall or are slow.

    Returns an empty set if more than ``MAX_OUTLIER_SHARE`` of the back ends qualify.
    """
    limit_s = stall_limit_s(typical_s)
    outliers = {
        index
        for index, health in enumerate(backends)
        if health.is_failing(now)
        or health.is_stalled(now, limit_s)
        or health.is_slow(now, typical_s)
    }
    return outliers if len(outliers) <= MAX_OUTLIER_SHARE * len(backends) else set()
