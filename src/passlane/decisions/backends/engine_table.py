"""Engines of all services, and the engine at which each turn has its slot.

Used by the turn scheduler on the store group's leader, which is the only one to assign slots. Owns
the engines' slots (``engine_slots``) and decides which engines are usable. Slots of turns whose
end is never reported, such as those of a lost node, expire. Relies on the list of back ends and
on ``health`` for failing engines.

Times are local monotonic seconds.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator

import msgspec

from passlane.decisions.backends.engine_slots import EngineSlots, PlacedTurn
from passlane.decisions.backends.health import find_outliers
from passlane.decisions.backends.incarnations import newest_incarnations
from passlane.decisions.backends.speed import FleetSpeed
from passlane.messages.listing import BackendRecord, BackendState

EXPIRED_SLOT_RETENTION_S = 30.0
"""Seconds for which an expired slot is retained so that a late end of its turn is still used."""


class AssignedSlot(msgspec.Struct, frozen=True):
    """A slot at an engine, with the turn that has or had it."""

    engine: EngineSlots
    turn: PlacedTurn


class EngineSlotState(msgspec.Struct, frozen=True):
    """Slot usage and availability of an engine.

    Attributes
    ----------
    is_usable, is_failing
        Whether it gets new turns, and whether too many of its turns failed recently.
    oldest_attempt, oldest_s
        Attempt that has had its slot for the longest time, and that time in seconds; empty and 0
        without one.
    """

    engine: str
    slots: int
    running: int
    is_usable: bool
    is_failing: bool
    oldest_attempt: str
    oldest_s: float


class EngineTable:
    """Engines of all services, with the slots that turns have there."""

    def __init__(self) -> None:
        self._engines: dict[str, EngineSlots] = {}
        self._by_service: dict[str, list[EngineSlots]] = {}
        self._speeds: dict[str, FleetSpeed] = {}
        self._engine_of: dict[str, EngineSlots] = {}
        self._usable: dict[str, list[EngineSlots]] = {}
        self._expired: OrderedDict[str, AssignedSlot] = OrderedDict()

    def __iter__(self) -> Iterator[EngineSlots]:
        return iter(self._engines.values())

    def reset(self) -> None:
        """Drop all turns and learned state; the engines stay listed."""
        records = [engine.record for engine in self]
        self._engines = {}
        self._speeds = {}
        self._engine_of = {}
        self._expired = OrderedDict()
        self.replace_records(records)

    def replace_records(self, records: Iterable[BackendRecord]) -> None:
        """Apply a list of back ends; turns at earlier incarnations lose their slots."""
        known = self._engines
        self._usable = {}
        self._engines = {}
        self._by_service = {}
        listed = newest_incarnations(records, [engine.record for engine in known.values()])
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
        """Return an engine by incarnation, ``None`` if it is not listed."""
        return self._engines.get(incarnation)

    def of_service(self, service: str) -> list[EngineSlots]:
        """Return the engines of a service, including draining ones."""
        return self._by_service.get(service, [])

    def usable(self, service: str, now: float) -> list[EngineSlots]:
        """Return the engines of a service that accept turns, as of the last ``reevaluate_engines``.

        Excludes engines that are draining, that recently refused a turn as full, or that are
        outliers by failures (``health.find_outliers``).
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

    def probe_candidates(self, service: str, now: float) -> list[EngineSlots]:
        """Return the excluded engines that a turn may probe.

        Only for turns that find no slot at any other engine; one turn per engine at a time.
        """
        usable = self.usable(service, now)
        if len(usable) == len(self.of_service(service)):
            return []
        excluded = (engine for engine in self.of_service(service) if engine not in usable)
        return [engine for engine in excluded if engine.may_probe(now)]

    def record_served(self, engine: EngineSlots) -> None:
        """Reevaluate the engines if an excluded one has served a turn.

        Does nothing for usable engines, since a reevaluation after each turn is too expensive.
        """
        usable = self._usable.get(engine.record.service)
        if usable is not None and engine not in usable:
            self.reevaluate_engines()

    def reevaluate_engines(self) -> None:
        """Discard the cached usable engines, so that the next lookup evaluates them again."""
        self._usable = {}

    def engine_of(self, attempt_id: str) -> EngineSlots | None:
        """Return the engine at which a turn has a slot."""
        return self._engine_of.get(attempt_id)

    def assign(self, engine: EngineSlots, turn: PlacedTurn) -> None:
        """Assign a slot at an engine to a turn and release the slot that the turn had before."""
        self.release(turn.attempt_id)
        engine.assign(turn)
        self._engine_of[turn.attempt_id] = engine

    def release(self, attempt_id: str) -> AssignedSlot | None:
        """Release a turn's slot and return it; ``None`` if it has none."""
        engine = self._engine_of.pop(attempt_id, None)
        turn = engine.release(attempt_id) if engine is not None else None
        return AssignedSlot(engine, turn) if engine is not None and turn is not None else None

    def expire(self, now: float) -> list[EngineSlots]:
        """Release overdue slots; return the engines that seem to hang, once for each such slot.

        An engine seems to hang if it has completed no turn since the overdue one was placed.
        Otherwise the turn is long, or its node is lost.
        """
        overdue = [
            AssignedSlot(engine, turn)
            for engine in self._engines.values()
            for turn in engine.turns.values()
            if turn.until <= now
        ]
        for slot in overdue:
            self.release(slot.turn.attempt_id)
            self._expired[slot.turn.attempt_id] = slot
        self._drop_expired(now)
        return [slot.engine for slot in overdue if slot.engine.ended_at < slot.turn.placed_at]

    def pop_expired(self, attempt_id: str) -> AssignedSlot | None:
        """Remove and return a turn's expired slot; ``None`` if there is none."""
        return self._expired.pop(attempt_id, None)

    def _drop_expired(self, now: float) -> None:
        while self._expired:
            attempt_id, slot = next(iter(self._expired.items()))
            if now - slot.turn.until < EXPIRED_SLOT_RETENTION_S:
                return
            del self._expired[attempt_id]

    def slot_states(self, service: str, now: float) -> list[EngineSlotState]:
        """Return the slot usage and availability of each engine of a service."""
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
        """Return the number of slots of a service, including those of draining engines."""
        return sum(engine.slots for engine in self.of_service(service))

    def busy_share(self, service: str) -> float:
        """Return the share of a service's slots in use; 1 without engines."""
        engines = [e for e in self.of_service(service) if e.record.state is BackendState.READY]
        slots = sum(engine.slots for engine in engines)
        running = sum(len(engine.turns) for engine in engines)
        return running / slots if slots else 1.0

    def has_free_slot(self, service: str, now: float) -> bool:
        """Whether a usable engine has a free slot, or an excluded one may be probed."""
        if any(len(engine.turns) < engine.slots for engine in self.usable(service, now)):
            return True
        return bool(self.probe_candidates(service, now))
