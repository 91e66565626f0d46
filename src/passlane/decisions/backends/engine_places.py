"""What all nodes together have under way at each engine: places, tokens, pace, shared parts.

Kept by the one scheduler that places the turns of a service, so it is exact but for turns
whose end was lost with a node. Such a place is given back by time.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable, Iterator

import msgspec

from passlane.decisions.backends.health import BackendHealth, find_outliers
from passlane.decisions.backends.speed import EngineSpeed, FleetSpeed
from passlane.messages.listing import BackendRecord, BackendState
from passlane.messages.placement import TurnDemand, TurnOutcome

PACE_SMOOTHING = 0.03
"""Weight of one turn in an engine's pace. An engine of six places ends 20 to 40 turns a second,
so that its pace is that of the last second or two: a spell of 0.6 s moves it by less than half,
and a lasting change shows within two seconds."""
SHARED_PARTS_SHARE = 0.4
"""Share of an engine's memory in which shared parts are taken to be kept; the rest is for the
turns that run and for programs' own histories."""
FULL_PAUSE_S = 0.05
"""An engine that refused a turn as full gets none for this long: about the time in which one of
six turns of 0.3 s ends."""

LATE_END_S = 30.0
"""The end of a turn teaches for so long after its place was given back by time; bounds what is
kept of turns whose nodes were lost."""


class PlacedTurn(msgspec.Struct):
    """A turn that has a place.

    ``until`` is when the place is given back although nobody has told its end.
    """

    attempt_id: str
    program_id: str
    tokens: int
    placed_at: float
    expected_s: float
    expected_slowdown: float
    until: float


class EnginePlaces:
    """One engine as the scheduler sees it.

    Attributes
    ----------
    slowdown
        How much slower than others it is, as learnt and as of the last look.
    slots
        Turns that it runs at once.
    ended_at
        When it has last ended a turn whole.
    full_until
        Local time until which it refuses turns.
    """

    def __init__(self, record: BackendRecord, fleet_speed: FleetSpeed) -> None:
        self.replace_record(record)
        self.instance_id = record.instance_id
        self.slowdown = 1.0
        self.health = BackendHealth()
        self.turns: dict[str, PlacedTurn] = {}
        self.tokens = 0
        self.full_until = 0.0
        self.ended_at = -math.inf
        self.speed = EngineSpeed(fleet_speed, PACE_SMOOTHING)
        self._shared_parts: OrderedDict[str, int] = OrderedDict()

    def replace_record(self, record: BackendRecord) -> None:
        """Take over what the list of back ends says of it."""
        self.record = record
        self.slots = max(1, record.slots)

    def is_usable(self, now: float) -> bool:
        """Whether it takes new turns at this moment."""
        return self.record.state is BackendState.READY and now >= self.full_until

    def has_memory_for(self, tokens: int, memory_tokens: int) -> bool:
        """Whether the turns that run leave room for one of so many tokens."""
        if memory_tokens <= 0 or not self.turns:
            return True
        return self.tokens + tokens <= memory_tokens

    def take(self, turn: PlacedTurn) -> None:
        """Give a turn a place."""
        self.turns[turn.attempt_id] = turn
        self.tokens += turn.tokens

    def give_back(self, attempt_id: str) -> PlacedTurn | None:
        """Take a turn's place back; ``None`` if it has none here."""
        turn = self.turns.pop(attempt_id, None)
        if turn is not None:
            self.tokens -= turn.tokens
        return turn

    def holds_part(self, demand: TurnDemand) -> bool:
        """Whether it has lately read the part that a prompt begins with."""
        return demand.shared_part in self._shared_parts

    def note_part(self, demand: TurnDemand) -> None:
        """Note that it reads the part that a prompt begins with."""
        if not demand.shared_part:
            return
        self._shared_parts[demand.shared_part] = demand.shared_tokens
        self._shared_parts.move_to_end(demand.shared_part)
        room = SHARED_PARTS_SHARE * demand.memory_tokens
        while len(self._shared_parts) > 1 and sum(self._shared_parts.values()) > room > 0:
            self._shared_parts.popitem(last=False)

    def learn(self, turn: PlacedTurn, outcome: TurnOutcome, now: float) -> None:
        """Learn the engine's pace from a turn that it answered whole."""
        self.ended_at = now
        self.health.note_success(now)
        self.speed.learn(outcome.engine_s, turn.expected_s, turn.expected_slowdown, now)
        self.slowdown = self.speed.slowdown(now)


