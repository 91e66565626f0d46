"""Simulates two kinds of programs on engines with few slots, on a virtual clock.

Engines run turns in steps with continuous batching: the prefill of a prompt shares the steps with
the decoding turns and delays them. The load is the one that the turn scheduler is made for.
"""

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from passlane.decisions.inputs.turn_events import (
    TurnDecision,
    TurnEnded,
    TurnNotPlaced,
    TurnPlaced,
    TurnRequested,
)
from passlane.decisions.scheduling.turn_scheduler import TurnScheduler
from passlane.messages.common import Address
from passlane.messages.listing import BackendRecord, BackendState
from passlane.messages.placement import TurnDemand, TurnOutcome

STEP_S = 0.00313
FIRST_STEP_S = 0.018
PREFILL_TOKENS_PER_S = 78_600.0
TOKENS_PER_EVENT = 13
ENGINE_DELAY_S = 0.008
STORE_DELAY_S = 0.004
ROUND_TRIP_S = 0.027
TICK_S = 0.05
MEMORY_TOKENS = 46_000
FAILOVER_S = 0.4


@dataclass(frozen=True)
class ProgramKind:
    """A kind of program; times in seconds."""

    name: str
    urgency: int
    rate_per_s: float
    turns: float
    fan_out_share: float
    mean_tool_s: float
    input_tokens: float
    keeps_history: bool
    deadline_factor: float
    deadline_slack_s: float
    utility: float
    late_utility: float


ALARM = ProgramKind("alarm", 0, 32.0, 3.0, 0.05, 0.06, 654, False, 1.2, 0.25, 5.9, 1.2)
SESSION = ProgramKind("session", 2, 20.0, 9.0, 0.08, 0.02, 327, True, 1.4, 0.5, 5.2, 3.9)


@dataclass(frozen=True)
class Burst:
    """Multiplies the rate of new programs of a kind, or of one tenant, for a time."""

    begin_s: float
    end_s: float
    factor: float
    kind: str = ""
    tenant: str = ""


@dataclass
class Program:
    """One program; ``steps`` has its turns as (events, input tokens, tool seconds, agents)."""

    program_id: str
    kind: ProgramKind
    tenant: str
    begins_at: float
    steps: list[tuple[int, int, float, list[tuple[int, int]]]]
    shared_part: str
    idle_s: float = 0.0
    history: int = 0
    next_step: int = 0
    used_last: str = ""
    is_first: bool = True
    ended_at: float | None = None
    refusals: int = 0
    has_failed: bool = False
    open_agents: int = 0

    @property
    def deadline_at(self) -> float:
        return self.begins_at + self.idle_s * self.kind.deadline_factor + self.kind.deadline_slack_s


@dataclass
class Turn:
    """A turn that is waiting or running at an engine."""

    attempt_id: str
    program: Program
    prefill_tokens: float
    tokens: int
    memory: int
    on_end: Callable[[float], None]
    urgency: int
    sent_at: float = 0.0
    first_part_s: float = 0.0
    events: int = 0


@dataclass
class Engine:
    """One engine that processes its batch in steps."""

    instance_id: str
    slots: int
    slowdown: float
    running: list[Turn] = field(default_factory=list)
    waiting: list[tuple[int, int, Turn]] = field(default_factory=list)
    cached_prefixes: deque[str] = field(default_factory=lambda: deque(maxlen=16))
    is_stepping: bool = False
    served: int = 0
    busy_s: float = 0.0


def _idle_turn_s(events: int, tokens: int) -> float:
    """Return the duration of a turn at an idle engine, including the network delays."""
    prefill_s = FIRST_STEP_S + tokens / PREFILL_TOKENS_PER_S
    return ROUND_TRIP_S + prefill_s + events * TOKENS_PER_EVENT * STEP_S


