"""Tracks the requests of one service that wait for capacity at its back ends.

Decides when a wait is abandoned and what retry-after time a refused caller gets. Owns one node's
view of the service: response times (``decisions.backends.answer_times``), the choice among plain
back ends (``decisions.placement.plain_placement``) and the queue of waiting requests
(``decisions.order.capacity_queue``).
"""

import math

from passlane.decisions.backends.answer_times import AnswerTimes
from passlane.decisions.failure.retry_after import retry_after_wait_s
from passlane.decisions.order.capacity_queue import (
    CapacityQueue,
    PauseRange,
    RetryPermit,
    WaitingCall,
)
from passlane.decisions.placement.plain_placement import PlainBackends
from passlane.decisions.placement.request_placement import NodeLocation

MIN_PAUSE_S = 0.003
"""Above the round trip to another zone, within which a refusal is received."""
MAX_PAUSE_S = 0.1
"""Short compared with callers' latency objectives of some hundred milliseconds."""
RECENT_WAIT_S = 1.0
"""Time for which the last wait that ended is used to estimate the next one."""


class ServiceCapacity:
    """Capacity of one service as one node sees it; all times are local.

    Parameters
    ----------
    node
        The node and its zone.
    is_for_model
        Whether the back ends are model engines.

    Attributes
    ----------
    times
        Response times.
    plain
        State of plain back ends, used to choose among them; ``None`` for model engines.
    """

    def __init__(self, node: NodeLocation, *, is_for_model: bool) -> None:
        self.times = AnswerTimes()
        self.plain = None if is_for_model else PlainBackends(node, self.times)
        self._queue = CapacityQueue(demotes_refused=is_for_model)
        self._slots = 1
        self._last_wait_s = 0.0
        self._last_wait_at = -math.inf

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def first(self) -> WaitingCall | None:
        """The waiting request that retries next; ``None`` if none waits."""
        return self._queue.first

    @property
    def pauses(self) -> PauseRange:
        """Bounds of the pauses between retries.

        The minimum is the typical time until one slot of a back end is released, the maximum the
        typical time until all of them are.
        """
        longest_s = min(MAX_PAUSE_S, max(MIN_PAUSE_S, self.times.typical_s))
        shortest_s = max(MIN_PAUSE_S, self.times.typical_s / self._slots)
        return PauseRange(min(shortest_s, longest_s), longest_s)

    def gives_up_at(self, route: str, limit_at: float) -> float:
        """Return the latest time to begin an answer that ends by ``limit_at``."""
        return limit_at - self.times.of_route(route)

    def join(self, call: WaitingCall, now: float, draw: float, slots: int) -> None:
        """Add a waiting request for back ends with the given number of slots each."""
        self._slots = max(1, slots)
        self._queue.join(call, self.pauses, now, draw)

    def leave(self, call: WaitingCall) -> None:
        """Remove a request that no longer waits."""
        self._queue.leave(call)

    def try_acquire_permit(self, call: WaitingCall, now: float) -> RetryPermit | None:
        """Return a permit and remove the request if it may retry now; otherwise ``None``."""
        return self._queue.try_acquire_permit(call, self.pauses, now)

    def wakes_at(self, call: WaitingCall) -> float:
        """Return when a waiting request must check again whether it may retry."""
        return self._queue.wakes_at(call)

    def note_answered(
        self, instance_id: str, route: str, seconds: float, now: float
    ) -> WaitingCall | None:
        """Record a complete answer; return the waiting request that gets its slot, if any.

        Only slots of plain back ends are reassigned; engines have queues of their own.
        """
        ratio = self.times.record(route, seconds)
        self._queue.note_answered(now)
        if self.plain is None:
            return None
        self.plain.record_answered(instance_id, ratio, now)
        return self._queue.offer(now)

    def offer(self, now: float) -> WaitingCall | None:
        """Remove and return the first request for a free slot; ``None`` if none waits."""
        return self._queue.offer(now)

    def note_wait_ended(self, call: WaitingCall, now: float) -> None:
        """Record the end of a wait, whether the request was served or not."""
        self._last_wait_s = now - call.joined_at
        self._last_wait_at = now

    def retry_after_s(self, now: float, draw: float) -> float:
        """Return the retry-after time of a refused request, in seconds.

        The shortage is expected to last as long again as it has lasted so far: the maximum of the
        typical response time, the last wait if it ended recently, and the longest current wait.
        """
        is_recent = now - self._last_wait_at <= RECENT_WAIT_S
        recent_wait_s = self._last_wait_s if is_recent else 0.0
        wait_s = max(self.times.typical_s, recent_wait_s, self._queue.max_wait_s(now))
        return retry_after_wait_s(wait_s, draw)
