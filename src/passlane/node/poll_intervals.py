"""Poll intervals of the watched engines, within a bound on the total poll rate.

Every poll costs processor time, and a large fleet has more engines than a node can poll often.
Engines that run calls of this node are polled at a short interval. For idle ones a stale report
is sufficient.
"""

from collections.abc import Collection

from passlane.identifiers import EngineId

ACTIVE_WINDOW_S = 10.0
"""Time after the start of a call during which its engine counts as active."""


class PollIntervals:
    """Computes the interval between two polls of an engine.

    Parameters
    ----------
    active_interval_s, idle_interval_s
        Desired interval of an active engine, and of an idle one.
    max_polls_per_s
        Bound on the polls of all engines; intervals are scaled up in proportion to meet it.
    """

    def __init__(
        self, active_interval_s: float, idle_interval_s: float, max_polls_per_s: float
    ) -> None:
        self._active_interval_s = active_interval_s
        self._idle_interval_s = idle_interval_s
        self._max_polls_per_s = max_polls_per_s
        self._used_at: dict[EngineId, float] = {}

    def record_use(self, engine_id: EngineId, now: float) -> bool:
        """Record a call that starts on an engine; return whether the engine was idle before."""
        was_active = self.is_active(engine_id, now)
        self._used_at[engine_id] = now
        return not was_active

    def is_active(self, engine_id: EngineId, now: float) -> bool:
        """Return whether a call started on the engine within ``ACTIVE_WINDOW_S``."""
        used_at = self._used_at.get(engine_id)
        return used_at is not None and now - used_at <= ACTIVE_WINDOW_S

    def interval_s(self, engine_id: EngineId, watched: Collection[EngineId], now: float) -> float:
        """Return the seconds from one poll of ``engine_id`` to the next."""
        active = sum(self.is_active(watched_id, now) for watched_id in watched)
        idle = len(watched) - active
        desired_polls_per_s = active / self._active_interval_s + idle / self._idle_interval_s
        scale = max(1.0, desired_polls_per_s / self._max_polls_per_s)
        is_active = self.is_active(engine_id, now)
        return scale * (self._active_interval_s if is_active else self._idle_interval_s)

    def forget(self, engine_id: EngineId) -> None:
        """Remove an engine that is no longer watched."""
        self._used_at.pop(engine_id, None)
