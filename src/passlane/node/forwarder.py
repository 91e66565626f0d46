"""Forwards requests to the node that leads their program and returns its events.

A request can be resent to another leader at any time, because its call id stays the same: a
recorded outcome is returned again, a model call resumes after the tokens that the caller has,
and an operation that must not be repeated is not run again.
"""

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import msgspec

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.identifiers import ProgramId
from passlane.messages.base import Message
from passlane.messages.common import Address, NotLeaderError, error_with_verdict
from passlane.messages.node import CallAnswered, CallEvent, CallRefused, CallRequest, TextChunk
from passlane.node.call_reports import CallReports
from passlane.node.leadership import Leadership
from passlane.node.refusal_verdicts import may_be_repeat
from passlane.programs.partitions import partition_of
from passlane.transport.interfaces import Caller

ROUTING_TIMEOUT_S = 10.0
"""Time to find a leader; restarted when the answer makes progress."""

INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.3
DEFAULT_RETRY_AFTER_S = 1.0

REROUTED_CODES = frozenset(
    {
        ErrorCode.NOT_LEADER,
        ErrorCode.LEASE_LOST,
        ErrorCode.STALE_EPOCH,
        ErrorCode.UNAVAILABLE,
        ErrorCode.CONNECTION_LOST,
    }
)
"""Error codes after which the same request is resent, possibly to another node."""

Emit = Callable[[CallEvent], Awaitable[None]]
ReplyType = TypeVar("ReplyType", bound=Message)


class _Progress:
    """The part of an answer that the caller has received."""

    def __init__(self, request: CallRequest, emit: Emit, reports: CallReports) -> None:
        self.texts: list[str] = [request.resume_text] if request.resume_from else []
        self.next_position = request.resume_from
        self.software_version = request.resume_version
        self.is_finished = False
        self.is_resent = False
        self.may_have_run = may_be_repeat(request)
        self._emit = emit
        self._reports = reports

    def record_failure(self, error: PasslaneError) -> None:
        """Record whether the call may have run despite the error."""
        if error.verdict is not Verdict.NOT_RUN:
            self.may_have_run = True
            self.is_resent = True

    async def forward(self, event: CallEvent) -> None:
        """Forward an event to the caller, except tokens that the caller already has."""
        if isinstance(event, TextChunk):
            if event.position < self.next_position:
                return
            self.next_position = event.position + event.tokens
            self.texts.append(event.text)
            self.software_version = event.software_version
        else:
            self.is_finished = True
        if isinstance(event, CallRefused):
            self._reports.publish_refusal(event.code, event.verdict)
        await self._emit(event)


