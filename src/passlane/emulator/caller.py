"""A caller of passlane: makes calls, and repeats them under the same key when in doubt.

Works over any ``HttpClient``, so the same caller serves real and simulated fleets.
"""

from collections.abc import Mapping, Sequence
from typing import Any

import anyio
import msgspec

from passlane.emulator.caller_answers import (
    PAUSE_BEFORE_REPEAT_S,
    Attempt,
    CallResult,
    read_attempt,
)
from passlane.messages.common import Address, Amounts
from passlane.messages.store import Turn
from passlane.runtime.interfaces import HttpClient, HttpRequest

PROGRAM_HEADER = "Passlane-Program"
SEQUENCE_HEADER = "Passlane-Sequence"
KEY_HEADER = "Idempotency-Key"
LONGEST_PAUSE_S = 2.0


class _CreatedProgram(msgspec.Struct, frozen=True):
    """The part of a created program that its caller needs."""

    program_id: str


class _ToolAnswer(msgspec.Struct, frozen=True):
    """A tool's answer; the result is kept as the JSON it came as."""

    result: msgspec.Raw


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
        result.latency_s = anyio.current_time() - began
        return result

    async def _send(
        self, method: str, path: str, headers: Mapping[str, str], body: Any, began: float
    ) -> Attempt:
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
                return await read_attempt(response, began)
        except OSError as error:
            lost = CallResult(code="connection_lost", message=str(error))
            return Attempt(lost, PAUSE_BEFORE_REPEAT_S)


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
