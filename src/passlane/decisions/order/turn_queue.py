"""Answers which of the turns that wait for a slot goes first, over all nodes.

First rule first:

1. urgency: the lowest number first (``TurnQueue.in_order``);
2. turns of programs under way before programs that are new (``TurnQueue.in_order``);
3. of those under way, the one that must begin soonest for its program to be over in time;
   programs that can't be in time any more come after those that can, the longest waiting
   first, but no turn waits longer than ``LONGEST_LATE_WAIT_S`` for others of its urgency
   (``_UnderWay.in_order``);
4. new programs are shared out fairly among tenants by the service that they were given,
   and of one tenant the one that asked first, also if it was refused meanwhile, is first
   (``call_queue``);
5. programs that loop without end come after all others (``TurnQueue.in_order``).

One exception: an engine that has room may get the turn whose history it holds before one of the
same urgency (``TurnQueue.first_for``).

It owns the turns that wait of one service. It relies on ``program_progress`` for a turn's latest
start and whether its program loops, and on ``call_queue`` for the shares of tenants. Whether a
turn that has just asked must wait at all is answered in ``turn_precedence``.

Times are local monotonic seconds. A lower urgency goes first; 0 is the lowest.
"""

import bisect
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from passlane.decisions.inputs.call_events import CallArrived
from passlane.decisions.inputs.call_scheduler_config import QueueConfig
from passlane.decisions.inputs.turn_events import TurnAsked
from passlane.decisions.order.call_queue import CallQueue, QueuedCall
from passlane.identifiers import CallId, ProgramId, TenantId

LONGEST_LATE_WAIT_S = 0.3
"""Seconds that a turn of a program that is late waits for others of its urgency at most. Its
caller still wants the answer until the program has taken twice its time: with nine turns of 0.4 s
it bears some 0.3 s for each turn.

``turn_precedence`` holds back smaller turns for as long: without it 16 of 30 small turns that kept
coming got a slot and a large one beside them none (docs/incidents/waits-for-places.md)."""
LOOKAHEAD = 12
"""Turns of one urgency that are looked at for one whose history the engine holds: reading 4,000
tokens anew takes an engine 50 ms, and holds up all that it runs. Not measured; chosen."""
LONGEST_PASSED_OVER_S = 0.1
"""Seconds. A turn that has waited longer is not passed over by one whose history the engine holds:
it would cost its program more than the reading costs the engine. Nor do less urgent ones pass it
that return to their engine (``turn_precedence``): without this four of them went before an urgent
turn (docs/incidents/waits-for-places.md)."""
MOST_NEW_PROGRAMS = 2_000
"""New programs that wait at once; bounds memory. Few wait longer than half a second, so this is
several thousand a second. Not measured; chosen."""
_FIRST_TURNS = QueueConfig(max_calls=MOST_NEW_PROGRAMS, class_step_s=0.0, urgent_s=0.0)


class WaitingTurn(msgspec.Struct, frozen=True, kw_only=True):
    """A turn that waits, or is looked at to see whether it must.

    Attributes
    ----------
    asked_at
        When it asked; of a new program, when the program asked first.
    arrived_at
        When this attempt asked.
    latest_start
        When it must begin for its program to be in time.
    hold_until
        When it is refused unless it has a slot by then; ``inf`` for turns under way.
    """

    asked: TurnAsked
    asked_at: float
    arrived_at: float
    latest_start: float
    hold_until: float
    is_new_program: bool
    is_looping: bool = False

    @property
    def attempt_id(self) -> str:
        """The attempt that waits."""
        return self.asked.attempt_id

    @property
    def urgency(self) -> int:
        """The urgency of its requests; the lowest goes first."""
        return self.asked.demand.urgency


class _ArrivalKey(NamedTuple):
    """The turns among which the longest wait is looked for."""

    urgency: int
    is_new_program: bool


class _OrderKey(NamedTuple):
    """Sorts turns of programs under way."""

    latest_start: float
    attempt_id: str


class _UnderWay:
    """Waiting turns of programs under way, of one urgency, by their latest start."""

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
        """Yield turns, the first to be served first."""
        first_in_time = bisect.bisect_left(self._turns, _OrderKey(now, ""), key=_order_key)
        late = sorted(self._turns[:first_in_time], key=lambda turn: turn.asked_at)
        overdue = [turn for turn in late if now - turn.asked_at >= LONGEST_LATE_WAIT_S]
        yield from overdue
        yield from self._turns[first_in_time:]
        yield from late[len(overdue) :]


