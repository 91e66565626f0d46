"""The two deployments at today's sizes and the programs that run on them.

All lengths are in tokens and all times in seconds. The distributions are assumptions
about the users, stated here and drawn from a seeded generator; no trace stands behind
them.
"""

import enum
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from passlane.emulator.engine_settings import EngineModelSettings


class PauseKind(enum.StrEnum):
    """Why a program pauses after a call: a tool runs, or a person thinks or is away."""

    TOOL = "tool"
    PERSON = "person"


class Ending(enum.StrEnum):
    """How a program's caller leaves: it ends the program, or never comes back."""

    ENDED = "ended"
    ABANDONED = "abandoned"


@dataclass(slots=True)
class CallPlan:
    """One call and what follows it.

    Attributes
    ----------
    new_tokens
        Tokens that the caller adds to the history with this call.
    pause_s, pause_kind, expected_pause_s
        Pause after the answer, and what usually comes of such a pause.
    sub_agents
        Programs that the answer starts; the next call waits for all of them.
    """

    new_tokens: int
    answer_tokens: int
    max_tokens: int
    pause_s: float = 0.0
    pause_kind: PauseKind = PauseKind.TOOL
    expected_pause_s: float = 0.0
    sub_agents: "list[ProgramPlan]" = field(default_factory=list)


@dataclass(slots=True)
class ProgramPlan:
    """A program as its caller will run it; the scheduler never sees the plan."""

    name: str
    tenant: str
    service_class: int
    starts_at: float
    calls: list[CallPlan]
    ending: Ending = Ending.ENDED
    is_sub_agent: bool = False
    has_hung_tool: bool = False


@dataclass(frozen=True, slots=True)
class Deployment:
    """Machines and distances of one user.

    Attributes
    ----------
    zone_delay_s, local_delay_s
        One-way delay between zones, and inside one.
    client_delay_s
        One-way delay between callers and nodes.
    """

    name: str
    zones: int
    engines: int
    nodes: int
    zone_delay_s: float
    local_delay_s: float
    client_delay_s: float
    engine: EngineModelSettings


TOP_UP = Deployment(
    name="topup",
    zones=4,
    engines=6,
    nodes=4,
    zone_delay_s=0.0015,
    local_delay_s=0.0002,
    client_delay_s=0.003,
    engine=EngineModelSettings(),
)
MUSIC_HOUSE = Deployment(
    name="music-house",
    zones=3,
    engines=6,
    nodes=3,
    zone_delay_s=0.0005,
    local_delay_s=0.0002,
    client_delay_s=0.001,
    engine=EngineModelSettings(cache_tokens=400_000),
)


def _tool_pause(generator: random.Random) -> float:
    """Return the time a tool takes: 0.4 s at the median, seconds now and then."""
    return min(generator.lognormvariate(-0.9, 0.8), 8.0)


def _answer(generator: random.Random, shortest: int, longest: int) -> int:
    return generator.randint(shortest, longest)


class TopUpWorkload:
    """Clerks' disputes at the counter (class 0) and work of member head offices (class 1).

    A dispute is 4 to 9 calls with tools between them; a quarter start one or two
    sub-agents of 2 to 4 calls. Head offices run 8 to 16 calls. One in ten is abandoned.
    Tenants come in the ratio 1, 1/2, 1/3 and so on.
    """

    TENANTS = 20

    def __init__(self, programs_per_s: float, generator: random.Random) -> None:
        self._rate = programs_per_s
        self._random = generator
        self._weights = [1.0 / (rank + 1) for rank in range(self.TENANTS)]

    def programs(self, duration_s: float) -> Iterator[ProgramPlan]:
        """Yield the programs that start within the duration, in the order of time."""
        time, number = 0.0, 0
        while True:
            time += self._random.expovariate(self._rate)
            if time >= duration_s:
                return
            tenant = self._random.choices(range(self.TENANTS), self._weights)[0]
            yield self.program(f"topup-{number}", f"tenant-{tenant}", time)
            number += 1

    def program(self, name: str, tenant: str, starts_at: float) -> ProgramPlan:
        """Return one program of a tenant."""
        is_counter = self._random.random() < 0.8
        length = self._random.randint(4, 9) if is_counter else self._random.randint(8, 16)
        calls = [self._call(first=index == 0) for index in range(length)]
        calls[-1].pause_s = 0.0
        if self._random.random() < 0.25:
            position = self._random.randrange(length - 1)
            for child in range(self._random.randint(1, 2)):
                calls[position].sub_agents.append(self._sub_agent(f"{name}.{child}", tenant))
        ending = Ending.ABANDONED if self._random.random() < 0.1 else Ending.ENDED
        return ProgramPlan(name, tenant, 0 if is_counter else 1, starts_at, calls, ending)

    def _call(self, *, first: bool) -> CallPlan:
        generator = self._random
        new = generator.randint(1_000, 2_000) if first else generator.randint(100, 700)
        return CallPlan(
            new_tokens=new,
            answer_tokens=_answer(generator, 20, 90),
            max_tokens=128,
            pause_s=_tool_pause(generator),
            expected_pause_s=0.55,
        )

    def _sub_agent(self, name: str, tenant: str) -> ProgramPlan:
        calls = [self._call(first=index == 0) for index in range(self._random.randint(2, 4))]
        calls[-1].pause_s = 0.0
        return ProgramPlan(name, tenant, 0, 0.0, calls, is_sub_agent=True)


