"""Virtual time for the loads: scheduled actions and the steps that they produce."""

import heapq
from collections.abc import Callable, Iterator
from random import Random

from recorded_decisions.recording import Step

Act = Callable[[], Step | None]


class World:
    """Simulated environment of a machine; all random choices come from one seeded generator.

    Attributes
    ----------
    now
        Virtual time, in seconds.
    """

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self._scheduled: list[tuple[float, int, Act]] = []
        self._count = 0

    def next_number(self) -> int:
        """Return a unique sequence number."""
        self._count += 1
        return self._count

    def later(self, seconds: float, act: Act) -> None:
        """Schedule an action ``seconds`` from now."""
        heapq.heappush(self._scheduled, (self.now + seconds, self.next_number(), act))

    def play(self, steps: int) -> Iterator[Step]:
        """Run scheduled actions and yield the given number of steps."""
        while steps > 0:
            self.now, _, act = heapq.heappop(self._scheduled)
            step = act()
            if step is not None:
                steps -= 1
                yield step
