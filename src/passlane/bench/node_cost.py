"""What a node costs: processor time, memory, bytes and added latency, by real processes.

Two nodes, the store group and the emulated engines run as processes of their own on the
loopback interface; this process is the callers. Processor time is that of both nodes as
the operating system counts it, less what they take when idle.
"""

import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import msgspec

from passlane.backends.engine_client import EngineClient
from passlane.bench.fleet import FleetError
from passlane.bench.latencies import LatencySummary, summarize
from passlane.bench.node_fleet import (
    MODEL,
    STEP_S,
    MeasuredProgram,
    NodeFleet,
    running_node_fleet,
)
from passlane.bench.node_memory import memory_lines, store_bytes_line
from passlane.bench.report_files import write_report
from passlane.bench.straight_line import Line, Point, fit_line
from passlane.identifiers import ProgramId
from passlane.messages.backends import EngineChatRequest, EngineChunk
from passlane.messages.common import Address
from passlane.messages.store import Turn
from passlane.runtime.http_client import SingleConnectionHttpClient
from passlane.runtime.network import TcpNetwork

CALLS_BY_TOKENS = {8: 300, 64: 160, 128: 100, 256: 80}
"""Calls of a point, by the tokens of each answer."""
CALLS_BY_HISTORY = {100: 60, 10_000: 30, 25_000: 12, 50_000: 8}
"""Calls of a point, by the tokens of history that each call sends along."""
HISTORY_ANSWER_TOKENS = 8
TOOL_CALLS = 300
CALLERS = 16
LATENCY_CALLS = 80
LATENCY_TOKENS = 64
DIRECT_TOKEN = 1_000_000
"""Above the tokens of nodes, whose sweep would release what these programs hold."""
PROMPT = "the customer says the recharge did not arrive, please look at the receipt"
TOOL = "find_sale"
MILLISECONDS = 1_000.0
REPORT_FILE = "node-cost.json"

AddressOf = Callable[[MeasuredProgram], Address]
Call = Callable[[MeasuredProgram], Awaitable[None]]


class AddedLatency(msgspec.Struct, frozen=True):
    """Calls straight to an engine and by a node, in turn within one run; in seconds.

    ``added_p50_s`` is the difference of the medians of the whole call, ``added_steps``
    the same in engine steps, ``ratio_p50`` their ratio.
    """

    name: str
    direct: LatencySummary
    by_node: LatencySummary
    direct_first_token: LatencySummary
    by_node_first_token: LatencySummary
    added_p50_s: float
    added_steps: float
    ratio_p50: float


class NodeCostReport(msgspec.Struct, frozen=True):
    """All lines, what a tool call costs, and the latency that a node adds.

    ``tokens_per_core_s`` is how many streamed tokens one core carries, as the slope says.
    """

    idle_core: float
    tool_call_ms: float
    tokens_per_core_s: float
    forwarded_tokens_per_core_s: float
    latency: tuple[AddedLatency, ...]
    lines: tuple[Line, ...]


def run(report: Path | None) -> int:
    """Measure everything, print it and write ``node-cost.json``."""
    result = anyio.run(_measure)
    for line in result.lines:
        print(line.to_text())
    print(f"tool call: {result.tool_call_ms:.2f} ms of processor time")
    print(f"idle, both nodes: {result.idle_core:.2%} of a core")
    print(
        f"one core carries {result.tokens_per_core_s:.0f} tokens/s at the leader, "
        f"{result.forwarded_tokens_per_core_s:.0f} where another node takes the call"
    )
    for added in result.latency:
        print(
            f"{added.name}: direct p50 {added.direct.p50 * MILLISECONDS:.2f} ms, by node "
            f"{added.by_node.p50 * MILLISECONDS:.2f} ms: {added.added_p50_s * MILLISECONDS:+.2f} ms"
            f" = {added.added_steps:.2f} steps, ratio {added.ratio_p50:.3f}"
        )
    write_report(report, REPORT_FILE, result)
    return 0