class EngineTable:
    """The engines of all services, and where each turn has its place."""

    def __init__(self) -> None:
        self._engines: dict[str, EnginePlaces] = {}
        self._by_service: dict[str, list[EnginePlaces]] = {}
        self._speeds: dict[str, FleetSpeed] = {}
        self._engine_of: dict[str, EnginePlaces] = {}
        self._usable: dict[str, list[EnginePlaces]] = {}
        self._expired: OrderedDict[str, tuple[EnginePlaces, PlacedTurn]] = OrderedDict()

    def replace_records(self, records: Iterable[BackendRecord]) -> None:
        """Take over the list of back ends; turns at those that are gone have no place."""
        known = self._engines
        self._usable = {}
        self._engines = {}
        self._by_service = {}
        for record in records:
            engine = known.get(record.instance_id)
            if engine is None:
                speed = self._speeds.setdefault(record.service, FleetSpeed())
                engine = EnginePlaces(record, speed)
            else:
                engine.replace_record(record)
            self._engines[record.instance_id] = engine
            self._by_service.setdefault(record.service, []).append(engine)
        for instance_id in known.keys() - self._engines.keys():
            for attempt_id in known[instance_id].turns:
                self._engine_of.pop(attempt_id, None)

    def get(self, instance_id: str) -> EnginePlaces | None:
        """Return an engine, ``None`` if it is not listed."""
        return self._engines.get(instance_id)

    def of_service(self, service: str) -> list[EnginePlaces]:
        """Return the engines of a service, those that are leaving included."""
        return self._by_service.get(service, [])

    def usable(self, service: str, now: float) -> list[EnginePlaces]:
        """Return the engines of a service that take turns, as of the last ``look_again``."""
        usable = self._usable.get(service)
        if usable is None:
            ready = [engine for engine in self.of_service(service) if engine.is_usable(now)]
            failing = find_outliers([engine.health for engine in ready], 0.0, now)
            usable = [engine for index, engine in enumerate(ready) if index not in failing]
            for engine in usable:
                engine.slowdown = engine.speed.slowdown(now)
            self._usable[service] = usable
        return usable

    def look_again(self) -> None:
        """Judge all engines anew: time has passed, or one of them has failed."""
        self._usable = {}

    def engine_of(self, attempt_id: str) -> EnginePlaces | None:
        """Return the engine at which a turn has a place."""
        return self._engine_of.get(attempt_id)

    def take(self, engine: EnginePlaces, turn: PlacedTurn) -> None:
        """Give a turn a place at an engine; a turn has one place at most."""
        self.give_back(turn.attempt_id)
        engine.take(turn)
        self._engine_of[turn.attempt_id] = engine

    def give_back(self, attempt_id: str) -> tuple[EnginePlaces, PlacedTurn] | None:
        """Take a turn's place back; ``None`` if it has none."""
        engine = self._engine_of.pop(attempt_id, None)
        turn = engine.give_back(attempt_id) if engine is not None else None
        return (engine, turn) if engine is not None and turn is not None else None

    def expire(self, now: float) -> list[EnginePlaces]:
        """Give back the places whose time is over; return engines that seem to hang.

        Such an engine has ended no turn since that one was placed; it stands there once for each
        place. One that ends others goes on: that turn is long, or its node is lost.
        """
        overdue = [
            (engine, turn)
            for engine in self._engines.values()
            for turn in engine.turns.values()
            if turn.until <= now
        ]
        for engine, turn in overdue:
            self.give_back(turn.attempt_id)
            self._expired[turn.attempt_id] = (engine, turn)
        self._forget_expired(now)
        return [engine for engine, turn in overdue if engine.ended_at < turn.placed_at]

    def take_expired(self, attempt_id: str) -> tuple[EnginePlaces, PlacedTurn] | None:
        """Return a turn whose place was given back by time, once; ``None`` if it is none."""
        return self._expired.pop(attempt_id, None)

    def _forget_expired(self, now: float) -> None:
        while self._expired:
            attempt_id, (_, turn) = next(iter(self._expired.items()))
            if now - turn.until < LATE_END_S:
                return
            del self._expired[attempt_id]

    def busy_share(self, service: str) -> float:
        """Return the taken share of the places of a service; 1 without engines."""
        engines = [e for e in self.of_service(service) if e.record.state is BackendState.READY]
        slots = sum(engine.slots for engine in engines)
        running = sum(len(engine.turns) for engine in engines)
        return running / slots if slots else 1.0

    def __iter__(self) -> Iterator[EnginePlaces]:
        return iter(self._engines.values())
