"""Virtual time as a heap of events; the fastest way to drive plain state machines."""

import heapq
from collections.abc import Callable


class EventHeap:
    """Runs actions in the order of their virtual time, then of their scheduling."""

    def __init__(self) -> None:
        self.now = 0.0
        self._next_number = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Run ``action`` at a virtual time in seconds, or now if that has passed."""
        heapq.heappush(self._heap, (max(time, self.now), self._next_number, action))
        self._next_number += 1

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run ``action`` so many seconds from now."""
        self.at(self.now + delay_s, action)

    def run(self, until: float, is_done: Callable[[], bool]) -> None:
        """Run actions until a time, or until ``is_done`` says so."""
        while self._heap and self._heap[0][0] <= until and not is_done():
            time, _, action = heapq.heappop(self._heap)
            self.now = time
            action()
