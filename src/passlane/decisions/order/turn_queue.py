"""Queue of the turns of one service that wait for a slot, and the order in which they get one.

The order, by decreasing precedence:

1. Urgency: the lowest number first; 0 is the lowest (``TurnQueue.in_order``).
2. Turns of programs under way before new programs (``TurnQueue.in_order``).
3. Among programs under way, the earliest latest start first. Overdue turns, whose latest start
   has passed, follow those that can still be on time, the longest waiting first. Overdue turns
   that have waited for ``MAX_OVERDUE_WAIT_S`` precede both (``_UnderWayTurns.in_order``).
4. New programs by fair shares of service among tenants, and within a tenant by the time of the
   first request, also after a refusal (``call_queue``).
5. Programs detected as endless loops after all others (``TurnQueue.in_order``).

Exception: an engine with free capacity may get a turn whose prefix it has cached before another
turn of the same urgency (``TurnQueue.first_for``). ``turn_precedence`` decides whether a new turn
must wait at all. Times are local monotonic seconds.
"""

import bisect
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from passlane.decisions.inputs.call_events import CallArrived
from passlane.decisions.inputs.call_scheduler_config import QueueConfig
from passlane.decisions.inputs.turn_events import TurnRequested
from passlane.decisions.order.call_queue import CallQueue, QueuedCall
from passlane.identifiers import CallId, ProgramId, TenantId

MAX_OVERDUE_WAIT_S = 0.3
"""Maximum wait of an overdue turn behind others of its urgency. Callers accept answers until a
program has taken twice its time, which leaves about this much for each turn.

``turn_precedence`` makes smaller turns wait once a large turn has waited this long, so that small
turns can't starve it of memory: otherwise 16 of 30 small turns got a slot, the large turn none."""
LOOKAHEAD_TURNS = 12
"""Number of turns of one urgency that are searched for one whose prefix the engine has cached.
Recomputing a prefix delays all turns of the engine."""
MAX_PASSED_OVER_S = 0.1
"""Wait after which a turn is not passed over any more, neither for a prefix that the engine has
cached nor by less urgent turns that return to their engine (``turn_precedence``), of which four
preceded an urgent turn otherwise."""
MAX_NEW_PROGRAMS = 2_000
"""Maximum number of waiting new programs; bounds memory."""
_NEW_PROGRAM_QUEUE = QueueConfig(max_calls=MAX_NEW_PROGRAMS, class_step_s=0.0, urgent_s=0.0)


class WaitingTurn(msgspec.Struct, frozen=True, kw_only=True):
    """A turn that waits, or that is checked for whether it must wait.

    Attributes
    ----------
    asked
        Request for the turn.
    asked_at
        Time of the request; for a new program, of the program's first request.
    arrived_at
        Time of this attempt's request.
    latest_start
        Latest time to begin for the program to meet its deadline.
    hold_until
        Time at which it is refused if it has no slot; ``inf`` for turns of programs under way.
    is_new_program
        Whether it is the first turn of a program.
    is_looping
        Whether its program has been detected as an endless loop.
    """

    asked: TurnRequested
    asked_at: float
    arrived_at: float
    latest_start: float
    hold_until: float
    is_new_program: bool
    is_looping: bool = False

    @property
    def attempt_id(self) -> str:
        """ID of the waiting attempt."""
        return self.asked.attempt_id

    @property
    def urgency(self) -> int:
        """Urgency of its requests; the lowest number is served first."""
        return self.asked.demand.urgency


class _ArrivalKey(NamedTuple):
    """Key of a group of turns whose longest wait is tracked."""

    urgency: int
    is_new_program: bool


class _OrderKey(NamedTuple):
    """Sort key of turns of programs under way."""

    latest_start: float
    attempt_id: str


class _UnderWayTurns:
    """Waiting turns of programs under way with one urgency, sorted by latest start."""

    def __init__(self) -> None:
        self._turns: list[WaitingTurn] = []

    def __len__(self) -> int:
        return len(self._turns)

    def add(self, turn: WaitingTurn) -> None:
        bisect.insort(self._turns, turn, key=_order_key)

    def remove(self, turn: WaitingTurn) -> None:
        index = bisect.bisect_left(self._turns, _order_key(turn), key=_order_key)
        del self._turns[index]

    def in_order(self, now: float) -> Iterator[WaitingTurn]:
        """Yield turns in the order of service.

        1. Overdue turns that have waited for ``MAX_OVERDUE_WAIT_S``, the longest waiting first.
        2. Turns that can still be on time, by latest start.
        3. Other overdue turns, the longest waiting first.
        """
        first_on_time = bisect.bisect_left(self._turns, _OrderKey(now, ""), key=_order_key)
        overdue = sorted(self._turns[:first_on_time], key=lambda turn: turn.asked_at)
        past_wait_limit = [turn for turn in overdue if now - turn.asked_at >= MAX_OVERDUE_WAIT_S]
        yield from past_wait_limit
        yield from self._turns[first_on_time:]
        yield from overdue[len(past_wait_limit) :]


def _order_key(turn: WaitingTurn) -> _OrderKey:
    return _OrderKey(turn.latest_start, turn.attempt_id)


