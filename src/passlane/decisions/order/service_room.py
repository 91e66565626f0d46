"""Decides when a wait for room at one service is hopeless, and when its caller is to come back.

Owns what one node knows of the room at the service's back ends, and binds the parts together: times
of answers (``decisions.backends.answer_times``), the choice among plain back ends
(``decisions.placement.plain_placement``) and the line of waiting requests
(``decisions.order.room_queue``). Source: ``docs/design/plain-back-ends.md``.
"""

import math

from passlane.decisions.backends.answer_times import AnswerTimes
from passlane.decisions.failure.retry_after import retry_after_wait_s
from passlane.decisions.order.room_queue import PauseRange, RetryPermit, RoomQueue, WaitingCall
from passlane.decisions.placement.plain_placement import PlainBackends
from passlane.decisions.placement.request_placement import NodePlace

SHORTEST_PAUSE_S = 0.003
"""Seconds. A refusal takes a way to another zone and back: a shorter pause learns nothing. Not
measured; chosen."""
LONGEST_PAUSE_S = 0.1
"""Seconds. A caller whose objective is some hundred milliseconds bears no longer blind spell. Not
measured; chosen."""
WAIT_MEMORY_S = 1.0
"""Seconds. A wait that ended longer ago says nothing of the present one. Not measured; chosen."""


class ServiceRoom:
    """State of one service at one node; all times are local.

    Attributes
    ----------
    times
        How long answers take.
    plain
        The choice among back ends; ``None`` for model engines, which are chosen elsewhere.
    """

    def __init__(self, node: NodePlace, *, is_for_model: bool) -> None:
        self.times = AnswerTimes()
        self.plain = None if is_for_model else PlainBackends(node, self.times)
        self._queue = RoomQueue(rotates=is_for_model)
        self._slots = 1
        self._last_wait_s = 0.0
        self._last_wait_at = -math.inf

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def first(self) -> WaitingCall | None:
        """The waiting request whose turn is next."""
        return self._queue.first

    @property
    def pauses(self) -> PauseRange:
        """Pauses between tries.

        The shortest is the time in which a place of one back end gets free, the longest that
        in which all of them do.
        """
        longest_s = min(LONGEST_PAUSE_S, max(SHORTEST_PAUSE_S, self.times.typical_s))
        shortest_s = max(SHORTEST_PAUSE_S, self.times.typical_s / self._slots)
        return PauseRange(min(shortest_s, longest_s), longest_s)

    def gives_up_at(self, route: str, limit_at: float) -> float:
        """Return when a request that may last until ``limit_at`` has no time for an answer."""
        return limit_at - self.times.of_route(route)

    def join(self, call: WaitingCall, now: float, draw: float, slots: int) -> None:
        """Let a request wait for room at back ends with so many places each."""
        self._slots = max(1, slots)
        self._queue.join(call, self.pauses, now, draw)

    def leave(self, call: WaitingCall) -> None:
        """Forget a request that no longer waits."""
        self._queue.leave(call)

    def take_turn(self, call: WaitingCall, now: float) -> RetryPermit | None:
        """Return the turn of a waiting request if it has come."""
        return self._queue.take_turn(call, self.pauses, now)

    def wakes_at(self, call: WaitingCall) -> float:
        """Return when a waiting request has to look again."""
        return self._queue.wakes_at(call)

    def note_answered(
        self, instance_id: str, route: str, seconds: float, now: float
    ) -> WaitingCall | None:
        """Note a whole answer; return the request that gets the place, if one waits.

        Only a plain back end's place is handed on: at an engine others wait in its own queue.
        """
        ratio = self.times.note(route, seconds)
        self._queue.note_answered(now)
        if self.plain is None:
            return None
        self.plain.note_answered(instance_id, ratio, now)
        return self._queue.offer(now)

    def offer(self, now: float) -> WaitingCall | None:
        """Take out the request that gets a place that has got free; ``None`` if none waits."""
        return self._queue.offer(now)

    def note_wait_ended(self, call: WaitingCall, now: float) -> None:
        """Note that a request waits no longer, served or not."""
        self._last_wait_s = now - call.joined_at
        self._last_wait_at = now

    def come_back_s(self, now: float, draw: float) -> float:
        """Return the seconds after which a refused caller is likely to find room.

        Room is missing for about as long again as it has been: as the longest waiting request
        waits by now, or as the last one did.
        """
        is_recent = now - self._last_wait_at <= WAIT_MEMORY_S
        last_s = self._last_wait_s if is_recent else 0.0
        wait_s = max(self.times.typical_s, last_s, self._queue.longest_wait_s(now))
        return retry_after_wait_s(wait_s, draw)
