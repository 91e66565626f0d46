"""Turns the events of a call into an HTTP response, streamed or as one body."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio
import msgspec

from passlane.api.asgi import Receive, Send, send_chunk, start_stream
from passlane.api.caller_output import DONE_EVENT, CompletionWriter, sse_event
from passlane.api.problems import Problem, problem_of
from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.event_streams.whole_events import EVENT_STREAM_TYPE
from passlane.messages.node import CallAnswered, CallEvent, CallRefused, CallRequest, TextChunk

Emit = Callable[[CallEvent], Awaitable[None]]
RunCall = Callable[[CallRequest, Emit], Awaitable[None]]

STREAM_HEADERS = {"cache-control": "no-store"}


class Answer(Protocol):
    """Receives the events of one call."""

    async def emit(self, event: CallEvent) -> None:
        """Process one event; raise ``PasslaneError`` for a refusal."""
        ...

    async def fail(self, error: PasslaneError) -> None:
        """Send the error to the caller, or raise it if the response has not begun."""
        ...


class BufferedAnswer:
    """Keeps the last event, for a response with one body."""

    def __init__(self) -> None:
        self._answered: CallAnswered | None = None

    async def emit(self, event: CallEvent) -> None:
        """Process one event; raise ``PasslaneError`` for a refusal."""
        match event:
            case CallAnswered():
                self._answered = event
            case CallRefused():
                raise error_from_refusal(event)

    async def fail(self, error: PasslaneError) -> None:
        """Raise the error, because nothing has been sent."""
        raise error

    def answered(self) -> CallAnswered:
        """Return the answer; raise ``PasslaneError`` if there is none."""
        if self._answered is None:
            raise PasslaneError(
                ErrorCode.CONNECTION_LOST,
                "the caller disconnected before the answer",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        return self._answered


class ErrorEvent(msgspec.Struct, frozen=True):
    """The event for an error after the response has begun."""

    error: Problem


class StreamedAnswer:
    """Sends each part of the answer as a server-sent event at once.

    The response head is sent with the first part, so that an earlier error is a response with
    its own status.
    """

    def __init__(self, send: Send, writer: CompletionWriter) -> None:
        self._send = send
        self._writer = writer
        self._texts: list[str] = []
        self._is_started = False

    async def emit(self, event: CallEvent) -> None:
        """Send one event to the caller; raise ``PasslaneError`` for a refusal."""
        match event:
            case TextChunk(text=text):
                await self._send_text(text)
            case CallAnswered():
                await self._send_end(event)
            case CallRefused():
                raise error_from_refusal(event)

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
        """Send the rest of the text, which is all of it for a recorded answer, and the end."""
        sent = "".join(self._texts)
        if not answered.body.startswith(sent):
            raise PasslaneError(
                ErrorCode.INTERNAL,
                "the recorded answer differs from the text already sent",
                verdict=answered.verdict,
            )
        await self._send_text(answered.body[len(sent) :])
        if not self._is_started:
            await start_stream(self._send, 200, EVENT_STREAM_TYPE, STREAM_HEADERS)
        data = self._writer.last_chunk(answered) + DONE_EVENT
        await send_chunk(self._send, data, last=True)

    async def fail(self, error: PasslaneError) -> None:
        """Send the error as an event if the response has begun, else raise it."""
        if not self._is_started:
            raise error
        data = sse_event(ErrorEvent(problem_of(error))) + DONE_EVENT
        await send_chunk(self._send, data, last=True)


def error_from_refusal(refused: CallRefused) -> PasslaneError:
    """Return the error that a refusal describes."""
    return PasslaneError(
        refused.code,
        refused.message,
        verdict=refused.verdict,
        retry_after_s=refused.retry_after_s,
    )


async def run_until_disconnect(
    run_call: RunCall, request: CallRequest, answer: Answer, receive: Receive
) -> None:
    """Run a call until it is answered; cancel it when its caller disconnects.

    Raises
    ------
    PasslaneError
        When the call failed before the response has begun.
    """
    failure: PasslaneError | None = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
        try:
            await run_call(request, answer.emit)
        except PasslaneError as error:
            failure = error
        tasks.cancel_scope.cancel()
    if failure is not None:
        await answer.fail(failure)


async def _cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    """Cancel ``scope`` when the caller disconnects."""
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            scope.cancel()
            return
