"""A caller of passlane: makes calls, and repeats them under the same key when in doubt.

Works over any ``HttpClient``, so the same caller serves real and simulated fleets.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec

from passlane.backends.event_lines import EventLines
from passlane.errors import Verdict
from passlane.messages.common import Address, Amounts
from passlane.messages.store import Turn
from passlane.runtime.interfaces import HttpClient, HttpRequest, HttpResponse

PROGRAM_HEADER = "Passlane-Program"
SEQUENCE_HEADER = "Passlane-Sequence"
KEY_HEADER = "Idempotency-Key"
END_OF_STREAM = b"[DONE]"
FIRST_ERROR_STATUS = 300
PAUSE_BEFORE_REPEAT_S = 0.2
LONGEST_PAUSE_S = 2.0


class CallProblem(msgspec.Struct, frozen=True):
    """An error as callers get it (RFC 9457), the parts that a caller acts on."""

    code: str = ""
    detail: str = ""
    verdict: Verdict | None = None
    retry_after_s: float | None = None


class _CreatedProgram(msgspec.Struct, frozen=True):
    """The part of a created program that its caller needs."""

    program_id: str


class _ToolAnswer(msgspec.Struct, frozen=True):
    """A tool's answer; the result is kept as the JSON it came as."""

    result: msgspec.Raw


class _Delta(msgspec.Struct, frozen=True):
    """New text of a streamed answer."""

    content: str | None = None


class _Choice(msgspec.Struct, frozen=True):
    """One choice of a chunk; only the first is used."""

    delta: _Delta = _Delta()
    finish_reason: str | None = None


class _ChatChunk(msgspec.Struct, frozen=True):
    """One event of a streamed answer, or with ``code`` of its failure."""

    choices: tuple[_Choice, ...] = ()
    error: CallProblem | None = None
    code: str = ""


@dataclass
class CallResult:
    """What a caller got for one call.

    Attributes
    ----------
    verdict
        ``ran`` for a whole answer, else what the error says; ``None`` if nothing came.
    answer
        The generated text, or the tool's JSON answer.
    attempts
        Requests that were sent.
    latency_s, first_token_s
        From the first request to the end, and to the first token.
    ended_at_s
        When the call ended, on the caller's clock.
    token_gaps_s
        Times between the pieces of text of the last request.
    """

    verdict: Verdict | None = None
    answer: str = ""
    code: str = ""
    message: str = ""
    attempts: int = 0
    latency_s: float = 0.0
    ended_at_s: float = 0.0
    first_token_s: float | None = None
    token_gaps_s: list[float] = field(default_factory=list)

    @property
    def succeeded(self) -> bool:
        """Whether the whole answer arrived."""
        return self.verdict is Verdict.RAN and not self.code


@dataclass(frozen=True)
class _Attempt:
    """How one request went; ``repeat_after_s`` is ``None`` when its answer is final."""

    result: CallResult
    repeat_after_s: float | None = None


