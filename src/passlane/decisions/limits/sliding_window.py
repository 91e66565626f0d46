"""Answers how much was granted within the last seconds, and from when on more may be.

It is for ``quota_ledger``. It owns the grants of one window, in short slots of time, and relies
on moments of one clock: local monotonic seconds. Amounts are requests, or needs of programs.
"""

import math
from bisect import bisect_left

import msgspec

SLOT_S = 0.05
"""Seconds; grants of so short a time are counted as one, as of its end: a hundredth of the usual
window. Not measured; chosen."""


class _Slot(msgspec.Struct):
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
        self._slots: list[_Slot] = []
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
        for slot in self._slots:
            excess -= slot.count
            if excess <= 0:
                return max(0.0, slot.at + self._span_s - now)
        return math.inf

    def add(self, count: float, at: float) -> None:
        """Count what was granted for the moment ``at``."""
        at = math.ceil(at / SLOT_S) * SLOT_S
        place = bisect_left(self._slots, at, key=_moment)
        if place < len(self._slots) and self._slots[place].at == at:
            self._slots[place].count += count
        else:
            self._slots.insert(place, _Slot(at, count))
        self._total += count

    def move(self, granted_for: float, at: float) -> None:
        """Count one that was granted for a moment as of a later one, if it still counts."""
        granted_for = math.ceil(granted_for / SLOT_S) * SLOT_S
        place = bisect_left(self._slots, granted_for, key=_moment)
        if place == len(self._slots) or self._slots[place].at != granted_for:
            return
        slot = self._slots[place]
        if slot.count < 1:
            return
        slot.count -= 1
        self._total -= 1
        if slot.count <= 0:
            del self._slots[place]
        self.add(1, at)

    def take_back(self, count: float) -> None:
        """Count so much less, from the newest on; never less than nothing."""
        while count > 0 and self._slots:
            newest = self._slots[-1]
            taken = min(count, newest.count)
            newest.count -= taken
            self._total -= taken
            count -= taken
            if newest.count <= 0:
                self._slots.pop()

    def _forget_before(self, horizon: float) -> None:
        place = 0
        while place < len(self._slots) and self._slots[place].at <= horizon:
            self._total -= self._slots[place].count
            place += 1
        if place:
            del self._slots[:place]


def _moment(slot: _Slot) -> float:
    return slot.at
