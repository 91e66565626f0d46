"""The interfaces that the relay needs: back ends, their list, and the writer to its caller.

Owns nothing; ``passlane.platform`` implements them.
"""

from collections.abc import AsyncGenerator, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Protocol

import msgspec

from passlane.decisions.inputs.answer_head import AnswerHead
from passlane.decisions.inputs.relayed_call import Header, RelayedCall
from passlane.messages.listing import BackendRecord
from passlane.relay.end_reasons import RequestEndReason

CLIENT_LEFT = RequestEndReason.CLIENT_LEFT.text
"""Reason of an answer that was abandoned because its caller closed the connection."""


class BackendAnswer(Protocol):
    """An answer whose head has arrived."""

    head: AnswerHead

    def chunks(self) -> AsyncGenerator[bytes, None]:
        """Return the body's parts as they arrive; raise ``OSError`` when it breaks off."""
        ...


class BackendRequest(msgspec.Struct, frozen=True):
    """A call together with what the relay has decided about it.

    Attributes
    ----------
    body
        What the back end is to get; differs from the call's for turns with a history.
    remaining_s
        Time that the back end has left.
    engine_priority
        Its priority at a model engine, 0 first; ``None`` for other back ends.
    last_event_id
        The event after which a stream is to go on.
    tenant_name
        On whose behalf the request comes; empty without a tenant.
    """

    call: RelayedCall
    body: bytes
    remaining_s: float
    engine_priority: int | None = None
    last_event_id: str | None = None
    tenant_name: str = ""


class RelayBackends(Protocol):
    """Sends requests to back ends."""

    def exchange(
        self, backend: BackendRecord, request: BackendRequest
    ) -> AbstractAsyncContextManager[BackendAnswer]:
        """Send a request and give its answer; leaving early closes the connection.

        Raises
        ------
        HttpConnectionError
            On entry or while the body is read; ``bytes_left`` tells whether it may run.
        """
        ...

    def has_idle_connection(self, backend: BackendRecord) -> bool:
        """Whether a request could be sent without opening a connection."""
        ...


class BackendList(Protocol):
    """The platform's list of back ends."""

    async def read(self) -> Sequence[BackendRecord]:
        """Return the whole list.

        Raises
        ------
        PasslaneError
            ``UNAVAILABLE`` when it cannot be had; ``LIMIT_EXCEEDED`` over the call rate.
        """
        ...


class AnswerWriter(Protocol):
    """Writes the answer to the caller of one request."""

    @property
    def has_started(self) -> bool:
        """Whether the head was written."""
        ...

    @property
    def status(self) -> int:
        """Status that was written; 0 before the head."""
        ...

    @property
    def is_finished(self) -> bool:
        """Whether the whole answer was written."""
        ...

    @property
    def is_abandoned(self) -> bool:
        """Whether the caller's connection has ended."""
        ...

    @property
    def abandon_reason(self) -> str:
        """Why it has, if it has."""
        ...

    async def start(self, status: int, headers: Sequence[Header], length: int | None) -> None:
        """Write the head; without a length the body ends with ``finish``."""
        ...

    async def write(self, data: bytes) -> None:
        """Write a part of the body."""
        ...

    async def finish(self) -> None:
        """End the body; the caller now knows that it is whole."""
        ...

    async def refuse(self, status: int, reason: str, retry_after_s: float | None) -> None:
        """Write a whole answer of this system's own."""
        ...
