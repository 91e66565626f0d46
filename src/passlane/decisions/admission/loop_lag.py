"""Event loop lag of a process, sampled as the delay of a periodic timer."""

from collections import deque

SAMPLE_PERIOD_S = 0.25
"""Interval between samples, short enough to detect lag that lasts as long as a turn's target."""
SAMPLE_WEIGHT = 0.3
"""Weight of a new sample in the mean, so that past lag decays within about a second."""
MAX_SAMPLE_S = 0.5
"""Upper bound of a sample in the mean, so that a single freeze does not dominate it."""
MAX_LAG_WINDOW_S = 1.0
"""Time window of ``worst_s``."""
_WINDOW_SAMPLES = int(MAX_LAG_WINDOW_S / SAMPLE_PERIOD_S)


class LoopLag:
    """Mean and maximum of the sampled lag.

    Attributes
    ----------
    mean_s
        Exponentially weighted mean, in seconds.
    """

    def __init__(self) -> None:
        self._recent_lags_s: deque[float] = deque(maxlen=_WINDOW_SAMPLES)
        self.mean_s = 0.0

    @property
    def worst_s(self) -> float:
        """Maximum lag in the last ``MAX_LAG_WINDOW_S``, in seconds."""
        return max(self._recent_lags_s, default=0.0)

    def note(self, due_at: float, fired_at: float) -> None:
        """Record when a timer was due and when it fired."""
        lag_s = max(0.0, fired_at - due_at)
        self._recent_lags_s.append(lag_s)
        self.mean_s += SAMPLE_WEIGHT * (min(lag_s, MAX_SAMPLE_S) - self.mean_s)
