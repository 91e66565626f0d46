"""Virtual time for the loads: what happens when, and the steps that come of it."""

import heapq
from collections.abc import Callable, Iterator
from random import Random

from recorded_decisions.recording import Step

Act = Callable[[], Step | None]


class World:
    """What surrounds a machine; all that happens is drawn from one seeded source.

    Attributes
    ----------
    now
        Seconds of virtual time.
    """

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self._coming: list[tuple[float, int, Act]] = []
        self._count = 0

    def next_number(self) -> int:
        """Return a number that nothing else has."""
        self._count += 1
        return self._count

    def later(self, seconds: float, act: Act) -> None:
        """Let something happen so many seconds from now."""
        heapq.heappush(self._coming, (self.now + seconds, self.next_number(), act))

    def play(self, steps: int) -> Iterator[Step]:
        """Yield so many steps."""
        while steps > 0:
            self.now, _, act = heapq.heappop(self._coming)
            step = act()
            if step is not None:
                steps -= 1
                yield step
