"""Simulated callers: they run programs call by call and repeat what failed."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import anyio
import msgspec

from passlane.simulation.answer_reading import read_answer
from passlane.simulation.fleet_plan import CALLER_HOST, caller_token
from passlane.simulation.http_calls import HttpAnswer, fetch
from passlane.simulation.observer import SeenAttempt, SeenCall, SeenProgram
from passlane.simulation.simulated_clients import SimulatedClients

ATTEMPT_TIMEOUT_S = 35.0
CALL_PATIENCE_S = 120.0
"""A caller repeats a call for so long, then gives the program up."""
PAUSE_S = 0.5
FINAL_STATUSES = frozenset({400, 403, 404, 409, 422})
CREATED = 201
NO_CONTENT = 204
HARMFUL_TEXT = "under this, engines end"
"""Part of a harmful call; see ``EngineModelSettings.ends_under``."""
MODEL = "agent"
TOOL = "charge"


@dataclass(frozen=True)
class CallScript:
    """One call of a scripted program; ``pause_s`` goes before it.

    Engines end under one that is ``is_harmful`` (``HARMFUL_TEXT``). A model call's question has
    ``padding_bytes`` more than usual.

    A call that is not ``is_named`` carries neither sequence number nor idempotency key. It
    is sent once, since a repeat of it would be another call.
    """

    is_tool: bool = False
    is_named: bool = True
    is_streamed: bool = True
    max_tokens: int = 64
    pause_s: float = 0.2
    is_harmful: bool = False
    padding_bytes: int = 0


@dataclass(frozen=True)
class ProgramScript:
    """A program: its tenant, its budget and its calls."""

    tenant: str
    calls: Sequence[CallScript]
    max_tokens: int = 100_000
    max_calls: int = 100
    max_money_micros: int = 1_000_000


class SimulatedCallers(SimulatedClients):
    """Runs programs through the nodes and notes every answer."""

    host = CALLER_HOST

    async def run_program(self, name: str, script: ProgramScript) -> None:
        """Run one program to its end."""
        program = await self.run_program_open(name, script)
        if program is None:
            return
        for call in script.calls:
            await anyio.sleep(call.pause_s)
            answered = await self._make_next_call(program, call)
            if not answered and program.calls[-1].is_refused_for_good:
                # It is on record that it never ran: that is a new call, under a new key.
                program.calls[-1].is_made_anew = True
                answered = await self._make_next_call(program, call)
            if not answered and call.is_named:
                break
        await self.end(program)

    async def _make_next_call(self, program: SeenProgram, script: CallScript) -> bool:
        return await self.make_call(program, len(program.calls), script)

    async def make_call_several_times(
        self, program: SeenProgram, sequence: int, script: CallScript, copies: int
    ) -> None:
        """Send one call through several nodes at the same time, then as usual."""
        call = self._new_call(program, sequence, script)
        async with anyio.create_task_group() as tasks:
            for node in self._random.choices(self._plan.node_names(), k=copies):
                tasks.start_soon(self._attempt, program, call, script, node)
        if call.answer is None:
            await self._repeat_call(program, call, script)

    async def make_calls_together(
        self, program: SeenProgram, scripts: Sequence[CallScript]
    ) -> None:
        """Send calls at the same time, numbered in their order; repeat until answered."""
        calls = [self._new_call(program, number, one) for number, one in enumerate(scripts)]
        async with anyio.create_task_group() as tasks:
            for call, script in zip(calls, scripts, strict=True):
                tasks.start_soon(self._repeat_call, program, call, script)

    async def run_program_open(self, name: str, script: ProgramScript) -> SeenProgram | None:
        """Create a program and leave its calls to whoever asked for it."""
        budget = {
            "tokens": script.max_tokens,
            "calls": script.max_calls,
            "money_micros": script.max_money_micros,
        }
        answer = await self._repeat(
            script.tenant, "POST", "/v1/programs", {"idempotency-key": name}, {"budget": budget}
        )
        if answer is None or answer.status != CREATED:
            self._event_log.record("caller", f"{name} was not created")
            return None
        program_id = msgspec.json.decode(answer.body)["program_id"]
        program = SeenProgram(
            program_id=program_id,
            tenant=script.tenant,
            max_calls=script.max_calls,
            max_money_micros=script.max_money_micros,
            max_tokens=script.max_tokens,
        )
        self._seen.programs[program_id] = program
        self._event_log.record("caller", f"{name} is {program_id}")
        return program

    async def _repeat(
        self, tenant: str, method: str, path: str, headers: dict[str, str], body: Any
    ) -> HttpAnswer | None:
        """Send an idempotent request to one node after another until one answers it."""
        encoded = b"" if body is None else msgspec.json.encode(body)
        with anyio.move_on_after(CALL_PATIENCE_S):
            while True:
                node = self._random.choice(self._plan.node_names())
                answer = await self._fetch(tenant, node, method, path, headers, encoded)
                if answer.is_whole and answer.status is not None and answer.status < 500:
                    return answer
                await anyio.sleep(PAUSE_S)
        return None

    async def _fetch(
        self,
        tenant: str,
        node: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> HttpAnswer:
        return await fetch(
            self._client,
            self._plan.callers_address(node),
            method,
            path,
            headers={"authorization": f"Bearer {caller_token(tenant)}", **headers},
            body=body,
            timeout_s=ATTEMPT_TIMEOUT_S,
        )

    async def make_call(self, program: SeenProgram, sequence: int, script: CallScript) -> bool:
        """Make one call and repeat it until it is answered; return whether it was."""
        call = self._new_call(program, sequence, script)
        if script.is_named:
            return await self._repeat_call(program, call, script)
        node = self._random.choice(self._plan.node_names())
        attempt = await self._attempt(program, call, script, node)
        self._note(call, attempt)
        return attempt.succeeded

    def _new_call(self, program: SeenProgram, sequence: int, script: CallScript) -> SeenCall:
        call = SeenCall(
            program_id=program.program_id,
            sequence=sequence,
            target=TOOL if script.is_tool else MODEL,
            marker=f"call:{program.program_id}:{sequence}",
            is_tool=script.is_tool,
        )
        program.calls.append(call)
        return call

    async def _repeat_call(self, program: SeenProgram, call: SeenCall, script: CallScript) -> bool:
        deadline = anyio.current_time() + CALL_PATIENCE_S
        while anyio.current_time() < deadline:
            node = self._random.choice(self._plan.node_names())
            attempt = await self._attempt(program, call, script, node)
            self._note(call, attempt)
            if attempt.succeeded:
                return True
            if _is_settled(call):
                return False
            await anyio.sleep(attempt.retry_after_s or PAUSE_S)
        return False

    def _note(self, call: SeenCall, attempt: SeenAttempt) -> None:
        verdict = attempt.verdict.value if attempt.verdict else "-"
        self._event_log.record(
            "answer",
            f"{call.marker} {call.target} from {attempt.node}: {attempt.status} whole="
            f"{attempt.is_whole} {attempt.code} {verdict} {len(attempt.text)} characters",
        )

    async def _attempt(
        self, program: SeenProgram, call: SeenCall, script: CallScript, node: str
    ) -> SeenAttempt:
        attempt = SeenAttempt(node=node, sent_at=anyio.current_time())
        call.attempts.append(attempt)
        headers = {"passlane-program": program.program_id}
        if script.is_named:
            headers["passlane-sequence"] = str(call.sequence)
            headers["idempotency-key"] = f"{program.program_id}-{call.sequence}"
        if call.is_tool:
            path = f"/v1/tools/{call.target}"
            body: Any = {"marker": call.marker}
        else:
            path = "/v1/chat/completions"
            question = HARMFUL_TEXT if script.is_harmful else "what comes next?"
            padding = "." * script.padding_bytes
            message = {"role": "user", "content": f"{call.marker} {question}{padding}"}
            body = {
                "model": call.target,
                "messages": [message],
                "max_tokens": script.max_tokens,
                "stream": script.is_streamed,
            }
        answer = await self._fetch(
            program.tenant, node, "POST", path, headers, msgspec.json.encode(body)
        )
        attempt.ended_at = anyio.current_time()
        read_answer(attempt, answer, is_tool=call.is_tool, is_streamed=script.is_streamed)
        return attempt

    async def end(self, program: SeenProgram) -> None:
        """End a program; note the time when that was acknowledged."""
        path = f"/v1/programs/{program.program_id}"
        answer = await self._repeat(program.tenant, "DELETE", path, {}, None)
        if answer is not None and answer.status == NO_CONTENT:
            program.ended_at = anyio.current_time()
        self._event_log.record("caller", f"{program.program_id} ended: {program.ended_at}")

    async def read_final(self, program: SeenProgram) -> None:
        """Read the program's history and what it spent, when all is over."""
        path = f"/v1/programs/{program.program_id}"
        answer = await self._repeat(program.tenant, "GET", path, {}, None)
        if answer is None or answer.status != 200:
            return
        view = msgspec.json.decode(answer.body)
        program.final_turns = [(turn["role"], turn["content"]) for turn in view["history"]]
        spent = view["spent"]
        program.final_spent = (
            spent.get("tokens", 0),
            spent.get("calls", 0),
            spent.get("money_micros", 0),
        )


def _is_settled(call: SeenCall) -> bool:
    """Whether the last answers say that the call's outcome will not change any more."""
    last = call.attempts[-1]
    return (last.status in FINAL_STATUSES and last.is_whole) or call.has_recorded_failure
