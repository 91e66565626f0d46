"""Draws programs the way the two deployments' callers make them; open loop, seeded.

A program is a chain of dependent steps: model calls, tool calls, pauses and sub-agents.
Programs arrive by themselves, whether or not earlier ones are done.
"""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from passlane.identifiers import ProgramId, TenantId


@dataclass(frozen=True, slots=True)
class ModelStep:
    """A model call with ``prompt_tokens`` new tokens after the history."""

    model: str
    prompt_tokens: int
    max_tokens: int


@dataclass(frozen=True, slots=True)
class ToolStep:
    """A tool call; ``reference`` is unique, so that a ledger shows a doubled run."""

    tool: str
    reference: str


@dataclass(frozen=True, slots=True)
class PauseStep:
    """The caller is away for ``seconds``."""

    seconds: float


@dataclass(frozen=True, slots=True)
class SubAgentStep:
    """The program waits for a sub-agent, which spends from its budget."""

    plan: "ProgramPlan"


Step = ModelStep | ToolStep | PauseStep | SubAgentStep


@dataclass(frozen=True, slots=True)
class ProgramPlan:
    """One program and when its caller starts it, in seconds."""

    program_id: ProgramId
    tenant_id: TenantId
    starts_at: float
    steps: tuple[Step, ...]


@dataclass(frozen=True, slots=True)
class ToolMix:
    """A tool, its share of the tool calls, and how often a program may call it."""

    tool: str
    share: float
    most_per_program: int = 1_000


@dataclass(frozen=True)
class WorkloadSettings:
    """What the callers of a deployment do.

    Attributes
    ----------
    programs_per_s
        Mean rate at which programs arrive.
    turns_mean, turns_max
        Model calls of one program (geometric).
    prompt_tokens_median, prompt_tokens_spread
        New tokens of one model call (log-normal; the spread is of the logarithm).
    first_prompt_tokens
        Tokens of instructions with the first call.
    pause_probability, pause_median_s, pause_spread
        Share of the turns after which the caller is away, and for how long (log-normal).
    sub_agent_probability, sub_agent_turns
        Share of the turns that wait for a sub-agent of so many turns.
    """

    model: str
    tenants: tuple[str, ...]
    tools: tuple[ToolMix, ...]
    programs_per_s: float
    turns_mean: float
    turns_max: int
    first_prompt_tokens: int
    prompt_tokens_median: int
    prompt_tokens_spread: float
    max_tokens: int
    tool_probability: float
    pause_probability: float
    pause_median_s: float
    pause_spread: float
    sub_agent_probability: float = 0.0
    sub_agent_turns: int = 2


TOP_UP_WORKLOAD = WorkloadSettings(
    model="agent",
    tenants=("corner-shop", "pharmacy", "kiosk-network", "head-office"),
    tools=(
        ToolMix("find_sale", 0.3),
        ToolMix("recharge_status", 0.3),
        ToolMix("charge", 0.15, 1),
        ToolMix("post_receipt", 0.15, 1),
        ToolMix("carrier_balance", 0.1),
    ),
    programs_per_s=4.0,
    turns_mean=5.0,
    turns_max=40,
    first_prompt_tokens=600,
    prompt_tokens_median=60,
    prompt_tokens_spread=0.6,
    max_tokens=96,
    tool_probability=0.6,
    pause_probability=0.3,
    pause_median_s=2.0,
    pause_spread=0.8,
    sub_agent_probability=0.1,
)
"""Clerks with a customer waiting: short programs, many tools, short pauses."""

MUSIC_HOUSE_WORKLOAD = WorkloadSettings(
    model="tutor",
    tenants=("tutor", "booking"),
    tools=(
        ToolMix("student_notes", 0.5),
        ToolMix("find_lessons", 0.3),
        ToolMix("move_lesson", 0.1, 1),
        ToolMix("notify_family", 0.1),
    ),
    programs_per_s=1.0,
    turns_mean=20.0,
    turns_max=200,
    first_prompt_tokens=1_500,
    prompt_tokens_median=120,
    prompt_tokens_spread=0.8,
    max_tokens=128,
    tool_probability=0.2,
    pause_probability=0.8,
    pause_median_s=20.0,
    pause_spread=1.2,
    sub_agent_probability=0.03,
)
"""Students who come back again and again: long histories, long pauses."""


def generate_programs(
    settings: WorkloadSettings, seed: int, until_s: float
) -> Iterator[ProgramPlan]:
    """Yield the programs that arrive before ``until_s``, in order of their start."""
    source = random.Random(seed)
    number = 0
    arrival = source.expovariate(settings.programs_per_s)
    while arrival < until_s:
        number += 1
        yield _program(settings, source, f"{seed}-{number}", arrival)
        arrival += source.expovariate(settings.programs_per_s)


def _program(
    settings: WorkloadSettings, source: random.Random, name: str, starts_at: float
) -> ProgramPlan:
    """Draw one program."""
    tenant = TenantId(source.choice(settings.tenants))
    turns = min(settings.turns_max, 1 + int(source.expovariate(1.0 / settings.turns_mean)))
    steps: list[Step] = []
    used: dict[str, int] = {}
    for turn in range(turns):
        steps.append(_model_step(settings, source, is_first=turn == 0))
        if source.random() < settings.tool_probability:
            steps += _tool_steps(settings, source, used, f"{name}-{turn}")
        if source.random() < settings.sub_agent_probability:
            steps.append(SubAgentStep(_sub_agent(settings, source, f"{name}-{turn}", tenant)))
        if turn + 1 < turns and source.random() < settings.pause_probability:
            pause = source.lognormvariate(math.log(settings.pause_median_s), settings.pause_spread)
            steps.append(PauseStep(pause))
    return ProgramPlan(ProgramId(f"program-{name}"), tenant, starts_at, tuple(steps))


def _sub_agent(
    settings: WorkloadSettings, source: random.Random, name: str, tenant: TenantId
) -> ProgramPlan:
    """Draw a sub-agent: model calls only."""
    steps = tuple(
        _model_step(settings, source, is_first=turn == 0)
        for turn in range(settings.sub_agent_turns)
    )
    return ProgramPlan(ProgramId(f"program-{name}-sub"), tenant, 0.0, steps)


def _model_step(settings: WorkloadSettings, source: random.Random, *, is_first: bool) -> ModelStep:
    """Draw a model call."""
    drawn = source.lognormvariate(
        math.log(settings.prompt_tokens_median), settings.prompt_tokens_spread
    )
    instructions = settings.first_prompt_tokens if is_first else 0
    return ModelStep(settings.model, instructions + max(1, int(drawn)), settings.max_tokens)


def _tool_steps(
    settings: WorkloadSettings, source: random.Random, used: dict[str, int], reference: str
) -> list[Step]:
    """Draw a tool call among the tools that the program may still call."""
    tools = [mix for mix in settings.tools if used.get(mix.tool, 0) < mix.most_per_program]
    if not tools:
        return []
    mix = source.choices(tools, [mix.share for mix in tools])[0]
    used[mix.tool] = used.get(mix.tool, 0) + 1
    return [ToolStep(mix.tool, f"{reference}-{mix.tool}")]
