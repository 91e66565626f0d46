"""Model calls of programs that one node leads, for the call scheduler.

The load is closed-loop: a started call ends at its engine, and its program pauses for a tool and
returns, ends, or never returns. Engines report load and cache events with delays and gaps,
restart, leave, become unreachable and are removed from the configuration.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random
from typing import Any

from recorded_decisions.names import (
    Address,
    CacheEntry,
    CacheEvent,
    CacheEventKind,
    CacheEvents,
    CacheEventsReported,
    CacheSnapshot,
    CacheSnapshotReported,
    CallArrived,
    CallEnded,
    CallFirstToken,
    CallId,
    CallWithdrawn,
    CrowdingConfig,
    EngineBody,
    EngineId,
    EngineLoad,
    EnginesChanged,
    EnginesLeaving,
    EngineUnreachable,
    LoadReported,
    Ordering,
    ProgramEnded,
    ProgramId,
    ProgramPaused,
    QueueConfig,
    RequestCacheSnapshot,
    RetentionConfig,
    Scheduler,
    SchedulerConfig,
    StartCall,
    TenantId,
    TimeAdvanced,
    WakeAt,
)
from recorded_decisions.recording import Step
from recorded_decisions.world import World

SEED = 20_260_106
RETENTION = RetentionConfig(min_overdue_s=0.8, min_unlearned_s=1.5, margin=1.2)
RUNS = {
    SchedulerConfig(
        queue=QueueConfig(max_calls=25, urgent_s=0.3, lookahead=3),
        crowding=CrowdingConfig(active_s=0.6),
        retention=RETENTION,
        watched_engines_per_model=5,
        max_programs=150,
    ): 5_000,
    SchedulerConfig(
        queue=QueueConfig(ordering=Ordering.ARRIVAL, max_calls=15),
        crowding=CrowdingConfig(enabled=False),
        retention=RetentionConfig(enabled=False),
    ): 1_500,
}
"""Number of steps, by configuration."""
ENGINES = {"large": 9, "small": 3}
TENANTS = {"north": 1.0, "south": 2.0, "east": 1.0, "heavy": 1.0}
PROGRAMS_PER_S = 14.0
REPORT_PERIOD_S = 0.15
CONFIGURATION_PERIOD_S = 1.7
LEAVING_PERIOD_S = 1.1
TICK_S = 0.25
EVENTS: dict[type, str] = {
    CacheEventsReported: "cache events",
    CacheSnapshotReported: "cache snapshot",
    CallArrived: "call arrived",
    CallEnded: "call ended",
    CallFirstToken: "first token",
    CallWithdrawn: "call withdrawn",
    EngineUnreachable: "engine unreachable",
    EnginesChanged: "engines changed",
    EnginesLeaving: "engines leaving",
    LoadReported: "load reported",
    ProgramEnded: "program ended",
    ProgramPaused: "program paused",
    TimeAdvanced: "time advanced",
}
UNREACHABLE_ENGINE = "large-6"
FAILING = {UNREACHABLE_ENGINE: 1.0, "large-2": 0.5}
"""Share of calls that fail, by engine; ``FAILING_ELSEWHERE`` applies to all other engines."""
FAILING_ELSEWHERE = 0.04


@dataclass
class _Program:
    """A program that runs its calls sequentially."""

    program_id: ProgramId
    tenant: str
    model: str
    service_class: int
    calls_left: int
    tokens: int
    is_sub_agent: bool


@dataclass
class _Engine:
    """An engine and the number of its last published cache event."""

    engine_id: EngineId
    incarnation: int = 1
    last_event: int = 0
    running: int = 0


class _Load(World):
    """Simulated environment of one node's scheduler."""

    def __init__(self, seed: int, config: SchedulerConfig) -> None:
        super().__init__(seed)
        self.scheduler = Scheduler("a", Random(seed), config, node_key="node-1")
        self.engines = {
            name: _Engine(EngineId(name))
            for model, count in ENGINES.items()
            for name in (f"{model}-{number}" for number in range(count))
        }
        self.calls: dict[CallId, tuple[CallArrived, _Program]] = {}
        self.programs: list[ProgramId] = []
        for act in (self.configure, self.leave, self.report, self.tick, self.new_program):
            self.later(0.0, act)

    def send_event(self, event: Any) -> Step:
        """Send an event to the scheduler and apply its instructions."""
        instructions = self.scheduler.handle(event, self.now)
        for instruction in instructions:
            self.apply(instruction)
        figures = [self.scheduler.queued_calls, self.scheduler.running_calls]
        at_engines = [self.scheduler.in_flight_at(EngineId(name)) for name in self.engines]
        return Step(EVENTS[type(event)], self.now, event, [instructions, figures, at_engines])

    def apply(self, instruction: Any) -> None:
        if isinstance(instruction, StartCall):
            self.start(instruction)
        elif isinstance(instruction, RequestCacheSnapshot):
            engine = self.engines[instruction.engine_id]
            if self.random.random() < 0.5:
                self.later(0.1, lambda: self.snapshot(engine))
        elif isinstance(instruction, WakeAt) and self.random.random() < 0.1:
            wait_s = max(0.0, instruction.time - self.now)
            self.later(wait_s, lambda: self.send_event(TimeAdvanced()))

    # Engines.

    def configure(self) -> Step:
        self.later(CONFIGURATION_PERIOD_S, self.configure)
        has_small = self.random.random() > 0.15
        bodies = {
            engine.engine_id: self.body(name)
            for name, engine in self.engines.items()
            if self.now == 0.0
            or name == UNREACHABLE_ENGINE
            or (self.random.random() > 0.05 and (has_small or name.startswith("large")))
        }
        return self.send_event(EnginesChanged(bodies))

    def body(self, name: str) -> EngineBody:
        model, _, number = name.rpartition("-")
        port = 9001 if self.random.random() < 0.02 else 9000
        return EngineBody(
            address=Address(host=f"10.0.0.{number}", port=port),
            zone="abc"[int(number) % 3],
            models=(model, "both") if number == "0" else (model,),
            max_batch=2 + int(number) % 3,
            cache_tokens=20_000,
        )

    def leave(self) -> Step:
        self.later(LEAVING_PERIOD_S, self.leave)
        names = [name for name in self.engines if self.random.random() < 0.1]
        return self.send_event(EnginesLeaving(frozenset(EngineId(name) for name in names)))

    def report(self) -> Step:
        """Report the load or the cache events of an engine, or that it is unreachable."""
        self.later(REPORT_PERIOD_S / 3, self.report)
        name = self.random.choice(tuple(self.engines))
        engine = self.engines[name]
        if name == UNREACHABLE_ENGINE or self.random.random() < 0.04:
            return self.send_event(EngineUnreachable(engine.engine_id))
        if self.random.random() < 0.03:
            engine.incarnation += 1
            engine.last_event = 0
        if self.random.random() < 0.5:
            return self.send_event(CacheEventsReported(engine.engine_id, self.cache_events(engine)))
        return self.send_event(LoadReported(self.load_of(engine)))

    def load_of(self, engine: _Engine) -> EngineLoad:
        model = engine.engine_id.rpartition("-")[0]
        return EngineLoad(
            engine_id=engine.engine_id,
            incarnation=engine.incarnation,
            running=engine.running + self.random.randint(0, 2),
            waiting=self.random.choice((0, 0, 1)),
            cached_tokens=self.random.randint(0, 21_000),
            held_programs=5,
            models=self.random.choice(((), (model,), (model, "both"), (model,))),
            age_s=self.random.uniform(0.0, 0.4),
        )

    def cache_events(self, engine: _Engine) -> CacheEvents:
        events = []
        for _ in range(self.random.randint(0, 3)):
            engine.last_event += 2 if self.random.random() < 0.05 else 1
            kind = self.random.choice(tuple(CacheEventKind))
            tokens = self.random.randint(100, 3_000)
            events.append(CacheEvent(engine.last_event, kind, self.known_program(), tokens))
        is_old = engine.incarnation > 1 and self.random.random() < 0.05
        return CacheEvents(engine.incarnation - int(is_old), tuple(events))

    def known_program(self) -> ProgramId:
        recent = self.programs[-40:] or [ProgramId("program-0")]
        return self.random.choice(recent)

    def snapshot(self, engine: _Engine) -> Step:
        behind = self.random.choice((0, 0, 3))
        programs = {self.known_program(): None for _ in range(4)}
        entries = tuple(
            CacheEntry(program, self.random.randint(100, 4_000)) for program in programs
        )
        snapshot = CacheSnapshot(engine.incarnation, engine.last_event - behind, entries)
        return self.send_event(CacheSnapshotReported(engine.engine_id, snapshot))

    def tick(self) -> Step:
        self.later(TICK_S, self.tick)
        return self.send_event(TimeAdvanced())

    # Programs and their calls.

    def new_program(self) -> Step:
        is_burst = int(self.now / 3.0) % 3 == 1
        self.later(
            self.random.expovariate(PROGRAMS_PER_S * (3 if is_burst else 1)), self.new_program
        )
        random = self.random
        program = _Program(
            program_id=ProgramId(f"program-{self.next_number()}"),
            tenant="heavy" if random.random() < 0.5 else random.choice(tuple(TENANTS)),
            model=random.choice(("large", "large", "large", "small", "both", "unknown")),
            service_class=random.choice((0, 1, 1, 2)),
            calls_left=random.randint(1, 7),
            tokens=random.randint(200, 5_000),
            is_sub_agent=random.random() < 0.15,
        )
        if program.model == "unknown" and random.random() < 0.8:
            program.model = "large"
        self.programs.append(program.program_id)
        return self.arrive(program)

    def arrive(self, program: _Program) -> Step:
        random = self.random
        excluded = random.sample(tuple(self.engines), random.choice((0, 0, 0, 2)))
        call = CallArrived(
            call_id=CallId(f"call-{self.next_number()}"),
            program_id=program.program_id,
            tenant_id=TenantId(program.tenant),
            model=program.model,
            prompt_tokens=program.tokens,
            max_tokens=random.randint(16, 300),
            deadline=self.now + random.choice((0.0, 0.4, 1.5, 4.0, 4.0, 9.0, 9.0)),
            service_class=program.service_class,
            weight=TENANTS[program.tenant],
            excluded=frozenset(EngineId(name) for name in excluded),
            is_sub_agent=program.is_sub_agent,
        )
        self.calls[call.call_id] = (call, program)
        if random.random() < 0.08:
            self.later(random.uniform(0.01, 0.6), lambda: self.withdraw(call.call_id))
        return self.send_event(call)

    def withdraw(self, call_id: CallId) -> Step:
        self.calls.pop(call_id, None)
        return self.send_event(CallWithdrawn(call_id))

    def start(self, start: StartCall) -> None:
        engine = self.engines[start.engine_id]
        call, _ = self.calls[start.call_id]
        engine.running += 1
        slowness = 1.0 + 0.3 * int(start.engine_id[-1:])
        run_s = self.random.lognormvariate(math.log(0.25), 0.5) * slowness
        if self.random.random() < 0.03:
            run_s += 5.0
        self.later(run_s / 4, lambda: self.first_token(call.call_id))
        self.later(run_s, lambda: self.end(call, engine))

    def first_token(self, call_id: CallId) -> Step | None:
        return self.send_event(CallFirstToken(call_id)) if self.random.random() < 0.3 else None

    def end(self, call: CallArrived, engine: _Engine) -> Step:
        engine.running -= 1
        succeeded = self.random.random() > FAILING.get(engine.engine_id, FAILING_ELSEWHERE)
        generated = self.random.randint(8, 200)
        cached = self.random.randint(0, call.prompt_tokens)
        known = self.calls.pop(call.call_id, None)
        if known is not None:
            self.continue_program(known[1], generated)
        return self.send_event(
            CallEnded(call.call_id, succeeded, call.prompt_tokens, cached, generated)
        )

    def continue_program(self, program: _Program, generated: int) -> None:
        """Let a program pause for a tool and return, end, or never return."""
        program.calls_left -= 1
        program.tokens += generated + self.random.randint(20, 500)
        pause_s = self.random.expovariate(4.0)
        if program.calls_left <= 0:
            self.later(0.01, lambda: self.send_event(ProgramEnded(program.program_id)))
            return
        if self.random.random() < 0.9:
            self.later(0.0, lambda: self.send_event(ProgramPaused(program.program_id, 0.25)))
        if self.random.random() < 0.9:
            self.later(pause_s, lambda: self.arrive(program))


def scheduler_steps() -> Iterator[Step]:
    """Yield the steps of the recorded runs, for each configuration in sequence."""
    for config, steps in RUNS.items():
        yield from _Load(SEED, config).play(steps)
