"""How the events of a call become an HTTP answer, streamed or whole."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio
import msgspec

from passlane.api.asgi import EVENT_STREAM_TYPE, Receive, Send, send_chunk, start_stream
from passlane.api.caller_output import DONE_EVENT, CompletionWriter, sse_event
from passlane.api.problems import Problem, problem_of
from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.node import CallAnswered, CallEvent, CallRefused, CallRequest, TextChunk

Emit = Callable[[CallEvent], Awaitable[None]]
RunCall = Callable[[CallRequest, Emit], Awaitable[None]]

STREAM_HEADERS = {"cache-control": "no-store"}


class Answer(Protocol):
    """Takes the events of one call."""

    async def emit(self, event: CallEvent) -> None:
        """Take one event; raise ``PasslaneError`` for a refusal that has not been sent."""
        ...

    async def fail(self, error: PasslaneError) -> None:
        """Tell the caller of an error, or raise it if it can still be the whole answer."""
        ...


class WholeAnswer:
    """Keeps the last event for an answer in one body."""

    def __init__(self) -> None:
        self._answered: CallAnswered | None = None

    async def emit(self, event: CallEvent) -> None:
        """Take one event."""
        match event:
            case CallAnswered():
                self._answered = event
            case CallRefused():
                raise error_of_refusal(event)

    async def fail(self, error: PasslaneError) -> None:
        """Raise the error: nothing was sent."""
        raise error

    def answered(self) -> CallAnswered:
        """Return the answer; raise ``PasslaneError`` if there is none."""
        if self._answered is None:
            raise PasslaneError(
                ErrorCode.CONNECTION_LOST,
                "the caller left before the answer",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        return self._answered


class ErrorEvent(msgspec.Struct, frozen=True):
    """The event that tells of an error after the answer has begun."""

    error: Problem


class StreamedAnswer:
    """Sends each token as a server-sent event as it comes.

    The head is sent with the first token, so that a refusal before it is a plain problem
    with its own status.
    """

    def __init__(self, send: Send, writer: CompletionWriter) -> None:
        self._send = send
        self._writer = writer
        self._texts: list[str] = []
        self._is_started = False

    async def emit(self, event: CallEvent) -> None:
        """Take one event and send it on."""
        match event:
            case TextChunk(text=text):
                await self._send_text(text)
            case CallAnswered():
                await self._send_end(event)
            case CallRefused():
                raise error_of_refusal(event)

    async def _send_text(self, text: str) -> None:
        if not text:
            return
        data = self._writer.text_chunk(text)
        if not self._is_started:
            self._is_started = True
            await start_stream(self._send, 200, EVENT_STREAM_TYPE, STREAM_HEADERS)
            data = self._writer.first_chunk() + data
        self._texts.append(text)
        await send_chunk(self._send, data)

    async def _send_end(self, answered: CallAnswered) -> None:
        """Send what is missing of the text, as for a recorded answer, and the end."""
        sent = "".join(self._texts)
        if not answered.body.startswith(sent):
            raise PasslaneError(
                ErrorCode.INTERNAL,
                "the recorded answer differs from what was sent",
                verdict=answered.verdict,
            )
        await self._send_text(answered.body[len(sent) :])
        if not self._is_started:
            await start_stream(self._send, 200, EVENT_STREAM_TYPE, STREAM_HEADERS)
        data = self._writer.last_chunk(answered) + DONE_EVENT
        await send_chunk(self._send, data, last=True)

    async def fail(self, error: PasslaneError) -> None:
        """Send the error as an event if the answer has begun, else raise it."""
        if not self._is_started:
            raise error
        data = sse_event(ErrorEvent(problem_of(error))) + DONE_EVENT
        await send_chunk(self._send, data, last=True)


def error_of_refusal(refused: CallRefused) -> PasslaneError:
    """Return the error that a refusal stands for."""
    return PasslaneError(
        refused.code,
        refused.message,
        verdict=refused.verdict,
        retry_after_s=refused.retry_after_s,
    )


async def run_until_gone(
    run_call: RunCall, request: CallRequest, answer: Answer, receive: Receive
) -> None:
    """Run a call until it is answered or its caller has gone.

    Raises
    ------
    PasslaneError
        When the call failed and the error can be the whole HTTP answer.
    """
    failure: PasslaneError | None = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_when_gone, receive, tasks.cancel_scope)
        try:
            await run_call(request, answer.emit)
        except PasslaneError as error:
            failure = error
        tasks.cancel_scope.cancel()
    if failure is not None:
        await answer.fail(failure)


async def _cancel_when_gone(receive: Receive, scope: anyio.CancelScope) -> None:
    """Cancel ``scope`` when the caller's connection is lost."""
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            scope.cancel()
            return
