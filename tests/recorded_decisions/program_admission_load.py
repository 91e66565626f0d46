"""New programs of one service that wait, are refused, retry, begin or never return.

It also chooses an engine for each program that begins, among engines of different learned speeds.
"""

import math
from collections.abc import Iterator

from recorded_decisions.names import (
    Address,
    BackendRecord,
    BackendState,
    EngineSlots,
    FleetSpeed,
    PlacedTurn,
    ProgramAdmission,
    TurnDemand,
    TurnDurations,
    TurnOutcome,
    TurnRequested,
    choose_engine,
    promise_retry_after,
)
from recorded_decisions.recording import Step
from recorded_decisions.world import World

SEED = 20_260_107
STEPS = 4_000
ENGINES = 6
PROGRAMS_PER_S = 25.0
MAX_WAIT_S = 0.5
ALL_SLOTS_PER_S = 12.0
SWEEP_PERIOD_S = 0.4


class _Load(World):
    """New programs of one service."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.admission = ProgramAdmission()
        self.durations = TurnDurations()
        fleet_speed = FleetSpeed()
        self.engines = [EngineSlots(self.record(n), fleet_speed) for n in range(ENGINES)]
        self.later(0.0, self.sweep)
        self.later(0.0, self.new_program)

    @staticmethod
    def record(number: int) -> BackendRecord:
        return BackendRecord(
            instance_id=f"engine-{number}",
            service="model",
            address=Address(host="127.0.0.1", port=9000 + number),
            zone="ab"[number % 2],
            slots=number % 4,
            state=BackendState.READY,
        )

    def step(self, kind: str, event: object, given: object) -> Step:
        return Step(kind, self.now, event, [given, len(self.admission)])

    def sweep(self) -> Step:
        self.later(SWEEP_PERIOD_S, self.sweep)
        self.admission.forget_lapsed(self.now)
        return self.step("sweep", None, None)

    # Requests of programs.

    def new_program(self) -> Step:
        self.later(self.random.expovariate(PROGRAMS_PER_S), self.new_program)
        return self.ask(self.asked(f"program-{self.next_number()}"))

    def asked(self, program_id: str) -> TurnRequested:
        random = self.random
        demand = TurnDemand(
            service="model",
            route="route",
            urgency=random.choice((0, 1, 1, 2)),
            zone=random.choice("ab"),
            tenant=random.choice(("", "north", "south", "south")),
            prompt_tokens=random.randint(0, 9_000),
            shared_part=random.choice(("", "part-1", "part-2", "part-3")),
            shared_tokens=random.choice((1_000, 4_000, 5_000)),
            memory_tokens=random.choice((0, 14_000)),
        )
        return TurnRequested(
            attempt_id=f"attempt-{self.next_number()}",
            program_id=program_id,
            is_first=True,
            used_last=random.choice(("", "", f"engine-{random.randrange(ENGINES)}")),
            most_tokens=random.randint(20, 600),
            demand=demand,
        )

    def ask(self, asked: TurnRequested) -> Step:
        admission, now = self.admission, self.now
        asked_at = admission.first_asked_at(asked.program_id, now)
        has_returned = admission.retried_on_schedule(asked.program_id, now)
        before = admission.programs_before(asked, asked_at, now)
        wait_s = admission.expected_wait_s(before, ALL_SLOTS_PER_S, now)
        if has_returned or wait_s <= MAX_WAIT_S:
            self.wait(asked, asked_at)
        else:
            self.refuse(asked, asked_at, wait_s)
        return self.step("asked", asked, [asked_at, has_returned, before, wait_s])

    def wait(self, asked: TurnRequested, asked_at: float) -> None:
        self.admission.note_waits(asked, asked_at)
        wait_s = self.random.expovariate(4.0)
        if self.random.random() < 0.1:
            # The caller sends another request while this one still waits.
            self.later(wait_s / 2, lambda: self.ask(asked))
        if self.random.random() < 0.6:
            self.later(wait_s, lambda: self.begin(asked))
        else:
            self.later(wait_s, lambda: self.leave(asked, asked_at))

    def refuse(self, asked: TurnRequested, asked_at: float, wait_s: float) -> float:
        retry_after_s = promise_retry_after(wait_s)
        self.admission.note_refused(asked, asked_at, retry_after_s, self.now)
        if self.random.random() < 0.7:
            early_s = self.random.choice((0.0, 0.0, 0.1, 0.2, -0.9, -1.1))
            self.later(max(0.0, retry_after_s - early_s), lambda: self.ask(asked))
        return retry_after_s

    def leave(self, asked: TurnRequested, asked_at: float) -> Step:
        """Leave the queue: refused with a retry-after time, or abandoned by the caller."""
        self.admission.note_waits_no_longer(asked.program_id)
        if self.random.random() < 0.3:
            return self.step("given up", asked, None)
        return self.step("told to return", asked, self.refuse(asked, asked_at, 0.1))

    # Starts of programs.

    def begin(self, asked: TurnRequested) -> Step:
        self.admission.note_waits_no_longer(asked.program_id)
        self.admission.note_begun(asked.program_id, self.now)
        choice = choose_engine(self.engines, asked, self.durations)
        if choice is None:
            return self.step("no engine", asked, None)
        turn = PlacedTurn(
            attempt_id=asked.attempt_id,
            program_id=asked.program_id,
            tokens=asked.demand.prompt_tokens + asked.most_tokens,
            placed_at=self.now,
            expected_s=choice.run_s,
            expected_slowdown=choice.slowdown,
            until=self.now + 4.0 * choice.end_s,
        )
        choice.engine.assign(turn)
        choice.engine.record_shared_part(asked.demand)
        engine = choice.engine
        run_s = self.random.lognormvariate(math.log(0.9), 0.4) * (1 + int(engine.incarnation[-1:]))
        self.later(run_s, lambda: self.end(engine, turn, run_s))
        return self.step("begun", asked, choice)

    def end(self, engine: EngineSlots, turn: PlacedTurn, run_s: float) -> Step:
        engine.release(turn.attempt_id)
        outcome = TurnOutcome(engine_s=run_s, first_part_s=run_s / 3, events=5)
        engine.learn(turn, outcome, self.now)
        self.durations.learn(outcome, engine.speed.against_fleet(self.now))
        return self.step("ended", turn, [engine.slowdown, self.durations.mean_s])


def program_admission_steps() -> Iterator[Step]:
    """Yield the steps of the recorded run."""
    return _Load(SEED).play(STEPS)
