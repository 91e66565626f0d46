"""Programs of several tenants on engines of two services, for the turn scheduler.

The load is closed-loop: a placed turn ends some time later at its engine, and a refused one is
retried or abandoned. Engines join, leave, drain, fail, refuse and hang.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from recorded_decisions.names import (
    Address,
    BackendRecord,
    BackendState,
    TurnDemand,
    TurnEnded,
    TurnNotPlaced,
    TurnOutcome,
    TurnPlaced,
    TurnRequested,
    TurnScheduler,
)
from recorded_decisions.recording import Step
from recorded_decisions.world import World

SEED = 20_260_101
TICK_S = 0.05
PROGRAMS_PER_S = 20.0
LOOPING_TURNS = 80
SERVICES = {"model": 7, "small": 2}
HANG = (4.0, 7.0)
HANGING_ENGINE = "model-2"
LISTS_BETWEEN_LOSSES = 4
"""Every so many backend lists, one contains no engine of the service ``small``."""
NEW_LEADER_AT_S = (0.0, 12.0)
FIGURES_PERIOD_S = 0.7
LIST_PERIOD_S = 1.3


@dataclass(frozen=True)
class _LoadKind:
    """Parameters that differ between the recorded runs, by service and by route."""

    steps: int
    memory_tokens: dict[str, int]
    max_turns: dict[str, int]


KINDS = (
    _LoadKind(6_000, {"model": 15_000, "small": 0}, {"alarm": 9, "session": 9}),
    _LoadKind(5_500, {"model": 60_000, "small": 7_000}, {"alarm": 6, "session": 16}),
)
"""A run in which engines lack memory, and one with longer programs in which they lack slots."""


@dataclass
class _Program:
    """A program that runs its turns sequentially."""

    program_id: str
    service: str
    route: str
    tenant: str
    urgency: int
    turns_left: int
    deadline_at: float | None
    history: int
    shared_part: str
    is_looping: bool
    is_first: bool = True
    used_last: str = ""


@dataclass
class _Turn:
    """A turn that has been requested and has not ended."""

    program: _Program
    asked: TurnRequested
    engine: str = ""


class _Load(World):
    """Simulated environment of the scheduler."""

    def __init__(self, seed: int, kind: _LoadKind) -> None:
        super().__init__(seed)
        self.kind = kind
        self.scheduler = TurnScheduler()
        self.turns: dict[str, _Turn] = {}
        self.lists = 0
        for at_s in NEW_LEADER_AT_S:
            self.later(at_s, self.begin)
        self.later(0.0, self.list_engines)
        self.later(0.0, self.tick)
        self.later(0.1, self.figures)
        self.later(0.2, self.new_program)

    def apply_all(self, kind: str, event: Any, decisions: list[Any]) -> Step:
        """Apply decisions and return the step."""
        for decision in decisions:
            self.apply(decision)
        return Step(kind, self.now, event, decisions)

    def apply(self, decision: Any) -> None:
        turn = self.turns.get(decision.attempt_id)
        if turn is None:
            return
        if isinstance(decision, TurnPlaced):
            self.run(turn, decision)
        elif isinstance(decision, TurnNotPlaced):
            del self.turns[decision.attempt_id]
            self.retry_refused(turn.program, decision.retry_after_s)
        else:
            del self.turns[decision.attempt_id]
            self.later(0.1, lambda: self.ask(turn.program))

    # Periodic actions.

    def begin(self) -> Step:
        return self.apply_all("begin", None, self.scheduler.start_term(self.now))

    def tick(self) -> Step:
        self.later(TICK_S, self.tick)
        return self.apply_all("advance", None, self.scheduler.advance(self.now))

    def figures(self) -> Step:
        self.later(FIGURES_PERIOD_S, self.figures)
        names = (*SERVICES, "unknown")
        stats = [self.scheduler.stats(name) for name in names]
        return Step("figures", self.now, names, [stats, self.scheduler.service_names])

    def list_engines(self) -> Step:
        self.later(LIST_PERIOD_S, self.list_engines)
        self.lists += 1
        records = [
            self.record_of(service, number)
            for service, engines in SERVICES.items()
            for number in range(engines)
            if self.is_listed(service)
        ]
        return self.apply_all(
            "engines", records, self.scheduler.replace_backends(records, self.now)
        )

    def is_listed(self, service: str) -> bool:
        if service == "small" and self.lists % LISTS_BETWEEN_LOSSES == 0:
            return False
        return self.now == 0.0 or self.random.random() > 0.06

    def record_of(self, service: str, number: int) -> BackendRecord:
        is_draining = self.random.random() < 0.07
        return BackendRecord(
            instance_id=f"{service}-{number}",
            service=service,
            address=Address(host="127.0.0.1", port=9000 + number),
            zone="ab"[number % 2],
            slots=2 + number % 3,
            state=BackendState.DRAINING if is_draining else BackendState.READY,
        )

    # Programs.

    def new_program(self) -> Step:
        is_burst = 8.0 <= self.now < 10.0
        self.later(
            self.random.expovariate(PROGRAMS_PER_S * (3 if is_burst else 1)), self.new_program
        )
        return self.ask(self.program())

    def program(self) -> _Program:
        random = self.random
        is_looping = random.random() < 0.02
        has_deadline = random.random() < 0.9
        service = "model" if random.random() < 0.85 else "small"
        route = random.choice(("alarm", "session"))
        return _Program(
            program_id=f"program-{self.next_number()}",
            service=service,
            route=route,
            tenant=random.choice(("", "north", "south", "south")),
            urgency=random.choice((0, 1, 1, 2)),
            turns_left=LOOPING_TURNS
            if is_looping
            else random.randint(1, self.kind.max_turns[route]),
            deadline_at=self.now + random.uniform(0.3, 6.0) if has_deadline else None,
            history=random.randint(100, 9_000),
            shared_part=random.choice(("", "part-1", "part-2", "part-3")),
            is_looping=is_looping,
        )

    def retry_refused(self, program: _Program, retry_after_s: float) -> None:
        chance = self.random.random()
        if chance < 0.75:
            self.later(retry_after_s, lambda: self.ask(program))
        elif chance < 0.85:
            self.later(retry_after_s / 2, lambda: self.ask(program))

    def ask(self, program: _Program) -> Step:
        asked = TurnRequested(
            attempt_id=f"attempt-{self.next_number()}",
            program_id=program.program_id,
            is_first=program.is_first,
            used_last=program.used_last if self.random.random() < 0.8 else "",
            most_tokens=self.random.randint(20, 600),
            demand=self.demand(program),
        )
        self.turns[asked.attempt_id] = _Turn(program, asked)
        if self.random.random() < 0.08:
            self.later(self.random.uniform(0.0, 0.2), lambda: self.ask_again(asked))
        if not program.is_looping and self.random.random() < 0.1:
            self.later(self.random.uniform(0.02, 0.5), lambda: self.give_up(asked.attempt_id))
        return self.apply_all("asked", asked, self.scheduler.request_slot(asked, self.now))

    def ask_again(self, asked: TurnRequested) -> Step | None:
        turn = self.turns.get(asked.attempt_id)
        if turn is None or not turn.engine:
            return None
        decisions = self.scheduler.request_slot(asked, self.now)
        return Step("asked again", self.now, asked, decisions)

    def demand(self, program: _Program) -> TurnDemand:
        left_s = None if program.deadline_at is None else program.deadline_at - self.now
        return TurnDemand(
            service=program.service,
            route=program.route,
            urgency=program.urgency,
            zone=self.random.choice("ab"),
            tenant=program.tenant,
            prompt_tokens=program.history,
            shared_part=program.shared_part,
            shared_tokens=4_000 if program.shared_part == "part-1" else 1_500,
            time_left_s=5.0,
            program_time_left_s=left_s,
            memory_tokens=self.kind.memory_tokens[program.service],
        )

    # Turns at engines.

    def run(self, turn: _Turn, placed: TurnPlaced) -> None:
        turn.engine = placed.engine
        chance = self.random.random()
        if chance < 0.02:
            return
        run_s = 0.02 if turn.program.is_looping else self.duration(placed.engine)
        if chance < 0.04:
            run_s += 3.0
        attempt_id = placed.attempt_id
        self.later(run_s, lambda: self.end(attempt_id, run_s))

    def duration(self, engine: str) -> float:
        speed = 1.0 + 0.3 * int(engine[-1:] or 0)
        run_s = self.random.lognormvariate(math.log(0.15), 0.5) * speed
        if engine == HANGING_ENGINE and HANG[0] <= self.now < HANG[1]:
            run_s += HANG[1] - self.now
        return run_s

    def give_up(self, attempt_id: str) -> Step | None:
        turn = self.turns.pop(attempt_id, None)
        if turn is None:
            return None
        ended = TurnEnded(attempt_id=attempt_id)
        return self.apply_all("given up", ended, self.scheduler.end(ended, self.now))

    def end(self, attempt_id: str, run_s: float) -> Step | None:
        turn = self.turns.pop(attempt_id, None)
        if turn is None:
            return None
        ended = self.ended(turn, run_s)
        self.continue_program(turn.program, ended)
        if self.random.random() < 0.05:
            self.later(0.03, lambda: self.end_again(ended))
        return self.apply_all("ended", ended, self.scheduler.end(ended, self.now))

    def end_again(self, ended: TurnEnded) -> Step:
        return self.apply_all("ended again", ended, self.scheduler.end(ended, self.now))

    def ended(self, turn: _Turn, run_s: float) -> TurnEnded:
        attempt_id = turn.asked.attempt_id
        chance = self.random.random()
        if chance < 0.02:
            return TurnEnded(attempt_id=attempt_id, served_by=turn.engine)
        if chance < 0.06:
            outcome = TurnOutcome(failed_at=(turn.engine, "gone"))
            return TurnEnded(attempt_id=attempt_id, outcome=outcome)
        full_at = (turn.engine, "gone") if chance < 0.1 else ()
        served_by = "model-0" if full_at else turn.engine
        outcome = TurnOutcome(engine_s=run_s, first_part_s=run_s / 4, events=9, full_at=full_at)
        return TurnEnded(attempt_id=attempt_id, served_by=served_by, outcome=outcome)

    def continue_program(self, program: _Program, ended: TurnEnded) -> None:
        program.is_first = False
        program.used_last = ended.served_by or program.used_last
        program.turns_left -= 1
        program.history = min(12_000, program.history + self.random.randint(50, 900))
        if program.turns_left > 0:
            pause_s = 0.002 if program.is_looping else self.random.uniform(0.01, 0.3)
            self.later(pause_s, lambda: self.ask(program))


def turn_scheduler_steps() -> Iterator[Step]:
    """Yield the steps of the recorded runs in sequence."""
    for kind in KINDS:
        yield from _Load(SEED, kind).play(kind.steps)