class Caller:
    """Makes the calls of one tenant.

    Parameters
    ----------
    http_client
        Sends the requests.
    addresses
        Callers' addresses of the nodes; the next one is tried when one fails.
    token
        The tenant's bearer token.
    timeout_s
        Time after which a call is given up, in seconds.
    """

    def __init__(
        self,
        http_client: HttpClient,
        addresses: Sequence[Address],
        token: str,
        timeout_s: float = 60.0,
    ) -> None:
        self._http_client = http_client
        self._addresses = list(addresses)
        self._token = token
        self._timeout_s = timeout_s
        self._next = 0

    async def create_program(
        self, key: str, parent_id: str | None = None, budget: Amounts | None = None
    ) -> CallResult:
        """Start a program; the answer of a result that succeeded is its id."""
        body: dict[str, Any] = {}
        if parent_id is not None:
            body["parent_id"] = parent_id
        if budget is not None:
            body["budget"] = msgspec.to_builtins(budget)
        result = await self._repeat("POST", "/v1/programs", {KEY_HEADER: key}, body)
        if result.succeeded:
            result.answer = msgspec.json.decode(result.answer, type=_CreatedProgram).program_id
        return result

    async def end_program(self, program_id: str) -> CallResult:
        """End a program."""
        return await self._repeat("DELETE", f"/v1/programs/{program_id}", {}, None)

    async def read_program(self, program_id: str) -> dict[str, Any]:
        """Return a program as passlane shows it; empty when it does not."""
        result = await self._repeat("GET", f"/v1/programs/{program_id}", {}, None)
        if not result.succeeded:
            return {}
        shown: dict[str, Any] = msgspec.json.decode(result.answer)
        return shown

    async def model_call(
        self,
        program_id: str,
        sequence: int,
        model: str,
        turns: Sequence[Turn],
        max_tokens: int,
        key: str | None = None,
        *,
        repeats: bool = True,
    ) -> CallResult:
        """Make a model call and return the whole streamed answer.

        Without ``repeats`` the first answer is final, whatever it is.
        """
        body = {
            "model": model,
            "messages": [msgspec.to_builtins(turn) for turn in turns],
            "max_tokens": max_tokens,
            "stream": True,
        }
        headers = _call_headers(program_id, sequence, key)
        return await self._repeat("POST", "/v1/chat/completions", headers, body, repeats=repeats)

    async def tool_call(
        self,
        program_id: str,
        sequence: int,
        tool: str,
        arguments: str,
        key: str | None = None,
        *,
        repeats: bool = True,
    ) -> CallResult:
        """Make a tool call; ``arguments`` is JSON, ``repeats`` as in a model call."""
        headers = _call_headers(program_id, sequence, key)
        body = msgspec.Raw(arguments.encode())
        result = await self._repeat("POST", f"/v1/tools/{tool}", headers, body, repeats=repeats)
        if result.succeeded:
            answer = msgspec.json.decode(result.answer, type=_ToolAnswer)
            result.answer = bytes(answer.result).decode()
        return result

    async def _repeat(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: Any,
        *,
        repeats: bool = True,
    ) -> CallResult:
        """Send a request until its answer is final or time is up."""
        began = anyio.current_time()
        attempts = 0
        result = CallResult()
        with anyio.move_on_after(self._timeout_s):
            while True:
                attempts += 1
                attempt = await self._send(method, path, headers, body, began)
                result = attempt.result
                if attempt.repeat_after_s is None or not repeats:
                    break
                self._next += 1
                await anyio.sleep(min(attempt.repeat_after_s, LONGEST_PAUSE_S))
        result.attempts = attempts
        result.ended_at_s = anyio.current_time()
        result.latency_s = result.ended_at_s - began
        return result

    async def _send(
        self, method: str, path: str, headers: Mapping[str, str], body: Any, began: float
    ) -> _Attempt:
        """Send a request once, for a call that began at ``began``."""
        address = self._addresses[self._next % len(self._addresses)]
        request = HttpRequest(
            method=method,
            address=address,
            path=path,
            headers={
                "Authorization": f"Bearer {self._token}",
                "Content-Type": "application/json",
                **headers,
            },
            body=b"" if body is None else msgspec.json.encode(body),
        )
        try:
            async with self._http_client.exchange(request) as response:
                return await self._read(response, began)
        except OSError as error:
            lost = CallResult(code="connection_lost", message=str(error))
            return _Attempt(lost, PAUSE_BEFORE_REPEAT_S)

    async def _read(self, response: HttpResponse, began: float) -> _Attempt:
        """Read an answer of whichever kind."""
        if response.status >= FIRST_ERROR_STATUS:
            return await self._read_problem(response)
        if response.headers.get("content-type", "").startswith("text/event-stream"):
            return await self._read_stream(response, began)
        answer = await _whole(response)
        return _Attempt(CallResult(verdict=Verdict.RAN, answer=answer.decode()))

    async def _read_problem(self, response: HttpResponse) -> _Attempt:
        """Read an error; it is repeated when the answer says when to come back."""
        content = await _whole(response)
        try:
            problem = msgspec.json.decode(content, type=CallProblem)
        except msgspec.MsgspecError:
            problem = CallProblem(code=f"status_{response.status}")
        result = _failure(problem)
        return _Attempt(result, problem.retry_after_s)

    async def _read_stream(self, response: HttpResponse, began: float) -> _Attempt:
        """Read a stream of events up to its proper end."""
        result = CallResult()
        lines = EventLines()
        last_token_at: float | None = None
        async for data in response.chunks():
            for line in lines.feed(data):
                if line == END_OF_STREAM:
                    result.verdict = result.verdict or Verdict.RAN
                    return _Attempt(result)
                chunk = msgspec.json.decode(line, type=_ChatChunk)
                if chunk.error is not None or chunk.code:
                    problem = chunk.error or msgspec.json.decode(line, type=CallProblem)
                    return _Attempt(_failure(problem), problem.retry_after_s)
                text = "".join(choice.delta.content or "" for choice in chunk.choices[:1])
                if not text:
                    continue
                now = anyio.current_time()
                if last_token_at is None:
                    result.first_token_s = now - began
                else:
                    result.token_gaps_s.append(now - last_token_at)
                last_token_at = now
                result.answer += text
        broken = CallResult(code="connection_lost", message="the stream broke off")
        return _Attempt(broken, PAUSE_BEFORE_REPEAT_S)


def default_key(program_id: str, sequence: int) -> str:
    """Return the idempotency key that a caller gives to a call."""
    return f"{program_id}-{sequence}"


def _call_headers(program_id: str, sequence: int, key: str | None) -> dict[str, str]:
    """Return the headers that name a call."""
    return {
        PROGRAM_HEADER: program_id,
        SEQUENCE_HEADER: str(sequence),
        KEY_HEADER: key or default_key(program_id, sequence),
    }


def _failure(problem: CallProblem) -> CallResult:
    """Return the result that an error stands for."""
    return CallResult(verdict=problem.verdict, code=problem.code, message=problem.detail)


async def _whole(response: HttpResponse) -> bytes:
    """Return an answer's whole body."""
    return b"".join([part async for part in response.chunks()])
