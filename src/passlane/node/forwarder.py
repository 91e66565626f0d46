"""Brings requests to the node that leads their program, and its events back.

A request may be sent again to another leader at any time, because its call id is the
same: a recorded outcome is given again, a model call goes on after the tokens that the
caller has, and an operation that must not be repeated is not.
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
"""How long a leader is looked for since one last answered."""

FIRST_PAUSE_S = 0.02
MAX_PAUSE_S = 0.3
COME_BACK_AFTER_S = 1.0

REROUTED_CODES = frozenset(
    {
        ErrorCode.NOT_LEADER,
        ErrorCode.LEASE_LOST,
        ErrorCode.STALE_EPOCH,
        ErrorCode.UNAVAILABLE,
        ErrorCode.CONNECTION_LOST,
    }
)
"""Codes after which the same request is sent again, perhaps to another node."""

Emit = Callable[[CallEvent], Awaitable[None]]
ReplyType = TypeVar("ReplyType", bound=Message)


class _Progress:
    """What the caller has received of an answer so far."""

    def __init__(self, request: CallRequest, emit: Emit, reports: CallReports) -> None:
        self.texts: list[str] = [request.resume_text] if request.resume_from else []
        self.next_position = request.resume_from
        self.is_over = False
        self.is_resent = False
        self.may_have_run = may_be_repeat(request)
        self._emit = emit
        self._reports = reports

    def note_failure(self, error: PasslaneError) -> None:
        """Take in what a failed sending says of whether the call may have run."""
        if error.verdict is not Verdict.NOT_RUN:
            self.may_have_run = True
            self.is_resent = True

    async def take(self, event: CallEvent) -> None:
        """Pass an event on, but for tokens that the caller has."""
        if isinstance(event, TextChunk):
            if event.position < self.next_position:
                return
            self.next_position = event.position + event.tokens
            self.texts.append(event.text)
        else:
            self.is_over = True
        if isinstance(event, CallRefused):
            self._reports.publish_refusal(event.code, event.verdict)
        await self._emit(event)


class Forwarder:
    """Sends requests to the leaders of programs, and again when a leader is lost."""

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
        """Run a call and give its events to ``emit``; the last one ends the call.

        Raises
        ------
        PasslaneError
            When it was refused, or no leader was found; the verdict covers all tries.
        """
        progress = _Progress(request, emit, self._reports)
        try:
            await self._run_to_end(request, progress)
        except PasslaneError as error:
            # A refusal that came as the last event has been counted.
            if not progress.is_over:
                self._reports.publish_refusal(error.code, error.verdict)
            raise

    async def _run_to_end(self, request: CallRequest, progress: "_Progress") -> None:
        deadline = anyio.current_time() + request.timeout_s
        search = _LeaderSearch(self, request.program_id, deadline)
        while not progress.is_over:
            position = progress.next_position
            try:
                await self._run_once(search.address(), request, progress, deadline)
            except PasslaneError as error:
                if progress.is_over:
                    # The call's own refusal, as the caller's side raises it.
                    raise
                progress.note_failure(error)
                if error.code not in REROUTED_CODES:
                    raise
                if progress.next_position > position:
                    search.note_progress()
                await search.pause(error, progress.may_have_run)

    async def _run_once(
        self, address: Address, request: CallRequest, progress: _Progress, deadline: float
    ) -> None:
        remaining_s = deadline - anyio.current_time()
        current = msgspec.structs.replace(
            request,
            resume_from=progress.next_position,
            resume_text="".join(progress.texts),
            timeout_s=remaining_s,
            is_resent=progress.is_resent,
        )
        # The leader's own answer to a passed deadline is waited for a moment longer.
        async with self._caller.stream(address, current, timeout_s=remaining_s + 1.0) as events:
            async for event in events:
                if not isinstance(event, TextChunk | CallAnswered | CallRefused):
                    raise PasslaneError(
                        ErrorCode.PROTOCOL_ERROR,
                        f"unexpected {type(event).__name__} in a call's events",
                        verdict=Verdict.MAY_HAVE_RUN,
                    )
                await progress.take(event)
                if progress.is_over:
                    return
        raise PasslaneError(
            ErrorCode.CONNECTION_LOST,
            "the leader ended the call's events early",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    async def ask(
        self,
        program_id: ProgramId,
        request: Message,
        reply: type[ReplyType],
        timeout_s: float,
    ) -> ReplyType:
        """Send a request about a program, which must be idempotent, and return its reply."""
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
                    # The leader speaks for this sending only.
                    verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN
                    raise error_with_verdict(error, verdict) from error
                await search.pause(error, may_have_run)

    def leader_of(self, program_id: ProgramId) -> Address | None:
        """Return the address of a program's leader as far as known."""
        return self._leadership.leader_of(partition_of(program_id, self._partition_count))

    def jitter(self, seconds: float) -> float:
        """Return a pause spread at random, against herds."""
        return seconds * self._random.uniform(0.5, 1.0)


class _LeaderSearch:
    """Where to send a request next, and for how long to go on."""

    def __init__(self, forwarder: Forwarder, program_id: ProgramId, deadline: float) -> None:
        self._forwarder = forwarder
        self._program_id = program_id
        self._deadline = deadline
        self._hint: Address | None = None
        self.note_progress()

    def note_progress(self) -> None:
        """A leader has answered: start the search anew if it is lost."""
        self._give_up_at = min(anyio.current_time() + ROUTING_TIMEOUT_S, self._deadline)
        self._pause_s = FIRST_PAUSE_S

    def address(self) -> Address:
        """Return the address to try; raise ``UNAVAILABLE`` when none is known."""
        address = self._hint or self._forwarder.leader_of(self._program_id)
        if address is None:
            raise PasslaneError(ErrorCode.UNAVAILABLE, "no leader of the program is known")
        return address

    async def pause(self, error: PasslaneError, may_have_run: bool) -> None:
        """Wait a little before the next try.

        Raises
        ------
        PasslaneError
            When it is time to give up.
        """
        hint = error.leader if isinstance(error, NotLeaderError) else None
        self._hint = None if hint == self._hint else hint
        pause_s = self._forwarder.jitter(self._pause_s)
        if anyio.current_time() + pause_s >= self._give_up_at:
            raise PasslaneError(
                ErrorCode.UNAVAILABLE,
                "no leader of the program could be reached",
                verdict=Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN,
                retry_after_s=COME_BACK_AFTER_S,
            ) from error
        await anyio.sleep(pause_s)
        self._pause_s = min(2 * self._pause_s, MAX_PAUSE_S)
