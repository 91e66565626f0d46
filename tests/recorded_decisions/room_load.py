"""Calls of one node that need capacity at plain back ends and at model engines.

The slots of a back end are shared with other nodes, which are not simulated: periodically nearly
all slots are in use. A refused call waits to retry or for a slot that is released, and is
abandoned when its time is up. Back ends join, leave, fail and are slow at times.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from recorded_decisions.names import (
    Address,
    AttemptWatch,
    BackendLoad,
    BackendRecord,
    BackendRegistry,
    BackendState,
    NodeLocation,
    PlainCall,
    PlainView,
    RoomTurn,
    ServiceCapacity,
    WaitingCall,
    record_failure,
    record_success,
)
from recorded_decisions.recording import Step
from recorded_decisions.world import World

SEED = 20_260_104
STEPS = {False: 6_000, True: 2_500}
"""Number of steps, by whether the back ends are model engines."""
CALLS_PER_S = 70.0
LIST_PERIOD_S = 0.5
LOOK_PERIOD_S = 0.2
PHASE_S = 0.9
BREAK_S = 0.5
"""Time for which a back end is silent before its connection breaks."""
BACKENDS = 19
FEW_BACKENDS = 4
HERE = NodeLocation("node-1", "a")
ROUTES = {"short": 0.02, "long": 0.08}


@dataclass
class _Call:
    """A call that has not ended."""

    waiting: WaitingCall
    route: str
    runs_once: bool
    limit_at: float
    tried: list[str] = field(default_factory=list)
    is_waiting: bool = False


class _Load(World):
    """One node that sends calls to one service."""

    def __init__(self, seed: int, *, is_for_model: bool) -> None:
        super().__init__(seed)
        self.registry = BackendRegistry()
        self.room = ServiceCapacity(HERE, is_for_model=is_for_model)
        self.calls: dict[WaitingCall, _Call] = {}
        self.later(0.0, self.list_backends)
        self.later(0.01, self.look)
        self.later(0.01, self.new_call)

    def step(self, kind: str, event: object, given: object) -> Step:
        return Step(kind, self.now, event, given)

    def loads(self) -> list[BackendLoad]:
        return self.registry.of_service("service")

    def is_scarce(self) -> bool:
        return int(self.now / PHASE_S) % 3 == 1

    # Backend lists and their state.

    def list_backends(self) -> Step:
        self.later(LIST_PERIOD_S, self.list_backends)
        backends = self.random.choice((FEW_BACKENDS, BACKENDS, BACKENDS))
        records = [
            BackendRecord(
                instance_id=f"backend-{number}",
                service="service",
                address=Address(host=f"10.0.0.{number}", port=9000),
                zone="abc"[number % 3],
                slots=number % 4 * 2,
                state=BackendState.READY,
            )
            for number in range(backends)
            if self.now == 0.0 or self.random.random() > 0.1
        ]
        return self.step("listed", records, self.registry.update(records, self.now))

    def look(self) -> Step:
        self.later(LOOK_PERIOD_S, self.look)
        room, first = self.room, self.room.first
        wakes_at = room.wakes_at(first) if first is not None else None
        times = [room.times.typical_s, *(room.times.of_route(route) for route in ROUTES)]
        return self.step("look", None, [len(room), first, wakes_at, room.pauses, times])

    # Calls.

    def new_call(self) -> Step:
        self.later(self.random.expovariate(CALLS_PER_S), self.new_call)
        limit_at = self.now + self.random.choice((0.15, 0.4, 1.0, 2.5))
        route = self.random.choice(tuple(ROUTES))
        waiting = WaitingCall(
            request_id=f"request-{self.next_number()}",
            priority=self.random.choice((0, 1, 1, 2)),
            arrived_at=self.now,
            give_up_at=self.room.gives_up_at(route, limit_at),
            joined_at=self.now,
        )
        call = _Call(waiting, route, self.random.random() < 0.3, limit_at)
        self.calls[waiting] = call
        return self.request_capacity(call, None)

    def request_capacity(self, call: _Call, turn: RoomTurn | None) -> Step:
        """Send a call to a back end, or queue it."""
        if self.room.plain is None:
            self.send(call, self.random.choice(self.loads()))
            return self.step("sent to engine", call.waiting, [turn])
        plain_call = PlainCall(call.route, call.runs_once, call.limit_at - self.now)
        choice = self.room.plain.choose(
            self.view(),
            plain_call,
            tried=call.tried,
            offered=turn.offered if turn is not None else "",
            must_try=turn is not None,
        )
        if choice is None:
            self.later(0.0, lambda: self.join(call))
        else:
            self.send(call, choice.load)
        kind = "choose" if turn is None else "choose in turn"
        return self.step(kind, plain_call, [turn, choice])

    def view(self) -> PlainView:
        judged = self.registry.evaluate_health("service", self.now)
        names = [load.record.instance_id for load in judged.loads]
        connected = [name for name in names if self.random.random() < 0.5]
        return PlainView(judged.loads, self.now, connected, judged.outliers)

    def send(self, call: _Call, load: BackendLoad) -> None:
        instance_id = load.record.instance_id
        load.in_flight += 1
        watch = load.health.watch(self.now)
        run_s = self.duration(call.route, instance_id)
        chance = self.random.random()
        if chance < (0.85 if self.is_scarce() else 0.05):
            self.later(0.003, lambda: self.refuse(call, load, watch))
        elif chance > 0.97:
            self.later(run_s + BREAK_S, lambda: self.break_off(call, load, watch))
        else:
            self.later(run_s, lambda: self.answer(call, load, watch))

    def duration(self, route: str, instance_id: str) -> float:
        number = int(instance_id.rpartition("-")[2])
        is_slow = (int(self.now / PHASE_S) + number) % 6 == 0
        run_s = self.random.lognormvariate(math.log(ROUTES[route]), 0.3)
        return run_s * (3.5 if is_slow else 1.0)

    def answer(self, call: _Call, load: BackendLoad, watch: AttemptWatch) -> Step:
        load.in_flight -= 1
        seconds = self.now - watch.started_at
        watch.progressed(self.now)
        watch.succeeded(self.now)
        record_success(load)
        instance_id = load.record.instance_id
        first = self.room.note_answered(instance_id, call.route, seconds, self.now)
        self.reassign_slot(first, instance_id)
        return self.step("answered", instance_id, [first])

    def reassign_slot(self, first: WaitingCall | None, instance_id: str) -> None:
        if first is not None:
            call = self.calls[first]
            self.stop_waiting(call)
            self.later(0.0, lambda: self.request_capacity(call, RoomTurn(instance_id)))

    def refuse(self, call: _Call, load: BackendLoad, watch: AttemptWatch) -> Step:
        load.in_flight -= 1
        watch.dropped(self.now, PHASE_S)
        call.tried.append(load.record.instance_id)
        if self.room.plain is not None:
            self.room.plain.record_refused(load.record.instance_id, self.now)
        if len(call.tried) < 3 and self.room.plain is not None:
            self.later(0.0, lambda: self.request_capacity(call, None))
        else:
            self.later(0.0, lambda: self.join(call))
        return self.step("refused", load.record, [load.in_flight])

    def break_off(self, call: _Call, load: BackendLoad, watch: AttemptWatch) -> Step:
        load.in_flight -= 1
        watch.failed(self.now)
        record_failure(load, self.now)
        if self.room.plain is not None:
            self.room.plain.record_broken(load.record.instance_id, self.now)
        first = self.room.offer(self.now)
        self.reassign_slot(first, load.record.instance_id)
        return self.step("broken off", load.record, [first])

    # Waiting.

    def join(self, call: _Call) -> Step:
        call.tried.clear()
        call.is_waiting = True
        if call.waiting.refusals == 0:
            call.waiting.joined_at = self.now
        self.room.join(call.waiting, self.now, self.random.random(), self.random.randint(0, 6))
        call.waiting.refusals += 1
        self.later(0.0, lambda: self.wake(call))
        return self.step("joined", call.waiting, [len(self.room), self.room.first])

    def wake(self, call: _Call) -> Step | None:
        if not call.is_waiting:
            return None
        turn = self.room.try_acquire_permit(call.waiting, self.now)
        if turn is not None:
            self.stop_waiting(call)
            self.later(0.0, lambda: self.request_capacity(call, turn))
            return self.step("turn", call.waiting, [turn])
        if self.now >= call.waiting.give_up_at:
            return self.give_up(call)
        wakes_at = self.room.wakes_at(call.waiting)
        self.later(min(0.02, max(0.0005, wakes_at - self.now)), lambda: self.wake(call))
        if call.waiting is not self.room.first:
            return None
        return self.step("no turn", call.waiting, [wakes_at])

    def give_up(self, call: _Call) -> Step:
        self.room.leave(call.waiting)
        self.room.leave(call.waiting)
        self.stop_waiting(call)
        retry_after_s = self.room.retry_after_s(self.now, self.random.random())
        return self.step("given up", call.waiting, [retry_after_s, len(self.room)])

    def stop_waiting(self, call: _Call) -> None:
        call.is_waiting = False
        self.room.note_wait_ended(call.waiting, self.now)


def room_steps() -> Iterator[Step]:
    """Yield the steps of the recorded run: at plain back ends, then at engines."""
    for is_for_model, steps in STEPS.items():
        yield from _Load(SEED, is_for_model=is_for_model).play(steps)
