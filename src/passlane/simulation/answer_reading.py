"""Reads the answers that callers get: whole, streamed, or a problem."""

from typing import Any

import msgspec

from passlane.errors import Verdict
from passlane.simulation.http_calls import HttpAnswer
from passlane.simulation.observer import SeenAttempt


def read_answer(
    attempt: SeenAttempt, answer: HttpAnswer, *, is_tool: bool, is_streamed: bool
) -> None:
    """Note in ``attempt`` what a caller reads in an HTTP answer."""
    attempt.status = answer.status
    attempt.connected = answer.connected
    if not answer.is_whole:
        return
    if answer.status != 200:
        _read_problem(attempt, msgspec.json.decode(answer.body or b"{}"))
        attempt.is_whole = True
        return
    if is_tool:
        attempt.text = msgspec.json.encode(msgspec.json.decode(answer.body)["result"]).decode()
        attempt.is_whole = True
    elif is_streamed:
        _read_events(attempt, answer.body)
    else:
        choice = msgspec.json.decode(answer.body)["choices"][0]
        attempt.text = choice["message"]["content"]
        attempt.is_whole = True


def _read_problem(attempt: SeenAttempt, problem: dict[str, Any]) -> None:
    attempt.code = problem.get("code", "")
    attempt.verdict = Verdict(problem["verdict"]) if "verdict" in problem else None
    attempt.retry_after_s = problem.get("retry_after_s")


def _read_events(attempt: SeenAttempt, body: bytes) -> None:
    """Read server-sent events; the answer is whole if its last chunk and end are there."""
    parts: list[str] = []
    has_end = False
    for line in body.split(b"\n"):
        if not line.startswith(b"data: ") or line == b"data: [DONE]":
            continue
        event = msgspec.json.decode(line.removeprefix(b"data: "))
        if "error" in event:
            _read_problem(attempt, event["error"])
            attempt.status = event["error"].get("status")
            attempt.is_whole = True
            return
        choice = event["choices"][0]
        parts.append(choice["delta"].get("content") or "")
        has_end = has_end or choice["finish_reason"] is not None
    attempt.text = "".join(parts)
    attempt.is_whole = has_end and b"data: [DONE]" in body