class Forwarder:
    """Forwards requests to the leaders of programs and resends them after a leader change."""

    def __init__(
        self,
        caller: Caller,
        leadership: Leadership,
        partition_count: int,
        source: random.Random,
        reports: CallReports,
    ) -> None:
        self._caller = caller
        self._leadership = leadership
        self._partition_count = partition_count
        self._random = source
        self._reports = reports

    async def run_call(self, request: CallRequest, emit: Emit) -> None:
        """Run a call and pass its events to ``emit``; the last one ends the call.

        Raises
        ------
        PasslaneError
            When it was refused or no leader was found; the verdict covers all attempts.
        """
        progress = _Progress(request, emit, self._reports)
        try:
            await self._run_to_end(request, progress)
        except PasslaneError as error:
            # A refusal received as the last event is already reported.
            if not progress.is_finished:
                self._reports.publish_refusal(error.code, error.verdict)
            raise

    async def _run_to_end(self, request: CallRequest, progress: "_Progress") -> None:
        deadline = anyio.current_time() + request.timeout_s
        search = _LeaderSearch(self, request.program_id, deadline)
        while not progress.is_finished:
            position = progress.next_position
            try:
                await self._run_once(search.address(), request, progress, deadline)
            except PasslaneError as error:
                if progress.is_finished:
                    # The call's own refusal, raised by ``emit``.
                    raise
                progress.record_failure(error)
                if error.code not in REROUTED_CODES:
                    raise
                if progress.next_position > position:
                    search.reset_timeout()
                await search.back_off(error, progress.may_have_run)

    async def _run_once(
        self, address: Address, request: CallRequest, progress: _Progress, deadline: float
    ) -> None:
        remaining_s = deadline - anyio.current_time()
        current = msgspec.structs.replace(
            request,
            resume_from=progress.next_position,
            resume_text="".join(progress.texts),
            resume_version=progress.software_version,
            timeout_s=remaining_s,
            is_resent=progress.is_resent,
        )
        # One extra second lets the leader's own deadline error arrive.
        async with self._caller.stream(address, current, timeout_s=remaining_s + 1.0) as events:
            async for event in events:
                if not isinstance(event, TextChunk | CallAnswered | CallRefused):
                    raise PasslaneError(
                        ErrorCode.PROTOCOL_ERROR,
                        f"unexpected {type(event).__name__} in a call's events",
                        verdict=Verdict.MAY_HAVE_RUN,
                    )
                await progress.forward(event)
                if progress.is_finished:
                    return
        raise PasslaneError(
            ErrorCode.CONNECTION_LOST,
            "the leader ended the call's events early",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    async def send_request(
        self,
        program_id: ProgramId,
        request: Message,
        reply: type[ReplyType],
        timeout_s: float,
    ) -> ReplyType:
        """Send an idempotent request about a program to its leader and return the reply."""
        deadline = anyio.current_time() + timeout_s
        search = _LeaderSearch(self, program_id, deadline)
        may_have_run = False
        while True:
            remaining_s = max(deadline - anyio.current_time(), 0.001)
            try:
                return await self._caller.call(
                    search.address(), request, reply, timeout_s=remaining_s
                )
            except PasslaneError as error:
                may_have_run |= error.verdict is not Verdict.NOT_RUN
                if error.code not in REROUTED_CODES:
                    # The leader's verdict covers only this attempt to send the request.
                    verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN
                    raise error_with_verdict(error, verdict) from error
                await search.back_off(error, may_have_run)

    def leader_of(self, program_id: ProgramId) -> Address | None:
        """Return the address of a program's leader, if known."""
        return self._leadership.leader_of(partition_of(program_id, self._partition_count))

    def jitter(self, seconds: float) -> float:
        """Return a randomized delay, so that callers do not retry at the same time."""
        return seconds * self._random.uniform(0.5, 1.0)


class _LeaderSearch:
    """Address of the next attempt to send a request, with backoff and timeout."""

    def __init__(self, forwarder: Forwarder, program_id: ProgramId, deadline: float) -> None:
        self._forwarder = forwarder
        self._program_id = program_id
        self._deadline = deadline
        self._hint: Address | None = None
        self.reset_timeout()

    def reset_timeout(self) -> None:
        """Restart the timeout and the backoff, as a leader has made progress."""
        self._search_deadline = min(anyio.current_time() + ROUTING_TIMEOUT_S, self._deadline)
        self._backoff_s = INITIAL_BACKOFF_S

    def address(self) -> Address:
        """Return the address to send to; raise ``UNAVAILABLE`` when no leader is known."""
        address = self._hint or self._forwarder.leader_of(self._program_id)
        if address is None:
            raise PasslaneError(ErrorCode.UNAVAILABLE, "no leader of the program is known")
        return address

    async def back_off(self, error: PasslaneError, may_have_run: bool) -> None:
        """Wait before the next attempt.

        Raises
        ------
        PasslaneError
            ``UNAVAILABLE`` when the search or the request has timed out.
        """
        hint = error.leader if isinstance(error, NotLeaderError) else None
        self._hint = None if hint == self._hint else hint
        delay_s = self._forwarder.jitter(self._backoff_s)
        if anyio.current_time() + delay_s >= self._search_deadline:
            raise PasslaneError(
                ErrorCode.UNAVAILABLE,
                "no leader of the program could be reached",
                verdict=Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN,
                retry_after_s=DEFAULT_RETRY_AFTER_S,
            ) from error
        await anyio.sleep(delay_s)
        self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)
