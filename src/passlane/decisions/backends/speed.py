"""Speed of engines, learned from the durations of calls against what was expected."""

import math

SMOOTHING = 0.2
FLEET_SMOOTHING = 0.02
MEMORY_S = 30.0
# Smaller deviations are noise of the batch and must not make a call leave its prefix.
IGNORED_DEVIATION = math.log(1.3)
MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 100.0


class FleetSpeed:
    """How much slower than assumed the engines are on the whole; the prior for each."""

    def __init__(self) -> None:
        self.slowdown = 1.0
        self._samples = 0

    def learn(self, slowdown: float) -> None:
        """Take in one call's slowdown."""
        # In logarithms, so that one engine that hangs does not move the whole fleet.
        self._samples += 1
        smoothing = max(FLEET_SMOOTHING, 1.0 / self._samples)
        step = smoothing * (math.log(slowdown) - math.log(self.slowdown))
        self.slowdown *= math.exp(step)


class EngineSpeed:
    """How much slower than assumed one engine is.

    What was learned fades towards the fleet's figure, so that an engine that was slow
    once is tried again.

    Parameters
    ----------
    smoothing
        Weight of one call in what is learned.
    """

    def __init__(self, fleet: FleetSpeed, smoothing: float = SMOOTHING) -> None:
        self._fleet = fleet
        self._smoothing = smoothing
        self._deviation = 0.0
        self._learned_at = 0.0

    def slowdown(self, now: float) -> float:
        """Return the factor on assumed durations."""
        return self._fleet.slowdown * self.against_fleet(now)

    def against_fleet(self, now: float) -> float:
        """Return the factor on what the fleet takes on the whole."""
        deviation = self._faded(now)
        return 1.0 if abs(deviation) < IGNORED_DEVIATION else math.exp(deviation)

    def learn(
        self, actual_s: float, expected_s: float, expected_slowdown: float, now: float
    ) -> None:
        """Take in the duration of a call.

        Parameters
        ----------
        expected_s, expected_slowdown
            Duration that was expected when the call was sent, and the slowdown that
            was already counted in it.
        """
        slowdown = actual_s / max(expected_s, 1e-6) * expected_slowdown
        slowdown = min(max(slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN)
        self._fleet.learn(slowdown)
        current = self._faded(now)
        target = math.log(slowdown / self._fleet.slowdown)
        self._deviation = current + self._smoothing * (target - current)
        self._learned_at = now

    def _faded(self, now: float) -> float:
        elapsed_s = max(now - self._learned_at, 0.0)
        return self._deviation * math.exp(-elapsed_s / MEMORY_S)