class TurnLoad:
    """Runs programs against a scheduler; with ``None``, nodes choose engines independently."""

    def __init__(
        self,
        kinds: list[ProgramKind],
        bursts: Sequence[Burst],
        *,
        scheduler: TurnScheduler | None,
        seed: int = 1,
        engines: int = 24,
        slots: int = 6,
        slowdown: tuple[float, ...] = (1.0,),
        nodes: int = 66,
        tenants: int = 20,
        length_s: float = 26.0,
    ) -> None:
        self.random = Random(seed)
        self.scheduler = scheduler
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.engines = {
            f"e{i}": Engine(f"e{i}", slots, slowdown[i % len(slowdown)]) for i in range(engines)
        }
        self.programs: list[Program] = []
        self.preferred: dict[tuple[int, str], int] = {}
        self._nodes = nodes
        self._length_s = length_s
        self._node_requests: list[dict[str, int]] = [
            dict.fromkeys(self.engines, 0) for _ in range(nodes)
        ]
        self._asked_at: dict[str, float] = {}
        self._callbacks: dict[str, Callable[[TurnDecision], None]] = {}
        self.waits: dict[str, list[float]] = {}
        for kind in kinds:
            self._plan_arrivals(kind, bursts, tenants)

    # Arrivals.

    def _plan_arrivals(self, kind: ProgramKind, bursts: Sequence[Burst], tenants: int) -> None:
        weights = [1.0 / (i + 1) for i in range(tenants)]
        at = 0.0
        while at < self._length_s:
            factor = 1.0
            names = [f"t{i}" for i in range(tenants)]
            current_weights = list(weights)
            for burst in bursts:
                if burst.begin_s <= at < burst.end_s:
                    if burst.kind == kind.name:
                        factor *= burst.factor
                    elif burst.tenant:
                        index = names.index(burst.tenant)
                        before = sum(current_weights)
                        current_weights[index] *= burst.factor
                        factor *= sum(current_weights) / before
            at += self.random.expovariate(kind.rate_per_s * factor)
            tenant = self.random.choices(names, current_weights)[0]
            self._add_program(kind, tenant, at)

    def _lognormal(self, mean: float, sigma: float) -> float:
        return mean * self.random.lognormvariate(-sigma * sigma / 2, sigma)

    def _add_program(self, kind: ProgramKind, tenant: str, at: float) -> None:
        turns = max(1, round(min(2 * kind.turns, self._lognormal(kind.turns, 0.4))))
        steps = []
        history = 0
        idle_s = 0.0
        for _ in range(turns):
            events = max(1, round(self._lognormal(5.6, 0.8)))
            tokens = max(20, round(self._lognormal(kind.input_tokens, 0.7)))
            tool_s = self._lognormal(kind.mean_tool_s, 0.6) + self.random.choice((0.03, 0.06, 0.12))
            agents = []
            if self.random.random() < kind.fan_out_share:
                width = max(1, round(self._lognormal(5, 0.3)))
                agents = [(max(1, round(self._lognormal(5.6, 0.8))), tokens) for _ in range(width)]
                idle_s += max(2 * (_idle_turn_s(*agent) + 0.03) for agent in agents)
            steps.append((events, tokens, tool_s, agents))
            idle_s += _idle_turn_s(events, tokens) + tool_s
            history += tokens + events * TOKENS_PER_EVENT if kind.keeps_history else 0
        program = Program(
            f"{kind.name}{len(self.programs)}", kind, tenant, at, steps,
            f"{kind.name}{self.random.randrange(8)}", idle_s=idle_s,
        )  # fmt: skip
        self.programs.append(program)
        self._at(at, lambda: self._next_turn(program))

    # The clock.

    def _at(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), action))

    def run(self) -> None:
        if self.scheduler is not None:
            records = [
                BackendRecord(e.instance_id, "llm", Address("10.0.0.1", 1), "a", e.slots,
                              BackendState.READY)
                for e in self.engines.values()
            ]  # fmt: skip
            self.scheduler.replace_backends(records, 0.0)
            self._at(0.0, self._tick)
        while self._events and self.now < self._length_s + 20.0:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def fail_leader_at(self, time: float) -> None:
        """Let the leader fail at a time; the next one begins with an empty state."""

        def begin() -> None:
            assert self.scheduler is not None
            self._apply_decisions(self.scheduler.start_term(self.now))

        self._at(time, begin)

    def _tick(self) -> None:
        assert self.scheduler is not None
        self._apply_decisions(self.scheduler.advance(self.now))
        self._at(self.now + TICK_S, self._tick)

    # Programs.

    def _next_turn(self, program: Program) -> None:
        if program.has_failed:
            return
        if program.next_step >= len(program.steps):
            program.ended_at = self.now
            return
        events, tokens, tool_s, agents = program.steps[program.next_step]

        def ended(_: float) -> None:
            program.next_step += 1
            if program.kind.keeps_history:
                program.history += tokens + events * TOKENS_PER_EVENT
            if not agents:
                self._at(self.now + tool_s, lambda: self._next_turn(program))
                return
            program.open_agents = len(agents)
            for agent in agents:
                self._agent_turn(program, agent, 2, tool_s)

        self._send(program, events, tokens, ended)

    def _agent_turn(
        self, program: Program, agent: tuple[int, int], remaining: int, tool_s: float
    ) -> None:
        if remaining == 0:
            program.open_agents -= 1
            if program.open_agents == 0:
                self._at(self.now + tool_s, lambda: self._next_turn(program))
            return
        self._send(
            program, agent[0], agent[1],
            lambda _: self._at(
                self.now + 0.03, lambda: self._agent_turn(program, agent, remaining - 1, tool_s)
            ),
        )  # fmt: skip

    def _send(
        self, program: Program, events: int, tokens: int, on_end: Callable[[float], None]
    ) -> None:
        if program.has_failed:
            return
        attempt_id = f"a{next(self._numbers)}"
        prompt = 512 + program.history + tokens
        if self.scheduler is None:
            engine = self._choose_locally(program)
            self._dispatch(attempt_id, program, engine, events, tokens, prompt, on_end)
            return

        def decided(decision: TurnDecision) -> None:
            if isinstance(decision, TurnPlaced):
                self.waits.setdefault(program.kind.name, []).append(decision.waited_s)
                engine = self.engines.get(decision.engine) or self._choose_locally(program)
                self._dispatch(attempt_id, program, engine, events, tokens, prompt, on_end)
            elif isinstance(decision, TurnNotPlaced):
                self._retry(program, decision, events, tokens, on_end)
            else:
                self._at(self.now + FAILOVER_S, lambda: self._send(program, events, tokens, on_end))

        self._callbacks[attempt_id] = decided
        request = TurnRequested(
            attempt_id=attempt_id,
            program_id=program.program_id,
            is_first=program.is_first,
            used_last=program.used_last,
            most_tokens=4 * 5 * TOKENS_PER_EVENT,
            demand=TurnDemand(
                service="llm",
                route=program.kind.name,
                urgency=program.kind.urgency,
                zone="a",
                tenant=program.tenant,
                prompt_tokens=prompt,
                shared_part=program.shared_part,
                shared_tokens=512,
                time_left_s=4.0,
                program_time_left_s=program.deadline_at - self.now,
                memory_tokens=MEMORY_TOKENS,
            ),
        )
        self._at(
            self.now + STORE_DELAY_S,
            lambda: self._apply_decisions(self.scheduler.request_slot(request, self.now)),
        )

    def _retry(
        self,
        program: Program,
        refused: TurnNotPlaced,
        events: int,
        tokens: int,
        on_end: Callable[[float], None],
    ) -> None:
        """Retry a refused turn after at most 1.33 s; fail the program at the sixth refusal."""
        program.refusals += 1
        if program.refusals >= 6:
            program.has_failed = True
            return
        extra_s = self.random.uniform(0.1, 0.4) if program.refusals % 2 == 0 else 0.0
        retry_s = min(refused.retry_after_s, 1.33) + extra_s + 0.01
        self._at(self.now + retry_s, lambda: self._send(program, events, tokens, on_end))

    def _apply_decisions(self, decisions: list[TurnDecision]) -> None:
        for decision in decisions:
            self._callbacks.pop(decision.attempt_id)(decision)

    def _choose_locally(self, program: Program) -> Engine:
        """Choose an engine as a node that sees only its own requests."""
        node = self.random.randrange(self._nodes)
        requests = self._node_requests[node]
        if program.used_last and requests[program.used_last] < 3:
            return self.engines[program.used_last]
        return self.engines[self.random.choice(list(self.engines))]

    # Engines.

    def _dispatch(
        self,
        attempt_id: str,
        program: Program,
        engine: Engine,
        events: int,
        tokens: int,
        prompt: int,
        on_end: Callable[[float], None],
    ) -> None:
        prefill_tokens = tokens if program.used_last == engine.instance_id else prompt
        if (
            program.used_last != engine.instance_id
            and program.shared_part in engine.cached_prefixes
        ):
            prefill_tokens -= 512
        engine.cached_prefixes.append(program.shared_part)
        program.used_last = engine.instance_id
        program.is_first = False
        turn = Turn(
            attempt_id, program, prefill_tokens, events * TOKENS_PER_EVENT, prompt, on_end,
            program.kind.urgency, sent_at=self.now, events=events,
        )  # fmt: skip
        self._at(self.now + ENGINE_DELAY_S + FIRST_STEP_S, lambda: self._arrive(engine, turn))

    def _arrive(self, engine: Engine, turn: Turn) -> None:
        heapq.heappush(engine.waiting, (turn.urgency, next(self._numbers), turn))
        if not engine.is_stepping:
            engine.is_stepping = True
            self._step(engine)

    def _step(self, engine: Engine) -> None:
        while engine.waiting and len(engine.running) < engine.slots:
            engine.running.append(heapq.heappop(engine.waiting)[2])
        if not engine.running:
            engine.is_stepping = False
            return
        step_s = STEP_S
        remaining = 4096.0
        decoding = [turn for turn in engine.running if turn.prefill_tokens <= 0]
        for turn in engine.running:
            if turn.prefill_tokens > 0 and remaining > 0:
                chunk = min(remaining, turn.prefill_tokens)
                turn.prefill_tokens -= chunk
                remaining -= chunk
                step_s += chunk / PREFILL_TOKENS_PER_S
        step_s *= engine.slowdown
        engine.busy_s += step_s
        self._at(self.now + step_s, lambda: self._stepped(engine, decoding))

    def _stepped(self, engine: Engine, decoding: list[Turn]) -> None:
        for turn in decoding:
            turn.tokens -= 1
            if not turn.first_part_s:
                turn.first_part_s = self.now - turn.sent_at
            if turn.tokens <= 0:
                engine.running.remove(turn)
                engine.served += 1
                self._at(self.now + STORE_DELAY_S, self._end_callback(engine, turn))
        self._step(engine)

    def _end_callback(self, engine: Engine, turn: Turn) -> Callable[[], None]:
        def end() -> None:
            if self.scheduler is not None:
                outcome = TurnOutcome(
                    engine_s=self.now - turn.sent_at,
                    first_part_s=turn.first_part_s,
                    events=turn.events,
                )
                ended = TurnEnded(
                    attempt_id=turn.attempt_id, served_by=engine.instance_id, outcome=outcome
                )
                self._apply_decisions(self.scheduler.end(ended, self.now))
            turn.on_end(self.now)

        return end

    # Results.

    def utility_share(self, kind: str = "", tenant: str = "") -> float:
        """Return the achieved share of the programs' utility."""
        possible = achieved = 0.0
        for program in self.programs:
            if (kind and program.kind.name != kind) or (tenant and program.tenant != tenant):
                continue
            possible += program.kind.utility
            achieved += self.utility_of(program)
        return achieved / possible

    def utility_of(self, program: Program) -> float:
        """Return the utility of a program by the time of its end."""
        if program.ended_at is None:
            return 0.0
        took_s = program.ended_at - program.begins_at
        limit_s = program.deadline_at - program.begins_at
        if took_s <= limit_s:
            return program.kind.utility
        return program.kind.late_utility if took_s <= 2 * limit_s else 0.0

    def served_share(self, kind: str) -> float:
        """Return the share of a kind's programs that ended within twice their time limit."""
        of_kind = [program for program in self.programs if program.kind.name == kind]
        return sum(1 for program in of_kind if self.utility_of(program) > 0) / len(of_kind)

    def refused_share(self, kind: str) -> float:
        """Return the share of a kind's programs that failed after repeated refusals."""
        of_kind = [program for program in self.programs if program.kind.name == kind]
        return sum(1 for program in of_kind if program.has_failed) / len(of_kind)
