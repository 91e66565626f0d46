"""Load reports that tell an engine's state as it was a while ago."""

from collections import deque
from dataclasses import dataclass

import msgspec

from passlane.messages.backends import EngineLoad


@dataclass(frozen=True, slots=True)
class _Sample:
    """The load at a time."""

    time: float
    load: EngineLoad


class LoadReports:
    """Keeps samples of the load and gives the newest that is old enough.

    Parameters
    ----------
    lag_s
        Least age of what is reported.
    interval_s
        Least time between two samples.
    """

    def __init__(self, lag_s: float, interval_s: float) -> None:
        self._lag_s = lag_s
        self._interval_s = interval_s
        self._samples: deque[_Sample] = deque()

    def is_due(self, now: float) -> bool:
        """Return whether a new sample should be taken."""
        return not self._samples or now - self._samples[-1].time >= self._interval_s

    def add(self, load: EngineLoad, now: float) -> None:
        """Take a sample and forget those that no report can need any more."""
        self._samples.append(_Sample(now, load))
        while len(self._samples) > 1 and self._samples[1].time <= now - self._lag_s:
            self._samples.popleft()

    def report(self, now: float) -> EngineLoad:
        """Return the newest sample that is at least the lag old, or else the oldest."""
        chosen = self._samples[0]
        for sample in self._samples:
            if sample.time <= now - self._lag_s:
                chosen = sample
        return msgspec.structs.replace(chosen.load, age_s=max(0.0, now - chosen.time))