async def _measure() -> NodeCostReport:
    http = SingleConnectionHttpClient(TcpNetwork())
    with tempfile.TemporaryDirectory() as folder:
        async with running_node_fleet(Path(folder), http) as fleet:
            await _warm_up(fleet)
            await fleet.measure_idle()
            at_leader = await _cpu_by_tokens(fleet, "at the leader", lambda one: one.leader)
            forwarded = await _cpu_by_tokens(fleet, "through another node", lambda one: one.other)
            history = await _cpu_by_history(fleet)
            tool_call_ms = await _cpu_of_tool_calls(fleet)
            latency = (
                await _added_latency(fleet, "one call at a time", 1),
                await _added_latency(fleet, f"{CALLERS} calls at a time", CALLERS),
            )
            idle_core = fleet.idle_core
    return NodeCostReport(
        idle_core=idle_core,
        tool_call_ms=tool_call_ms,
        tokens_per_core_s=MILLISECONDS / at_leader.slope,
        forwarded_tokens_per_core_s=MILLISECONDS / forwarded.slope,
        latency=latency,
        lines=(at_leader, forwarded, history, *memory_lines(), store_bytes_line()),
    )


async def _warm_up(fleet: NodeFleet) -> None:
    programs = await fleet.create_programs(CALLERS * 2)
    await _run_all(programs, CALLERS, _model_call(fleet, 32, lambda one: one.other))


# Processor time.


async def _cpu_by_tokens(fleet: NodeFleet, name: str, address_of: AddressOf) -> Line:
    points: list[Point] = []
    for tokens, calls in CALLS_BY_TOKENS.items():
        programs = await fleet.create_programs(calls)
        call = _model_call(fleet, tokens, address_of)
        points.append(Point(tokens, await _cpu_per_call_ms(fleet, programs, call)))
    return fit_line(f"processor time per call {name}", "tokens streamed", "ms", points)


