"""Runs an engine model in real or virtual time and hands its outputs to streams."""

import math
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from passlane.emulator.engine_model import EngineModel
from passlane.emulator.engine_outputs import (
    FinishedRequest,
    GeneratedTokens,
    RefusalReason,
    StepOutput,
    Submission,
)
from passlane.emulator.engine_settings import EngineModelSettings
from passlane.identifiers import EngineId
from passlane.messages.backends import EngineOrder, OrderReply

StreamItem = GeneratedTokens | FinishedRequest


class RequestRefusedError(Exception):
    """The engine took no request; nothing ran."""

    def __init__(self, reason: RefusalReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


@dataclass
class EngineService:
    """One engine with its clock.

    ``run`` must be under way while requests are made. ``restart`` stands for a crash and a
    new start: all memory is gone, open streams break off and the incarnation grows.
    """

    settings: EngineModelSettings
    engine_id: EngineId
    generator: random.Random
    incarnation: int = 1
    model: EngineModel = field(init=False)
    last_request_at: float | None = field(init=False, default=None)
    _streams: dict[str, MemoryObjectSendStream[StreamItem]] = field(init=False)
    _changed: anyio.Event | None = field(init=False, default=None)
    _ends_at: float = field(init=False, default=math.inf)

    def __post_init__(self) -> None:
        """Start the first incarnation."""
        self._streams = {}
        self.model = self._new_model()

    async def run(self) -> None:
        """Advance the model whenever it has something to do, until cancelled."""
        while True:
            self._changed = anyio.Event()
            when = self.model.next_event_time()
            deadline = math.inf if when is None else when
            with anyio.CancelScope(deadline=min(deadline, self._ends_at)):
                await self._changed.wait()
            self.settle()
            if anyio.current_time() >= self._ends_at:
                self.restart()

    def settle(self) -> None:
        """Bring the model up to the present and pass its outputs on."""
        for output in self.model.advance(anyio.current_time()):
            self._dispatch(output)

    def restart(self) -> None:
        """Lose all memory and streams and start anew."""
        for stream in self._streams.values():
            stream.close()
        self._streams.clear()
        self._ends_at = math.inf
        self.incarnation += 1
        self.model = self._new_model()
        self._wake()

    def end_later(self, delay_s: float) -> None:
        """Restart after some seconds; what runs until then goes on."""
        self._ends_at = min(self._ends_at, anyio.current_time() + delay_s)
        self._wake()

    @asynccontextmanager
    async def stream(
        self, submission: Submission
    ) -> AsyncIterator[MemoryObjectReceiveStream[StreamItem]]:
        """Submit a request and give its items; leaving early cancels it.

        Raises
        ------
        RequestRefusedError
            On entry, when the engine does not take the request.
        """
        self.settle()
        self.last_request_at = anyio.current_time()
        reason = self.model.submit(submission, anyio.current_time())
        if reason is not None:
            raise RequestRefusedError(reason)
        sender, receiver = anyio.create_memory_object_stream[StreamItem](math.inf)
        attempt_id = submission.attempt_id
        self._streams[attempt_id] = sender
        self._wake()
        try:
            yield receiver
        finally:
            receiver.close()
            self._cancel_if_current(attempt_id, sender)

    def quiet_s(self) -> float | None:
        """Return the seconds since the last request; ``None`` if there never was one."""
        if self.last_request_at is None:
            return None
        return anyio.current_time() - self.last_request_at

    def cancel(self, attempt_id: str) -> bool:
        """Stop a request; its stream breaks off. Return whether it was there."""
        self.settle()
        cancelled = self.model.cancel(attempt_id, anyio.current_time())
        stream = self._streams.pop(attempt_id, None)
        if stream is not None:
            stream.close()
        self._wake()
        return cancelled

    def order(self, order: EngineOrder, available_tokens: int = 0) -> OrderReply:
        """Carry out a fenced order."""
        self.settle()
        reply = self.model.order(order, anyio.current_time(), available_tokens)
        self._wake()
        return reply

    def _cancel_if_current(
        self, attempt_id: str, sender: MemoryObjectSendStream[StreamItem]
    ) -> None:
        """Stop a request whose reader left, unless it ended already."""
        if self._streams.get(attempt_id) is sender:
            # Nothing more may be sent to it, not even what is due before it is cancelled.
            del self._streams[attempt_id]
            sender.close()
            self.cancel(attempt_id)

    def _new_model(self) -> EngineModel:
        """Return the model of the present incarnation."""
        return EngineModel(
            self.settings,
            engine_id=self.engine_id,
            incarnation=self.incarnation,
            generator=self.generator,
        )

    def _dispatch(self, output: StepOutput) -> None:
        """Hand a step's items to the streams that wait for them."""
        for tokens in output.tokens:
            stream = self._streams.get(tokens.attempt_id)
            if stream is not None:
                stream.send_nowait(tokens)
        for finished in output.finished:
            stream = self._streams.pop(finished.attempt_id, None)
            if stream is not None:
                stream.send_nowait(finished)
                stream.close()

    def _wake(self) -> None:
        """Let ``run`` look at the model's next event time again."""
        if self._changed is not None:
            self._changed.set()
