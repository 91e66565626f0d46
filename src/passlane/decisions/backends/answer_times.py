"""How long the answers of a service take, learnt from this node's own calls.

Load that this answers: calls of 13 to 52 ms side by side at one service, at back ends with
spells of half a second in which one is 2.5 times slower.
"""

import math

import msgspec

SAMPLE_WEIGHT = 0.1
"""Weight of a new sample in a typical time: some ten calls, a second of one node."""
UNKNOWN_ANSWER_S = 0.03
"""Taken for the typical time before the first answer."""
MOST_ROUTES = 1_000
"""Routes whose times are kept; more are forgotten all at once, some 100 KB."""
SPEED_WEIGHT = 0.3
SPEED_MEMORY_S = 0.5
"""A back end counts as usual again after about this long without a call: slow spells last
no longer, and an older sample says nothing of the present one."""


class AnswerTimes:
    """Typical times of whole answers of one service, by route and over all.

    Attributes
    ----------
    typical_s
        Over all routes.
    """

    def __init__(self) -> None:
        self.typical_s = UNKNOWN_ANSWER_S
        self._is_known = False
        self._routes: dict[str, float] = {}

    def of_route(self, route: str) -> float:
        """Return the typical time of a route's answers, or else of the service's."""
        return self._routes.get(route, self.typical_s)

    def note(self, route: str, seconds: float) -> float:
        """Take in the time of a whole answer; return its multiple of what was usual."""
        usual_s = self.of_route(route)
        ratio = seconds / usual_s if usual_s > 0 else 1.0
        if len(self._routes) >= MOST_ROUTES and route not in self._routes:
            self._routes.clear()
        before_s = self._routes.get(route, seconds)
        self._routes[route] = before_s + SAMPLE_WEIGHT * (seconds - before_s)
        service_s = self.typical_s if self._is_known else seconds
        self.typical_s = service_s + SAMPLE_WEIGHT * (seconds - service_s)
        self._is_known = True
        return ratio


class PresentSpeed(msgspec.Struct):
    """How a back end's answers compare with the usual at this moment; 1 is usual."""

    _slowness: float = 1.0
    _measured_at: float = -math.inf

    def note(self, ratio: float, now: float) -> None:
        """Take in a time as a multiple of what is usual for its route."""
        present = self.slowness(now)
        self._slowness = present + SPEED_WEIGHT * (ratio - present)
        self._measured_at = now

    def slowness(self, now: float) -> float:
        """Return the multiple of the usual time that is expected now."""
        faded = math.exp(-(now - self._measured_at) / SPEED_MEMORY_S)
        return 1.0 + (self._slowness - 1.0) * faded
