"""Decides which waiting request of a service retries its back ends next, and when.

Owns a node's queue of requests that all back ends refused for lack of capacity, and the backoff
before the next retry. The log lines ``room_wait_began`` and ``room_wait_ended`` report each wait.

1. Requests are ordered by priority, then by arrival.
2. Only the first request retries, with exponential backoff and jitter, so that the requests of one
   or many nodes don't retry together.
3. When a request of this node ends at a back end, the first waiting request is sent there.
4. A request leaves the queue when the time left is too short for an answer.

It is for periods of a few response times in which all slots of a service are in use, seen by many
nodes that each have one or two requests there.
"""

import math
from typing import NamedTuple

import msgspec

PAUSE_GROWTH = 2.0
"""Factor by which each refusal extends the pause."""
PAUSE_SPREAD = 0.5
"""Maximum jitter in both directions as a share of the pause, so that nodes refused together don't
retry together."""


class PauseRange(msgspec.Struct, frozen=True):
    """Minimum and maximum pause between retries, in seconds."""

    shortest_s: float
    longest_s: float


class WaitingCall(msgspec.Struct, eq=False, kw_only=True):
    """A request that waits for capacity; times are local.

    Attributes
    ----------
    request_id
        ID for log lines.
    priority
        Urgency of the request (``Identity.queue_rank_on``): the tenant's rank before the route's;
        0 is the most urgent.
    arrived_at
        Arrival time of the request; keeps the calls of one program in order.
    give_up_at
        Time at which the remaining time is too short for an answer.
    joined_at
        Time at which it began to wait.
    refusals
        Number of its retries that were refused.
    """

    request_id: str
    priority: int
    arrived_at: float
    give_up_at: float
    joined_at: float
    refusals: int = 0


class RetryPermit(msgspec.Struct, frozen=True):
    """Permission of a waiting request to retry once.

    Attributes
    ----------
    offered
        Back end with a free slot; empty if the pause is over and no free slot is known.
    """

    offered: str = ""


class _WaitOrder(NamedTuple):
    """Sort key of waiting requests."""

    refusals: int
    urgency: int
    arrived_at: float


class CapacityQueue:
    """The waiting requests of one service at one node.

    Parameters
    ----------
    demotes_refused
        Whether a refused request moves behind those with fewer refusals. For back ends that may
        refuse one request for its size and accept another.
    """

    def __init__(self, *, demotes_refused: bool = False) -> None:
        self._demotes_refused = demotes_refused
        self._waiting: list[WaitingCall] = []
        self._pause_s = 0.0
        self._next_retry_at = -math.inf

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def first(self) -> WaitingCall | None:
        """The request that retries next; ``None`` if none waits."""
        return min(self._waiting, key=self._order, default=None)

    def join(self, call: WaitingCall, pauses: PauseRange, now: float, draw: float) -> None:
        """Add a request and extend the pause if it was refused or the queue was empty.

        Parameters
        ----------
        call
            The request.
        pauses
            Bounds of the pause.
        now
            Current time.
        draw
            Uniform random number from 0 to 1 for jitter.
        """
        is_new = call.refusals == 0
        if not is_new or not self._waiting:
            self._extend_pause(pauses, now, is_new=is_new)
            spread = 1.0 + PAUSE_SPREAD * (2.0 * draw - 1.0)
            self._next_retry_at = max(self._next_retry_at, now + self._pause_s * spread)
        self._waiting.append(call)

    def leave(self, call: WaitingCall) -> None:
        """Remove a request that no longer waits."""
        if call in self._waiting:
            self._waiting.remove(call)

    def try_acquire_permit(
        self, call: WaitingCall, pauses: PauseRange, now: float
    ) -> RetryPermit | None:
        """Return a permit and remove the request if it may retry now; otherwise ``None``.

        The next request may retry once a refusal of this one would have been received.
        """
        if call is not self.first or now < self._next_retry_at or now >= call.give_up_at:
            return None
        self._waiting.remove(call)
        self._next_retry_at = now + pauses.shortest_s
        return RetryPermit()

    def note_answered(self, now: float) -> None:
        """Record that a request of this node was served, and reset the pause."""
        self._pause_s = 0.0

    def offer(self, now: float) -> WaitingCall | None:
        """Remove and return the first request for a free slot; ``None`` if none waits."""
        live = [call for call in self._waiting if now < call.give_up_at]
        first = min(live, key=self._order, default=None)
        if first is not None:
            self._waiting.remove(first)
        return first

    def wakes_at(self, call: WaitingCall) -> float:
        """Return when a waiting request must check again whether it may retry."""
        if call is not self.first:
            return call.give_up_at
        return min(call.give_up_at, self._next_retry_at)

    def max_wait_s(self, now: float) -> float:
        """Return the longest wait of a waiting request, in seconds."""
        return max((now - call.joined_at for call in self._waiting), default=0.0)

    def _extend_pause(self, pauses: PauseRange, now: float, *, is_new: bool) -> None:
        is_stale = now > self._next_retry_at + pauses.longest_s
        if is_new and is_stale:
            self._pause_s = 0.0
        extended_s = self._pause_s * PAUSE_GROWTH
        self._pause_s = min(pauses.longest_s, max(pauses.shortest_s, extended_s))

    def _order(self, call: WaitingCall) -> _WaitOrder:
        refusals = call.refusals if self._demotes_refused else 0
        return _WaitOrder(refusals, call.priority, call.arrived_at)
