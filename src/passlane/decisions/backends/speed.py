"""Speed of engines, learned from actual and expected durations of calls.

Owns the slowdown of the fleet and each engine's deviation from it, which decays over time.
"""

import math

SMOOTHING = 0.2
FLEET_SMOOTHING = 0.02
DEVIATION_DECAY_S = 30.0
# Smaller deviations are batch noise and must not move a call away from its cached prefix.
MIN_DEVIATION = math.log(1.3)
MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 100.0


class FleetSpeed:
    """Slowdown of all engines together against assumed durations; the prior for each engine."""

    def __init__(self) -> None:
        self.slowdown = 1.0
        self._samples = 0

    def learn(self, slowdown: float) -> None:
        """Update the slowdown from one call."""
        # Averages logarithms, so that one hanging engine does not dominate the fleet's slowdown.
        self._samples += 1
        smoothing = max(FLEET_SMOOTHING, 1.0 / self._samples)
        step = smoothing * (math.log(slowdown) - math.log(self.slowdown))
        self.slowdown *= math.exp(step)


class EngineSpeed:
    """Slowdown of one engine against assumed durations.

    The learned value decays towards the fleet's slowdown, so that a formerly slow engine is
    used again.

    Parameters
    ----------
    smoothing
        Weight of one call in the moving average.
    """

    def __init__(self, fleet: FleetSpeed, smoothing: float = SMOOTHING) -> None:
        self._fleet = fleet
        self._smoothing = smoothing
        self._deviation = 0.0
        self._learned_at = 0.0

    def slowdown(self, now: float) -> float:
        """Return the factor on assumed durations at this engine."""
        return self._fleet.slowdown * self.against_fleet(now)

    def against_fleet(self, now: float) -> float:
        """Return the factor on the fleet's durations; 1 for small deviations."""
        deviation = self._decayed_deviation(now)
        return 1.0 if abs(deviation) < MIN_DEVIATION else math.exp(deviation)

    def learn(
        self, actual_s: float, expected_s: float, expected_slowdown: float, now: float
    ) -> None:
        """Update the speed from the duration of a call.

        Parameters
        ----------
        expected_s, expected_slowdown
            Duration that was expected when the call was sent, and the slowdown that it
            includes.
        """
        slowdown = actual_s / max(expected_s, 1e-6) * expected_slowdown
        slowdown = min(max(slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN)
        self._fleet.learn(slowdown)
        current = self._decayed_deviation(now)
        target = math.log(slowdown / self._fleet.slowdown)
        self._deviation = current + self._smoothing * (target - current)
        self._learned_at = now

    def _decayed_deviation(self, now: float) -> float:
        elapsed_s = max(now - self._learned_at, 0.0)
        return self._deviation * math.exp(-elapsed_s / DEVIATION_DECAY_S)