async def _cpu_by_history(fleet: NodeFleet) -> Line:
    """Measure second calls of programs whose first call brought a long text."""
    points: list[Point] = []
    for tokens, calls in CALLS_BY_HISTORY.items():
        programs = await fleet.create_programs(calls)
        first = _model_call(fleet, 1, lambda one: one.leader, content="word " * (tokens * 4 // 5))
        await _run_all(programs, 4, first)
        second = _model_call(fleet, HISTORY_ANSWER_TOKENS, lambda one: one.leader, sequence=1)
        points.append(Point(tokens, await _cpu_per_call_ms(fleet, programs, second)))
    return fit_line("processor time per call by history", "tokens of history", "ms", points)


async def _cpu_of_tool_calls(fleet: NodeFleet) -> float:
    programs = await fleet.create_programs(TOOL_CALLS)

    async def call(program: MeasuredProgram) -> None:
        caller = fleet.caller(program.leader)
        result = await caller.tool_call(program.program_id, 0, TOOL, '{"receipt": "r-1"}')
        _require(result.succeeded, result.message)

    return await _cpu_per_call_ms(fleet, programs, call)


async def _cpu_per_call_ms(fleet: NodeFleet, programs: list[MeasuredProgram], call: Call) -> float:
    cpu_before, began = fleet.cpu_s(), anyio.current_time()
    await _run_all(programs, CALLERS, call)
    elapsed_s = anyio.current_time() - began
    used_s = fleet.cpu_s() - cpu_before - fleet.idle_core * elapsed_s
    return used_s / len(programs) * MILLISECONDS


async def _run_all(programs: list[MeasuredProgram], callers: int, call: Call) -> None:
    """Make one call in each program, ``callers`` at a time."""
    waiting = list(programs)

    async def work() -> None:
        while waiting:
            await call(waiting.pop())

    async with anyio.create_task_group() as tasks:
        for _ in range(callers):
            tasks.start_soon(work)


def _model_call(
    fleet: NodeFleet,
    tokens: int,
    address_of: AddressOf,
    *,
    content: str = PROMPT,
    sequence: int = 0,
) -> Call:
    async def call(program: MeasuredProgram) -> None:
        caller = fleet.caller(address_of(program))
        turns = (Turn("user", content),)
        result = await caller.model_call(program.program_id, sequence, MODEL, turns, tokens)
        _require(result.succeeded, f"{result.code} {result.message}")

    return call


def _require(succeeded: bool, message: str) -> None:
    if not succeeded:
        raise FleetError(f"a call failed: {message}")


# Latency.


class _LatencyRun:
    """Makes calls straight to an engine and by the program's leader, in turn.

    The second call of each program is measured: as for most calls, the engine has the
    program's prefix in its cache, and the store knows that it holds memory there.
    """

    def __init__(self, fleet: NodeFleet) -> None:
        self._fleet = fleet
        self._engine = EngineClient(fleet.http, fleet.engine_address())
        self._answers: dict[str, str] = {}
        self.direct: list[float] = []
        self.direct_first: list[float] = []
        self.by_node: list[float] = []
        self.by_node_first: list[float] = []

    async def first_call(self, program: MeasuredProgram) -> None:
        """Make the first call each way, which is not measured."""
        await self._call_engine(program, ())
        await self._call_node(program, 0)

    async def second_call(self, program: MeasuredProgram) -> None:
        """Make the second call each way and keep its times."""
        answer = self._answers[program.program_id]
        history = (Turn("user", PROMPT), Turn("assistant", answer))
        total_s, first_token_s = await self._call_engine(program, history)
        self.direct.append(total_s)
        self.direct_first.append(first_token_s)
        total_s, first_token_s = await self._call_node(program, 1)
        self.by_node.append(total_s)
        self.by_node_first.append(first_token_s)

    async def _call_engine(
        self, program: MeasuredProgram, history: tuple[Turn, ...]
    ) -> tuple[float, float]:
        """Return the time of the whole call and that to its first token."""
        began = anyio.current_time()
        first: list[float] = []

        texts: list[str] = []

        def on_chunk(chunk: EngineChunk) -> None:
            texts.append(chunk.text)
            if not first:
                first.append(anyio.current_time() - began)

        request = EngineChatRequest(
            model=MODEL,
            messages=(*history, Turn("user", PROMPT)),
            max_tokens=LATENCY_TOKENS,
            attempt_id=f"direct-{program.program_id}-{len(history)}",
            program_id=ProgramId(f"direct-{program.program_id}"),
            epoch=DIRECT_TOKEN,
        )
        await self._engine.stream_chat(request, on_chunk)
        self._answers[program.program_id] = "".join(texts)
        return anyio.current_time() - began, first[0]

    async def _call_node(self, program: MeasuredProgram, sequence: int) -> tuple[float, float]:
        caller = self._fleet.caller(program.leader)
        turns = (Turn("user", PROMPT),)
        result = await caller.model_call(program.program_id, sequence, MODEL, turns, LATENCY_TOKENS)
        _require(result.succeeded and result.first_token_s is not None, result.message)
        return result.latency_s, result.first_token_s or 0.0


async def _added_latency(fleet: NodeFleet, name: str, callers: int) -> AddedLatency:
    programs = await fleet.create_programs(LATENCY_CALLS)
    latency = _LatencyRun(fleet)
    for step in (latency.first_call, latency.second_call):
        await _run_all(programs, callers, step)
    direct, by_node = summarize(latency.direct), summarize(latency.by_node)
    added_s = by_node.p50 - direct.p50
    return AddedLatency(
        name=name,
        direct=direct,
        by_node=by_node,
        direct_first_token=summarize(latency.direct_first),
        by_node_first_token=summarize(latency.by_node_first),
        added_p50_s=added_s,
        added_steps=added_s / STEP_S,
        ratio_p50=by_node.p50 / direct.p50,
    )
