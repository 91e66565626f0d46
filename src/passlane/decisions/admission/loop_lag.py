"""How late the loop of a process runs: measured by when a timer fires."""

from collections import deque

SAMPLE_PERIOD_S = 0.25
"""Time between two samples: often enough to see what lasts as long as a turn's target."""
SAMPLE_WEIGHT = 0.3
"""Weight of a new sample in the mean: what has ended is forgotten within about a second."""
LARGEST_SAMPLE_S = 0.5
"""A sample counts this much at most: a process that was frozen once is not late for long."""
WORST_OF_S = 1.0
"""The worst sample is that of this span."""
_SAMPLES = int(WORST_OF_S / SAMPLE_PERIOD_S)


class LoopLag:
    """Mean and worst of the samples.

    Attributes
    ----------
    mean_s
        Exponentially weighted mean, in seconds.
    """

    def __init__(self) -> None:
        self._newest: deque[float] = deque(maxlen=_SAMPLES)
        self.mean_s = 0.0

    @property
    def worst_s(self) -> float:
        """The largest of the last second, in seconds."""
        return max(self._newest, default=0.0)

    def note(self, due_at: float, fired_at: float) -> None:
        """Note when a timer was due and when it fired."""
        lag_s = max(0.0, fired_at - due_at)
        self._newest.append(lag_s)
        self.mean_s += SAMPLE_WEIGHT * (min(lag_s, LARGEST_SAMPLE_S) - self.mean_s)
