"""Plays drawn programs against a fleet, open loop, and keeps what their callers saw.

Works over any ``HttpClient``: against processes on loopback and, unchanged, against
simulated ones on a virtual clock.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import anyio
import msgspec

from passlane.emulator.answer_text import BYTES_PER_TOKEN
from passlane.emulator.caller import Caller
from passlane.emulator.caller_answers import CallResult
from passlane.emulator.workload import (
    ModelStep,
    PauseStep,
    ProgramPlan,
    Step,
    SubAgentStep,
    ToolStep,
)
from passlane.identifiers import TenantId
from passlane.messages.store import CallKind, Turn

FILLER = "please look at this again and tell me what to do next "


@dataclass(frozen=True, slots=True)
class MadeCall:
    """One call as its caller saw it; ``marker`` stands in its prompt or its arguments."""

    sequence: int
    kind: CallKind
    target: str
    marker: str
    result: CallResult


@dataclass
class ProgramOutcome:
    """One program as its caller saw it.

    Attributes
    ----------
    program_id
        The fleet's id; empty when the program could not be created.
    latency_s
        From the moment it should have started to its last answer, without the pauses.
    stopped_by
        Verdict and code of the error that ended the program early; empty if it came to
        its end.
    """

    plan: ProgramPlan
    program_id: str = ""
    latency_s: float = 0.0
    stopped_by: str = ""
    calls: list[MadeCall] = field(default_factory=list)
    children: list["ProgramOutcome"] = field(default_factory=list)


class ToolArguments(msgspec.Struct, frozen=True):
    """Arguments of each drawn tool call."""

    reference: str


CallerOf = Callable[[TenantId], Caller]


class LoadRunner:
    """Runs programs as their callers would.

    Parameters
    ----------
    caller_of
        Gives a caller of a tenant; it is asked once for each program.
    pause_scale
        Pauses of the plans are multiplied by this.
    """

    def __init__(self, caller_of: CallerOf, pause_scale: float = 1.0) -> None:
        self._caller_of = caller_of
        self._pause_scale = pause_scale
        self.outcomes: list[ProgramOutcome] = []

    async def run(self, plans: Iterable[ProgramPlan]) -> list[ProgramOutcome]:
        """Start each program at its time, wait for all and return what they saw."""
        began = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for plan in plans:
                await anyio.sleep_until(began + plan.starts_at)
                tasks.start_soon(self._run_program, plan)
        return self.outcomes

    async def _run_program(self, plan: ProgramPlan) -> None:
        """Run one program from its start to its end."""
        caller = self._caller_of(plan.tenant_id)
        outcome = ProgramOutcome(plan)
        self.outcomes.append(outcome)
        await self._play(caller, outcome, parent_id=None)

    async def _play(self, caller: Caller, outcome: ProgramOutcome, parent_id: str | None) -> None:
        """Create a program, take its steps and end it."""
        began = anyio.current_time()
        created = await caller.create_program(outcome.plan.program_id, parent_id)
        if not created.succeeded:
            outcome.stopped_by = _stop_reason(created)
            return
        outcome.program_id = created.answer
        paused_s = 0.0
        for step in outcome.plan.steps:
            if isinstance(step, PauseStep):
                paused_s += step.seconds * self._pause_scale
                await anyio.sleep(step.seconds * self._pause_scale)
            elif not await self._take(caller, outcome, step):
                break
        outcome.latency_s = anyio.current_time() - began - paused_s
        await caller.end_program(outcome.program_id)

    async def _take(self, caller: Caller, outcome: ProgramOutcome, step: Step) -> bool:
        """Take one step; return whether the program goes on."""
        if isinstance(step, SubAgentStep):
            child = ProgramOutcome(step.plan)
            outcome.children.append(child)
            await self._play(caller, child, outcome.program_id)
            return True
        sequence = len(outcome.calls)
        if isinstance(step, ModelStep):
            call = await _model_call(caller, outcome, sequence, step)
        elif isinstance(step, ToolStep):
            call = await _tool_call(caller, outcome, sequence, step)
        else:
            return True
        outcome.calls.append(call)
        if not call.result.succeeded:
            outcome.stopped_by = _stop_reason(call.result)
        return call.result.succeeded


def _stop_reason(result: CallResult) -> str:
    """Return the verdict and the code of a call that ends its program."""
    verdict = "no_answer" if result.verdict is None else result.verdict.value
    return f"{verdict} {result.code}".strip()


async def _model_call(
    caller: Caller, outcome: ProgramOutcome, sequence: int, step: ModelStep
) -> MadeCall:
    """Make a model call whose prompt has about as many tokens as drawn."""
    marker = f"[{outcome.plan.program_id} {sequence}]"
    length = step.prompt_tokens * BYTES_PER_TOKEN
    repeats = 1 + length // len(FILLER)
    content = f"{marker} {FILLER * repeats}"[: max(length, len(marker))]
    result = await caller.model_call(
        outcome.program_id, sequence, step.model, (Turn("user", content),), step.max_tokens
    )
    return MadeCall(sequence, CallKind.MODEL, step.model, marker, result)


async def _tool_call(
    caller: Caller, outcome: ProgramOutcome, sequence: int, step: ToolStep
) -> MadeCall:
    """Make a tool call."""
    arguments = msgspec.json.encode(ToolArguments(step.reference)).decode()
    result = await caller.tool_call(outcome.program_id, sequence, step.tool, arguments)
    return MadeCall(sequence, CallKind.TOOL, step.tool, step.reference, result)
