"""Response bodies for callers: programs, completions, stream chunks and tool results (JSON)."""

from typing import Any

import msgspec

from passlane.errors import Verdict
from passlane.identifiers import ProgramId
from passlane.messages.common import Amounts
from passlane.messages.node import CallAnswered
from passlane.messages.store import CallKind, CallState, ProgramRecord, ProgramState, Turn


class CallView(msgspec.Struct, frozen=True):
    """A call of a program as its caller sees it."""

    sequence: int
    kind: CallKind
    target: str
    state: CallState
    verdict: Verdict | None


class ProgramView(msgspec.Struct, frozen=True):
    """A program as its caller sees it."""

    program_id: ProgramId
    state: ProgramState
    parent_id: ProgramId | None
    next_sequence: int
    budget: Amounts
    reserved: Amounts
    spent: Amounts
    calls: tuple[CallView, ...]
    history: tuple[Turn, ...]


def program_view(record: ProgramRecord) -> ProgramView:
    """Return the caller's view of a program's record."""
    calls = tuple(
        CallView(
            sequence=call.sequence,
            kind=call.kind,
            target=call.target,
            state=call.state,
            verdict=None if call.outcome is None else call.outcome.verdict,
        )
        for call in record.calls
    )
    return ProgramView(
        program_id=record.program_id,
        state=record.state,
        parent_id=record.parent_id,
        next_sequence=record.next_sequence,
        budget=record.budget,
        reserved=record.reserved,
        spent=record.spent,
        calls=calls,
        history=record.turns,
    )


class Usage(msgspec.Struct, frozen=True):
    """Token counts in the chat-completions format, with the cached prompt tokens."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    cached_tokens: int


class CallInfo(msgspec.Struct, frozen=True):
    """Passlane's addition to an answer: the call's program, sequence, verdict and attempts."""

    program_id: ProgramId
    sequence: int
    verdict: Verdict
    attempts: int


class AnswerMessage(msgspec.Struct, frozen=True):
    """The generated message of a completion."""

    role: str
    content: str


class Choice(msgspec.Struct, frozen=True):
    """The only choice of a completion."""

    index: int
    message: AnswerMessage
    finish_reason: str


class Completion(msgspec.Struct, frozen=True):
    """A complete answer in the chat-completions format.

    ``created`` is always 0, because passlane uses no wall clock.
    """

    id: str
    object: str
    created: int
    model: str
    choices: tuple[Choice, ...]
    usage: Usage
    passlane: CallInfo


class Delta(msgspec.Struct, frozen=True, omit_defaults=True):
    """The part of the answer in one chunk."""

    role: str | None = None
    content: str | None = None


class ChunkChoice(msgspec.Struct, frozen=True):
    """The only choice of a chunk."""

    index: int
    delta: Delta
    finish_reason: str | None


class CompletionChunk(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event of a streamed answer; the last event has the usage and call information."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[ChunkChoice, ...]
    usage: Usage | None = None
    passlane: CallInfo | None = None


class ToolResult(msgspec.Struct, frozen=True):
    """Answer to ``POST /v1/tools/{tool}``; ``result`` is the application's JSON."""

    result: Any
    passlane: CallInfo


ANSWER_ROLE = "assistant"
DONE_EVENT = b"data: [DONE]\n\n"

_encoder = msgspec.json.Encoder()


def sse_event(value: msgspec.Struct) -> bytes:
    """Return a server-sent event with ``value`` as JSON."""
    return b"data: " + _encoder.encode(value) + b"\n\n"


class CompletionWriter:
    """Builds one answer in the chat-completions format, streamed or as one body."""

    def __init__(self, request_id: str, model: str, program_id: ProgramId, max_tokens: int) -> None:
        self._id = f"chatcmpl-{request_id}"
        self._model = model
        self._program_id = program_id
        self._max_tokens = max_tokens

    def first_chunk(self) -> bytes:
        """Return the first event of the answer, which has the role."""
        return self._chunk(Delta(role=ANSWER_ROLE))

    def text_chunk(self, text: str) -> bytes:
        """Return an event with further text of the answer."""
        return self._chunk(Delta(content=text))

    def last_chunk(self, answered: CallAnswered) -> bytes:
        """Return the last event of the answer."""
        choice = ChunkChoice(0, Delta(), self._finish_reason(answered))
        chunk = CompletionChunk(
            id=self._id,
            object="chat.completion.chunk",
            created=0,
            model=self._model,
            choices=(choice,),
            usage=_usage(answered),
            passlane=call_info(self._program_id, answered),
        )
        return sse_event(chunk)

    def completion(self, answered: CallAnswered) -> Completion:
        """Return the complete answer as one body."""
        message = AnswerMessage(role=ANSWER_ROLE, content=answered.body)
        return Completion(
            id=self._id,
            object="chat.completion",
            created=0,
            model=self._model,
            choices=(Choice(0, message, self._finish_reason(answered)),),
            usage=_usage(answered),
            passlane=call_info(self._program_id, answered),
        )

    def _chunk(self, delta: Delta) -> bytes:
        return sse_event(
            CompletionChunk(
                id=self._id,
                object="chat.completion.chunk",
                created=0,
                model=self._model,
                choices=(ChunkChoice(0, delta, None),),
            )
        )

    def _finish_reason(self, answered: CallAnswered) -> str:
        return "length" if answered.generated_tokens >= self._max_tokens else "stop"


def _usage(answered: CallAnswered) -> Usage:
    return Usage(
        prompt_tokens=answered.prompt_tokens,
        completion_tokens=answered.generated_tokens,
        total_tokens=answered.prompt_tokens + answered.generated_tokens,
        cached_tokens=answered.cached_tokens,
    )


def call_info(program_id: ProgramId, answered: CallAnswered) -> CallInfo:
    """Return passlane's addition to an answer."""
    return CallInfo(program_id, answered.sequence, answered.verdict, answered.attempts)


def tool_result(program_id: ProgramId, answered: CallAnswered) -> ToolResult:
    """Return the answer to a tool call; a result that is not JSON becomes a string."""
    try:
        result = msgspec.json.decode(answered.body)
    except (msgspec.MsgspecError, RecursionError):
        result = answered.body
    return ToolResult(result=result, passlane=call_info(program_id, answered))
