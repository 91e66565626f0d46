"""Response time estimates of a service, learned from this node's own calls.

Owns the typical response time of each route and the recent speed of a back end relative to it.
The estimates follow slow periods of a back end that last about half a second.
"""

import math

import msgspec

SAMPLE_WEIGHT = 0.1
"""Weight of a new sample in the moving average of response times."""
UNKNOWN_ANSWER_S = 0.03
"""Typical response time in seconds that is assumed before the first answer."""
MAX_ROUTES = 1_000
"""Maximum number of routes with a recorded time; all are cleared when it is exceeded."""
SPEED_WEIGHT = 0.3
"""Weight of a new sample in the moving average of a back end's speed."""
SPEED_DECAY_S = 0.5
"""Time constant, in seconds, with which a back end's slowness decays to 1 without calls. Slow
periods last no longer, and an older sample does not describe the present."""


class AnswerTimes:
    """Typical response times of one service, per route and over all routes.

    Attributes
    ----------
    typical_s
        Typical response time over all routes, in seconds.
    """

    def __init__(self) -> None:
        self.typical_s = UNKNOWN_ANSWER_S
        self._is_known = False
        self._routes: dict[str, float] = {}

    def of_route(self, route: str) -> float:
        """Return the typical response time of a route, or of the service if it is unknown."""
        return self._routes.get(route, self.typical_s)

    def record(self, route: str, seconds: float) -> float:
        """Record the time of a complete answer; return its ratio to the previous typical time."""
        baseline_s = self.of_route(route)
        ratio = seconds / baseline_s if baseline_s > 0 else 1.0
        if len(self._routes) >= MAX_ROUTES and route not in self._routes:
            self._routes.clear()
        previous_s = self._routes.get(route, seconds)
        self._routes[route] = previous_s + SAMPLE_WEIGHT * (seconds - previous_s)
        service_s = self.typical_s if self._is_known else seconds
        self.typical_s = service_s + SAMPLE_WEIGHT * (seconds - service_s)
        self._is_known = True
        return ratio


class RecentSpeed(msgspec.Struct):
    """Recent response times of a back end relative to the typical ones; 1 is typical."""

    _slowness: float = 1.0
    _measured_at: float = -math.inf

    def note(self, ratio: float, now: float) -> None:
        """Record a response time as a ratio to the typical time of its route."""
        current = self.slowness(now)
        self._slowness = current + SPEED_WEIGHT * (ratio - current)
        self._measured_at = now

    def slowness(self, now: float) -> float:
        """Return the expected ratio of a response time to the typical one."""
        decay = math.exp(-(now - self._measured_at) / SPEED_DECAY_S)
        return 1.0 + (self._slowness - 1.0) * decay
