"""Reads what passlane answers to a caller: whole answers, streams and errors."""

from contextlib import aclosing
from dataclasses import dataclass, field

import anyio
import msgspec

from passlane.errors import Verdict
from passlane.event_streams.event_data import EventDataParser
from passlane.runtime.interfaces import HttpResponse

END_OF_STREAM = b"[DONE]"
STATUS_WITHOUT_BODY = 204
FIRST_ERROR_STATUS = 300
PAUSE_BEFORE_REPEAT_S = 0.2
"""A caller's pause when an answer was lost, in seconds."""


class CallProblem(msgspec.Struct, frozen=True):
    """An error as callers get it (RFC 9457), the parts that a caller acts on."""

    code: str = ""
    detail: str = ""
    verdict: Verdict | None = None
    retry_after_s: float | None = None


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
    token_gaps_s
        Times between the pieces of text of the last request.
    """

    verdict: Verdict | None = None
    answer: str = ""
    code: str = ""
    message: str = ""
    attempts: int = 0
    latency_s: float = 0.0
    first_token_s: float | None = None
    token_gaps_s: list[float] = field(default_factory=list)

    @property
    def succeeded(self) -> bool:
        """Whether the whole answer arrived."""
        return self.verdict is Verdict.RAN and not self.code


@dataclass(frozen=True)
class Attempt:
    """How one request went; ``repeat_after_s`` is ``None`` when its answer is final."""

    result: CallResult
    repeat_after_s: float | None = None


async def read_attempt(response: HttpResponse, began: float) -> Attempt:
    """Read an answer of whichever kind."""
    if response.status >= FIRST_ERROR_STATUS:
        return await _read_problem(response)
    if response.headers.get("content-type", "").startswith("text/event-stream"):
        return await _read_stream(response, began)
    answer = await _whole(response)
    if response.status != STATUS_WITHOUT_BODY and not _is_json(answer):
        # The end of a body is no proof of its completeness.
        return _lost("the answer broke off")
    return Attempt(CallResult(verdict=Verdict.RAN, answer=answer.decode()))


async def _read_problem(response: HttpResponse) -> Attempt:
    """Read an error; it is repeated when the answer says when to come back."""
    content = await _whole(response)
    try:
        problem = msgspec.json.decode(content, type=CallProblem)
    except msgspec.MsgspecError:
        problem = CallProblem(code=f"status_{response.status}")
    result = _failure(problem)
    return Attempt(result, problem.retry_after_s)


async def _read_stream(response: HttpResponse, began: float) -> Attempt:
    """Read a stream of events up to its proper end."""
    reader = _StreamReader(began)
    lines = EventDataParser()
    async with aclosing(response.chunks()) as parts:
        async for data in parts:
            for line in lines.feed(data):
                attempt = reader.read(line)
                if attempt is not None:
                    return attempt
    return _lost("the stream broke off")


class _StreamReader:
    """Gathers the result of one streamed answer, for a call that began at ``began``."""

    def __init__(self, began: float) -> None:
        self._began = began
        self._result = CallResult()
        self._last_token_at: float | None = None

    def read(self, line: bytes) -> Attempt | None:
        """Take in one event's data; return the attempt when it ends the stream."""
        if line == END_OF_STREAM:
            self._result.verdict = self._result.verdict or Verdict.RAN
            return Attempt(self._result)
        chunk = msgspec.json.decode(line, type=_ChatChunk)
        if chunk.error is not None or chunk.code:
            problem = chunk.error or msgspec.json.decode(line, type=CallProblem)
            return Attempt(_failure(problem), problem.retry_after_s)
        text = "".join(choice.delta.content or "" for choice in chunk.choices[:1])
        if text:
            self._note_text(text)
        return None

    def _note_text(self, text: str) -> None:
        """Add text to the answer, and the time since the text before it."""
        now = anyio.current_time()
        if self._last_token_at is None:
            self._result.first_token_s = now - self._began
        else:
            self._result.token_gaps_s.append(now - self._last_token_at)
        self._last_token_at = now
        self._result.answer += text


def _lost(message: str) -> Attempt:
    """Return an attempt whose answer was lost; it is repeated."""
    return Attempt(CallResult(code="connection_lost", message=message), PAUSE_BEFORE_REPEAT_S)


def _is_json(body: bytes) -> bool:
    """Whether a body is a whole JSON value."""
    try:
        msgspec.json.decode(body)
    except msgspec.DecodeError:
        return False
    return True


def _failure(problem: CallProblem) -> CallResult:
    """Return the result that an error stands for."""
    return CallResult(verdict=problem.verdict, code=problem.code, message=problem.detail)


async def _whole(response: HttpResponse) -> bytes:
    """Return an answer's whole body."""
    return b"".join([part async for part in response.chunks()])
