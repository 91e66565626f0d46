"""Requests of one node to engines and plain back ends, for the choice of a back end.

The duration of requests depends on the speed of their back end; some fail, stall or are dropped.
Back ends join, leave, are removed, and are slow or silent at times. The steps record the choices
and the health of each back end.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass

from recorded_decisions.names import (
    Address,
    AttemptWatch,
    BackendLoad,
    BackendRecord,
    BackendRegistry,
    BackendState,
    NodeLocation,
    PlacementChoice,
    PlacementKey,
    ServiceHealth,
    choose_backend,
    congestion_level,
    record_failure,
    record_success,
    stall_limit_s,
)
from recorded_decisions.recording import Step
from recorded_decisions.world import World

SEED = 20_260_103
STEPS = 5_000
REQUESTS_PER_S = 60.0
LIST_PERIOD_S = 0.9
LOOK_PERIOD_S = 0.25
PHASE_S = 3.0
MAX_TRIES = 3
SERVICES = {"model": 7, "plain": 6}
ZONES = "abb"
HERE = NodeLocation("node-1", "a")


@dataclass
class _Request:
    """A request and the back ends to which it was sent."""

    service: str
    key: PlacementKey
    tried: list[str]


@dataclass
class _Attempt:
    """A request at a back end."""

    request: _Request
    load: BackendLoad
    watch: AttemptWatch


class _Load(World):
    """Requests of one node."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.registry = BackendRegistry()
        self.used_last: dict[str, str] = {}
        self.later(0.0, self.list_backends)
        self.later(0.1, self.look)
        self.later(0.1, self.new_request)

    def step(self, kind: str, event: object, given: object) -> Step:
        return Step(kind, self.now, event, given)

    # Backend lists and their health.

    def list_backends(self) -> Step:
        self.later(LIST_PERIOD_S, self.list_backends)
        if self.random.random() < 0.2:
            self.registry.confirm(self.now)
            return self.step("confirmed", None, [self.registry.updated_at, len(self.registry)])
        missing = "plain" if self.random.random() < 0.1 else ""
        records = [
            self.record_of(service, number)
            for service, backends in SERVICES.items()
            for number in range(backends)
            if service != missing and (self.now == 0.0 or self.random.random() > 0.08)
        ]
        return self.step("listed", records, self.registry.update(records, self.now))

    def record_of(self, service: str, number: int) -> BackendRecord:
        is_draining = self.random.random() < 0.08
        return BackendRecord(
            instance_id=f"{service}-{number}",
            service=service,
            address=Address(host=f"10.0.0.{number}", port=9000),
            zone=ZONES[number % len(ZONES)],
            slots=number % 4 * 3,
            state=BackendState.DRAINING if is_draining else BackendState.READY,
        )

    def look(self) -> Step:
        """Record the health of all back ends of a service."""
        self.later(LOOK_PERIOD_S, self.look)
        service = self.random.choice(tuple(SERVICES))
        judged = self.registry.evaluate_health(service, self.now)
        shown = [self.health_of(load, judged.typical_s) for load in judged.loads]
        return self.step("look", service, [judged, judged.has_changed, shown])

    def health_of(self, load: BackendLoad, typical_s: float) -> list[object]:
        health, now = load.health, self.now
        return [
            load.in_flight,
            load.failures,
            load.avoid_until,
            health.latency_s(now),
            health.max_wait_s(now),
            health.is_failing(now),
            health.is_slow(now, typical_s),
            health.is_stalled(now, stall_limit_s(typical_s)),
            congestion_level(health, 0.2, now),
        ]

    # Requests.

    def new_request(self) -> Step | None:
        self.later(self.random.expovariate(REQUESTS_PER_S), self.new_request)
        service = "model" if self.random.random() < 0.6 else "plain"
        return self.send(_Request(service, self.key_of(service), []))

    def key_of(self, service: str) -> PlacementKey:
        random = self.random
        if service == "plain":
            return PlacementKey("", HERE)
        program = f"program-{random.randrange(60)}"
        assigned = f"model-{random.randrange(SERVICES['model'])}"
        return PlacementKey(
            affinity=program,
            node=HERE,
            used_last=self.used_last.get(program, "") if random.random() < 0.7 else "",
            shared_part=random.choice(("", "part-1", "part-2")),
            assigned=assigned if random.random() < 0.2 else "",
        )

    def send(self, request: _Request) -> Step | None:
        judged = self.registry.evaluate_health(request.service, self.now)
        choice = self.choose(request, judged)
        if choice is not None:
            self.begin(request, choice.load)
        kind = "choose again" if request.tried[1:] else f"choose {request.service}"
        kind = "choose none" if choice is None else kind
        return self.step(kind, request.key, [judged, choice])

    def choose(self, request: _Request, judged: ServiceHealth) -> PlacementChoice | None:
        connected = [name for name in self.names_of(judged) if self.random.random() < 0.4]
        return choose_backend(
            judged.loads,
            request.key,
            request.tried,
            self.now,
            judged.outliers,
            judged.typical_s,
            connected,
        )

    @staticmethod
    def names_of(judged: ServiceHealth) -> list[str]:
        return [load.record.instance_id for load in judged.loads]

    def begin(self, request: _Request, load: BackendLoad) -> None:
        load.in_flight += 1
        instance_id = load.record.instance_id
        request.tried.append(instance_id)
        self.used_last[request.key.affinity] = instance_id
        attempt = _Attempt(request, load, load.health.watch(self.now))
        first_part_s = self.duration(instance_id)
        chance = self.random.random()
        if chance < 0.05 or self.is_degraded(instance_id, 11):
            self.later(first_part_s * 0.5, lambda: self.fail(attempt))
        elif chance < 0.12:
            self.later(self.random.uniform(0.1, 2.5), lambda: self.drop(attempt))
        else:
            self.later(first_part_s, lambda: self.first_part(attempt, first_part_s))

    def duration(self, instance_id: str) -> float:
        slowness = 1.0 + 0.2 * int(instance_id[-1:])
        if self.is_degraded(instance_id, 7):
            slowness *= 8.0
        return self.random.lognormvariate(math.log(0.12), 0.6) * slowness

    def is_degraded(self, instance_id: str, period: int) -> bool:
        """Return whether a back end is degraded now; each is in one of ``period`` periods."""
        return (int(self.now / PHASE_S) + int(instance_id[-1:])) % period == 0

    def first_part(self, attempt: _Attempt, first_part_s: float) -> Step:
        attempt.watch.progressed(self.now)
        self.later(first_part_s, lambda: self.succeed(attempt))
        return self.ended("first part", attempt, is_over=False)

    def succeed(self, attempt: _Attempt) -> Step:
        attempt.watch.progressed(self.now)
        attempt.watch.succeeded(self.now)
        attempt.watch.failed(self.now)
        record_success(attempt.load)
        if self.random.random() < 0.03:
            self.registry.remove(attempt.load.record.instance_id)
        return self.ended("succeeded", attempt)

    def fail(self, attempt: _Attempt) -> Step:
        attempt.watch.failed(self.now)
        attempt.watch.dropped(self.now + 9.0, stall_limit_s(0.1))
        record_failure(attempt.load, self.now)
        if len(attempt.request.tried) < MAX_TRIES:
            self.later(0.01, lambda: self.send(attempt.request))
        return self.ended("failed", attempt)

    def drop(self, attempt: _Attempt) -> Step:
        attempt.watch.dropped(self.now, stall_limit_s(0.1))
        attempt.watch.succeeded(self.now)
        return self.ended("dropped", attempt)

    def ended(self, kind: str, attempt: _Attempt, *, is_over: bool = True) -> Step:
        attempt.load.in_flight -= int(is_over)
        shown = self.health_of(attempt.load, 0.1)
        return self.step(kind, attempt.load.record, [shown, self.registry.is_as_listed])


def engine_choice_steps() -> Iterator[Step]:
    """Yield the steps of the recorded run."""
    return _Load(SEED).play(STEPS)
