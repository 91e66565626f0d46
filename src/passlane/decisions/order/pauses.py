"""Statistics of the pauses of programs between calls.

Pauses are grouped by their expected duration, rounded to a power of two. A program that has paused
for longer than a high quantile of its group is treated as overdue.
"""

import math
from collections import deque

from passlane.decisions.inputs.call_scheduler_config import RetentionConfig

MAX_SAMPLES = 512
MIN_SAMPLES = 50
SAMPLES_BETWEEN_SORTS = 32
MIN_EXPECTED_S = 0.01


class _PauseGroup:
    """Recent pauses of one group that ended with the program's return."""

    def __init__(self) -> None:
        self._pauses_s: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._since_sort = 0
        self._quantile_s: float | None = None

    def learn(self, pause_s: float) -> None:
        """Record the duration of a pause."""
        self._pauses_s.append(pause_s)
        self._since_sort += 1

    def quantile_s(self, quantile: float) -> float | None:
        """Return a quantile of the pauses, or ``None`` for fewer than ``MIN_SAMPLES``.

        The value is cached and updated once every ``SAMPLES_BETWEEN_SORTS`` pauses.
        """
        if len(self._pauses_s) < MIN_SAMPLES:
            return None
        if self._quantile_s is None or self._since_sort >= SAMPLES_BETWEEN_SORTS:
            ordered = sorted(self._pauses_s)
            self._quantile_s = ordered[int(quantile * (len(ordered) - 1))]
            self._since_sort = 0
        return self._quantile_s


class PauseStatistics:
    """Estimates when a paused program is unlikely to return.

    Parameters
    ----------
    config
        Quantile, margins and minimum times.
    """

    def __init__(self, config: RetentionConfig) -> None:
        self._config = config
        self._groups: dict[int, _PauseGroup] = {}

    def learn(self, expected_s: float, actual_s: float) -> None:
        """Record a pause that ended with the program's return."""
        self._group(expected_s).learn(actual_s)

    def overdue_after_s(self, expected_s: float, *, under_pressure: bool) -> float:
        """Return the duration of a pause after which the program's cache is released.

        1. With too few samples: a multiple of the expected duration, with a minimum.
        2. Otherwise: the quantile of the group, with a minimum, multiplied by a margin unless
           the cache is under pressure.
        """
        config = self._config
        typical_s = self._group(expected_s).quantile_s(config.return_quantile)
        if typical_s is None:
            return max(config.overdue_factor * expected_s, config.min_unlearned_s)
        margin = 1.0 if under_pressure else config.margin
        return max(typical_s * margin, config.min_overdue_s)

    def _group(self, expected_s: float) -> _PauseGroup:
        key = round(math.log2(max(expected_s, MIN_EXPECTED_S)))
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = _PauseGroup()
        return group
