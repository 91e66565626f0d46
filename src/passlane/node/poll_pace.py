"""How often each watched engine is polled, so that all polls together stay bounded.

At the size that is designed for a node watches far more engines than it can poll often:
a poll costs one to two milliseconds of processor time. Engines that this node sends calls to
come first; for the others an old report is enough, since nothing of this node runs there.
"""

from collections.abc import Collection

from passlane.identifiers import EngineId

ACTIVE_S = 10.0
"""An engine counts as used for this long after a call was started on it."""


class PollPace:
    """Tells the interval between two polls of an engine.

    Parameters
    ----------
    active_interval_s, idle_interval_s
        Wanted interval of an engine that this node uses, and of any other.
    max_polls_per_s
        Bound on all polls together; the intervals grow in proportion to keep it.
    """

    def __init__(
        self, active_interval_s: float, idle_interval_s: float, max_polls_per_s: float
    ) -> None:
        self._active_interval_s = active_interval_s
        self._idle_interval_s = idle_interval_s
        self._max_polls_per_s = max_polls_per_s
        self._used_at: dict[EngineId, float] = {}

    def note_use(self, engine_id: EngineId, now: float) -> bool:
        """Note that a call was started on an engine; return whether it was idle before."""
        was_active = self.is_active(engine_id, now)
        self._used_at[engine_id] = now
        return not was_active

    def is_active(self, engine_id: EngineId, now: float) -> bool:
        """Whether this node has used the engine lately."""
        used_at = self._used_at.get(engine_id)
        return used_at is not None and now - used_at <= ACTIVE_S

    def interval_s(self, engine_id: EngineId, watched: Collection[EngineId], now: float) -> float:
        """Return the seconds from one poll of ``engine_id`` to the next."""
        active = sum(self.is_active(watched_id, now) for watched_id in watched)
        idle = len(watched) - active
        wanted_per_s = active / self._active_interval_s + idle / self._idle_interval_s
        stretch = max(1.0, wanted_per_s / self._max_polls_per_s)
        is_active = self.is_active(engine_id, now)
        return stretch * (self._active_interval_s if is_active else self._idle_interval_s)

    def forget(self, engine_id: EngineId) -> None:
        """Forget an engine that is watched no more."""
        self._used_at.pop(engine_id, None)
