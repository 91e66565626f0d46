"""Sliding-window counter of grants, with the wait until more of them fit.

``quota_ledger`` uses it. It owns the grants of one window in short time buckets. Times are local
monotonic seconds; amounts are requests or the expected requests of programs.
"""

import math
from bisect import bisect_left

import msgspec

BUCKET_S = 0.05
"""Seconds; length of a bucket, whose grants count as of its end."""
MOVE_TOLERANCE_S = 0.2
"""Seconds; longer than a grant takes from the leader to a busy node."""


class _Bucket(msgspec.Struct):
    """Grants that count as made at the time ``at``."""

    at: float
    count: float


class SlidingWindow:
    """Grants within the last ``span_s`` seconds.

    A grant for a time in the future counts at once, so that a later request can't use its
    capacity.
    """

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._buckets: list[_Bucket] = []
        self._total = 0.0

    def total(self, now: float) -> float:
        """Return the count within the span that ends at ``now``, future grants included."""
        self._remove_expired(now - self._span_s)
        return self._total

    def wait_s(self, count: float, capacity: float, now: float) -> float:
        """Return the seconds until ``count`` more fit ``capacity``; infinity if they never do."""
        excess = self.total(now) + count - capacity
        if excess <= 0:
            return 0.0
        for bucket in self._buckets:
            excess -= bucket.count
            if excess <= 0:
                return max(0.0, bucket.at + self._span_s - now)
        return math.inf

    def add(self, count: float, at: float) -> None:
        """Add a grant for the time ``at``."""
        at = math.ceil(at / BUCKET_S) * BUCKET_S
        index = bisect_left(self._buckets, at, key=_bucket_time)
        if index < len(self._buckets) and self._buckets[index].at == at:
            self._buckets[index].count += count
        else:
            self._buckets.insert(index, _Bucket(at, count))
        self._total += count

    def move(self, scheduled_at: float, at: float) -> None:
        """Move one request from its scheduled time to ``at``, if it is still in the window.

        The scheduled time may be up to ``MOVE_TOLERANCE_S`` late, as the requester saw it.
        """
        scheduled_at = math.ceil(scheduled_at / BUCKET_S) * BUCKET_S
        index = bisect_left(self._buckets, scheduled_at, key=_bucket_time)
        if index == len(self._buckets) or self._buckets[index].at != scheduled_at:
            index -= 1
        if index < 0 or self._buckets[index].at < scheduled_at - MOVE_TOLERANCE_S:
            return
        bucket = self._buckets[index]
        if bucket.count < 1:
            return
        bucket.count -= 1
        self._total -= 1
        if bucket.count <= 0:
            del self._buckets[index]
        self.add(1, at)

    def remove_newest(self, count: float) -> None:
        """Subtract ``count``, beginning with the newest bucket; the total stays at least 0."""
        while count > 0 and self._buckets:
            newest = self._buckets[-1]
            removed = min(count, newest.count)
            newest.count -= removed
            self._total -= removed
            count -= removed
            if newest.count <= 0:
                self._buckets.pop()

    def _remove_expired(self, horizon: float) -> None:
        index = 0
        while index < len(self._buckets) and self._buckets[index].at <= horizon:
            self._total -= self._buckets[index].count
            index += 1
        if index:
            del self._buckets[:index]


def _bucket_time(bucket: _Bucket) -> float:
    return bucket.at
