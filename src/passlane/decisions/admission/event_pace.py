"""Bounds how fast the events of one stream are taken from an engine; without I/O or clock.

Each event costs the process about the same work, however small it is. Engines generate some hundred
events a second for one stream; one that is faulty sends as many as are read.
"""

EVENTS_PER_S = 500.0
BURST_EVENTS = 200.0
"""Events that may come at once, from an engine or a path that has stalled."""


class EventPace:
    """The events of one answer.

    Parameters
    ----------
    now
        Local time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._taken_at = now
        self._ahead = 0.0

    def wait_s(self, events: int, now: float) -> float:
        """Return the seconds to wait after so many further events."""
        passed = (now - self._taken_at) * EVENTS_PER_S
        self._taken_at = now
        self._ahead = max(0.0, self._ahead - passed) + events
        return max(0.0, self._ahead - BURST_EVENTS) / EVENTS_PER_S