class MusicHouseWorkload:
    """Tutor conversations that come back (class 0) and parents' booking helpers (class 1).

    A student's conversation starts with 4,000 to 16,000 tokens of earlier lessons and has
    1 to 5 sessions of 3 to 7 turns. Between turns the student plays for 3 to 20 s,
    between sessions the student is away for 30 to 120 s. A quarter never come back and
    never end the program. Bookings are 3 to 6 short calls with tools.
    """

    BRANCHES = 8

    def __init__(self, programs_per_s: float, generator: random.Random) -> None:
        self._rate = programs_per_s
        self._random = generator

    def programs(self, duration_s: float) -> Iterator[ProgramPlan]:
        """Yield the programs that start within the duration, in the order of time."""
        time, number = 0.0, 0
        while True:
            time += self._random.expovariate(self._rate)
            if time >= duration_s:
                return
            branch = f"branch-{self._random.randrange(self.BRANCHES)}"
            yield self.program(f"music-{number}", branch, time)
            number += 1

    def program(self, name: str, tenant: str, starts_at: float) -> ProgramPlan:
        """Return one program of a tenant."""
        if self._random.random() < 0.3:
            return self._booking(name, tenant, starts_at)
        calls: list[CallPlan] = []
        for _ in range(self._random.randint(1, 5)):
            calls += self._session()
        calls[0].new_tokens += self._random.randint(4_000, 16_000)
        ending = Ending.ABANDONED if self._random.random() < 0.25 else Ending.ENDED
        return ProgramPlan(name, tenant, 0, starts_at, calls, ending)

    def _session(self) -> list[CallPlan]:
        calls = []
        for _ in range(self._random.randint(3, 7)):
            call = CallPlan(
                new_tokens=self._random.randint(40, 300),
                answer_tokens=_answer(self._random, 30, 96),
                max_tokens=128,
                pause_s=self._random.uniform(3.0, 20.0),
                pause_kind=PauseKind.PERSON,
                expected_pause_s=20.0,
            )
            calls.append(call)
        calls[-1].pause_s = self._random.uniform(30.0, 120.0)
        return calls

    def _booking(self, name: str, tenant: str, starts_at: float) -> ProgramPlan:
        calls = [
            CallPlan(
                new_tokens=self._random.randint(800, 1_200) if index == 0 else 200,
                answer_tokens=_answer(self._random, 20, 60),
                max_tokens=96,
                pause_s=_tool_pause(self._random),
                expected_pause_s=0.55,
            )
            for index in range(self._random.randint(3, 6))
        ]
        calls[-1].pause_s = 0.0
        return ProgramPlan(name, tenant, 1, starts_at, calls)


Workload = TopUpWorkload | MusicHouseWorkload


def workload_for(
    deployment: Deployment, programs_per_s: float, generator: random.Random
) -> Workload:
    """Return the workload of a deployment."""
    if deployment.name.startswith(TOP_UP.name):
        return TopUpWorkload(programs_per_s, generator)
    return MusicHouseWorkload(programs_per_s, generator)
