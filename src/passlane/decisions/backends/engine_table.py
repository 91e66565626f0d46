"""The engines of all services, and at which of them each turn has its slot.

It is for the scheduler of turns on the store group's leader, and answers whether an engine takes
turns at all. It owns the engines' slots (``engine_slots``); since one scheduler alone gives them,
they are exact but for turns whose end was lost with a node, whose slots are given back by time.
It relies on the list of back ends and on ``health`` for which engines fail.

Times are local monotonic seconds.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator

import msgspec

from passlane.decisions.backends.engine_slots import EngineSlots, PlacedTurn
from passlane.decisions.backends.health import find_outliers
from passlane.decisions.backends.incarnations import newest_starts
from passlane.decisions.backends.speed import FleetSpeed
from passlane.messages.listing import BackendRecord, BackendState

LATE_END_S = 30.0
"""The end of a turn teaches for so many seconds after its slot was given back by time; bounds
what is kept of turns whose nodes were lost. Not measured; chosen."""


class HeldSlot(msgspec.Struct, frozen=True):
    """A slot: the engine, and the turn that has it or had it."""

    engine: EngineSlots
    turn: PlacedTurn


class EngineSlotState(msgspec.Struct, frozen=True):
    """What an engine's slots are taken by, and whether turns are placed there.

    Attributes
    ----------
    is_usable, is_failing
        Whether it takes turns, and whether it fails more than the others.
    oldest_attempt, oldest_s
        The turn that has had its slot for longest, and for how long; empty and 0 without one.
    """

    engine: str
    slots: int
    running: int
    is_usable: bool
    is_failing: bool
    oldest_attempt: str
    oldest_s: float


class EngineTable:
    """The engines of all services, and where each turn has its slot."""

    def __init__(self) -> None:
        self._engines: dict[str, EngineSlots] = {}
        self._by_service: dict[str, list[EngineSlots]] = {}
        self._speeds: dict[str, FleetSpeed] = {}
        self._engine_of: dict[str, EngineSlots] = {}
        self._usable: dict[str, list[EngineSlots]] = {}
        self._expired: OrderedDict[str, HeldSlot] = OrderedDict()

    def __iter__(self) -> Iterator[EngineSlots]:
        return iter(self._engines.values())

    def begin_anew(self) -> None:
        """Forget the turns and what was learnt; the engines stay listed."""
        records = [engine.record for engine in self]
        self._engines = {}
        self._speeds = {}
        self._engine_of = {}
        self._expired = OrderedDict()
        self.replace_records(records)

    def replace_records(self, records: Iterable[BackendRecord]) -> None:
        """Take over the list of back ends; turns at earlier starts have no slot."""
        known = self._engines
        self._usable = {}
        self._engines = {}
        self._by_service = {}
        listed = newest_starts(records, [engine.record for engine in known.values()])
        for record in listed:
            engine = self._engine_for(record, known.get(record.incarnation))
            self._engines[record.incarnation] = engine
            self._by_service.setdefault(record.service, []).append(engine)
        for incarnation in known.keys() - self._engines.keys():
            for attempt_id in known[incarnation].turns:
                self._engine_of.pop(attempt_id, None)

    def _engine_for(self, record: BackendRecord, known: EngineSlots | None) -> EngineSlots:
        if known is None:
            return EngineSlots(record, self._speeds.setdefault(record.service, FleetSpeed()))
        known.replace_record(record)
        return known

    def get(self, incarnation: str) -> EngineSlots | None:
        """Return an engine, ``None`` if that start of it is not listed."""
        return self._engines.get(incarnation)

    def of_service(self, service: str) -> list[EngineSlots]:
        """Return the engines of a service, those that are leaving included."""
        return self._by_service.get(service, [])

    def usable(self, service: str, now: float) -> list[EngineSlots]:
        """Return the engines of a service that take turns, as of the last ``look_again``.

        Left out are those that leave, that lately refused a turn as full, and that fail more
        than the others (``health.find_outliers``).
        """
        usable = self._usable.get(service)
        if usable is None:
            ready = [engine for engine in self.of_service(service) if engine.is_usable(now)]
            failing = find_outliers([engine.health for engine in ready], 0.0, now)
            usable = [engine for index, engine in enumerate(ready) if index not in failing]
            for engine in usable:
                engine.slowdown = engine.speed.slowdown(now)
            self._usable[service] = usable
        return usable

    def on_trial(self, service: str, now: float) -> list[EngineSlots]:
        """Return engines that fail more than the others and may show that they serve again.

        They are for turns that find no slot at any other engine, one at a time.
        """
        usable = self.usable(service, now)
        if len(usable) == len(self.of_service(service)):
            return []
        left_out = (engine for engine in self.of_service(service) if engine not in usable)
        return [engine for engine in left_out if engine.may_try(now)]

    def note_served(self, engine: EngineSlots) -> None:
        """Judge all engines anew if one that was left out has served a turn.

        Only then: a judgement of 24 engines takes 64 us of the leader's processor (measured on an
        idle table), and some hundred turns end a second.
        """
        usable = self._usable.get(engine.record.service)
        if usable is not None and engine not in usable:
            self.look_again()

    def look_again(self) -> None:
        """Judge all engines anew: time has passed, or one of them has failed."""
        self._usable = {}

    def engine_of(self, attempt_id: str) -> EngineSlots | None:
        """Return the engine at which a turn has a slot."""
        return self._engine_of.get(attempt_id)

    def take(self, engine: EngineSlots, turn: PlacedTurn) -> None:
        """Give a turn a slot at an engine; a turn has one slot at most."""
        self.give_back(turn.attempt_id)
        engine.take(turn)
        self._engine_of[turn.attempt_id] = engine

    def give_back(self, attempt_id: str) -> HeldSlot | None:
        """Take a turn's slot back; ``None`` if it has none."""
        engine = self._engine_of.pop(attempt_id, None)
        turn = engine.give_back(attempt_id) if engine is not None else None
        return HeldSlot(engine, turn) if engine is not None and turn is not None else None

    def expire(self, now: float) -> list[EngineSlots]:
        """Give back the slots whose time is over; return engines that seem to hang.

        Such an engine has ended no turn since that one was placed; it stands there once for each
        slot. One that ends others goes on: that turn is long, or its node is lost.
        """
        overdue = [
            HeldSlot(engine, turn)
            for engine in self._engines.values()
            for turn in engine.turns.values()
            if turn.until <= now
        ]
        for held in overdue:
            self.give_back(held.turn.attempt_id)
            self._expired[held.turn.attempt_id] = held
        self._forget_expired(now)
        return [held.engine for held in overdue if held.engine.ended_at < held.turn.placed_at]

    def take_expired(self, attempt_id: str) -> HeldSlot | None:
        """Return a slot that was given back by time, once; ``None`` if the turn had none."""
        return self._expired.pop(attempt_id, None)

    def _forget_expired(self, now: float) -> None:
        while self._expired:
            attempt_id, held = next(iter(self._expired.items()))
            if now - held.turn.until < LATE_END_S:
                return
            del self._expired[attempt_id]

    def slot_states(self, service: str, now: float) -> list[EngineSlotState]:
        """Return how each engine of a service stands at this moment."""
        usable = {engine.incarnation for engine in self.usable(service, now)}
        states = []
        for engine in self.of_service(service):
            oldest = min(engine.turns.values(), key=lambda turn: turn.placed_at, default=None)
            state = EngineSlotState(
                engine=engine.incarnation,
                slots=engine.slots,
                running=len(engine.turns),
                is_usable=engine.incarnation in usable,
                is_failing=engine.health.is_failing(now),
                oldest_attempt=oldest.attempt_id if oldest is not None else "",
                oldest_s=round(now - oldest.placed_at, 3) if oldest is not None else 0.0,
            )
            states.append(state)
        return states

    def all_slots(self, service: str) -> int:
        """Return the slots of a service, those of engines that are leaving included."""
        return sum(engine.slots for engine in self.of_service(service))

    def busy_share(self, service: str) -> float:
        """Return the taken share of the slots of a service; 1 without engines."""
        engines = [e for e in self.of_service(service) if e.record.state is BackendState.READY]
        slots = sum(engine.slots for engine in engines)
        running = sum(len(engine.turns) for engine in engines)
        return running / slots if slots else 1.0

    def has_free_slot(self, service: str, now: float) -> bool:
        """Whether an engine that takes turns, or is on trial, has a slot that no turn has."""
        if any(len(engine.turns) < engine.slots for engine in self.usable(service, now)):
            return True
        return bool(self.on_trial(service, now))
