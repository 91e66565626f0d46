"""How long programs pause between calls, learned by kind of pause.

Pauses are grouped by the power of two of the time that the node expects. When a program
has paused longer than nearly all that came back, it most likely never will.
"""

import math
from collections import deque

from passlane.decisions.inputs.call_scheduler_config import RetentionConfig

SAMPLES_KEPT = 512
SAMPLES_NEEDED = 50
SAMPLES_BETWEEN_SORTS = 32
MIN_EXPECTED_S = 0.01


class _Group:
    """Recent pauses of one kind that ended with the program's return."""

    def __init__(self) -> None:
        self._pauses_s: deque[float] = deque(maxlen=SAMPLES_KEPT)
        self._since_sort = 0
        self._quantile_s: float | None = None

    def learn(self, pause_s: float) -> None:
        """Take in one more pause."""
        self._pauses_s.append(pause_s)
        self._since_sort += 1

    def quantile_s(self, quantile: float) -> float | None:
        """Return the pause that this part of all stayed below, or ``None`` for too few.

        Sorting is put off, so the value may be a few pauses old.
        """
        if len(self._pauses_s) < SAMPLES_NEEDED:
            return None
        if self._quantile_s is None or self._since_sort >= SAMPLES_BETWEEN_SORTS:
            ordered = sorted(self._pauses_s)
            self._quantile_s = ordered[int(quantile * (len(ordered) - 1))]
            self._since_sort = 0
        return self._quantile_s


class PauseStatistics:
    """Tells after what time a paused program is taken as not returning."""

    def __init__(self, config: RetentionConfig) -> None:
        self._config = config
        self._groups: dict[int, _Group] = {}

    def learn(self, expected_s: float, actual_s: float) -> None:
        """Take in a pause that ended with the program's return."""
        self._group(expected_s).learn(actual_s)

    def overdue_after_s(self, expected_s: float, *, under_pressure: bool) -> float:
        """Return the length of a pause after which the program's cache is released."""
        config = self._config
        usual_s = self._group(expected_s).quantile_s(config.return_quantile)
        if usual_s is None:
            return max(config.overdue_factor * expected_s, config.min_unlearned_s)
        margin = 1.0 if under_pressure else config.margin
        return max(usual_s * margin, config.min_overdue_s)

    def _group(self, expected_s: float) -> _Group:
        key = round(math.log2(max(expected_s, MIN_EXPECTED_S)))
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = _Group()
        return group
