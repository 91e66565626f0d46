"""Judges back ends by what requests show of them: failures, silence, slowness.

Answers "why was this back end avoided?": fields ``is_outlier``, ``long_queue`` and
``short_queue`` of ``backend_chosen``, and the line ``outliers_changed``. Owns what was seen of each
back end; times are local. Source: ``docs/design/relay-placement.md``, "What is known of a back
end". Measured in ``docs/measurements/platform-rounds.md``: "outliers by failures, silence,
slowness".

Health answers are not asked for: they may be false, and each costs the back end a slot.
A back end that is judged badly is used after all others, never not at all, and only
while most of its service does better: what all of them show is no fault of one.
"""

import math
from collections.abc import Sequence
from statistics import median

import msgspec

HALF_LIFE_S = 4.0
"""Seconds. Failures and successes count half after this long. Measured as part of the rule only
(see the module)."""
FEWEST_FAILURES = 1.0
LARGEST_FAILURE_SHARE = 0.2
"""A back end is an outlier with so many failures, if they are so large a share of all that
ended. Measured as part of the rule only (see the module)."""
STALL_WEIGHT = 2.0
"""A request that got no answer at all counts as this many failures. Measured as part of the rule
only (see the module)."""
LATENCY_WEIGHT = 0.2
"""Weight of a new sample in a back end's typical latency. Measured as part of the rule only (see
the module)."""
LATENCY_MEMORY_S = 3.0
"""Seconds. Without a sample for this long, a back end's latency counts as unknown. Measured as
part of the rule only (see the module)."""
SLOW_FACTOR = 3.0
SLOW_MARGIN_S = 0.1
"""A back end is slow beyond this multiple of the others' latency, and this many seconds above
it. Measured as part of the rule only (see the module)."""
STALL_FACTOR = 5.0
SHORTEST_STALL_S = 0.4
"""A request without progress for this multiple of the typical latency, and for so many seconds,
is stalled. Measured as part of the rule only (see the module)."""
LARGEST_OUTLIER_SHARE = 0.5
"""Share of a service; if more of it looks bad, none is an outlier. Measured as part of the rule
only (see the module)."""
HIGHEST_CONGESTION = 3
"""Multiples of the tolerated wait that are told apart. Not measured; chosen."""


class AttemptWatch:
    """Progress of one request at a back end; times are local."""

    def __init__(self, health: "BackendHealth", now: float) -> None:
        self._health = health
        self._is_over = False
        self.started_at = now
        self.has_answered = False
        self.last_progress_at = now
        health.watches.add(self)

    def progressed(self, now: float) -> None:
        """Note that a part of the answer arrived."""
        self.last_progress_at = now
        if not self.has_answered:
            self.has_answered = True
            self._health.note_latency(now - self.started_at, now)

    def succeeded(self, now: float) -> None:
        """Note that the answer is whole; later notes have no effect."""
        if self._end():
            self._health.note_success(now)

    def failed(self, now: float) -> None:
        """Note that the answer broke off or was a fault of the back end."""
        if self._end():
            self._health.note_failure(now, 1.0)

    def dropped(self, now: float, stall_limit_s: float) -> None:
        """Note that nobody waits any longer; a stalled request counts against the back end."""
        is_stalled = now - self.last_progress_at > stall_limit_s
        if self._end() and is_stalled:
            self._health.note_failure(now, STALL_WEIGHT)

    def _end(self) -> bool:
        """Stop watching; return whether that had not been done before."""
        was_over = self._is_over
        self._is_over = True
        self._health.watches.discard(self)
        return not was_over


class BackendHealth(msgspec.Struct):
    """What a node's requests have shown of one back end.

    Attributes
    ----------
    watches
        Requests under way.
    last_failed_at
        When the last failure was noted.
    """

    watches: set[AttemptWatch] = msgspec.field(default_factory=set)
    _succeeded: float = 0.0
    _failed: float = 0.0
    _counted_at: float = 0.0
    _latency_s: float = 0.0
    _measured_at: float = -math.inf
    last_failed_at: float = -math.inf

    def watch(self, now: float) -> AttemptWatch:
        """Begin to watch a request."""
        return AttemptWatch(self, now)

    def note_success(self, now: float) -> None:
        """Count a whole answer."""
        self._decay(now)
        self._succeeded += 1.0

    def note_failure(self, now: float, weight: float) -> None:
        """Count a failure."""
        self._decay(now)
        self._failed += weight
        self.last_failed_at = now

    def forgive(self) -> None:
        """Forget all failures: the back end has shown that it serves again."""
        self._failed = 0.0

    def note_latency(self, latency_s: float, now: float) -> None:
        """Take a time to the first part of an answer into the typical latency."""
        if self.latency_s(now) is None:
            self._latency_s = latency_s
        self._latency_s += LATENCY_WEIGHT * (latency_s - self._latency_s)
        self._measured_at = now

    def latency_s(self, now: float) -> float | None:
        """Return the typical time to the first part of an answer, if it is known."""
        is_recent = now - self._measured_at <= LATENCY_MEMORY_S
        return self._latency_s if is_recent else None

    def is_failing(self, now: float) -> bool:
        """Whether too many of its requests failed lately."""
        self._decay(now)
        all_ended = self._failed + self._succeeded
        return self._failed >= FEWEST_FAILURES and self._failed > LARGEST_FAILURE_SHARE * all_ended

    def is_stalled(self, now: float, stall_limit_s: float) -> bool:
        """Whether a request there has made no progress for too long."""
        return any(now - watch.last_progress_at > stall_limit_s for watch in self.watches)

    def longest_wait_s(self, now: float) -> float:
        """Return for how long a request there has waited for the first part of its answer."""
        waiting = [now - watch.started_at for watch in self.watches if not watch.has_answered]
        return max(waiting, default=0.0)

    def is_slow(self, now: float, typical_s: float) -> bool:
        """Whether it answers much later than others do."""
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
    """Return the latency that half of the back ends stay below; 0 if none is known."""
    known = [latency for health in backends if (latency := health.latency_s(now)) is not None]
    return median(known) if known else 0.0


def stall_limit_s(typical_s: float) -> float:
    """Return how long a request may rest before it counts as stalled."""
    return max(SHORTEST_STALL_S, STALL_FACTOR * typical_s)


def congestion_level(health: BackendHealth, tolerated_s: float, now: float) -> int:
    """Return how much longer than is tolerated requests wait there; 0 for no longer."""
    return min(HIGHEST_CONGESTION, int(health.longest_wait_s(now) / tolerated_s))


def find_outliers(backends: Sequence[BackendHealth], typical_s: float, now: float) -> set[int]:
    """Return the indexes of back ends that do worse than most of their service."""
    limit_s = stall_limit_s(typical_s)
    outliers = {
        index
        for index, health in enumerate(backends)
        if health.is_failing(now)
        or health.is_stalled(now, limit_s)
        or health.is_slow(now, typical_s)
    }
    return outliers if len(outliers) <= LARGEST_OUTLIER_SHARE * len(backends) else set()