def _order_key(turn: WaitingTurn) -> _OrderKey:
    return _OrderKey(turn.latest_start, turn.attempt_id)


class TurnQueue:
    """Waiting turns of one service."""

    def __init__(self) -> None:
        self._under_way: dict[int, _UnderWay] = {}
        self._new = CallQueue(_FIRST_TURNS)
        self._looping: dict[str, WaitingTurn] = {}
        self._turns: dict[str, WaitingTurn] = {}
        self._arrivals: dict[_ArrivalKey, dict[str, float]] = {}

    def __len__(self) -> int:
        return len(self._turns)

    @property
    def new_programs(self) -> int:
        """New programs that wait."""
        return len(self._new)

    @property
    def under_way(self) -> int:
        """Turns of programs under way that wait, those of looping programs left out."""
        return len(self._turns) - len(self._new) - len(self._looping)

    def add(self, turn: WaitingTurn) -> None:
        """Let a turn wait."""
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
            self._under_way.setdefault(turn.urgency, _UnderWay()).add(turn)

    def remove(self, attempt_id: str) -> WaitingTurn | None:
        """Take a turn out; ``None`` if it does not wait here."""
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

    def charge(self, asked: TurnAsked, service_s: float) -> None:
        """Count what a turn gets towards its tenant's share."""
        self._new.charge(_call_of(asked, 0.0), service_s)

    def is_before_new(self, urgency: int) -> bool:
        """Whether a turn waits that goes before a new program of an urgency."""
        return any(len(turns) > 0 and known <= urgency for known, turns in self._under_way.items())

    def longest_more_urgent_wait_s(self, urgency: int, now: float) -> float:
        """Return for how long a more urgent one has waited, at most; 0 without one."""
        more_urgent = (key for key in self._arrivals if key.urgency < urgency)
        return max((self._longest_wait_s(key, now) for key in more_urgent), default=0.0)

    def longest_wait_under_way_s(self, urgency: int, now: float) -> float:
        """Return for how long one as urgent and of a program under way has waited, at most."""
        return self._longest_wait_s(_ArrivalKey(urgency, False), now)

    def _longest_wait_s(self, key: _ArrivalKey, now: float) -> float:
        """Return the wait of the one that came first."""
        return now - next(iter(self._arrivals.get(key, {}).values()), now)

    def in_order(self, now: float) -> Iterator[WaitingTurn]:
        """Yield waiting turns, the first to be served first; not to be changed meanwhile."""
        new = self._new.in_order(now, MOST_NEW_PROGRAMS)
        next_new = self._next_of(new)
        for urgency in sorted(self._under_way):
            while next_new is not None and next_new.urgency < urgency:
                yield next_new
                next_new = self._next_of(new)
            yield from self._under_way[urgency].in_order(now)
        while next_new is not None:
            yield next_new
            next_new = self._next_of(new)
        yield from self._looping.values()

    def first_for(self, instance_id: str, now: float) -> WaitingTurn | None:
        """Return the turn that is to go to an engine that has room.

        That is the first in order, or one as urgent that is not far behind it and whose history
        the engine holds; ``None`` if none waits.
        """
        first: WaitingTurn | None = None
        for number, turn in enumerate(self.in_order(now)):
            if first is None:
                first = turn
                if turn.is_new_program or now - turn.asked_at > LONGEST_PASSED_OVER_S:
                    return turn
            if number >= LOOKAHEAD or turn.urgency != first.urgency or turn.is_new_program:
                break
            if turn.asked.used_last == instance_id:
                return turn
        return first

    def take_held_too_long(self, now: float) -> list[WaitingTurn]:
        """Take out and return the turns that are to be refused by now."""
        expired = [self._turns.pop(queued.call.call_id) for queued in self._new.take_expired(now)]
        for turn in expired:
            del self._arrivals[_arrival_key(turn)][turn.attempt_id]
        looping = [turn for turn in self._looping.values() if turn.hold_until <= now]
        for turn in looping:
            self.remove(turn.attempt_id)
        return expired + looping

    def _next_of(self, new: Iterator[QueuedCall]) -> WaitingTurn | None:
        queued = next(new, None)
        return self._turns[queued.call.call_id] if queued is not None else None


def _arrival_key(turn: WaitingTurn) -> _ArrivalKey:
    return _ArrivalKey(turn.urgency, turn.is_new_program)


def _call_of(asked: TurnAsked, hold_until: float) -> CallArrived:
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