class TurnQueue:
    """Waiting turns of one service."""

    def __init__(self) -> None:
        self._under_way: dict[int, _UnderWayTurns] = {}
        self._new = CallQueue(_NEW_PROGRAM_QUEUE)
        self._looping: dict[str, WaitingTurn] = {}
        self._turns: dict[str, WaitingTurn] = {}
        self._arrivals: dict[_ArrivalKey, dict[str, float]] = {}

    def __len__(self) -> int:
        return len(self._turns)

    @property
    def new_programs(self) -> int:
        """Number of waiting new programs."""
        return len(self._new)

    @property
    def under_way(self) -> int:
        """Number of waiting turns of programs under way, without looping programs."""
        return len(self._turns) - len(self._new) - len(self._looping)

    def add(self, turn: WaitingTurn) -> None:
        """Add a turn."""
        self._turns[turn.attempt_id] = turn
        if turn.is_looping:
            self._looping[turn.attempt_id] = turn
            return
        arrivals = self._arrivals.setdefault(_arrival_key(turn), {})
        arrivals[turn.attempt_id] = turn.arrived_at
        if turn.is_new_program:
            call = _call_of(turn.asked, turn.hold_until)
            self._new.add(call, 0, turn.asked_at, is_first=True)
        else:
            self._under_way.setdefault(turn.urgency, _UnderWayTurns()).add(turn)

    def remove(self, attempt_id: str) -> WaitingTurn | None:
        """Remove and return a turn; ``None`` if it is not in the queue."""
        turn = self._turns.pop(attempt_id, None)
        if turn is None:
            return None
        if turn.is_looping:
            del self._looping[attempt_id]
            return turn
        del self._arrivals[_arrival_key(turn)][attempt_id]
        if turn.is_new_program:
            self._new.remove(CallId(attempt_id))
        else:
            self._under_way[turn.urgency].remove(turn)
        return turn

    def charge(self, asked: TurnRequested, service_s: float) -> None:
        """Charge the service of a turn to its tenant's share."""
        self._new.charge(_call_of(asked, 0.0), service_s)

    def has_turn_before_new_program(self, urgency: int) -> bool:
        """Return whether a waiting turn precedes a new program of the given urgency."""
        return any(
            len(turns) > 0 and other_urgency <= urgency
            for other_urgency, turns in self._under_way.items()
        )

    def max_more_urgent_wait_s(self, urgency: int, now: float) -> float:
        """Return the longest wait of a more urgent turn, in seconds; 0 if there is none."""
        more_urgent = (key for key in self._arrivals if key.urgency < urgency)
        return max((self._max_wait_s(key, now) for key in more_urgent), default=0.0)

    def max_under_way_wait_s(self, urgency: int, now: float) -> float:
        """Return the longest wait of a turn under way with the same urgency, in seconds."""
        return self._max_wait_s(_ArrivalKey(urgency, False), now)

    def _max_wait_s(self, key: _ArrivalKey, now: float) -> float:
        """Return the wait of the turn that arrived first, in seconds; 0 if there is none."""
        return now - next(iter(self._arrivals.get(key, {}).values()), now)

    def in_order(self, now: float) -> Iterator[WaitingTurn]:
        """Yield waiting turns in the order of service.

        The queue must not be modified during the iteration.
        """
        new = self._new.in_order(now, MAX_NEW_PROGRAMS)
        next_new = self._next_new(new)
        for urgency in sorted(self._under_way):
            while next_new is not None and next_new.urgency < urgency:
                yield next_new
                next_new = self._next_new(new)
            yield from self._under_way[urgency].in_order(now)
        while next_new is not None:
            yield next_new
            next_new = self._next_new(new)
        yield from self._looping.values()

    def first_for(self, instance_id: str, now: float) -> WaitingTurn | None:
        """Return the turn to place on an engine with free capacity; ``None`` if none waits.

        1. If the first turn in order is a new program or has waited for more than
           ``MAX_PASSED_OVER_S``, that turn.
        2. Otherwise, among the turns of its urgency that are under way and within
           ``LOOKAHEAD_TURNS``, the first one whose program last used the engine.
        3. Otherwise the first turn in order.
        """
        first: WaitingTurn | None = None
        for number, turn in enumerate(self.in_order(now)):
            if first is None:
                first = turn
                if turn.is_new_program or now - turn.asked_at > MAX_PASSED_OVER_S:
                    return turn
            if number >= LOOKAHEAD_TURNS or turn.urgency != first.urgency or turn.is_new_program:
                break
            if turn.asked.used_last == instance_id:
                return turn
        return first

    def take_held_too_long(self, now: float) -> list[WaitingTurn]:
        """Remove and return the turns whose ``hold_until`` has passed."""
        expired = [self._turns.pop(queued.call.call_id) for queued in self._new.take_expired(now)]
        for turn in expired:
            del self._arrivals[_arrival_key(turn)][turn.attempt_id]
        looping = [turn for turn in self._looping.values() if turn.hold_until <= now]
        for turn in looping:
            self.remove(turn.attempt_id)
        return expired + looping

    def _next_new(self, new: Iterator[QueuedCall]) -> WaitingTurn | None:
        queued = next(new, None)
        return self._turns[queued.call.call_id] if queued is not None else None


def _arrival_key(turn: WaitingTurn) -> _ArrivalKey:
    return _ArrivalKey(turn.urgency, turn.is_new_program)


def _call_of(asked: TurnRequested, hold_until: float) -> CallArrived:
    demand = asked.demand
    return CallArrived(
        call_id=CallId(asked.attempt_id),
        program_id=ProgramId(asked.program_id),
        tenant_id=TenantId(demand.tenant),
        model=demand.service,
        prompt_tokens=demand.prompt_tokens,
        max_tokens=asked.most_tokens,
        deadline=hold_until,
        service_class=demand.urgency,
    )
