"""Answers how much was granted within the last seconds, and from when on more may be.

It is for ``quota_ledger``. It owns the grants of one window, in short buckets of time, and relies
on moments of one clock: local monotonic seconds. Amounts are requests, or needs of programs.
"""

import math
from bisect import bisect_left

import msgspec

BUCKET_S = 0.05
"""Seconds; grants of so short a time are counted as one, as of its end: a hundredth of the usual
window. Not measured; chosen."""


class _Bucket(msgspec.Struct):
    """Grants that count as made at one moment."""

    at: float
    count: float


class SlidingWindow:
    """What was granted in any span of ``span_s``; moments may lie a little ahead.

    What counts at a moment to come counts already now, so that whoever asks later does
    not take its place.
    """

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._buckets: list[_Bucket] = []
        self._total = 0.0

    def total(self, now: float) -> float:
        """Return what was granted within the span that ends now, and ahead."""
        self._forget_before(now - self._span_s)
        return self._total

    def wait_s(self, count: float, capacity: float, now: float) -> float:
        """Return the seconds until ``count`` more stay within ``capacity``; 0 if they do."""
        excess = self.total(now) + count - capacity
        if excess <= 0:
            return 0.0
        for bucket in self._buckets:
            excess -= bucket.count
            if excess <= 0:
                return max(0.0, bucket.at + self._span_s - now)
        return math.inf

    def add(self, count: float, at: float) -> None:
        """Count what was granted for the moment ``at``."""
        at = math.ceil(at / BUCKET_S) * BUCKET_S
        index = bisect_left(self._buckets, at, key=_moment)
        if index < len(self._buckets) and self._buckets[index].at == at:
            self._buckets[index].count += count
        else:
            self._buckets.insert(index, _Bucket(at, count))
        self._total += count

    def move(self, granted_for: float, at: float) -> None:
        """Count one that was granted for a moment as of a later one, if it still counts."""
        granted_for = math.ceil(granted_for / BUCKET_S) * BUCKET_S
        index = bisect_left(self._buckets, granted_for, key=_moment)
        if index == len(self._buckets) or self._buckets[index].at != granted_for:
            return
        bucket = self._buckets[index]
        if bucket.count < 1:
            return
        bucket.count -= 1
        self._total -= 1
        if bucket.count <= 0:
            del self._buckets[index]
        self.add(1, at)

    def take_back(self, count: float) -> None:
        """Count so much less, from the newest on; never less than nothing."""
        while count > 0 and self._buckets:
            newest = self._buckets[-1]
            taken = min(count, newest.count)
            newest.count -= taken
            self._total -= taken
            count -= taken
            if newest.count <= 0:
                self._buckets.pop()

    def _forget_before(self, horizon: float) -> None:
        index = 0
        while index < len(self._buckets) and self._buckets[index].at <= horizon:
            self._total -= self._buckets[index].count
            index += 1
        if index:
            del self._buckets[:index]


def _moment(bucket: _Bucket) -> float:
    return bucket.at
