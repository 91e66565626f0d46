"""Decides which of a node's waiting requests of one service tries its back ends next, and when.

Owns the line of waiting requests and the pause before the next try. A request's turn is its leave
to try once (``RetryPermit``); the log lines ``room_wait_began`` and ``room_wait_ended`` show it.
Source: ``docs/design/plain-back-ends.md``, "Waiting".

A request that all back ends refused for want of room waits here until what is left of its
deadline is too little for an answer. The node's waiting requests form one line: the most
urgent first, the earliest first among equals. Only the first of the line tries again, after
pauses that begin short, grow with each refusal and are spread, so that the requests of one
node and of many nodes don't return together. When a call of this node ends at a back end,
the first of the line goes there at once.

Load that this answers: spells in which all places of a service are taken for a few call
times, seen by many nodes of which each has one or two calls under way.
"""

import math
from typing import NamedTuple

import msgspec

PAUSE_GROWTH = 2.0
"""Each refusal doubles the pause: two refusals in a row say that room is scarce for longer.
Not measured; chosen."""
PAUSE_SPREAD = 0.5
"""Pauses vary by this share to both sides, so that nodes refused together part. Not
measured; chosen."""


class PauseRange(msgspec.Struct, frozen=True):
    """Shortest and longest pause between tries, in seconds."""

    shortest_s: float
    longest_s: float


class WaitingCall(msgspec.Struct, eq=False, kw_only=True):
    """A request that waits for room; times are local.

    Attributes
    ----------
    request_id
        For the log.
    priority
        Its urgency (``Identity.urgency_on``): the tenant's rank before the route's; 0 is the
        most urgent.
    arrived_at
        When the request came; the calls of one program keep their order by it.
    give_up_at
        When what is left of its deadline is too little for an answer.
    joined_at
        When it began to wait.
    refusals
        How many of its turns ended refused.
    """

    request_id: str
    priority: int
    arrived_at: float
    give_up_at: float
    joined_at: float
    refusals: int = 0


class RetryPermit(msgspec.Struct, frozen=True):
    """Leave of a waiting request to try once.

    Attributes
    ----------
    offered
        The back end where a place got free; empty if the pause is over and none is known.
    """

    offered: str = ""


class _WaitOrder(NamedTuple):
    """Order of waiting requests; the first difference decides, and lower goes first."""

    refusals: int
    urgency: int
    arrived_at: float


class RoomQueue:
    """The waiting requests of one service at one node.

    Parameters
    ----------
    rotates
        Whether a request that was refused in its turn comes after those with fewer
        refusals. For back ends that may refuse one request for its size and take another.
    """

    def __init__(self, *, rotates: bool = False) -> None:
        self._rotates = rotates
        self._waiting: list[WaitingCall] = []
        self._pause_s = 0.0
        self._next_try_at = -math.inf

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def first(self) -> WaitingCall | None:
        """The request whose turn is next."""
        return min(self._waiting, key=self._order, default=None)

    def join(self, call: WaitingCall, pauses: PauseRange, now: float, draw: float) -> None:
        """Let a request wait.

        Parameters
        ----------
        draw
            Uniform from 0 to 1; spreads the pause before the next try.
        """
        is_new = call.refusals == 0
        if not is_new or not self._waiting:
            self._lengthen_pause(pauses, now, is_new=is_new)
            spread = 1.0 + PAUSE_SPREAD * (2.0 * draw - 1.0)
            self._next_try_at = max(self._next_try_at, now + self._pause_s * spread)
        self._waiting.append(call)

    def leave(self, call: WaitingCall) -> None:
        """Forget a request that no longer waits."""
        if call in self._waiting:
            self._waiting.remove(call)

    def take_turn(self, call: WaitingCall, pauses: PauseRange, now: float) -> RetryPermit | None:
        """Return the turn of a request if it has come; the request then no longer waits.

        The next one's turn comes when a refusal of this one would have arrived.
        """
        if call is not self.first or now < self._next_try_at or now >= call.give_up_at:
            return None
        self._waiting.remove(call)
        self._next_try_at = now + pauses.shortest_s
        return RetryPermit()

    def note_answered(self, now: float) -> None:
        """Note that a request of this node was served: room is less scarce than it seemed."""
        self._pause_s = 0.0

    def offer(self, now: float) -> WaitingCall | None:
        """Take the first request out, since a place got free; ``None`` if none waits."""
        live = [call for call in self._waiting if now < call.give_up_at]
        first = min(live, key=self._order, default=None)
        if first is not None:
            self._waiting.remove(first)
        return first

    def wakes_at(self, call: WaitingCall) -> float:
        """Return when a waiting request has to look again whether its turn has come."""
        if call is not self.first:
            return call.give_up_at
        return min(call.give_up_at, self._next_try_at)

    def longest_wait_s(self, now: float) -> float:
        """Return for how long the longest waiting request has waited."""
        return max((now - call.joined_at for call in self._waiting), default=0.0)

    def _lengthen_pause(self, pauses: PauseRange, now: float, *, is_new: bool) -> None:
        is_long_ago = now > self._next_try_at + pauses.longest_s
        if is_new and is_long_ago:
            self._pause_s = 0.0
        longer_s = self._pause_s * PAUSE_GROWTH
        self._pause_s = min(pauses.longest_s, max(pauses.shortest_s, longer_s))

    def _order(self, call: WaitingCall) -> _WaitOrder:
        refusals = call.refusals if self._rotates else 0
        return _WaitOrder(refusals, call.priority, call.arrived_at)
