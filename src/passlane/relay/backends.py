"""The relay's interfaces to backends, to the platform's list of them, and to the caller.

Owns nothing; ``passlane.platform`` implements them.
"""

from collections.abc import AsyncGenerator, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Protocol

import msgspec

from passlane.decisions.admission.answer_room import HeldPart
from passlane.decisions.inputs.answer_head import AnswerHead
from passlane.decisions.inputs.relayed_call import Header, RelayedCall
from passlane.messages.listing import BackendRecord
from passlane.relay.end_reasons import RequestEndReason
from passlane.runtime.reach import BackendReach

CLIENT_LEFT = RequestEndReason.CLIENT_LEFT.text
"""Abandon reason of an answer whose caller closed the connection."""


class BackendAnswer(Protocol):
    """An answer whose head has arrived."""

    head: AnswerHead

    def chunks(self) -> AsyncGenerator[bytes, None]:
        """Return the chunks of the body as they arrive; raise ``OSError`` when it breaks off."""
        ...


class BackendRequest(msgspec.Struct, frozen=True):
    """A call with the relay's decisions about it.

    Attributes
    ----------
    body
        The body to send; differs from the call's body for turns with a history.
    remaining_s
        Seconds left for the backend.
    engine_priority
        Its priority at a model engine, 0 is the most urgent; ``None`` for other backends.
    last_event_id
        The event after which a stream resumes.
    tenant_name
        Name of the tenant; empty without one.
    held
        Counts what is held of an answer that is not complete; ``None`` for no count.
    """

    call: RelayedCall
    body: bytes
    remaining_s: float
    engine_priority: int | None = None
    last_event_id: str | None = None
    tenant_name: str = ""
    held: HeldPart | None = None


class RelayBackends(Protocol):
    """Sends requests to backends."""

    def exchange(
        self, backend: BackendRecord, request: BackendRequest
    ) -> AbstractAsyncContextManager[BackendAnswer]:
        """Send a request and yield its answer; leaving the context early closes the connection.

        Raises
        ------
        HttpConnectionError
            On entry or while the body is read; with ``bytes_left`` the request may have run.
        """
        ...

    def has_idle_connection(self, backend: BackendRecord) -> bool:
        """Whether a request can be sent without opening a connection."""
        ...

    async def check_reach(self, backend: BackendRecord) -> BackendReach:
        """Try to open a connection to a backend; return what came of it."""
        ...

    async def check_instance(self, backend: BackendRecord, health_path: str) -> BackendReach:
        """Ask a backend for its health; return whether it answered, another one, or none.

        Its health itself is not considered.
        """
        ...


class BackendList(Protocol):
    """The platform's list of backends."""

    async def read(self) -> Sequence[BackendRecord]:
        """Return the complete list.

        Raises
        ------
        PasslaneError
            ``UNAVAILABLE`` when it cannot be read; ``LIMIT_EXCEEDED`` above the allowed call rate.
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
        """The status that was written; 0 before the head."""
        ...

    @property
    def is_finished(self) -> bool:
        """Whether the complete answer was written."""
        ...

    @property
    def is_abandoned(self) -> bool:
        """Whether the caller's connection is closed."""
        ...

    @property
    def abandon_reason(self) -> str:
        """Why the caller's connection was closed, if it was."""
        ...

    async def start(self, status: int, headers: Sequence[Header], length: int | None) -> None:
        """Write the head; without a length, ``finish`` ends the body."""
        ...

    async def write(self, data: bytes) -> None:
        """Write a chunk of the body."""
        ...

    async def finish(self) -> None:
        """End the body; the caller then recognises it as complete."""
        ...

    async def refuse(self, status: int, reason: str, retry_after_s: float | None) -> None:
        """Write a complete answer that this node generates."""
        ...
